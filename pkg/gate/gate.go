// Package gate implements admission control for one upstream: it decides which
// requests get one of its concurrency slots, and when. More urgent requests go
// first, every priority keeps a minimum share of the slots (its floor), a request
// that can't finish by its deadline is rejected before it runs, and the
// concurrency limit adapts to what the upstream can handle.
package gate

import (
	"context"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// minTimerDelay is the shortest delay for which the timer is set, which bounds how
// often it fires. A request that expires in the meantime is rejected when its turn
// comes.
const minTimerDelay = time.Millisecond

// Load describes how busy an upstream is.
type Load struct {
	// Running is the number of requests that hold a slot.
	Running int
	// Waiting is the number of requests in the queue.
	Waiting int
	// Limit is the current concurrency limit without the slots that are held, from 1 to
	// Slots.
	Limit int
	// Slots is the upstream's own limit.
	Slots int
}

// Percent returns running and waiting requests as a percentage of the limit. It
// can exceed 100 while requests wait.
func (l Load) Percent() int {
	return (l.Running + l.Waiting) * 100 / max(l.Limit, 1)
}

// Gate wraps a Queue for concurrent use with the system clock. The zero Gate has
// one slot until Configure is called.
type Gate struct {
	mutex sync.Mutex
	// queue is guarded by mutex.
	queue Queue
	// timer calls expire at timerDue; nil until a request first waits.
	timer *time.Timer
	// timerDue is zero while the timer is not set.
	timerDue time.Time
	// drained is closed once a draining gate has no requests left; nil unless
	// draining.
	drained chan struct{}
	waits   waitHistogram
}

// Permit represents a slot held by a request.
type Permit struct {
	gate    *Gate
	request Request
}

// Configure changes the configuration. Running and waiting requests are kept.
func (g *Gate) Configure(config Config) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.notify(g.queue.Configure(now, config))
	g.armTimer(now)
}

// Hold keeps that many slots from being granted, for requests that the upstream may run
// without a slot. One slot is always granted.
func (g *Gate) Hold(slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.notify(g.queue.Hold(now, slots))
	g.armTimer(now)
}

// Acquire waits until the request gets a slot. A zero deadline means no deadline.
// The error is always a *RejectedError; such a request has not been sent to the
// upstream.
func (g *Gate) Acquire(ctx context.Context, priority mesh.Priority, deadline time.Time) (permit *Permit, err error) {
	return g.AcquireFor(ctx, Request{Priority: priority, Deadline: deadline})
}

// AcquireFor is like Acquire for a request with more than a priority and a
// deadline. Its state must be New.
func (g *Gate) AcquireFor(ctx context.Context, request Request) (permit *Permit, err error) {
	p := &Permit{gate: g, request: request}
	arrived := time.Now()
	if ctx.Err() != nil {
		return nil, &RejectedError{Reason: Canceled}
	}
	if g.offer(&p.request) {
		select {
		case <-p.request.decided:
		case <-ctx.Done():
			g.cancel(&p.request)
		}
	}
	if rejected := p.request.Rejection(); rejected != nil {
		return nil, rejected
	}
	now := time.Now()
	g.waits.record(now, now.Sub(arrived))
	return p, nil
}

// Release frees the slot. Only the first call has an effect.
func (p *Permit) Release(result Result) {
	g := p.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.notify(g.queue.Done(now, &p.request, result))
	g.armTimer(now)
}

// Drain rejects new requests and waits until all accepted requests have finished
// or the context is done.
func (g *Gate) Drain(ctx context.Context) (err error) {
	g.mutex.Lock()
	g.queue.Drain()
	if g.drained == nil {
		g.drained = make(chan struct{})
	}
	g.closeIfDrained()
	drained := g.drained
	g.mutex.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Load returns the current load.
func (g *Gate) Load() Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Load(time.Now())
}

// Sharing returns how the places of the queue are shared between accounts now.
func (g *Gate) Sharing() Sharing {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Sharing()
}

// offer offers the request to the queue and reports whether the caller has to wait
// for r.decided.
func (g *Gate) offer(r *Request) (mustWait bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.notify(g.queue.Offer(now, r))
	g.armTimer(now)
	if r.State() != Waiting {
		return false
	}
	r.decided = make(chan struct{})
	return true
}

// cancel cancels the request unless it has got its slot in the meantime.
func (g *Gate) cancel(r *Request) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.notify(g.queue.Cancel(time.Now(), r))
}

func (g *Gate) expire() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.timerDue = time.Time{}
	g.notify(g.queue.Expire(now))
	g.armTimer(now)
}

// notify wakes the callers of requests that got their slot or were rejected.
func (g *Gate) notify(changed []*Request) {
	for _, r := range changed {
		if r.decided != nil {
			close(r.decided)
		}
	}
	g.closeIfDrained()
}

// closeIfDrained completes a drain once no requests are left.
func (g *Gate) closeIfDrained() {
	if g.drained == nil || g.queue.running > 0 || g.queue.waiting > 0 {
		return
	}
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// armTimer sets the timer for the queue's next wakeup, unless it is already due
// before that.
func (g *Gate) armTimer(now time.Time) {
	next := g.queue.NextWakeup(now)
	if next.IsZero() || (!g.timerDue.IsZero() && !next.Before(g.timerDue)) {
		return
	}
	g.timerDue = next
	delay := max(next.Sub(now), minTimerDelay)
	if g.timer == nil {
		g.timer = time.AfterFunc(delay, g.expire)
		return
	}
	g.timer.Reset(delay)
}
