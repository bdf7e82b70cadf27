package pick

import (
	"math"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// paceGain is the weight of a new sample in a host's pace.
	paceGain = 0.15
	// needGain is the same for what a refusal tells, which is a mean already.
	needGain = 0.5
	// slowPace is the pace from which a host counts as slow, and slowHalf the time in
	// which what is above it halves.
	slowPace = 2.0
	slowHalf = 2 * time.Second
	// leastPace and mostPace bound one sample of a pace.
	leastPace = 0.1
	mostPace  = 10
	// typicalGain is the weight of a new sample in a class's typical service time.
	typicalGain = 0.05
	// defaultService stands for the service time of a class without a sample.
	defaultService = 100 * time.Millisecond
	// tripGain is the weight of a new sample in the trip to a host.
	tripGain = 0.2
	// jitter spreads costs, so that nodes that know the same do not all choose
	// the same host.
	jitter = 0.15
	// coldPace is the pace at which an upstream counts that just started.
	coldPace = 2
	// maxClasses bounds the classes whose typical times are kept.
	maxClasses = 4096
)

// DistanceCosts tells what it costs to go to another place, as time.
type DistanceCosts struct {
	// Host is for another host, Zone for another zone of the region, and Region for
	// another region.
	Host, Zone, Region time.Duration
}

// CostRequest asks for the upstream that should answer soonest, all costs counted as time.
type CostRequest struct {
	// Set holds the service's upstreams.
	Set *CandidateSet
	// From is where the caller's node stands, and Here its host.
	From     mesh.Place
	FromHost mesh.HostID
	// Tried lists the hosts not to choose again.
	Tried []mesh.HostID
	// Class names what takes about the same time everywhere, such as a rule.
	Class string
	// DistanceCosts is what distance costs besides the trip.
	DistanceCosts DistanceCosts
	// LargeResponse is true when long answers are expected, which wait for their host's link.
	LargeResponse bool
	// CallerNodes is how many nodes choose among the same hosts; zero counts as one.
	CallerNodes int
}

// Timings is what an answer told of the work at its host.
type Timings struct {
	// Class is that of the request.
	Class string
	// ServiceTime is how long the upstream worked, and NodeTime how long the request was at
	// its node; zero when not told.
	ServiceTime, NodeTime time.Duration
	// EstimatedServiceTime is how long the upstream would have worked on a request that its gate
	// refused, zero when not told.
	EstimatedServiceTime time.Duration
}

// PickCheapest returns the host with the least expected cost, and what it expects
// the answer to take. The error is a *NoUpstreamError when every one was tried.
func (p *Picker) PickCheapest(now time.Time, request CostRequest) (candidate Candidate, expected time.Duration, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.view(now, request.Set)
	best, least, usable := -1, math.Inf(1), false
	usual := v.failRate()
	for i := range v.hosts {
		c, h := &request.Set.candidates[i], v.hosts[i]
		if slices.Contains(request.Tried, c.Host) {
			continue
		}
		ok := h.usable(now)
		if usable && !ok {
			continue
		}
		cost := p.cost(now, c, h, &request, usual) * (1 + jitter*float64(p.intN(chances))/chances)
		if best < 0 || ok && !usable || cost < least {
			best, least, usable = i, cost, usable || ok
		}
	}
	if best < 0 {
		return candidate, 0, &NoUpstreamError{Service: request.Set.ID(), Known: len(request.Set.Candidates()), Tried: len(request.Tried)}
	}
	c, h := &request.Set.candidates[best], v.hosts[best]
	return *c, time.Duration(p.expected(now, c, h, &request, usual)), nil
}

// cost is the expected time with what distance costs, in nanoseconds.
func (p *Picker) cost(now time.Time, c *Candidate, h *host, request *CostRequest, usual float64) float64 {
	cost := p.expected(now, c, h, request, usual)
	switch {
	case c.Host == request.FromHost:
	case c.Place == request.From:
		cost += float64(request.DistanceCosts.Host)
	case c.Place.Region == request.From.Region:
		cost += float64(request.DistanceCosts.Zone)
	default:
		cost += float64(request.DistanceCosts.Region)
	}
	return cost
}

// expected is the time until the answer, in nanoseconds: the work at the host's
// pace, the wait for a slot, the trip, and how late its answers are. A host that
// is not known yet fails as the others usually do.
func (p *Picker) expected(now time.Time, c *Candidate, h *host, request *CostRequest, usual float64) float64 {
	service := float64(defaultService)
	if t := p.typical[request.Class]; t > 0 {
		service = t
	}
	pace := h.paceAt(now)
	if !c.ReadySince.IsZero() && now.Sub(c.ReadySince) < coldTime {
		pace = max(pace, coldPace)
	}
	slots := float64(max(c.Slots, 1))
	// The load that was reported holds this node's own requests of then.
	busy := max(h.latestReport(now)*slots+float64(h.inFlight-h.inFlightThen), float64(h.inFlight))
	if now.Sub(h.reportedAt) >= reportLimit {
		// Nothing tells what the others send there: they find it as cheap as this node.
		busy = float64(h.inFlight * max(request.CallerNodes, 1))
	}
	wait := max(0, busy+1-slots) / slots
	// A host that is nearly full answers slower and leaves no room for others.
	crowd := busy / slots * crowding
	fails := h.failRate
	if !h.judged {
		fails = usual
	}
	cost := service*pace*(1+wait+crowd) + h.trip + fails*float64(failCost) + h.late[kind(request.LargeResponse)].cost(now)
	if request.LargeResponse {
		cost += h.linkWait(now)
	}
	return cost
}

// kind returns the index of short or long answers.
func kind(long bool) int {
	if long {
		return 1
	}
	return 0
}

// noteFailure takes in whether the upstream failed or refused a request.
func (h *host) noteFailure(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	h.failRate += failGain * (sample - h.failRate)
	h.judged = true
}

// failRate returns the mean rate of failures of the hosts that are known.
func (v *view) failRate() float64 {
	sum, known := 0.0, 0
	for _, h := range v.hosts {
		if h.judged {
			sum += h.failRate
			known++
		}
	}
	return sum / float64(max(known, 1))
}

// MarkUnreachable notes that a host's node does not answer, so that no request is
// tried there while others are left; first is false when that was known. The
// caller finds out when the node answers again, and calls MarkReachable.
func (p *Picker) MarkUnreachable(id mesh.HostID) (first bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.host(id)
	first = !h.unreached
	h.unreached = true
	return first
}

// MarkReachable notes that a host's node answers.
func (p *Picker) MarkReachable(id mesh.HostID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.host(id)
	h.unreached = false
	h.ejectedUntil, h.failures = time.Time{}, 0
	p.release(id, h)
}

// IsOutlier reports whether a host fails requests clearly more often than the
// others of the set; when all fail alike, the cause is elsewhere.
func (p *Picker) IsOutlier(set *CandidateSet, id mesh.HostID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	own, sum, others := 0.0, 0.0, 0
	for _, c := range set.Candidates() {
		h := p.hosts[c.Host]
		switch {
		case h == nil:
		case c.Host == id:
			own = h.failRate
		default:
			sum += h.failRate
			others++
		}
	}
	return others > 0 && own > standOut*sum/float64(others)
}

const (
	// failGain is the weight of a new sample in the rate of failures.
	failGain = 0.1
	// failCost is what a certain failure costs.
	failCost = 600 * time.Millisecond
	// standOut is by how much a host's rate of failures must exceed the others'.
	standOut = 2
	// coldTime is how long an upstream counts as just started.
	coldTime = 4 * time.Second
	// crowding is the part of the service time that a full host counts as slower.
	crowding = 0.25
)

// latestReport returns the load last reported, which fades with its age.
func (h *host) latestReport(now time.Time) float64 {
	age := now.Sub(h.reportedAt)
	if age >= reportLimit {
		return 0
	}
	return h.latest * (1 - float64(age)/float64(reportLimit))
}

// tell takes in how a flight ended.
func (h *host) tell(now time.Time, p *Picker, o Outcome) {
	if o.Shed || !o.NotRun && !o.Busy {
		h.noteFailure(o.Shed || o.Failed)
	}
	if o.LargeResponse {
		// What a long answer takes on its way says nothing of the trip.
		o.Latency = 0
	}
	h.learn(now, p, o.Latency, o.Timings)
}

// learn takes in what an answer told of the work at its host.
func (h *host) learn(now time.Time, p *Picker, total time.Duration, s Timings) {
	if typical := p.typical[s.Class]; s.EstimatedServiceTime > 0 && typical > 0 {
		// A host that refuses what it would not finish in time tells nothing else.
		h.notePace(now, needGain, float64(s.EstimatedServiceTime)/typical)
	}
	if s.ServiceTime <= 0 {
		return
	}
	if p.typical == nil || len(p.typical) >= maxClasses {
		p.typical = make(map[string]float64)
	}
	work := float64(s.ServiceTime)
	typical := p.typical[s.Class]
	if typical == 0 {
		typical = work
	}
	h.notePace(now, paceGain, work/typical)
	p.typical[s.Class] = typical + typicalGain*(work-typical)
	if trip := float64(total - s.NodeTime); trip > 0 {
		if h.trip == 0 {
			h.trip = trip
		}
		h.trip += tripGain * (trip - h.trip)
	}
}

// notePace takes in the ratio of a service time to the typical one.
func (h *host) notePace(now time.Time, gain, ratio float64) {
	pace := h.paceAt(now)
	h.pace, h.pacedAt = pace+gain*(min(max(ratio, leastPace), mostPace)-pace), now
}

// paceAt returns the pace as it counts now: that of a slow host fades, since a
// host that is not chosen shows nothing better.
func (h *host) paceAt(now time.Time) float64 {
	switch {
	case h.pace == 0:
		return 1
	case h.pace <= slowPace:
		return h.pace
	}
	return slowPace + (h.pace-slowPace)*math.Exp2(-float64(now.Sub(h.pacedAt))/float64(slowHalf))
}

// TypicalServiceTime returns the typical service time of a class, zero when unknown.
func (p *Picker) TypicalServiceTime(class string) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Duration(p.typical[class])
}
