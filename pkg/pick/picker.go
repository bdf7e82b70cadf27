package pick

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// viewIdle is how long a service that is not called is remembered.
const viewIdle = 10 * time.Minute

// Request asks for an upstream.
type Request struct {
	// Set holds the service's upstreams.
	Set *CandidateSet
	// From is where the caller's node stands.
	From mesh.Place
	// Tried lists the hosts not to choose again.
	Tried []mesh.HostID
	// AllowOtherRegions allows upstreams in other regions.
	AllowOtherRegions bool
	// Priority decides how far the link's budget may be used up.
	Priority mesh.Priority
}

// Outcome tells how a flight ended.
type Outcome struct {
	// Failed is true when the host did not answer as it should.
	Failed bool
	// Busy is true when the host's gate refused the request for want of slots or
	// time. The host is well, and more urgent work may still get in: Failed and
	// RetryAfter count for nothing.
	Busy bool
	// Shed is true when the upstream itself refused the request, or its node did
	// since the upstream fails nearly all.
	Shed bool
	// NotRun is true when the upstream was never handed the request.
	NotRun bool
	// Latency is the time that the host took, zero when unknown.
	Latency time.Duration
	// LoadPercent is the load that the answer carried.
	LoadPercent int
	// RetryAfter is how long the host asked to be left alone.
	RetryAfter time.Duration
	// Timings is what the answer told of the work; the zero Timings says nothing.
	Timings Timings
	// LargeResponse is true for a request with a long answer.
	LargeResponse bool
	// Canceled is true when the request ended since its caller went away.
	Canceled bool
	// HasLinkWait is true when the host told its wait for the link, which is Link.
	HasLinkWait bool
	LinkWait    time.Duration
}

// NoUpstreamError says that no upstream is left to choose.
type NoUpstreamError struct {
	// Service is the service asked for.
	Service mesh.ServiceID
	// Known is the number of upstreams in the set.
	Known int
	// Tried is the number of upstreams tried before.
	Tried int
}

// Error implements error.
func (n *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream of %s left: %d known, %d tried", n.Service, n.Known, n.Tried)
}

// Picker chooses upstreams and learns from the outcomes. It is safe for
// concurrent use. The zero Picker is ready to use.
type Picker struct {
	// Random makes the choices; nil means math/rand/v2. It is called by one
	// goroutine at a time.
	Random interface{ IntN(n int) int }

	mutex sync.Mutex
	// hosts holds what is known of the hosts in views or with flights; guarded by mutex.
	hosts map[mesh.HostID]*host
	// views holds the set last seen of each service; guarded by mutex.
	views map[mesh.ServiceID]*view
	// link is guarded by mutex.
	link link
	// typical holds the mean service time of each class in nanoseconds; guarded by
	// mutex.
	typical map[string]float64
}

// view joins a set with what is known of its hosts.
type view struct {
	set *CandidateSet
	// hosts has the same indices as the set's candidates.
	hosts []*host
	// used is when the view was last asked for.
	used time.Time
}

// Attempt is one request on its way to a host.
type Attempt struct {
	picker *Picker
	id     mesh.HostID
	host   *host
	began  time.Time
	long   bool
}

// SetLinkBudget bounds the bytes that cross to other regions; 0 means no bound.
func (p *Picker) SetLinkBudget(bytesPerSecond int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.link.configure(bytesPerSecond)
}

// SpendLinkBudget takes bytes that crossed to or from another region out of the link's budget.
func (p *Picker) SpendLinkBudget(bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.link.spend(bytes)
}

// Pick returns the upstream for a request. The error is a *NoUpstreamError when every
// upstream that the request allows was tried.
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

// Begin counts a request that is about to go to the host. Every flight must be
// ended exactly once.
func (p *Picker) Begin(now time.Time, host mesh.HostID) Attempt {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.begin(now, host)
}

// begin is Begin with the mutex held.
func (p *Picker) begin(now time.Time, host mesh.HostID) Attempt {
	h := p.host(host)
	h.inFlight++
	return Attempt{picker: p, id: host, host: h, began: now}
}

// BeginWithEstimate is like Begin for a request whose answer is expected in that time.
func (p *Picker) BeginWithEstimate(now time.Time, host mesh.HostID, expected time.Duration, long bool) (f Attempt) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	f = p.begin(now, host)
	f.long = long
	f.host.late[kind(long)].begin(now, expected)
	return f
}

// End takes in how the flight ended.
func (f Attempt) End(now time.Time, outcome Outcome) {
	f.picker.mutex.Lock()
	defer f.picker.mutex.Unlock()
	f.host.late[kind(f.long)].end(now, f.began, !outcome.NotRun && !outcome.Canceled)
	if outcome.HasLinkWait {
		f.host.link, f.host.linkAt = outcome.LinkWait, now
	}
	f.host.end(now, f.began, outcome)
	f.host.tell(now, f.picker, outcome)
	f.picker.release(f.id, f.host)
}

// host returns what is known of the host.
func (p *Picker) host(id mesh.HostID) (h *host) {
	h = p.hosts[id]
	if h != nil {
		return h
	}
	if p.hosts == nil {
		p.hosts = make(map[mesh.HostID]*host)
	}
	h = &host{}
	p.hosts[id] = h
	return h
}

// release forgets the host when nothing refers to it.
func (p *Picker) release(id mesh.HostID, h *host) {
	if h.views == 0 && h.inFlight == 0 && !h.unreached {
		delete(p.hosts, id)
	}
}

// view returns the view of the set, and forgets the hosts that left it.
func (p *Picker) view(now time.Time, set *CandidateSet) (v *view) {
	if set == nil {
		return &view{}
	}
	old := p.views[set.id]
	if old != nil && old.set == set {
		old.used = now
		return old
	}
	if p.views == nil {
		p.views = make(map[mesh.ServiceID]*view)
	}
	if old == nil {
		p.dropIdle(now)
	}
	v = &view{set: set, hosts: make([]*host, len(set.candidates)), used: now}
	for i, c := range set.candidates {
		v.hosts[i] = p.host(c.Host)
		v.hosts[i].views++
	}
	p.drop(old)
	p.views[set.id] = v
	return v
}

// drop gives up a view's hold on its hosts.
func (p *Picker) drop(v *view) {
	if v == nil {
		return
	}
	for i, c := range v.set.candidates {
		v.hosts[i].views--
		p.release(c.Host, v.hosts[i])
	}
}

// dropIdle forgets the services that have not been called for long.
func (p *Picker) dropIdle(now time.Time) {
	for s, v := range p.views {
		if now.Sub(v.used) > viewIdle {
			p.drop(v)
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
