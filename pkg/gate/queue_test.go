package gate

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// naive is a queue as one would first write it: one flat list, everything
// counted anew each time. It takes the limit and the estimates from the queue
// under test.
type naive struct {
	tested  *Queue
	waiting []*naiveWork
	// occupied is when each priority last had no waiting work.
	occupied [mesh.NumPriorities]time.Time
	credit   [mesh.NumPriorities]int
	running  int
	outcomes map[int]State
}

type naiveWork struct {
	id       int
	priority mesh.Priority
	deadline time.Time
}

func (n *naive) of(p mesh.Priority) (works []*naiveWork) {
	for _, w := range n.waiting {
		if w.priority == p {
			works = append(works, w)
		}
	}
	return works
}

func (n *naive) remove(w *naiveWork) {
	n.waiting = slices.DeleteFunc(n.waiting, func(x *naiveWork) bool { return x == w })
}

func (n *naive) late(now time.Time, w *naiveWork) bool {
	left := w.deadline.Sub(now)
	return left <= 0 || left < n.tested.serviceTime(now, w.priority)
}

func (n *naive) newest(now time.Time, p mesh.Priority) bool {
	return now.After(n.occupied[p].Add(standingAfter))
}

func (n *naive) reserved(p mesh.Priority) int {
	return n.tested.config.QueueLimit * n.tested.config.Floors[p] / 100
}

func (n *naive) expire(now time.Time) {
	for _, w := range slices.Clone(n.waiting) {
		if n.late(now, w) {
			n.remove(w)
			n.outcomes[w.id] = Rejected
		}
	}
}

func (n *naive) full(p mesh.Priority, limit int) bool {
	places := n.tested.config.QueueLimit
	for _, o := range mesh.Priorities() {
		if o != p {
			places -= max(len(n.of(o)), n.reserved(o))
		}
	}
	return len(n.of(p)) >= places && (len(n.waiting) > 0 || n.running >= limit)
}

func (n *naive) offer(now time.Time, w *naiveWork, limit int) {
	n.outcomes[w.id] = Rejected
	if n.late(now, w) {
		return
	}
	if n.full(w.priority, limit) {
		n.expire(now)
	}
	if n.full(w.priority, limit) {
		victim := n.victim(now, w.priority)
		if victim == nil {
			return
		}
		n.remove(victim)
		n.outcomes[victim.id] = Rejected
	}
	if len(n.of(w.priority)) == 0 {
		n.occupied[w.priority] = now
	}
	n.waiting = append(n.waiting, w)
	n.outcomes[w.id] = Waiting
	n.dispatch(now, limit)
}

func (n *naive) victim(now time.Time, arriving mesh.Priority) *naiveWork {
	for p := mesh.Low; p < arriving; p++ {
		works := n.of(p)
		if len(works) <= n.reserved(p) {
			continue
		}
		if n.newest(now, p) {
			return works[0]
		}
		return works[len(works)-1]
	}
	if own := n.of(arriving); len(own) > 0 && n.newest(now, arriving) {
		return own[0]
	}
	return nil
}

func (n *naive) dispatch(now time.Time, limit int) {
	for n.running < limit && len(n.waiting) > 0 {
		order := mesh.Priorities()
		slices.SortStableFunc(order[:], func(a, b mesh.Priority) int {
			return max(n.credit[b], grantCost-1) - max(n.credit[a], grantCost-1)
		})
		var works []*naiveWork
		for _, p := range order {
			if works = n.of(p); len(works) > 0 {
				break
			}
		}
		w := works[0]
		if n.newest(now, w.priority) {
			w = works[len(works)-1]
		}
		n.grant(now, w)
	}
}

func (n *naive) grant(now time.Time, w *naiveWork) {
	n.remove(w)
	n.outcomes[w.id] = Rejected
	if n.late(now, w) {
		return
	}
	n.outcomes[w.id] = Running
	n.running++
	for _, p := range mesh.Priorities() {
		if p == w.priority || len(n.of(p)) > 0 {
			n.credit[p] = min(n.credit[p]+n.tested.config.Floors[p], maxCredit)
		}
	}
	n.credit[w.priority] = max(n.credit[w.priority]-grantCost, 0)
}

func TestQueueAgreesWithNaiveQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			q     Queue
			n     = naive{tested: &q, outcomes: map[int]State{}}
			now   = simStart
			works []*Request
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
				w := &Request{
					Priority: mesh.Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "deadline")) * time.Millisecond),
				}
				works = append(works, w)
				n.offer(now, &naiveWork{id: len(works) - 1, priority: w.Priority, deadline: w.Deadline}, q.limit.current(now))
				q.Offer(now, w)
			case 3, 4:
				finish(t, &q, &n, now, works)
			case 5:
				n.expire(now)
				n.dispatch(now, q.limit.current(now))
				q.Expire(now)
			}
			compare(t, &q, &n, now, works)
		}
	})
}

// finish ends the longest running work in both queues.
func finish(t *rapid.T, q *Queue, n *naive, now time.Time, works []*Request) {
	i := slices.IndexFunc(works, func(w *Request) bool { return w.State() == Running })
	if i < 0 {
		return
	}
	q.Done(now, works[i], Result{Shed: rapid.IntRange(0, 9).Draw(t, "shed") == 0})
	n.outcomes[i] = Finished
	n.running--
	n.dispatch(now, q.limit.current(now))
}

func compare(t *rapid.T, q *Queue, n *naive, now time.Time, works []*Request) {
	for i, w := range works {
		if w.State() != n.outcomes[i] {
			t.Fatalf("work %d is in state %d, want %d", i, w.State(), n.outcomes[i])
		}
	}
	load := q.Load(now)
	if load.Waiting != len(n.waiting) || load.Running != n.running {
		t.Fatalf("load %+v, want %d waiting and %d running", load, len(n.waiting), n.running)
	}
	if load.Waiting > q.config.QueueLimit || load.Running > load.Slots || load.Limit < 1 || load.Limit > load.Slots {
		t.Fatalf("load %+v is out of bounds of %+v", load, q.config)
	}
}

func TestRefusalReasons(t *testing.T) {
	soon, later := simStart.Add(time.Millisecond), simStart.Add(time.Hour)
	one, floored := Config{Slots: 1, QueueLimit: 1}, Config{Slots: 1, QueueLimit: 2, Floors: [mesh.NumPriorities]int{mesh.Low: 50}}
	tests := []struct {
		name   string
		config Config
		// offers come in turn; the first one takes the slot.
		offers []Request
		then   func(q *Queue, last *Request)
		// judged is the index of the offer that is refused.
		judged int
		want   Reason
	}{
		{name: "no place left", config: one, offers: []Request{{}, {}, {}}, judged: 2, want: Full},
		{name: "deadline passed", config: one, offers: []Request{{Deadline: simStart}}, want: Late},
		{
			name: "deadline passes in the queue", config: one, offers: []Request{{}, {Deadline: soon}}, judged: 1, want: Late,
			then: func(q *Queue, _ *Request) { q.Expire(soon) },
		},
		{
			name: "more urgent arrival", config: one, offers: []Request{{}, {Deadline: later}, {Priority: mesh.Urgent}},
			judged: 1, want: Displaced,
		},
		{
			name: "more urgent arrival spares the place of a floor", config: floored,
			offers: []Request{{}, {}, {Priority: mesh.High}, {Priority: mesh.Urgent}}, judged: 2, want: Displaced,
		},
		{
			name: "draining", config: one, offers: []Request{{}, {}}, judged: 1, want: Draining,
			then: func(q *Queue, last *Request) {
				q.Drain()
				*last = Request{}
				q.Offer(simStart, last)
			},
		},
		{
			name: "cancelled", config: one, offers: []Request{{}, {}}, judged: 1, want: Cancelled,
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
			assert.Assert(t, tt.offers[tt.judged].Rejection() != nil)
			assert.Equal(t, tt.offers[tt.judged].Rejection().Reason, tt.want)
		})
	}
}

func TestWorkOfAPriorityStartsInTheOrderInWhichItMust(t *testing.T) {
	at := func(ms int) time.Time { return simStart.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name      string
		foresight bool
		// offers wait for the slot; want lists them in the order in which they get it.
		offers []Request
		want   []int
	}{
		{name: "soonest first", foresight: true, offers: []Request{{StartBy: at(800)}, {StartBy: at(100)}, {StartBy: at(300)}}, want: []int{1, 2, 0}},
		{name: "without a bound last", foresight: true, offers: []Request{{}, {StartBy: at(900)}}, want: []int{1, 0}},
		{name: "urgent work first all the same", foresight: true, offers: []Request{{StartBy: at(100)}, {StartBy: at(900), Priority: mesh.High}}, want: []int{1, 0}},
		{name: "in the order of arrival without foresight", offers: []Request{{StartBy: at(800)}, {StartBy: at(100)}}, want: []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 1, FixedLimit: true, PredictWait: tt.foresight})
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

func TestServiceTimesOfClassesDecideWhatIsHopeless(t *testing.T) {
	tests := []struct {
		name  string
		class string
		want  State
	}{
		{name: "quick work fits", class: "quick", want: Waiting},
		{name: "long work does not", class: "long", want: Rejected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 2, FixedLimit: true, PredictWait: true})
			learned := []struct {
				class string
				took  time.Duration
			}{{class: "quick", took: 10 * time.Millisecond}, {class: "long", took: time.Second}}
			now := simStart
			for range 8 {
				for _, l := range learned {
					w := &Request{Class: l.class}
					q.Offer(now, w)
					q.Done(now.Add(l.took), w, Result{})
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

func TestLessUrgentWorkIsRefusedAtOnceWhileUrgentWorkFillsTheSlots(t *testing.T) {
	const took = 100 * time.Millisecond
	tests := []struct {
		name string
		// every is the time between two offers of urgent work, for four slots.
		every time.Duration
		want  State
	}{
		{name: "half of the slots", every: 50 * time.Millisecond, want: Running},
		{name: "nearly all slots", every: 26 * time.Millisecond, want: Rejected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 4, FixedLimit: true, PredictWait: true})
			var running []*Request
			now := simStart
			for ; now.Before(simStart.Add(5 * time.Second)); now = now.Add(tt.every) {
				for len(running) > 0 && !now.Before(running[0].started.Add(took)) {
					q.Done(running[0].started.Add(took), running[0], Result{})
					running = running[1:]
				}
				w := &Request{Priority: mesh.Urgent, Class: "urgent"}
				q.Offer(now, w)
				running = append(running, w)
			}
			// All slots are busy now, or the work gets one at once.
			for q.Load(now).Running < 4 && tt.want == Rejected {
				q.Offer(now, &Request{Priority: mesh.Urgent, Class: "urgent"})
			}
			late := &Request{Priority: mesh.Low, Class: "urgent", StartBy: now.Add(2 * took)}
			q.Offer(now, late)
			assert.Equal(t, late.State(), tt.want)
		})
	}
}

func TestGateWithoutASampleTrustsWhatOthersKnow(t *testing.T) {
	tests := []struct {
		name    string
		typical time.Duration
		want    State
	}{
		{name: "nothing known", want: Waiting},
		{name: "quick work", typical: 10 * time.Millisecond, want: Waiting},
		{name: "work that the queue leaves no time", typical: 300 * time.Millisecond, want: Rejected},
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

func TestWorkWithoutASampleIsNotTakenForTheLongWorkOfItsPriority(t *testing.T) {
	tests := []struct {
		name    string
		typical time.Duration
		want    State
	}{
		{name: "others know that it is quick", typical: 50 * time.Millisecond, want: Running},
		{name: "others know that it is long", typical: 400 * time.Millisecond, want: Rejected},
		{name: "nothing is known of it", want: Rejected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 2, FixedLimit: true, PredictWait: true})
			now := simStart
			for range 8 {
				w := &Request{Class: "long"}
				q.Offer(now, w)
				now = now.Add(400 * time.Millisecond)
				q.Done(now, w, Result{})
			}
			offered := &Request{Class: "other", TypicalServiceTime: tt.typical, Deadline: now.Add(200 * time.Millisecond)}
			q.Offer(now, offered)
			assert.Equal(t, offered.State(), tt.want)
		})
	}
}

func TestUpstreamThatHangsGetsNoWorkThatItWouldNotFinish(t *testing.T) {
	const took = 100 * time.Millisecond
	tests := []struct {
		name string
		// ended works took 100 ms each; running ones have run that long when one more
		// is offered with 500 ms left.
		ended, running int
		age            time.Duration
		want           State
	}{
		{name: "a well upstream", ended: 40, running: 4, age: 60 * time.Millisecond, want: Running},
		{name: "a few long works", ended: 40, running: 3, age: 5 * time.Second, want: Running},
		{name: "somewhat slower", ended: 40, running: 4, age: 150 * time.Millisecond, want: Running},
		{name: "hung", ended: 40, running: 4, age: 400 * time.Millisecond, want: Rejected},
		{name: "just started, after the first short works", ended: 3, running: 4, age: 400 * time.Millisecond, want: Running},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			q.Configure(simStart, Config{Slots: 6, FixedLimit: true, PredictWait: true})
			now := simStart
			for range tt.ended {
				w := &Request{Class: "c"}
				q.Offer(now, w)
				now = now.Add(took)
				q.Done(now, w, Result{})
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
			assert.Equal(t, again.State(), Running, "an upstream without work is tried again")
		})
	}
}

func TestNothingIsLearnedFromWorkNotRun(t *testing.T) {
	var q Queue
	q.Configure(simStart, Config{Slots: 1})
	first := Request{}
	q.Offer(simStart, &first)
	q.Done(simStart.Add(time.Second), &first, Result{})
	before := q.serviceTime(simStart, mesh.Low)
	w := Request{}
	q.Offer(simStart, &w)
	q.Done(simStart.Add(time.Minute), &w, Result{NotRun: true, Shed: true})
	assert.Equal(t, q.serviceTime(simStart, mesh.Low), before)
	assert.Equal(t, q.Load(simStart).Running, 0)
}

func TestEstimate(t *testing.T) {
	var e estimate
	for range 10 {
		e.learn(simStart, 100*time.Millisecond, Result{}, 2)
	}
	e.learn(simStart, time.Millisecond, Result{Shed: true}, 2)
	e.learn(simStart, time.Millisecond, Result{Failed: true}, 2)
	tests := []struct {
		name  string
		after time.Duration
		pace  float64
		want  time.Duration
	}{
		{name: "the service time, whatever failed early", pace: 2, want: 100 * time.Millisecond},
		{name: "half as long when others find the upstream twice as fast", pace: 1, want: 50 * time.Millisecond},
		{name: "no longer when others find it slower", pace: 3, want: 100 * time.Millisecond},
		{name: "half as long when it has not been proved for long", after: 400 * time.Millisecond, pace: 2, want: 50 * time.Millisecond},
		{name: "nothing in the end", after: 600 * time.Millisecond, pace: 2, want: 0},
	}
	for _, tt := range tests {
		got := e.get(simStart.Add(tt.after), tt.pace)
		assert.Equal(t, got.Round(time.Microsecond), tt.want, tt.name)
	}
}
