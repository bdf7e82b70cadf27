// Package egress sends through the link of this host: short messages at once,
// long ones one after the other in what those leave.
package egress

import (
	"context"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/pause"
	"arbutusstep.example/arbutusstep/pkg/link"
)

const (
	// LargeMessageBytes is the length from which a message takes turns, in bytes.
	LargeMessageBytes = 16 << 10
	// step is how much of a long message is sent at once, in bytes.
	step = 16 << 10
)

// Link is the outgoing link of this host. It is safe for concurrent use. The
// zero Link has no bound.
type Link struct {
	mutex sync.Mutex
	// link is guarded by mutex.
	link link.Pacer
	// changed is closed when another turn became the next; nil while nobody waits.
	changed chan struct{}
}

// Transfer is one long message's use of the link. A nil Transfer sends without a bound.
type Transfer struct {
	owner *Link
	turn  *link.Transfer
	ended bool
}

// SetRate bounds the link to that many bytes a second; zero means no bound.
func (l *Link) SetRate(bytesPerSecond float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.link.SetRate(bytesPerSecond)
}

// BytesWritten counts bytes that were handed to the link.
func (l *Link) BytesWritten(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.link.Limited() {
		l.link.RecordSent(time.Now(), bytes)
	}
}

// TryReserve announces a long message of about that many bytes; fits is false when it
// could not be sent within the time, and then nothing is booked.
func (l *Link) TryReserve(bytes int64, within time.Duration) (booked *Transfer, fits bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.link.Limited() {
		return nil, true
	}
	if !l.link.FitsWithin(bytes, within) {
		return nil, false
	}
	return &Transfer{owner: l, turn: l.link.Reserve(bytes)}, true
}

// Reserve announces a message that is sent however long it takes.
func (l *Link) Reserve() *Transfer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.link.Limited() {
		return nil
	}
	return &Transfer{owner: l, turn: l.link.Reserve(0)}
}

// ExpectedWait returns how long a long message that came now would take.
func (l *Link) ExpectedWait() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.link.ExpectedWait()
}

// Send hands the message to write in steps, each when the link has room for it.
func (t *Transfer) Send(ctx context.Context, body []byte, write func(part []byte) error) (err error) {
	if t == nil {
		return write(body)
	}
	l := t.owner
	l.mutex.Lock()
	l.link.Enqueue(time.Now(), t.turn, int64(len(body)))
	l.mutex.Unlock()
	defer t.End()
	for len(body) > 0 {
		if err = l.await(ctx, t.turn); err != nil {
			return err
		}
		part := body[:min(step, len(body))]
		if err = write(part); err != nil {
			return err
		}
		l.mutex.Lock()
		l.link.RecordProgress(t.turn, int64(len(part)))
		l.mutex.Unlock()
		body = body[len(part):]
	}
	return nil
}

// End ends the turn; only the first call counts.
func (t *Transfer) End() {
	if t == nil {
		return
	}
	l := t.owner
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	first := l.link.IsNext(t.turn)
	l.link.Remove(t.turn)
	if first {
		l.tell()
	}
}

// tell lets those who wait look again; the mutex is held.
func (l *Link) tell() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// await waits until the next step of the turn may be sent.
func (l *Link) await(ctx context.Context, t *link.Transfer) (err error) {
	for {
		first, due, changed := l.look(t)
		switch {
		case first && due <= 0:
			return nil
		case first:
			if err = pause.For(ctx, due); err != nil {
				return err
			}
		default:
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// look returns whether the turn is the next one and how long its step has to
// wait then, or else what is closed when another turn has become the next.
func (l *Link) look(t *link.Transfer) (first bool, due time.Duration, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.link.IsNext(t) {
		return true, l.link.Delay(time.Now()), nil
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return false, 0, l.changed
}
