// Package gate decides which requests get the slots of one upstream, and when.
// The most urgent go first, every priority keeps its floor, what can't finish
// by its deadline is refused before it runs, and the concurrency follows what
// the upstream bears.
package gate

import (
	"context"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// timerStep is the least time until the timer fires; a request that became late
// meanwhile is refused when its turn comes.
const timerStep = time.Millisecond

// Load tells how busy an upstream is.
type Load struct {
	// Running is the number of requests that hold a slot.
	Running int
	// Waiting is the number of requests in the queue.
	Waiting int
	// Limit is the present concurrency limit, within 1 and Slots.
	Limit int
	// Slots is the upstream's own limit.
	Slots int
}

// Percent returns running and waiting requests against the limit; it exceeds
// 100 while requests wait.
func (l Load) Percent() int {
	return (l.Running + l.Waiting) * 100 / max(l.Limit, 1)
}

// Gate is a Queue for concurrent use, on the clock of package time. The zero
// Gate has one slot until Configure is called.
type Gate struct {
	mutex sync.Mutex
	// queue is guarded by mutex.
	queue Queue
	// timer fires Expire at armed; nil until work first waits.
	timer *time.Timer
	// armed is zero while no timer is set.
	armed time.Time
	// idle is closed when a draining gate holds no work; nil unless draining.
	idle chan struct{}
}

// Permit is a slot that a request holds.
type Permit struct {
	gate *Gate
	work Request
}

// Configure changes the configuration; running and waiting requests stay.
func (g *Gate) Configure(config Config) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.notify(g.queue.Configure(now, config))
	g.arm(now)
}

// Acquire waits until the request gets a slot. A zero deadline means none. On an
// error, which is always a *RejectedError, the request has not been handed over.
func (g *Gate) Acquire(ctx context.Context, priority mesh.Priority, deadline time.Time) (ticket *Permit, err error) {
	return g.AcquireFor(ctx, Request{Priority: priority, Deadline: deadline})
}

// AcquireFor is Acquire for a request that says more of itself; it must be New.
func (g *Gate) AcquireFor(ctx context.Context, work Request) (ticket *Permit, err error) {
	t := &Permit{gate: g, work: work}
	if ctx.Err() != nil {
		return nil, &RejectedError{Reason: Cancelled}
	}
	if g.offer(&t.work) {
		select {
		case <-t.work.signal:
		case <-ctx.Done():
			g.cancel(&t.work)
		}
	}
	if refused := t.work.Rejection(); refused != nil {
		return nil, refused
	}
	return t, nil
}

// Release gives the slot back; only the first call counts.
func (t *Permit) Release(result Result) {
	g := t.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.notify(g.queue.Done(now, &t.work, result))
	g.arm(now)
}

// Drain refuses new requests and waits until the accepted ones have left or
// the context ends.
func (g *Gate) Drain(ctx context.Context) (err error) {
	g.mutex.Lock()
	g.queue.Drain()
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	g.settle()
	idle := g.idle
	g.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Load returns the present load.
func (g *Gate) Load() Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Load(time.Now())
}

// offer asks for a slot and reports whether the work has to wait for its signal.
func (g *Gate) offer(w *Request) (waits bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.notify(g.queue.Offer(now, w))
	g.arm(now)
	if w.State() != Waiting {
		return false
	}
	w.signal = make(chan struct{})
	return true
}

// cancel gives up on work unless it got its slot in the meantime.
func (g *Gate) cancel(w *Request) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.notify(g.queue.Cancel(time.Now(), w))
}

func (g *Gate) expire() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.armed = time.Time{}
	g.notify(g.queue.Expire(now))
	g.arm(now)
}

// notify wakes the requests whose turn or refusal has come.
func (g *Gate) notify(settled []*Request) {
	for _, w := range settled {
		if w.signal != nil {
			close(w.signal)
		}
	}
	g.settle()
}

// settle ends a drain once no work is left.
func (g *Gate) settle() {
	if g.idle == nil || g.queue.running > 0 || g.queue.count > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// arm sets the timer for the queue's next deadline.
func (g *Gate) arm(now time.Time) {
	next := g.queue.NextWakeup(now)
	if next.IsZero() || (!g.armed.IsZero() && !next.Before(g.armed)) {
		return
	}
	g.armed = next
	wait := max(next.Sub(now), timerStep)
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.expire)
		return
	}
	g.timer.Reset(wait)
}
