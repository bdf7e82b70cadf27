package tokens_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

const (
	simNodes = 87
	simTime  = 18 * time.Second
	// warmUp is the time after the start, when all buckets are empty, of which refusals are
	// not counted.
	warmUp    = 4 * time.Second
	failFrom  = 6 * time.Second
	failUntil = 11 * time.Second
	window    = 5 * time.Second
	overage   = 1.1
	slack     = 20.0
	// detectTime is the time until a node takes another one as unreachable that is silent:
	// until a session with calls is pinged, and the ping times out. The connections to a
	// process that was killed are reset.
	detectTime     = 900 * time.Millisecond
	resetTime      = 20 * time.Millisecond
	tickInterval   = 100 * time.Millisecond
	probeInterval  = 500 * time.Millisecond
	callTimeout    = 400 * time.Millisecond
	requestTimeout = 2 * time.Second
	// messageBytes and itemBytes are the sizes of a message and of an account in it.
	messageBytes, itemBytes = 120, 20
)

// simAccount is an account with its arrivals.
type simAccount struct {
	name  mesh.Account
	limit tokens.Limit
	// demand is the number of requests per second from a time on. They arrive in clumps.
	demand float64
	from   time.Duration
	// clump is the mean number of requests that arrive together.
	clump float64
	// arrivals and refused count the requests, and runs holds the times at which requests
	// were admitted to run.
	arrivals, refused int
	runs              []time.Duration
}

// simEvent is something that happens at a time.
type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// sim plays arrivals at the nodes of a mesh in two regions with two zones each.
type sim struct {
	random   *rand.Rand
	now      time.Duration
	events   eventHeap
	order    int
	accounts []*simAccount
	byName   map[mesh.Account]*simAccount
	nodes    []*simNode
	design   design
	fail     failure
	// crossMessages and crossBytes count what was sent between the regions, and calls the
	// calls for tokens.
	crossMessages, crossBytes, requests, calls int
}

// failure is what goes wrong from failFrom to failUntil.
type failure struct {
	name string
	// isolated reports whether nothing gets from one node to another.
	isolated func(from, to int) bool
	// stopped is the node that is killed or, if frozen is true, continues later; -1 for none.
	stopped int
	frozen  bool
	// secondRecords makes half of the nodes prefer the second root.
	secondRecords bool
	// lowered is the factor by which all limits are multiplied from failFrom on.
	lowered float64
}

// design is a way to limit the accounts.
type design struct {
	name string
	// request decides on a request at a node, and calls done once.
	request func(s *sim, n *simNode, a *simAccount, done func(admitted bool, wait time.Duration))
	// tick is called for each node every tickInterval.
	tick func(s *sim, n *simNode)
	// immune is true if hosts and links that fail make no difference. The store takes no part
	// in any design.
	immune bool
	// roots lists the preferred owners of the nodes of a region.
	roots func(region int) []int
}

// mixedAccounts returns accounts of very uneven size. Most use 62% of their rate. Some use
// six times theirs, of which two begin when their buckets are full, before the failure
// begins or ends.
func mixedAccounts() (accounts []*simAccount) {
	add := func(count int, rate, burst, demand float64, from time.Duration) {
		for range count {
			accounts = append(accounts, &simAccount{limit: tokens.Limit{Rate: rate, Burst: burst}, demand: demand, from: from, clump: 2.5})
		}
	}
	add(1, 510, 510, 510*0.62, 0)
	add(5, 60, 120, 60*0.62, 0)
	add(60, 6, 30, 6*0.62, 0)
	add(1, 100, 200, 600, 0)
	add(1, 100, 200, 600, failFrom-time.Second)
	add(1, 100, 200, 600, failUntil-time.Second)
	add(1, 6, 30, 36, 0)
	add(1, 60, 120, 60, 0)
	return accounts
}

func newSim(d design, f failure, seed uint64, accounts []*simAccount) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, seed)), design: d, fail: f, accounts: accounts, byName: make(map[mesh.Account]*simAccount)}
	for i, a := range accounts {
		a.name = mesh.Account(strconv.Itoa(i))
		s.byName[a.name] = a
		s.scheduleClump(a)
	}
	for i := range simNodes {
		s.nodes = append(s.nodes, newSimNode(s, i))
	}
	return s
}

// scheduleClump schedules the next clump of requests, which arrive at any nodes within
// 50 ms.
func (s *sim) scheduleClump(a *simAccount) {
	s.after(max(0, a.from-s.now)+time.Duration(s.random.ExpFloat64()*a.clump/a.demand*float64(time.Second)), func() {
		size := 1
		for s.random.Float64() > 1/a.clump {
			size++
		}
		for range size {
			n := s.nodes[s.random.IntN(simNodes)]
			s.after(time.Duration(s.random.Int64N(int64(50*time.Millisecond))), func() { s.arrive(n, a) })
		}
		s.scheduleClump(a)
	})
}

func (s *sim) arrive(n *simNode, a *simAccount) {
	s.requests++
	if s.isStopped(n.number) {
		if s.fail.frozen {
			s.after(failUntil-s.now, func() { s.arrive(n, a) })
		}
		return
	}
	counted := s.now >= warmUp
	if counted {
		a.arrivals++
	}
	s.design.request(s, n, a, func(admitted bool, wait time.Duration) {
		if !admitted {
			if counted {
				a.refused++
			}
			return
		}
		a.runs = append(a.runs, s.now+wait)
	})
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{s.now + d, s.order, run})
}

func (s *sim) run() {
	for _, n := range s.nodes {
		s.tickNode(n)
	}
	for len(s.events) > 0 && s.events[0].at < simTime {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.run()
	}
}

func (s *sim) tickNode(n *simNode) {
	if !s.isStopped(n.number) && s.design.tick != nil {
		s.design.tick(s, n)
	}
	s.after(tickInterval, func() { s.tickNode(n) })
}

func (s *sim) time() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

func (s *sim) failing() bool { return s.now >= failFrom && s.now < failUntil }

func (s *sim) isStopped(node int) bool {
	return node == s.fail.stopped && (s.failing() || !s.fail.frozen && s.now >= failFrom)
}

// isIsolated reports whether messages are lost between two nodes.
func (s *sim) isIsolated(from, to int) bool {
	return s.failing() && s.fail.isolated != nil && s.fail.isolated(from, to) || s.isStopped(from) || s.isStopped(to)
}

// send delivers a message after its time on the way. A frozen node finds it later.
func (s *sim) send(from, to, items int, deliver func()) {
	delay := 500 * time.Microsecond
	if regionOf(from) != regionOf(to) {
		delay = 30 * time.Millisecond
		s.crossMessages++
		s.crossBytes += messageBytes + items*itemBytes
	}
	if s.isIsolated(from, to) {
		if s.fail.frozen && s.isStopped(to) {
			s.after(failUntil-s.now, deliver)
		}
		return
	}
	s.after(delay, deliver)
}

func regionOf(node int) int { return node % 4 / 2 }

// limitAt returns the limit in force.
func (s *sim) limitAt(a *simAccount) tokens.Limit {
	if s.fail.lowered > 0 && s.now >= failFrom {
		return tokens.Limit{Rate: a.limit.Rate * s.fail.lowered, Burst: a.limit.Burst * s.fail.lowered}
	}
	return a.limit
}

// overrun returns the largest number of requests in any window, relative to the limit
// with its tolerance. Windows that overlap the second after the limit was lowered are left
// out.
func (s *sim) overrun() (highest float64) {
	for _, a := range s.accounts {
		slices.Sort(a.runs)
		first := 0
		for i, at := range a.runs {
			for at-a.runs[first] > window {
				first++
			}
			limit, start := a.limit, a.runs[first]
			if s.fail.lowered > 0 {
				if start >= failFrom+time.Second {
					limit = tokens.Limit{Rate: a.limit.Rate * s.fail.lowered, Burst: a.limit.Burst * s.fail.lowered}
				} else if at > failFrom {
					continue
				}
			}
			bound := (limit.Rate*window.Seconds()+limit.Burst)*overage + slack
			highest = max(highest, float64(i-first+1)/bound)
		}
	}
	return highest
}

// refusedBelow returns the part of the requests of accounts below their limits that was
// refused, in percent.
func (s *sim) refusedBelow() float64 {
	arrivals, refused := 0, 0
	for _, a := range s.accounts {
		if a.demand < a.limit.Rate*0.9 {
			arrivals += a.arrivals
			refused += a.refused
		}
	}
	return 100 * float64(refused) / float64(arrivals)
}

// used returns the part of its limit, in percent, that the first account with six times its
// rate got.
func (s *sim) used() float64 {
	i := slices.IndexFunc(s.accounts, func(a *simAccount) bool { return a.demand > 5*a.limit.Rate && a.from == 0 })
	a := s.accounts[i]
	return 100 * float64(len(a.runs)) / (a.limit.Rate*simTime.Seconds() + a.limit.Burst)
}
