package gate

import (
	"math"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// minCost is the cost of a request whose service time is unknown.
	minCost = time.Millisecond
	// maxFlows bounds the memory. It exceeds the number of accounts that have requests at
	// one upstream at the same time.
	maxFlows = 1024
	// burstTime and burstRequests are how much of the usual load of an account that did
	// not wait, or how many of its requests, may go before the fair order. Accounts send
	// several requests at once now and then; those of a small account would wait for
	// seconds until the order reaches the second.
	burstTime     = 2 * time.Second
	burstRequests = 4
)

// flow holds the waiting requests of one account in one subqueue. The anonymous requests
// of a subqueue form one flow as well.
type flow struct {
	usage usage
	// weight is the share of the account relative to that of others; see flows.learn.
	weight float64
	// configured is the Weight of the account's latest request, and learned the weight by
	// the usual load.
	configured, learned float64
	// waiting is the number of waiting requests.
	waiting int
	// start is the start tag of the next request: the service that the account got, in
	// seconds per unit of weight, but not below the virtual time at which it last began
	// to wait.
	start float64

	// round is the number of the last pass over the subqueue that visited the flow.
	// first and ahead are valid during that pass.
	round uint64
	// first is the index of the request to serve next.
	first int
	// ahead is the service per unit of weight of the requests visited so far.
	ahead float64
}

// flows shares the service of one subqueue between accounts by start-time fair queueing:
// a request of the flow with the lowest start tag goes next, and moves the tag by its
// expected service time over the weight. A flow that did not wait starts at most
// the allowed burst before the virtual time, and is not charged for uncontended use. The weight is
// what the account usually offers, so that a flood changes nothing for the others. The
// order within a flow stays that of the subqueue.
// The zero flows has only anonymous requests.
type flows struct {
	anonymous flow
	byAccount map[mesh.Account]*flow
	// epoch is the time from which the orders of requests count; zero before the first.
	epoch      time.Time
	virtual    float64
	round      uint64
	candidates []*flow
	// waiting is the number of accounts with waiting requests, and weights the sum of
	// their weights. Anonymous requests do not count.
	waiting int
	weights float64
	// leastUsual and leastWeight are the usual load and the weight of an account that is
	// new or offers little.
	leastUsual, leastWeight float64
	// learnedAt is when the weights were last updated, zero before the first request of
	// an account, and learnedFor the time that they were learned for.
	learnedAt  time.Time
	learnedFor time.Duration
}

// of returns the flow of a request and creates it if needed.
func (fs *flows) of(r *Request) (f *flow) {
	if r.Account == "" {
		return &fs.anonymous
	}
	if f = fs.byAccount[r.Account]; f == nil {
		if len(fs.byAccount) >= maxFlows {
			fs.forgetIdle()
		}
		if fs.byAccount == nil {
			fs.byAccount = make(map[mesh.Account]*flow)
		}
		f = &flow{learned: fs.leastWeight, configured: r.Weight}
		if f.learned == 0 {
			f.learned = 1
		}
		fs.byAccount[r.Account] = f
		fs.setWeights()
	}
	f.configured = r.Weight
	return f
}

// forgetIdle removes the flows without waiting requests.
func (fs *flows) forgetIdle() {
	for account, f := range fs.byAccount {
		if f.waiting == 0 {
			delete(fs.byAccount, account)
		}
	}
}

// shared reports whether the requests of several flows wait.
func (fs *flows) shared() bool {
	return fs.waiting > 1 || fs.waiting == 1 && fs.anonymous.waiting > 0
}

// sharedWith reports whether requests of other flows than that of the request wait.
func (fs *flows) sharedWith(r *Request) bool {
	return fs.shared() || fs.waiting == 1 && fs.of(r).waiting == 0 || fs.anonymous.waiting > 0 && r.Account != ""
}

// weightOf returns the weight of a flow. Anonymous requests together weigh at least as
// much as all accounts that wait: they may be nested calls of any of them.
func (fs *flows) weightOf(f *flow) float64 {
	switch {
	case f != &fs.anonymous:
		return f.weight
	case f.weight > 0 || fs.weights > 0:
		return max(f.weight, fs.weights)
	}
	return 1
}

// startOf returns the start tag of the first waiting request of the flow, or of one that
// arrives now and costs that much.
func (fs *flows) startOf(f *flow, cost time.Duration) float64 {
	if f.waiting == 0 {
		burst := max(burstTime.Seconds()*f.usage.usual, burstRequests*cost.Seconds())
		return max(f.start, fs.virtual-burst/fs.weightOf(f))
	}
	return f.start
}

// setOrder sets the order of an arriving request.
func (fs *flows) setOrder(now time.Time, r *Request) {
	if fs.epoch.IsZero() {
		fs.epoch = now
	}
	r.order = math.MaxInt64
	if !r.StartBy.IsZero() {
		r.order = r.StartBy.Sub(fs.epoch)
	}
}

// goesAfter is startsAfter for requests whose order is set.
func (r *Request) goesAfter(other *Request) bool {
	if r.Overdue != other.Overdue {
		return r.Overdue
	}
	return r.order > other.order
}

func (fs *flows) add(r *Request) {
	f := fs.of(r)
	f.start = fs.startOf(f, r.cost)
	if f.waiting == 0 && f != &fs.anonymous {
		fs.waiting++
		fs.weights += f.weight
	}
	f.waiting++
	r.flow = f
}

func (fs *flows) remove(r *Request) {
	f := r.flow
	f.waiting--
	if f.waiting > 0 || f == &fs.anonymous {
		return
	}
	fs.waiting--
	fs.weights -= f.weight
	if fs.waiting == 0 {
		fs.weights = 0
	}
}

// charge accounts for a slot granted to a request that was removed already. Anonymous
// requests are charged only while accounts wait, since their weight derives from these.
func (fs *flows) charge(r *Request) {
	f := r.flow
	fs.virtual = max(fs.virtual, f.start)
	if f != &fs.anonymous || fs.waiting > 0 {
		f.start += r.cost.Seconds() / fs.weightOf(f)
	}
}

// firstShared returns the index of the request to serve next if several flows wait. Of
// the flows whose next request would start before that of any other flow would end, the
// request that must start first goes. An overdue request yields to those of other
// accounts only while they are within their share, so that a flood does not starve it.
func (s *subqueue) firstShared(now time.Time, byStartBy bool) (first int) {
	fs := &s.flows
	s.collect(now, byStartBy)
	end := math.Inf(1)
	for _, f := range fs.candidates {
		end = min(end, f.start+s.requests[f.first].cost.Seconds()/fs.weightOf(f))
	}
	var best *flow
	for _, f := range fs.candidates {
		switch {
		case f.start >= end:
		case best == nil, byStartBy && s.requests[best.first].goesAfter(s.requests[f.first]), !byStartBy && f.start < best.start:
			best = f
		}
	}
	return best.first
}

// collect sets the candidates to the flows with waiting requests and first to the index
// of the request that each would serve next.
func (s *subqueue) collect(now time.Time, byStartBy bool) {
	fs := &s.flows
	fs.round++
	fs.candidates = fs.candidates[:0]
	newestFirst := !byStartBy && s.newestFirst(now)
	for i, r := range s.requests {
		f := r.flow
		switch {
		case f.round != fs.round:
			f.round, f.first = fs.round, i
			fs.candidates = append(fs.candidates, f)
		case newestFirst, byStartBy && s.requests[f.first].goesAfter(r):
			f.first = i
		}
	}
}

// lastOf returns the index of the request of the flow that would be served last, -1 if
// the flow has none.
func (s *subqueue) lastOf(f *flow, now time.Time, byStartBy bool) (last int) {
	last = -1
	for i, r := range s.requests {
		switch {
		case r.flow != f:
		case last < 0, byStartBy && !s.requests[last].goesAfter(r), !byStartBy && !s.newestFirst(now):
			last = i
		}
	}
	return last
}

// largest returns the flow that holds the most places for its weight, other than the
// excepted one; nil if there is none.
func (fs *flows) largest(s *subqueue, except *flow) (largest *flow) {
	fs.round++
	for _, r := range s.requests {
		f := r.flow
		if f == except || f.round == fs.round {
			continue
		}
		f.round = fs.round
		if largest == nil || fs.places(f, 0) > fs.places(largest, 0) {
			largest = f
		}
	}
	return largest
}

// places returns the number of places that a flow would hold for its weight, with that
// many more.
func (fs *flows) places(f *flow, more int) float64 {
	return float64(f.waiting+more) / fs.weightOf(f)
}

// overShare returns the index of a request that yields its place to an arriving one of
// another account: the last of the account that holds the most places for its weight. An
// account without a waiting request gets a place from any that holds several. It returns
// -1 if the account of the arriving request itself holds the most.
func (s *subqueue) overShare(now time.Time, arriving *Request, byStartBy bool) (index int) {
	if s.flows.waiting == 0 {
		return -1
	}
	own := s.flows.of(arriving)
	largest := s.flows.largest(s, own)
	if largest == nil {
		return -1
	}
	first := own.waiting == 0 && largest.waiting > 1
	if !first && s.flows.places(largest, 0) <= s.flows.places(own, 1) {
		return -1
	}
	return s.lastOf(largest, now, byStartBy)
}

// predictShared returns what goes before an arriving request under fair order: the service
// time of waiting requests, and the slots that requests of other accounts that arrive
// later keep busy until it starts. Of another flow, these are the waiting requests that
// end before the arriving one would start, and of those that overlap with it the ones
// that must start before it.
func (s *subqueue) predictShared(arriving *Request, slots int) (work time.Duration, laterLoad float64) {
	fs := &s.flows
	own := fs.of(arriving)
	weight := fs.weightOf(own)
	start := fs.startOf(own, arriving.cost)
	for _, o := range s.requests {
		if o.flow == own && !o.goesAfter(arriving) {
			work += o.cost
		}
	}
	start += work.Seconds() / weight
	end := start + arriving.cost.Seconds()/weight
	fs.round++
	for _, o := range s.requests {
		f := o.flow
		if f == own {
			continue
		}
		if f.round != fs.round {
			f.round, f.ahead = fs.round, f.start
		}
		starts := f.ahead
		f.ahead += o.cost.Seconds() / fs.weightOf(f)
		if f.ahead <= start || starts <= end && !o.goesAfter(arriving) {
			work += o.cost
		}
	}
	if start <= fs.virtual {
		return work, 0
	}
	later, laterLoad := fs.laterLoad(own, start, work.Seconds()/float64(slots))
	return work + later, laterLoad
}

// laterLoad returns what other accounts add if they go on to offer their usual load: the
// slots that they keep busy, or the work of those that reach the start tag within the
// wait.
func (fs *flows) laterLoad(own *flow, start, wait float64) (work time.Duration, load float64) {
	for _, f := range fs.byAccount {
		last := max(f.start, fs.virtual)
		if f.round == fs.round {
			last = f.ahead
		}
		switch lead := (start - last) * f.weight; {
		case f == own || lead <= 0:
		case lead >= wait*f.usage.usual:
			load += f.usage.usual
		default:
			work += time.Duration(lead * float64(time.Second))
		}
	}
	return work, load
}

// Sharing describes how the places of a queue are shared between accounts.
type Sharing struct {
	// Accounts is the number of accounts with waiting requests, and LargestPercent the
	// part of all waiting requests that one of them holds at most.
	Accounts, LargestPercent int
	// Displaced counts the requests that lost their place to another account of the same
	// priority.
	Displaced uint64
}

// Sharing returns how the places are shared now.
func (q *Queue) Sharing() (sharing Sharing) {
	sharing.Displaced = q.displacedByShare
	accounts := make(map[mesh.Account]int)
	most := 0
	for p := range q.subqueues {
		for _, r := range q.subqueues[p].requests {
			if r.Account != "" {
				accounts[r.Account]++
				most = max(most, accounts[r.Account])
			}
		}
	}
	sharing.Accounts, sharing.LargestPercent = len(accounts), most*100/max(q.waiting, 1)
	return sharing
}
