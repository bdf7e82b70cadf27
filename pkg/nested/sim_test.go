package nested_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/nested"
)

const (
	hostsPerService = 4
	slotsPerHost    = 18
	simLength       = time.Minute
	// warmUp is the time that is not counted.
	warmUp = 10 * time.Second
	// fullEvery and fullFor say how often and how long the called service has twice its
	// usual load.
	fullEvery, fullFor = 20 * time.Second, 5 * time.Second
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// route describes requests of one route.
type route struct {
	name                 string
	service              time.Duration
	target, timeout      time.Duration
	value                float64
	perSecond            float64
	nestedShare          float64
	priority, ofAccounts mesh.Priority
}

// worth counts what the requests of one class earned.
type worth struct{ offered, earned float64 }

func (w worth) share() float64 { return w.earned / max(w.offered, 1e-9) }

// policy returns the priority of a nested call at its host. ruled is the priority of its
// rule, and actual that of the request it is made for.
type policy func(now time.Time, h *simHost, ruled, actual mesh.Priority) mesh.Priority

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simHost struct {
	queue   gate.Queue
	tracker nested.Tracker
	learner learner
	decided map[*gate.Request]func(granted bool)
	// wakeup is when the queue is next asked for expired requests; zero if never.
	wakeup time.Time
}

type sim struct {
	events events
	at     time.Duration
	random *rand.Rand
	policy policy
	// ruled is the priority that the rule of the nested calls gives them.
	ruled   mesh.Priority
	calling []*simHost
	called  []*simHost
	// accounts is the share of requests of the most urgent accounts; zero if the
	// version has no accounts.
	accounts float64
	result   map[string]*worth
}

func (s *sim) now() time.Time { return simStart.Add(s.at) }

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.events, event{s.at + d, run}) }

func newHosts() (hosts []*simHost) {
	for range hostsPerService {
		h := &simHost{decided: map[*gate.Request]func(bool){}, learner: learner{}}
		h.queue.Configure(simStart, gate.Config{Slots: slotsPerHost, FixedLimit: true, PredictWait: true, Floors: [mesh.NumPriorities]int{5, 10, 15}})
		hosts = append(hosts, h)
	}
	return hosts
}

// offer asks a host for a slot.
func (s *sim) offer(h *simHost, r *gate.Request, decided func(granted bool)) {
	h.decided[r] = decided
	s.handle(h, h.queue.Offer(s.now(), r))
}

func (s *sim) handle(h *simHost, changed []*gate.Request) {
	for _, r := range append([]*gate.Request(nil), changed...) {
		decided := h.decided[r]
		delete(h.decided, r)
		s.after(0, func() { decided(r.State() == gate.Running) })
	}
	next := h.queue.NextWakeup(s.now())
	if next.IsZero() || !h.wakeup.IsZero() && !next.Before(h.wakeup) {
		return
	}
	h.wakeup = next
	s.after(max(next.Sub(s.now()), time.Millisecond), func() {
		h.wakeup = time.Time{}
		s.handle(h, h.queue.Expire(s.now()))
	})
}

func (s *sim) request(rt *route, p mesh.Priority, within time.Duration) *gate.Request {
	return &gate.Request{Priority: p, Class: rt.name, TypicalServiceTime: rt.service, Deadline: s.now().Add(rt.timeout), StartBy: s.now().Add(within)}
}

// arrive starts a request of a caller at a host of the service and schedules the next.
func (s *sim) arrive(rt, nestedRoute *route, hosts []*simHost) {
	rate := rt.perSecond
	if nestedRoute == nil && s.at%fullEvery < fullFor {
		rate *= 2
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(rt, nestedRoute, hosts) })
	priority, class := rt.priority, rt.name
	if s.random.Float64() < s.accounts {
		priority, class = rt.ofAccounts, rt.name+" urgent"
	}
	arrived, counted := s.at, s.at >= warmUp && s.at < simLength-rt.timeout
	w := s.result[class]
	if w == nil {
		w = &worth{}
		s.result[class] = w
	}
	if counted {
		w.offered += rt.value
	}
	h := s.leastLoaded(hosts)
	r := s.request(rt, priority, gate.StartWithin(rt.target, rt.timeout, rt.service))
	s.offer(h, r, func(granted bool) {
		if !granted {
			return
		}
		end, endLearned := h.tracker.Begin(priority), h.learner.begin(s.now(), kind{rt.name, priority})
		finish := func(ok bool) {
			end()
			endLearned(s.now())
			s.handle(h, h.queue.Done(s.now(), r, gate.Result{Failed: !ok}))
			if ok && counted && s.at-arrived <= rt.target {
				w.earned += rt.value
			}
		}
		calls := 0
		if s.random.Float64() < rt.nestedShare {
			calls = 2
		}
		s.stage(rt, nestedRoute, h, priority, calls, s.serviceTime(rt)/time.Duration(calls+1), finish)
	})
}

// stage runs a part of a request, then the next of its nested calls.
func (s *sim) stage(rt, nestedRoute *route, h *simHost, actual mesh.Priority, calls int, part time.Duration, finish func(ok bool)) {
	s.after(part, func() {
		if calls == 0 {
			finish(true)
			return
		}
		deadline := s.at + nestedRoute.timeout
		s.callNested(nestedRoute, s.policy(s.now(), h, s.ruled, actual), 2, deadline, func(ok bool) {
			if !ok {
				finish(false)
				return
			}
			s.stage(rt, nestedRoute, h, actual, calls-1, part, finish)
		})
	})
}

// callNested sends a nested call to the called service, and once more if it is refused.
func (s *sim) callNested(rt *route, p mesh.Priority, attempts int, deadline time.Duration, finish func(ok bool)) {
	h := s.leastLoaded(s.called)
	r := s.request(rt, p, max(deadline-s.at-3*rt.service, time.Microsecond))
	r.Deadline = simStart.Add(deadline)
	s.offer(h, r, func(granted bool) {
		switch {
		case !granted && attempts > 1 && s.at < deadline:
			s.callNested(rt, p, attempts-1, deadline, finish)
		case !granted:
			finish(false)
		default:
			s.after(s.serviceTime(rt), func() {
				s.handle(h, h.queue.Done(s.now(), r, gate.Result{}))
				finish(s.at <= deadline)
			})
		}
	})
}

// leastLoaded returns the better of two random hosts.
func (s *sim) leastLoaded(hosts []*simHost) *simHost {
	a, b := hosts[s.random.IntN(len(hosts))], hosts[s.random.IntN(len(hosts))]
	if a.queue.Load(s.now()).Percent() <= b.queue.Load(s.now()).Percent() {
		return a
	}
	return b
}

func (s *sim) serviceTime(rt *route) time.Duration {
	return time.Duration(float64(rt.service) * (0.5 + 0.5*s.random.ExpFloat64()))
}

func (s *sim) run() {
	for len(s.events) > 0 && s.events[0].at < simLength {
		e := heap.Pop(&s.events).(event)
		s.at = e.at
		e.run()
	}
}
