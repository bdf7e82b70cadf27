// Package egress sends messages over the outgoing network link of this host. Short
// messages are sent immediately. Large messages are sent one after another with the
// bandwidth that short ones leave; package link decides when.
package egress

import (
	"context"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/pause"
	"arbutusstep.example/arbutusstep/pkg/link"
)

const (
	// LargeMessageBytes is the size above which a message is large and must be sent
	// with a Transfer.
	LargeMessageBytes = 16 << 10
	// partBytes is the size of the parts in which a large message is sent.
	partBytes = 16 << 10
	// stallTimeout is how long the write of a part may block before the transfer loses
	// its turn. A receiver that accepts data takes a part in less.
	stallTimeout = 10 * time.Millisecond
)

// Link is the outgoing link of this host. It is safe for concurrent use. The zero Link
// has no rate limit.
type Link struct {
	mutex sync.Mutex
	// pacer is guarded by mutex.
	pacer link.Pacer
	// nextChanged is closed when another transfer becomes the next one; nil while
	// nobody waits.
	nextChanged chan struct{}
	// stalls counts the transfers that lost their turn because their receiver accepted
	// no data; guarded by mutex.
	stalls uint64
}

// Transfer is the sending of one large message. A nil Transfer sends immediately.
type Transfer struct {
	link     *Link
	transfer *link.Transfer
	// sendBy is when the message stops waiting for other messages; zero means never.
	sendBy time.Time
	// ended is true after End; guarded by the mutex of the link.
	ended bool
	// writing is true while a part is written; guarded by the mutex of the link.
	writing bool
	// stalled is true once the write of a part has blocked for stallTimeout. From then
	// on the transfer gives up its turn before each write, so that a slow receiver
	// delays others only once. Guarded by the mutex of the link.
	stalled bool
}

// SetRate sets the rate limit; zero means no limit.
func (l *Link) SetRate(bytesPerSecond float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pacer.SetRate(bytesPerSecond)
}

// BytesWritten counts bytes that were written to connections.
func (l *Link) BytesWritten(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pacer.Limited() {
		l.pacer.RecordSent(time.Now(), bytes)
	}
}

// TryReserve reserves a transfer with the estimated number of bytes. If the message
// could not be sent completely within the given time, fits is false and nothing is
// reserved.
func (l *Link) TryReserve(bytes int64, within time.Duration) (transfer *Transfer, fits bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.pacer.Limited() {
		return nil, true
	}
	if !l.pacer.FitsWithin(bytes, within) {
		return nil, false
	}
	return &Transfer{link: l, transfer: l.pacer.Reserve(bytes)}, true
}

// Reserve reserves a transfer of unknown size without a time limit.
func (l *Link) Reserve() *Transfer {
	return l.ReserveUntil(time.Time{})
}

// ReserveUntil reserves a transfer of unknown size. At sendBy, the rest of the message is
// sent without waiting for others; zero means never.
func (l *Link) ReserveUntil(sendBy time.Time) *Transfer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.pacer.Limited() {
		return nil
	}
	return &Transfer{link: l, transfer: l.pacer.Reserve(0), sendBy: sendBy}
}

// Stalls returns how many transfers lost their turn because their receiver accepted no
// data.
func (l *Link) Stalls() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.stalls
}

// ExpectedWait returns how long a large message that arrives now would wait.
func (l *Link) ExpectedWait() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.pacer.ExpectedWait()
}

// Send passes the message to write in parts, each of them when the link has capacity.
// While write blocks, other transfers proceed. Send ends the transfer.
func (t *Transfer) Send(ctx context.Context, body []byte, write func(part []byte) error) (err error) {
	if t == nil {
		return write(body)
	}
	t.link.mutex.Lock()
	t.link.pacer.Enqueue(time.Now(), t.transfer, int64(len(body)))
	t.link.mutex.Unlock()
	defer t.End()
	stallTimer := time.AfterFunc(stallTimeout, t.stall)
	defer stallTimer.Stop()
	waitCtx := ctx
	if !t.sendBy.IsZero() {
		var cancel context.CancelFunc
		waitCtx, cancel = context.WithDeadline(ctx, t.sendBy)
		defer cancel()
	}
	for len(body) > 0 {
		if err = t.link.waitForTurn(waitCtx, t.transfer); err != nil && ctx.Err() != nil {
			return err
		}
		if err != nil {
			// The message is due.
			t.End()
		}
		part := body[:min(partBytes, len(body))]
		t.beginWrite()
		stallTimer.Reset(stallTimeout)
		if err = write(part); err != nil {
			return err
		}
		t.endWrite(len(part))
		body = body[len(part):]
	}
	return nil
}

// beginWrite records that a part is about to be written.
func (t *Transfer) beginWrite() {
	t.link.mutex.Lock()
	defer t.link.mutex.Unlock()
	t.writing = true
	if t.stalled {
		t.yieldTurn()
	}
}

// stall takes the turn from a transfer whose write blocks.
func (t *Transfer) stall() {
	t.link.mutex.Lock()
	defer t.link.mutex.Unlock()
	if !t.writing || t.stalled || t.ended {
		return
	}
	t.stalled = true
	t.link.stalls++
	t.yieldTurn()
}

// yieldTurn lets other transfers proceed until endWrite. The mutex of the link must be
// held.
func (t *Transfer) yieldTurn() {
	if t.ended {
		return
	}
	wasNext := t.link.pacer.IsNext(t.transfer)
	t.link.pacer.Suspend(t.transfer)
	if wasNext {
		t.link.notifyWaiters()
	}
}

// endWrite records that a part was written, and queues the transfer for the next one.
func (t *Transfer) endWrite(bytes int) {
	t.link.mutex.Lock()
	defer t.link.mutex.Unlock()
	t.writing = false
	if t.ended {
		return
	}
	t.link.pacer.Resume(t.transfer)
	t.link.pacer.RecordProgress(t.transfer, int64(bytes))
}

// End ends the transfer, whether or not the message was sent. Further calls have no
// effect.
func (t *Transfer) End() {
	if t == nil {
		return
	}
	l := t.link
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	wasNext := l.pacer.IsNext(t.transfer)
	l.pacer.Remove(t.transfer)
	if wasNext {
		l.notifyWaiters()
	}
}

// notifyWaiters wakes the transfers that wait for their turn. The mutex must be held.
func (l *Link) notifyWaiters() {
	if l.nextChanged != nil {
		close(l.nextChanged)
		l.nextChanged = nil
	}
}

// waitForTurn blocks until the next part of the transfer may be sent.
func (l *Link) waitForTurn(ctx context.Context, t *link.Transfer) (err error) {
	for {
		isNext, delay, changed := l.sendDelay(t)
		switch {
		case isNext && delay <= 0:
			return nil
		case isNext:
			if err = pause.For(ctx, delay); err != nil {
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

// sendDelay reports whether the transfer is the next one. If so, it returns the delay
// before its next part; otherwise a channel that is closed when another transfer
// becomes the next one.
func (l *Link) sendDelay(t *link.Transfer) (isNext bool, delay time.Duration, changed <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.pacer.IsNext(t) {
		return true, l.pacer.Delay(time.Now()), nil
	}
	if l.nextChanged == nil {
		l.nextChanged = make(chan struct{})
	}
	return false, 0, l.nextChanged
}
