package serve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/gate"
)

// boundedUpstream runs requests in virtual time and never answers those that it cannot
// queue. It finishes requests whose connection was closed.
type boundedUpstream struct {
	slots, queue int
	// resets makes it close the connection of a request that it cannot queue.
	resets bool
	// serviceTime returns the service time of the n-th request.
	serviceTime func(n int) time.Duration

	// pause is when it works at nothing; zero if it never pauses.
	pause struct{ from, until time.Time }

	mutex sync.Mutex
	// arrived, lost and accepted count requests; guarded by mutex like most.
	arrived, lost, accepted int
	// most is the largest number of requests that it had at once.
	most int
	// free holds a token for each free slot.
	free chan struct{}
}

// dial opens a connection to the upstream.
func (u *boundedUpstream) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		reader := bufio.NewReader(server)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if !u.run() {
				if !u.resets {
					// It reads nothing more from this connection.
					_, _ = io.Copy(io.Discard, reader)
				}
				return
			}
			if _, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	}()
	return client, nil
}

// run runs one request and reports whether it was accepted.
func (u *boundedUpstream) run() (accepted bool) {
	u.mutex.Lock()
	if u.free == nil {
		u.free = make(chan struct{}, u.slots)
	}
	n := u.arrived
	u.arrived++
	if u.accepted >= u.slots+u.queue {
		u.lost++
		u.mutex.Unlock()
		return false
	}
	u.accepted++
	u.most = max(u.most, u.accepted)
	u.mutex.Unlock()
	u.free <- struct{}{}
	begin := time.Now()
	end := begin.Add(u.serviceTime(n))
	if begin.Before(u.pause.until) && end.After(u.pause.from) {
		end = end.Add(u.pause.until.Sub(latest(begin, u.pause.from)))
	}
	time.Sleep(time.Until(end))
	<-u.free
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.accepted--
	return true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// loadResult counts how the requests of a load ended.
type loadResult struct {
	sync.Mutex
	answered, silent, lost, expired int
	// leastLeft is the least time that a request had left when it was given up.
	leastLeft time.Duration
}

func (r *loadResult) record(elapsed time.Duration, err error) {
	r.Lock()
	defer r.Unlock()
	var callErr *peer.CallError
	switch {
	case err == nil:
		r.answered++
	case !errors.As(err, &callErr):
	case callErr.Reason == ReasonSilent:
		r.silent++
		r.leastLeft = min(r.leastLeft, requestTimeout-elapsed)
	case callErr.Reason == ReasonLost:
		r.lost++
	case callErr.Reason == peer.ReasonDeadline:
		r.expired++
	}
}

// requestTimeout is the timeout of each request.
const requestTimeout = time.Second

// offer sends a request every gap for the duration.
func offer(t *testing.T, h *Handler, gap, duration time.Duration) (result *loadResult) {
	result = &loadResult{leastLeft: requestTimeout}
	var requests sync.WaitGroup
	for range duration / gap {
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
			defer cancel()
			begin := time.Now()
			_, _, err := do(ctx, h, safeHead(), "")
			result.record(time.Since(begin), err)
		})
		time.Sleep(gap)
	}
	requests.Wait()
	return result
}

// safeHead returns the head of a call that may be repeated.
func safeHead() *wire.CallHead {
	head := callHead("")
	head.Idempotent, head.Route, head.TypicalMicros = true, "r", (30 * time.Millisecond).Microseconds()
	return head
}

// newBoundedHandler returns a handler in front of the upstream, which registered with 18
// slots.
func newBoundedHandler(t *testing.T, u *boundedUpstream) (h *Handler, target Target) {
	g := &gate.Gate{}
	g.Configure(gate.Config{Slots: 18, FixedLimit: true, PredictWait: true})
	h = &Handler{Gate: g, dial: u.dial}
	t.Cleanup(func() {
		h.SetTarget(Target{})
		// The upstream may still run requests whose connection was closed. Virtual time stops
		// with the test.
		time.Sleep(requestTimeout)
		synctest.Wait()
	})
	return h, Target{Address: netip.MustParseAddrPort("127.0.0.1:1"), Instance: "i-1", Slots: 18}
}

func constantTime(d time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return d }
}

// TestOnlyRequestsAtSilentUpstreamsAreGivenUp guards against requests that wait for their
// deadline at an upstream that lost them, and against a slow upstream that is taken for a
// silent one.
func TestOnlyRequestsAtSilentUpstreamsAreGivenUp(t *testing.T) {
	tests := []struct {
		name string
		// gap is the time between two requests. At 2 ms, those of 40 ms exceed 18 slots.
		gap      time.Duration
		upstream *boundedUpstream
		// off is true if the upstream is not tracked.
		off bool
		// pauses is true if the upstream pauses for half a second.
		pauses bool
		// lost is true if the upstream loses requests, givenUp if those end early, and all if
		// all requests are answered.
		lost, givenUp, all bool
	}{
		{name: "answers in time", gap: 4 * time.Millisecond, all: true, upstream: &boundedUpstream{slots: 18, queue: 9, serviceTime: constantTime(40 * time.Millisecond)}},
		{name: "answers in time, overloaded", gap: 2 * time.Millisecond, upstream: &boundedUpstream{slots: 18, queue: 9, serviceTime: constantTime(40 * time.Millisecond)}},
		{name: "hangs when full", gap: 2 * time.Millisecond, upstream: &boundedUpstream{slots: 8, queue: 2, serviceTime: constantTime(40 * time.Millisecond)}, lost: true, givenUp: true},
		{name: "hangs when full, not tracked", gap: 2 * time.Millisecond, off: true, upstream: &boundedUpstream{slots: 8, queue: 2, serviceTime: constantTime(40 * time.Millisecond)}, lost: true},
		{name: "resets when full", gap: 2 * time.Millisecond, upstream: &boundedUpstream{slots: 8, queue: 2, resets: true, serviceTime: constantTime(40 * time.Millisecond)}, lost: true},
		{name: "becomes slow", gap: 8 * time.Millisecond, upstream: &boundedUpstream{slots: 18, queue: 9, serviceTime: func(n int) time.Duration {
			if n > 200 {
				return 400 * time.Millisecond
			}
			return 40 * time.Millisecond
		}}},
		{name: "one of forty takes ten times as long", gap: 8 * time.Millisecond, all: true, upstream: &boundedUpstream{slots: 18, queue: 9, serviceTime: func(n int) time.Duration {
			if n%40 == 7 {
				return 400 * time.Millisecond
			}
			return 40 * time.Millisecond
		}}},
		{name: "pauses for half a second", gap: 8 * time.Millisecond, pauses: true, upstream: &boundedUpstream{slots: 18, queue: 9, serviceTime: constantTime(40 * time.Millisecond)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, target := newBoundedHandler(t, tt.upstream)
				if tt.off {
					target.Slots = 0
				}
				if tt.pauses {
					tt.upstream.pause.from, tt.upstream.pause.until = time.Now().Add(2*time.Second), time.Now().Add(2500*time.Millisecond)
				}
				h.SetTarget(target)
				result := offer(t, h, tt.gap, 6*time.Second)
				t.Logf("upstream lost %d of %d, most at once %d; %d answered, %d given up, %d reset, %d expired", tt.upstream.lost, tt.upstream.arrived,
					tt.upstream.most, result.answered, result.silent, result.lost, result.expired)
				assert.Equal(t, tt.upstream.lost > 0, tt.lost)
				assert.Equal(t, result.silent > 0, tt.givenUp)
				assert.Assert(t, !tt.all || result.answered == int(6*time.Second/tt.gap), "%d answered", result.answered)
				if tt.givenUp {
					// The time for another attempt is left.
					assert.Assert(t, result.leastLeft >= 80*time.Millisecond, "%v", result.leastLeft)
					assert.Assert(t, tt.upstream.lost*20 < tt.upstream.arrived, "%d of %d lost", tt.upstream.lost, tt.upstream.arrived)
				}
			})
		})
	}
}

// TestRequestsInFlightStayWithinWhatTheUpstreamAccepts guards against requests that nobody
// waits for, but which still occupy the upstream: those of an earlier process, those that
// were canceled, and health checks. The upstream queues one request.
func TestRequestsInFlightStayWithinWhatTheUpstreamAccepts(t *testing.T) {
	tests := []struct {
		name string
		// off is true if the upstream is not tracked, as a check of the test itself.
		off     bool
		prepare func(t *testing.T, h *Handler, u *boundedUpstream, target *Target)
	}{
		{name: "earlier process", prepare: occupyBefore},
		{name: "earlier process, not tracked", off: true, prepare: occupyBefore},
		{name: "canceled requests", prepare: cancelRequests},
		{name: "canceled requests, not tracked", off: true, prepare: cancelRequests},
		{name: "first second of an upstream whose health checks still run", prepare: checkHealth},
		{name: "health checks, not tracked", off: true, prepare: checkHealth},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &boundedUpstream{slots: 18, queue: 1, serviceTime: constantTime(40 * time.Millisecond)}
				h, target := newBoundedHandler(t, u)
				if tt.off {
					target.Slots = 0
				}
				tt.prepare(t, h, u, &target)
				h.SetTarget(target)
				result := offer(t, h, time.Millisecond, 3*time.Second)
				t.Logf("upstream lost %d of %d, most at once %d; %d answered, %d expired", u.lost, u.arrived, u.most, result.answered, result.expired)
				assert.Equal(t, u.lost > 0, tt.off)
				// All slots are used in the end: 18 requests of 40 ms for 3 s are 1350.
				assert.Assert(t, tt.off || result.answered > 900, "%d answered", result.answered)
				held, _ := h.Held()
				assert.Equal(t, held, 0)
			})
		})
	}
}

// occupyBefore has 18 requests of an earlier process run for up to 300 ms.
func occupyBefore(_ *testing.T, _ *Handler, u *boundedUpstream, target *Target) {
	service := u.serviceTime
	u.serviceTime = func(n int) time.Duration {
		if n < 18 {
			return time.Duration(n+3) * 15 * time.Millisecond
		}
		return service(n)
	}
	for range 18 {
		go u.run()
	}
	target.InheritedUntil = time.Now().Add(2 * time.Second)
	synctest.Wait()
}

// cancelRequests has 18 requests canceled that the upstream goes on to run. Their response
// time is known from others.
func cancelRequests(t *testing.T, h *Handler, u *boundedUpstream, target *Target) {
	h.SetTarget(*target)
	offer(t, h, 10*time.Millisecond, 500*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	for range 18 {
		go func() { _, _, _ = do(ctx, h, safeHead(), "") }()
	}
	time.Sleep(time.Millisecond)
	cancel()
	synctest.Wait()
}

// checkHealth has four health checks run that were given up.
func checkHealth(_ *testing.T, h *Handler, u *boundedUpstream, _ *Target) {
	for range 4 {
		end := h.BeginCheck()
		go u.run()
		synctest.Wait()
		end(false)
	}
}

// TestConnectionWithoutResponseIsClosed guards against a request that is sent on a
// connection on which the upstream answers nothing any more.
func TestConnectionWithoutResponseIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &boundedUpstream{slots: 18, queue: 9, serviceTime: constantTime(40 * time.Millisecond)}
		h, target := newBoundedHandler(t, u)
		hung := make(chan error, 1)
		var dialed atomic.Int32
		h.dial = func(ctx context.Context, address string) (net.Conn, error) {
			if dialed.Add(1) != 1 {
				return u.dial(ctx, address)
			}
			client, server := net.Pipe()
			go func() {
				reader := bufio.NewReader(server)
				_, _ = http.ReadRequest(reader)
				_, err := http.ReadRequest(reader)
				hung <- err
			}()
			return client, nil
		}
		h.SetTarget(target)
		result := offer(t, h, 5*time.Millisecond, time.Second)
		assert.Equal(t, result.silent, 1)
		assert.ErrorIs(t, <-hung, io.EOF)
		assert.Equal(t, result.answered, 199)
	})
}
