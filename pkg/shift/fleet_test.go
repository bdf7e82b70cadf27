package shift_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// The figures of the simulated service.
const (
	proxyCount     = 87
	upstreamCount  = 46
	slotCount      = 18
	requestRate    = 1175
	serviceTime    = 350 * time.Millisecond
	serviceSpread  = 0.4
	slowFactor     = 8
	coldFactor     = 4
	coldTime       = 3 * time.Second
	ambientFailure = 0.01
	tickTime       = 10 * time.Millisecond
	linkDelay      = 40 * time.Millisecond
	storeDelay     = 40 * time.Millisecond
	requestTimeout = 3 * time.Second
	// nearlyFull is the number of busy slots at which faults under load begin.
	nearlyFull  = 14
	service     = mesh.Service("orders")
	faultyRoute = "r3"
	// lateTime is the time after which proxies count a request as late.
	lateTime = shift.LateFactor * serviceTime * 115 / 100
)

// routeWeights are the shares of the routes r0 to r4.
var routeWeights = []float64{0.5, 0.25, 0.15, 0.08, 0.02}

var routes = []string{"r0", "r1", "r2", "r3", "r4"}

// fault is a kind of bad version.
type fault struct {
	fails, slow bool
	after       time.Duration
	underLoad   bool
	oneRoute    bool
	// share is the fraction of the requests that the fault meets; zero means all.
	share float64
}

func (f fault) applies(up *upstream, now time.Time, route string) bool {
	return (f.fails || f.slow) && now.Sub(up.startedAt) >= f.after && (!f.underLoad || up.busy >= nearlyFull) && (!f.oneRoute || route == faultyRoute)
}

// upstream is one simulated upstream.
type upstream struct {
	id        string
	release   mesh.Release
	startedAt time.Time
	speed     float64
	busy      int
}

// proxy is one simulated proxy.
type proxy struct {
	agent  shift.Agent
	own    shift.Counts
	unsent shift.Counts
	cut    bool
}

// root is a simulated root with the state of its watch.
type root struct {
	director shift.Director
	seenAt   map[string]time.Time
	dead     bool
	writing  bool
	retryAt  time.Time
	lastView shift.View
	sentAt   time.Time
}

// simulation plays the requests of one service during an order.
type simulation struct {
	random    *rand.Rand
	start     time.Time
	now       time.Time
	scheduled map[time.Time][]func()
	proxies   []*proxy
	roots     []*root
	old       []*upstream
	new       []*upstream
	byID      map[string]*upstream
	duration  time.Duration
	fault     fault
	object    shift.Object
	deleted   bool
	storeDown bool
	// onWrite is called before a status takes effect in the store.
	onWrite func(s *simulation, r *root, next shift.Status)

	requests, exposed, badResponses int
	// cutExposed counts the requests of proxies that are cut off.
	cutRequests, cutExposed int
	fiftiethBadAt, lastSent time.Time
	finals                  []shift.Phase
	finalAt                 time.Duration
}

// newSimulation returns a simulation in which the new upstreams start over the given time.
func newSimulation(seed uint64, duration, startSpread time.Duration, f fault) *simulation {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7)), start: start, now: start, scheduled: make(map[time.Time][]func()), byID: make(map[string]*upstream), duration: duration, fault: f}
	for i := range upstreamCount {
		s.old = append(s.old, &upstream{id: fmt.Sprintf("old%d", i), release: "v1", startedAt: start.Add(-time.Hour), speed: s.speed()})
		s.new = append(s.new, &upstream{id: fmt.Sprintf("new%d", i), release: "v2", startedAt: start.Add(time.Duration(i) * startSpread / upstreamCount), speed: s.speed()})
	}
	for _, u := range s.new {
		s.byID[u.id] = u
	}
	s.restart()
	s.object = shift.Object{Order: shift.Order{Service: service, Target: "v2", Duration: duration}, Revision: 10}
	s.notify()
	return s
}

// speed returns the factor by which an upstream is slower than the fastest ones.
func (s *simulation) speed() float64 {
	return 0.7 + 0.9*s.random.Float64()
}

// restart replaces all processes by new ones that know nothing.
func (s *simulation) restart() {
	s.proxies, s.roots = nil, nil
	for range proxyCount {
		s.proxies = append(s.proxies, &proxy{own: make(shift.Counts), unsent: make(shift.Counts)})
	}
	for i := range 2 {
		s.roots = append(s.roots, &root{director: shift.Director{Host: mesh.HostID(fmt.Sprintf("root%d", i)), Rank: i}, seenAt: make(map[string]time.Time)})
	}
}

func (s *simulation) after(d time.Duration, f func()) {
	at := s.now.Add(max(d, tickTime)).Truncate(tickTime)
	s.scheduled[at] = append(s.scheduled[at], f)
}

// notify passes the object to the watches of the roots.
func (s *simulation) notify() {
	object, deleted := s.object, s.deleted
	for _, r := range s.roots {
		s.after(storeDelay+time.Duration(s.random.IntN(100))*time.Millisecond, func() { s.learn(r, object, deleted) })
	}
}

func (s *simulation) learn(r *root, object shift.Object, deleted bool) {
	switch {
	case s.storeDown || r.dead:
	case deleted:
		r.director.Withdraw()
	default:
		r.director.Learn(s.now, object)
	}
}

func (s *simulation) run(until time.Duration) {
	for s.now.Sub(s.start) < until {
		s.now = s.now.Add(tickTime)
		due := s.scheduled[s.now]
		delete(s.scheduled, s.now)
		for _, f := range due {
			f()
		}
		for range s.arrivals() {
			s.request()
		}
		elapsed := s.now.Sub(s.start)
		if elapsed%(250*time.Millisecond) == 0 {
			s.observe(elapsed%(500*time.Millisecond) == 0)
		}
		if elapsed%(50*time.Millisecond) == 0 {
			for _, r := range s.roots {
				s.direct(r)
			}
		}
	}
}

// arrivals returns the number of requests in one tick, which has a Poisson distribution.
func (s *simulation) arrivals() (n int) {
	limit := math.Exp(-requestRate * tickTime.Seconds())
	for product := s.random.Float64(); product > limit; product *= s.random.Float64() {
		n++
	}
	return n
}

func (s *simulation) request() {
	p := s.proxies[s.random.IntN(len(s.proxies))]
	route, random := "", s.random.Float64()
	for i, w := range routeWeights {
		route = routes[i]
		if random -= w; random < 0 {
			break
		}
	}
	if s.now.Sub(s.start) < s.duration {
		s.requests++
	}
	if p.cut {
		s.cutRequests++
	}
	trial := p.agent.Trial(service)
	if trial.Share > 0 && trial.Takes(s.now, route, s.random.Float64()) {
		u := s.byID[trial.Canaries[s.random.IntN(len(trial.Canaries))]]
		if s.send(p, u, route) {
			return
		}
	}
	view, _ := p.agent.View(service)
	all := s.old
	if view.Status.Phase == shift.Completed {
		all = s.new
	}
	u, other := all[s.random.IntN(len(all))], all[s.random.IntN(len(all))]
	if other.busy < u.busy {
		u = other
	}
	if view.Status.Target == "" || view.RoleOf(u.release) == shift.Serving {
		s.send(p, u, route)
	}
}

// send sends a request to an upstream. accepted is false if that is full.
func (s *simulation) send(p *proxy, u *upstream, route string) (accepted bool) {
	if u.busy >= slotCount {
		return false
	}
	isNew := u.release == "v2"
	if isNew {
		if s.now.Sub(s.start) < s.duration {
			s.exposed++
		}
		if p.cut {
			s.cutExposed++
		}
		s.lastSent = s.now
	}
	bad := isNew && s.fault.applies(u, s.now, route) && (s.fault.share == 0 || s.random.Float64() < s.fault.share)
	duration := float64(serviceTime) * u.speed * math.Exp(serviceSpread*s.random.NormFloat64())
	if s.now.Sub(u.startedAt) < coldTime {
		duration *= coldFactor
	}
	if bad && s.fault.slow {
		duration *= slowFactor
	}
	u.busy++
	key := shift.Key{Release: u.release, Route: route}
	if p.agent.Running() {
		p.own.RecordStart(key)
	}
	outcome := shift.Outcome{ServiceTime: min(time.Duration(duration), requestTimeout), Failed: s.random.Float64() < ambientFailure}
	if bad && s.fault.fails && s.random.Float64() < 0.5 {
		outcome.Failed = true
	}
	if late := lateTime; late < outcome.ServiceTime {
		s.after(late, func() { p.own.RecordLate(key) })
	}
	s.after(outcome.ServiceTime, func() { s.respond(p, key, outcome, bad && (s.fault.slow || outcome.Failed)) })
	s.after(time.Duration(duration), func() { u.busy-- })
	return true
}

func (s *simulation) respond(p *proxy, key shift.Key, outcome shift.Outcome, bad bool) {
	if p.agent.Running() {
		p.own.Record(key, outcome)
		p.own.RecordEnd(key, false)
	}
	if bad {
		s.badResponses++
		if s.badResponses == 50 {
			s.fiftiethBadAt = s.now
		}
	}
}

// observe passes the counts to the agents, and to the roots if send is set.
func (s *simulation) observe(send bool) {
	for _, p := range s.proxies {
		p.agent.Observe(s.now, service, p.own)
		p.unsent.Add(p.own)
		p.own = make(shift.Counts)
		if !send || p.cut {
			continue
		}
		counts := p.unsent
		p.unsent = make(shift.Counts)
		for _, r := range s.roots {
			s.after(linkDelay, func() { r.director.Observe(s.now, counts) })
		}
	}
}

// direct runs one step of a root.
func (s *simulation) direct(r *root) {
	if r.dead {
		return
	}
	if view := r.director.View(); view.Service != "" && (view.Status.Term != r.lastView.Status.Term || view.Halted != r.lastView.Halted || s.now.Sub(r.sentAt) >= time.Second) {
		r.lastView, r.sentAt = view, s.now
		s.after(linkDelay, func() {
			for _, p := range s.proxies {
				if !p.cut {
					p.agent.Learn(s.now, view)
				}
			}
		})
	}
	next, write := r.director.Next(s.now, s.upstreams(r))
	if !write || r.writing || s.now.Before(r.retryAt) {
		return
	}
	r.writing = true
	revision := r.director.Revision()
	if s.onWrite != nil {
		s.onWrite(s, r, next)
	}
	s.after(storeDelay, func() { s.write(r, next, revision) })
}

// write executes a conditional write of the status.
func (s *simulation) write(r *root, next shift.Status, revision uint64) {
	r.writing = false
	if r.dead {
		return
	}
	if s.storeDown {
		r.retryAt = s.now.Add(200 * time.Millisecond)
		return
	}
	if revision == s.object.Revision && !s.deleted {
		next.RouteShares = maps.Clone(next.RouteShares)
		s.object.Revision++
		s.object.Status = next
		if next.Phase.Final() {
			s.finals = append(s.finals, next.Phase)
			s.finalAt = s.now.Sub(s.start)
		}
		s.notify()
	}
	s.learn(r, s.object, s.deleted)
}

func (s *simulation) upstreams(r *root) (u shift.Upstreams) {
	u = shift.Upstreams{Slots: slotCount * upstreamCount, Count: upstreamCount, Releases: []mesh.Release{"v1"}}
	for _, n := range s.new {
		if n.startedAt.After(s.now) || n.release != r.director.View().Status.Target {
			continue
		}
		if _, known := r.seenAt[n.id]; !known {
			r.seenAt[n.id] = s.now
		}
		u.Targets = append(u.Targets, shift.Instance{ID: n.id, Slots: slotCount, SeenAt: r.seenAt[n.id]})
	}
	return u
}
