package pick

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// viewIdleTimeout is how long the state of a service's hosts is kept after the last
// call to the service.
const viewIdleTimeout = 10 * time.Minute

// Request describes a request for which Pick chooses an upstream.
type Request struct {
	// Set holds the upstreams of the requested service.
	Set *CandidateSet
	// From is the location of the calling node.
	From mesh.Place
	// Tried lists the hosts of earlier attempts, which are not chosen again.
	Tried []mesh.HostID
	// AllowCrossRegion permits upstreams outside the region of From.
	AllowCrossRegion bool
	// Priority determines how much of the link budget the request may use.
	Priority mesh.Priority
}

// Outcome describes how an attempt ended.
type Outcome struct {
	// Failed is true when the attempt counts as a failure of the host.
	Failed bool
	// Busy is true when the admission gate of the host rejected the request for lack of
	// slots or time. The host is healthy and may still admit more urgent requests, so
	// Failed and RetryAfter are ignored.
	Busy bool
	// Shed is true when the upstream itself refused the request, or its node refused on
	// its behalf because nearly all of its requests fail.
	Shed bool
	// NotRun is true when the request was not passed to the upstream.
	NotRun bool
	// Latency is the time until the response of the host, zero when unknown.
	Latency time.Duration
	// LoadPercent is the load that the host reported with the response.
	LoadPercent int
	// RetryAfter is how long the host asked not to receive further requests.
	RetryAfter time.Duration
	// Timings holds the processing times that the host reported; the zero value means
	// that there were none.
	Timings Timings
	// LargeResponse is true for a request with a large response, such as a download.
	LargeResponse bool
	// Admission is that of the request; used when Busy is true.
	Admission Admission
	// Canceled is true when the request ended because its caller disconnected.
	Canceled bool
	// HasLinkWait is true when the host reported LinkWait, the time for which a large
	// response would wait for the network link of the host.
	HasLinkWait bool
	LinkWait    time.Duration
}

// NoUpstreamError is returned when no upstream remains to be chosen.
type NoUpstreamError struct {
	// Service is the requested service.
	Service mesh.ServiceID
	// Known is the number of upstreams in the set.
	Known int
	// Tried is the number of hosts that were excluded because of earlier attempts.
	Tried int
}

// Error implements error.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream of %s left: %d known, %d tried", e.Service, e.Known, e.Tried)
}

// Picker chooses upstreams and updates its statistics of the hosts from the outcomes
// of attempts. It is safe for concurrent use. The zero Picker is ready to use.
type Picker struct {
	// Random is the source of random numbers; nil means math/rand/v2. It is called by
	// one goroutine at a time.
	Random interface{ IntN(n int) int }

	mutex sync.Mutex
	// hosts holds the state of every host that is part of a view, has attempts in flight
	// or is marked unreachable; guarded by mutex.
	hosts map[mesh.HostID]*hostState
	// views holds the most recent candidate set of each service; guarded by mutex.
	views map[mesh.ServiceID]*view
	// linkBudget limits the traffic to other regions; guarded by mutex.
	linkBudget linkBudget
	// typicalServiceTimes holds the mean service time of each request class in
	// nanoseconds; guarded by mutex.
	typicalServiceTimes map[string]float64
	// choice is that of the latest call of PickCheapest, kept to use its memory again;
	// guarded by mutex.
	choice choice
}

// view combines a candidate set with the state of its hosts.
type view struct {
	set *CandidateSet
	// hosts has the same indices as set.candidates.
	hosts []*hostState
	// lastUsed is the time of the last lookup of the view.
	lastUsed time.Time
}

// Attempt is one request sent to a host.
type Attempt struct {
	picker    *Picker
	id        mesh.HostID
	state     *hostState
	startedAt time.Time
	large     bool
}

// SetLinkBudget limits the bytes per second exchanged with other regions; 0 means no
// limit.
func (p *Picker) SetLinkBudget(bytesPerSecond int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.linkBudget.configure(bytesPerSecond)
}

// SpendLinkBudget deducts bytes exchanged with another region from the link budget.
func (p *Picker) SpendLinkBudget(bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.linkBudget.spend(bytes)
}

// Pick returns an upstream for the request: one of the caller's zone if one has
// capacity, then of its region, then of any region. The error is a *NoUpstreamError
// when every upstream that the request allows has been tried.
func (p *Picker) Pick(now time.Time, request Request) (candidate Candidate, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	search := search{now: now, view: p.view(now, request.Set), request: request, picker: p}
	index := search.run()
	if index < 0 {
		return Candidate{}, &NoUpstreamError{
			Service: request.Set.ID(), Known: len(request.Set.Candidates()), Tried: len(request.Tried),
		}
	}
	return request.Set.candidates[index], nil
}

// Begin records a request that is about to be sent to the host. Every attempt must
// be ended exactly once.
func (p *Picker) Begin(now time.Time, host mesh.HostID) Attempt {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.begin(now, host)
}

// begin is Begin for callers that hold the mutex.
func (p *Picker) begin(now time.Time, host mesh.HostID) Attempt {
	h := p.hostState(host)
	h.inFlight++
	return Attempt{picker: p, id: host, state: h, startedAt: now}
}

// BeginWithExpectedLatency is like Begin, and measures how late the response is
// compared to the expected latency.
func (p *Picker) BeginWithExpectedLatency(now time.Time, host mesh.HostID, expected time.Duration, large bool) (attempt Attempt) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	attempt = p.begin(now, host)
	attempt.large = large
	attempt.state.lateness[latenessIndex(large)].begin(now, expected)
	return attempt
}

// End records the outcome of the attempt.
func (a Attempt) End(now time.Time, outcome Outcome) {
	a.picker.mutex.Lock()
	defer a.picker.mutex.Unlock()
	a.state.lateness[latenessIndex(a.large)].end(now, a.startedAt, !outcome.NotRun && !outcome.Canceled)
	if outcome.HasLinkWait {
		a.state.reportedLinkWait, a.state.linkWaitAt = outcome.LinkWait, now
	}
	a.state.updateHealth(now, a.startedAt, outcome)
	a.state.updateCost(now, a.picker, outcome)
	a.picker.releaseHost(a.id, a.state)
}

// hostState returns the state of the host and creates it if there is none.
func (p *Picker) hostState(id mesh.HostID) (h *hostState) {
	h = p.hosts[id]
	if h != nil {
		return h
	}
	if p.hosts == nil {
		p.hosts = make(map[mesh.HostID]*hostState)
	}
	h = &hostState{}
	p.hosts[id] = h
	return h
}

// releaseHost deletes the state of the host when nothing refers to it.
func (p *Picker) releaseHost(id mesh.HostID, h *hostState) {
	if h.views == 0 && h.inFlight == 0 && !h.unreachable {
		delete(p.hosts, id)
	}
}

// view returns the view of the set. A new set replaces the previous view of the
// service and releases the hosts that are no longer part of it.
func (p *Picker) view(now time.Time, set *CandidateSet) (v *view) {
	if set == nil {
		return &view{}
	}
	old := p.views[set.id]
	if old != nil && old.set == set {
		old.lastUsed = now
		return old
	}
	if p.views == nil {
		p.views = make(map[mesh.ServiceID]*view)
	}
	if old == nil {
		p.evictIdleViews(now)
	}
	v = &view{set: set, hosts: make([]*hostState, len(set.candidates)), lastUsed: now}
	for i, c := range set.candidates {
		v.hosts[i] = p.hostState(c.Host)
		v.hosts[i].views++
	}
	p.releaseView(old)
	p.views[set.id] = v
	return v
}

// releaseView releases the hosts of a view that is no longer used.
func (p *Picker) releaseView(v *view) {
	if v == nil {
		return
	}
	for i, c := range v.set.candidates {
		v.hosts[i].views--
		p.releaseHost(c.Host, v.hosts[i])
	}
}

// evictIdleViews drops the views of services that have not been called within
// viewIdleTimeout.
func (p *Picker) evictIdleViews(now time.Time) {
	for s, v := range p.views {
		if now.Sub(v.lastUsed) > viewIdleTimeout {
			p.releaseView(v)
			delete(p.views, s)
		}
	}
}

// intN returns a random number in [0, n).
func (p *Picker) intN(n int) int {
	if p.Random == nil {
		return rand.IntN(n)
	}
	return p.Random.IntN(n)
}
