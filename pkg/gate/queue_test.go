package gate

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// naiveQueue is a simple reference implementation of Queue: one flat list, with
// nothing cached between calls. It takes the limit and the estimates from the
// queue under test.
type naiveQueue struct {
	tested  *Queue
	waiting []*naiveRequest
	// nonEmptySince is valid for priorities with waiting requests.
	nonEmptySince [mesh.NumPriorities]time.Time
	credit        [mesh.NumPriorities]int
	running       int
	states        map[int]State
}

type naiveRequest struct {
	id       int
	priority mesh.Priority
	deadline time.Time
}

func (n *naiveQueue) waitingOf(p mesh.Priority) (requests []*naiveRequest) {
	for _, r := range n.waiting {
		if r.priority == p {
			requests = append(requests, r)
		}
	}
	return requests
}

func (n *naiveQueue) remove(r *naiveRequest) {
	n.waiting = slices.DeleteFunc(n.waiting, func(x *naiveRequest) bool { return x == r })
}

func (n *naiveQueue) late(now time.Time, r *naiveRequest) bool {
	remaining := r.deadline.Sub(now)
	return remaining <= 0 || remaining < n.tested.serviceTime(now, r.priority)
}

func (n *naiveQueue) newestFirst(now time.Time, p mesh.Priority) bool {
	return now.After(n.nonEmptySince[p].Add(standingQueueDelay))
}

func (n *naiveQueue) reserved(p mesh.Priority) int {
	return n.tested.config.QueueLimit * n.tested.config.Floors[p] / 100
}

func (n *naiveQueue) expire(now time.Time) {
	for _, r := range slices.Clone(n.waiting) {
		if n.late(now, r) {
			n.remove(r)
			n.states[r.id] = Rejected
		}
	}
}

func (n *naiveQueue) full(p mesh.Priority, limit int) bool {
	places := n.tested.config.QueueLimit
	for _, o := range mesh.Priorities() {
		if o != p {
			places -= max(len(n.waitingOf(o)), n.reserved(o))
		}
	}
	return len(n.waitingOf(p)) >= places && (len(n.waiting) > 0 || n.running >= limit)
}

func (n *naiveQueue) offer(now time.Time, r *naiveRequest, limit int) {
	n.states[r.id] = Rejected
	if n.late(now, r) {
		return
	}
	if n.full(r.priority, limit) {
		n.expire(now)
	}
	if n.full(r.priority, limit) {
		victim := n.victim(now, r.priority)
		if victim == nil {
			return
		}
		n.remove(victim)
		n.states[victim.id] = Rejected
	}
	if len(n.waitingOf(r.priority)) == 0 {
		n.nonEmptySince[r.priority] = now
	}
	n.waiting = append(n.waiting, r)
	n.states[r.id] = Waiting
	n.dispatch(now, limit)
}

func (n *naiveQueue) victim(now time.Time, arriving mesh.Priority) *naiveRequest {
	for p := mesh.Low; p < arriving; p++ {
		requests := n.waitingOf(p)
		if len(requests) <= n.reserved(p) {
			continue
		}
		if n.newestFirst(now, p) {
			return requests[0]
		}
		return requests[len(requests)-1]
	}
	if own := n.waitingOf(arriving); len(own) > 0 && n.newestFirst(now, arriving) {
		return own[0]
	}
	return nil
}

func (n *naiveQueue) dispatch(now time.Time, limit int) {
	for n.running < limit && len(n.waiting) > 0 {
		order := mesh.Priorities()
		slices.SortStableFunc(order[:], func(a, b mesh.Priority) int {
			return max(n.credit[b], grantCost-1) - max(n.credit[a], grantCost-1)
		})
		var requests []*naiveRequest
		for _, p := range order {
			if requests = n.waitingOf(p); len(requests) > 0 {
				break
			}
		}
		r := requests[0]
		if n.newestFirst(now, r.priority) {
			r = requests[len(requests)-1]
		}
		n.grant(now, r)
	}
}

func (n *naiveQueue) grant(now time.Time, r *naiveRequest) {
	n.remove(r)
	n.states[r.id] = Rejected
	if n.late(now, r) {
		return
	}
	n.states[r.id] = Running
	n.running++
	for _, p := range mesh.Priorities() {
		if p == r.priority || len(n.waitingOf(p)) > 0 {
			n.credit[p] = min(n.credit[p]+n.tested.config.Floors[p], maxCredit)
		}
	}
	n.credit[r.priority] = max(n.credit[r.priority]-grantCost, 0)
}

func TestQueueAgreesWithNaiveQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			q        Queue
			n        = naiveQueue{tested: &q, states: map[int]State{}}
			now      = simStart
			requests []*Request
		)
		config := Config{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), QueueLimit: rapid.IntRange(1, 12).Draw(t, "limit")}
		for p := range config.Floors {
			config.Floors[p] = rapid.IntRange(0, 25).Draw(t, "floor")
		}
		q.Configure(now, config)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				r := &Request{
					Priority: mesh.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "deadline")) * time.Millisecond),
				}
				requests = append(requests, r)
				n.offer(now, &naiveRequest{id: len(requests) - 1, priority: r.Priority, deadline: r.Deadline}, q.limiter.current(now))
				q.Offer(now, r)
			case 3, 4:
				finish(t, &q, &n, now, requests)
			case 5:
				n.expire(now)
				n.dispatch(now, q.limiter.current(now))
				q.Expire(now)
			}
			compare(t, &q, &n, now, requests)
		}
	})
}

// finish finishes the running request that was offered first in both queues.
func finish(t *rapid.T, q *Queue, n *naiveQueue, now time.Time, requests []*Request) {
	i := slices.IndexFunc(requests, func(r *Request) bool { return r.State() == Running })
	if i < 0 {
		return
	}
	q.Done(now, requests[i], Result{Shed: rapid.IntRange(0, 9).Draw(t, "shed") == 0})
	n.states[i] = Finished
	n.running--
	n.dispatch(now, q.limiter.current(now))
}

func compare(t *rapid.T, q *Queue, n *naiveQueue, now time.Time, requests []*Request) {
	for i, r := range requests {
		if r.State() != n.states[i] {
			t.Fatalf("request %d is in state %d, want %d", i, r.State(), n.states[i])
		}
	}
	load := q.Load(now)
	if load.Waiting != len(n.waiting) || load.Running != n.running {
		t.Fatalf("load %+v, want %d waiting and %d running", load, len(n.waiting), n.running)
	}
	if load.Waiting > q.config.QueueLimit || load.Running > load.Slots || load.Limit < 1 || load.Limit > load.Slots {
		t.Fatalf("load %+v is out of bounds for config %+v", load, q.config)
	}
}

func TestRejectionReasons(t *testing.T) {
	soon, later := simStart.Add(time.Millisecond), simStart.Add(time.Hour)
	one, floored := Config{Slots: 1, QueueLimit: 1}, Config{Slots: 1, QueueLimit: 2, Floors: [mesh.NumPriorities]int{mesh.Low: 50}}
	tests := []struct {
		name   string
		config Config
		// offers are made in order; the first one gets the slot.
		offers []Request
		then   func(q *Queue, last *Request)
		// rejected is the index of the offer that is rejected.
		rejected int
		want     Reason
	}{
		{name: "queue full", config: one, offers: []Request{{}, {}, {}}, rejected: 2, want: Full},
		{name: "deadline passed", config: one, offers: []Request{{Deadline: simStart}}, want: Late},
		{
			name: "deadline passes in the queue", config: one, offers: []Request{{}, {Deadline: soon}}, rejected: 1, want: Late,
			then: func(q *Queue, _ *Request) { q.Expire(soon) },
		},
		{
			name: "more urgent arrival", config: one, offers: []Request{{}, {Deadline: later}, {Priority: mesh.Urgent}},
			rejected: 1, want: Displaced,
		},
		{
			name: "more urgent arrival does not take places reserved for a floor", config: floored,
			offers: []Request{{}, {}, {Priority: mesh.High}, {Priority: mesh.Urgent}}, rejected: 2, want: Displaced,
		},
		{
			name: "draining", config: one, offers: []Request{{}, {}}, rejected: 1, want: Draining,
			then: func(q *Queue, last *Request) {
				q.Drain()
				*last = Request{}
				q.Offer(simStart, last)
			},
		},
		{
			name: "canceled", config: one, offers: []Request{{}, {}}, rejected: 1, want: Canceled,
			then: func(q *Queue, last *Request) { q.Cancel(simStart, last) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, tt.config)
			for i := range tt.offers {
				q.Offer(simStart, &tt.offers[i])
			}
			if tt.then != nil {
				tt.then(&q, &tt.offers[len(tt.offers)-1])
			}
			assert.Assert(t, tt.offers[tt.rejected].Rejection() != nil)
			assert.Equal(t, tt.offers[tt.rejected].Rejection().Reason, tt.want)
		})
	}
}

func TestRequestsOfAPriorityStartInOrderOfStartBy(t *testing.T) {
	at := func(ms int) time.Time { return simStart.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name        string
		predictWait bool
		// offers wait for the slot; want lists their indexes in the order of service.
		offers []Request
		want   []int
	}{
		{name: "earliest StartBy first", predictWait: true, offers: []Request{{StartBy: at(800)}, {StartBy: at(100)}, {StartBy: at(300)}}, want: []int{1, 2, 0}},
		{name: "no StartBy last", predictWait: true, offers: []Request{{}, {StartBy: at(900)}}, want: []int{1, 0}},
		{name: "urgent requests first regardless of StartBy", predictWait: true, offers: []Request{{StartBy: at(100)}, {StartBy: at(900), Priority: mesh.High}}, want: []int{1, 0}},
		{name: "order of arrival without PredictWait", offers: []Request{{StartBy: at(800)}, {StartBy: at(100)}}, want: []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 1, FixedLimit: true, PredictWait: tt.predictWait})
			running := &Request{}
			q.Offer(simStart, running)
			for i := range tt.offers {
				q.Offer(simStart, &tt.offers[i])
			}
			for _, i := range tt.want {
				q.Done(simStart, running, Result{})
				running = &tt.offers[i]
				assert.Equal(t, running.State(), Running)
			}
		})
	}
}

func TestPredictedWaitUsesClassEstimates(t *testing.T) {
	tests := []struct {
		name  string
		class string
		want  State
	}{
		{name: "quick class would be in time", class: "quick", want: Waiting},
		{name: "long class would be late", class: "long", want: Rejected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 2, FixedLimit: true, PredictWait: true})
			completed := []struct {
				class string
				took  time.Duration
			}{{class: "quick", took: 10 * time.Millisecond}, {class: "long", took: time.Second}}
			now := simStart
			for range 8 {
				for _, c := range completed {
					r := &Request{Class: c.class}
					q.Offer(now, r)
					q.Done(now.Add(c.took), r, Result{})
				}
			}
			now = now.Add(time.Second)
			q.Offer(now, &Request{Class: "quick"})
			q.Offer(now, &Request{Class: "quick"})
			offered := &Request{Class: tt.class, Deadline: now.Add(800 * time.Millisecond)}
			q.Offer(now, offered)
			assert.Equal(t, offered.State(), tt.want)
		})
	}
}

func TestPredictedWaitCountsOfferedLoadOfUrgentRequests(t *testing.T) {
	const took = 100 * time.Millisecond
	tests := []struct {
		name string
		// interval is the time between two urgent requests, for four slots.
		interval time.Duration
		want     State
	}{
		{name: "half of the slots", interval: 50 * time.Millisecond, want: Running},
		{name: "nearly all slots", interval: 26 * time.Millisecond, want: Rejected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 4, FixedLimit: true, PredictWait: true})
			var running []*Request
			now := simStart
			for ; now.Before(simStart.Add(5 * time.Second)); now = now.Add(tt.interval) {
				for len(running) > 0 && !now.Before(running[0].started.Add(took)) {
					q.Done(running[0].started.Add(took), running[0], Result{})
					running = running[1:]
				}
				r := &Request{Priority: mesh.Urgent, Class: "urgent"}
				q.Offer(now, r)
				running = append(running, r)
			}
			// Make sure that all slots are busy; otherwise the request would get one at once.
			for q.Load(now).Running < 4 && tt.want == Rejected {
				q.Offer(now, &Request{Priority: mesh.Urgent, Class: "urgent"})
			}
			late := &Request{Priority: mesh.Low, Class: "urgent", StartBy: now.Add(2 * took)}
			q.Offer(now, late)
			assert.Equal(t, late.State(), tt.want)
		})
	}
}

func TestTypicalServiceTimeIsUsedWithoutSamples(t *testing.T) {
	tests := []struct {
		name    string
		typical time.Duration
		want    State
	}{
		{name: "unknown", want: Waiting},
		{name: "quick requests", typical: 10 * time.Millisecond, want: Waiting},
		{name: "requests that would start too late", typical: 300 * time.Millisecond, want: Rejected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 1, FixedLimit: true, PredictWait: true})
			startBy := simStart.Add(500 * time.Millisecond)
			q.Offer(simStart, &Request{Class: "c", TypicalServiceTime: tt.typical})
			q.Offer(simStart, &Request{Class: "c", TypicalServiceTime: tt.typical, StartBy: startBy})
			offered := &Request{Class: "c", TypicalServiceTime: tt.typical, StartBy: startBy}
			q.Offer(simStart, offered)
			assert.Equal(t, offered.State(), tt.want)
		})
	}
}

func TestTypicalServiceTimeTakesPrecedenceOverPriorityEstimate(t *testing.T) {
	tests := []struct {
		name    string
		typical time.Duration
		want    State
	}{
		{name: "quick at other upstreams", typical: 50 * time.Millisecond, want: Running},
		{name: "long at other upstreams", typical: 400 * time.Millisecond, want: Rejected},
		{name: "unknown, as long as its priority", want: Rejected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 2, FixedLimit: true, PredictWait: true})
			now := simStart
			for range 8 {
				r := &Request{Class: "long"}
				q.Offer(now, r)
				now = now.Add(400 * time.Millisecond)
				q.Done(now, r, Result{})
			}
			offered := &Request{Class: "other", TypicalServiceTime: tt.typical, Deadline: now.Add(200 * time.Millisecond)}
			q.Offer(now, offered)
			assert.Equal(t, offered.State(), tt.want)
		})
	}
}

func TestStalledUpstreamGetsNoRequestsThatWouldBeLate(t *testing.T) {
	const took = 100 * time.Millisecond
	tests := []struct {
		name string
		// finished requests took 100 ms each. The running requests have the given age
		// when another request is offered 500 ms before its deadline.
		finished, running int
		age               time.Duration
		want              State
	}{
		{name: "healthy upstream", finished: 40, running: 4, age: 60 * time.Millisecond, want: Running},
		{name: "too few running requests", finished: 40, running: 3, age: 5 * time.Second, want: Running},
		{name: "slightly slower", finished: 40, running: 4, age: 150 * time.Millisecond, want: Running},
		{name: "stalled", finished: 40, running: 4, age: 400 * time.Millisecond, want: Rejected},
		{name: "too few finished requests", finished: 3, running: 4, age: 400 * time.Millisecond, want: Running},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 6, FixedLimit: true, PredictWait: true})
			now := simStart
			for range tt.finished {
				r := &Request{Class: "c"}
				q.Offer(now, r)
				now = now.Add(took)
				q.Done(now, r, Result{})
			}
			running := make([]Request, tt.running)
			for i := range running {
				running[i] = Request{Class: "c"}
				q.Offer(now, &running[i])
			}
			now = now.Add(tt.age)
			offered := &Request{Class: "c", Deadline: now.Add(500 * time.Millisecond)}
			q.Offer(now, offered)
			assert.Equal(t, offered.State(), tt.want)
			for i := range running {
				q.Done(now, &running[i], Result{Failed: true})
			}
			again := &Request{Class: "c", Deadline: now.Add(500 * time.Millisecond)}
			q.Offer(now, again)
			assert.Equal(t, again.State(), Running, "an upstream without running requests gets a new one")
		})
	}
}

func TestRequestsNotRunDoNotChangeEstimates(t *testing.T) {
	var q Queue
	q.Configure(simStart, Config{Slots: 1})
	first := Request{}
	q.Offer(simStart, &first)
	q.Done(simStart.Add(time.Second), &first, Result{})
	before := q.serviceTime(simStart, mesh.Low)
	r := Request{}
	q.Offer(simStart, &r)
	q.Done(simStart.Add(time.Minute), &r, Result{NotRun: true, Shed: true})
	assert.Equal(t, q.serviceTime(simStart, mesh.Low), before)
	assert.Equal(t, q.Load(simStart).Running, 0)
}

func TestEstimate(t *testing.T) {
	var e estimate
	for range 10 {
		e.observe(simStart, 100*time.Millisecond, Result{}, 2)
	}
	e.observe(simStart, time.Millisecond, Result{Shed: true}, 2)
	e.observe(simStart, time.Millisecond, Result{Failed: true}, 2)
	tests := []struct {
		name        string
		after       time.Duration
		logSlowdown float64
		want        time.Duration
	}{
		{name: "early failures are ignored", logSlowdown: 2, want: 100 * time.Millisecond},
		{name: "half as long when the upstream is twice as fast for other priorities", logSlowdown: 1, want: 50 * time.Millisecond},
		{name: "no longer when the upstream is slower for other priorities", logSlowdown: 3, want: 100 * time.Millisecond},
		{name: "half as long after a while without samples", after: 400 * time.Millisecond, logSlowdown: 2, want: 50 * time.Millisecond},
		{name: "zero after a long time without samples", after: 600 * time.Millisecond, logSlowdown: 2, want: 0},
	}
	for _, tt := range tests {
		got := e.get(simStart.Add(tt.after), tt.logSlowdown)
		assert.Equal(t, got.Round(time.Microsecond), tt.want, tt.name)
	}
}
