package pick

import (
	"math"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// serviceTimeRatioGain is the weight of a new sample in the service-time ratio of a
	// host.
	serviceTimeRatioGain = 0.15
	// refusalRatioGain is the weight of an estimate that comes with a refusal. It is
	// greater because the estimate is already a mean.
	refusalRatioGain = 0.5
	// slowServiceTimeRatio is the ratio above which a host counts as slow, and
	// slowRatioHalfLife the half-life of the part of the ratio above it.
	slowServiceTimeRatio = 2.0
	slowRatioHalfLife    = 2 * time.Second
	// minServiceTimeRatio and maxServiceTimeRatio limit a single sample of the ratio.
	minServiceTimeRatio = 0.1
	maxServiceTimeRatio = 10
	// typicalServiceTimeGain is the weight of a new sample in the typical service time
	// of a class.
	typicalServiceTimeGain = 0.05
	// defaultServiceTime is the assumed service time of a class without samples.
	defaultServiceTime = 100 * time.Millisecond
	// networkLatencyGain is the weight of a new sample in the network latency of a host.
	networkLatencyGain = 0.2
	// costJitter is the maximum random increase of a cost, as a fraction of it. It keeps
	// nodes with the same statistics from choosing the same host.
	costJitter = 0.15
	// coldServiceTimeRatio is the minimum service-time ratio assumed of an upstream that
	// has just started.
	coldServiceTimeRatio = 2
	// maxClasses limits the number of classes whose typical service times are kept.
	maxClasses = 4096
)

// DistanceCosts holds the cost of sending a request to another location, expressed
// as time.
type DistanceCosts struct {
	// Host applies to another host of the same zone, Zone to another zone of the same
	// region, and Region to another region.
	Host, Zone, Region time.Duration
}

// CostRequest describes a request for which PickCheapest chooses an upstream.
type CostRequest struct {
	// Set holds the upstreams of the requested service.
	Set *CandidateSet
	// From is the location of the calling node, and FromHost its host.
	From     mesh.Place
	FromHost mesh.HostID
	// Tried lists the hosts of earlier attempts, which are not chosen again.
	Tried []mesh.HostID
	// Class groups requests that take about the same time at any upstream, for example
	// those of one rule.
	Class string
	// DistanceCosts is the cost of distance in addition to the measured network latency.
	DistanceCosts DistanceCosts
	// LargeResponse is true when a large response is expected, which waits for the
	// network link of its host.
	LargeResponse bool
	// CallerNodes is the number of nodes that send requests to the same hosts; zero
	// counts as one.
	CallerNodes int
}

// Timings holds the processing times that a host reports for a request.
type Timings struct {
	// Class is the class of the request.
	Class string
	// ServiceTime is the time that the upstream took, and NodeTime the time that the
	// request spent at the node of the host, including the wait for a slot and
	// ServiceTime; zero when not reported.
	ServiceTime, NodeTime time.Duration
	// ExpectedServiceTime is the expected service time of a request that the
	// admission gate of the host refused; zero when not reported.
	ExpectedServiceTime time.Duration
}

// PickCheapest returns the upstream with the lowest cost and its expected latency.
// The error is a *NoUpstreamError when every upstream has been tried.
func (p *Picker) PickCheapest(now time.Time, request CostRequest) (candidate Candidate, expected time.Duration, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.view(now, request.Set)
	best, lowest, bestAvailable := -1, math.Inf(1), false
	meanFailureRate := v.meanFailureRate()
	for i := range v.hosts {
		c, h := &request.Set.candidates[i], v.hosts[i]
		if slices.Contains(request.Tried, c.Host) {
			continue
		}
		available := h.available(now)
		if bestAvailable && !available {
			continue
		}
		cost := p.cost(now, c, h, &request, meanFailureRate) * (1 + costJitter*float64(p.intN(probabilityScale))/probabilityScale)
		if best < 0 || available && !bestAvailable || cost < lowest {
			best, lowest, bestAvailable = i, cost, bestAvailable || available
		}
	}
	if best < 0 {
		return candidate, 0, &NoUpstreamError{Service: request.Set.ID(), Known: len(request.Set.Candidates()), Tried: len(request.Tried)}
	}
	c, h := &request.Set.candidates[best], v.hosts[best]
	return *c, time.Duration(p.expectedLatency(now, c, h, &request, meanFailureRate)), nil
}

// cost returns the expected latency plus the cost of distance, in nanoseconds.
func (p *Picker) cost(now time.Time, c *Candidate, h *hostState, request *CostRequest, meanFailureRate float64) float64 {
	cost := p.expectedLatency(now, c, h, request, meanFailureRate)
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

// expectedLatency returns the expected time until the response, in nanoseconds: the
// service time at this host, the wait for a slot, the network latency, the cost of
// likely failures, the recent lateness of responses and, for a large response, the
// wait for the link of the host. A host without failure samples is assumed to fail
// at the mean rate of the others.
func (p *Picker) expectedLatency(now time.Time, c *Candidate, h *hostState, request *CostRequest, meanFailureRate float64) float64 {
	serviceTime := float64(defaultServiceTime)
	if typical := p.typicalServiceTimes[request.Class]; typical > 0 {
		serviceTime = typical
	}
	ratio := h.decayedServiceTimeRatio(now)
	if !c.ReadySince.IsZero() && now.Sub(c.ReadySince) < coldStartTime {
		ratio = max(ratio, coldServiceTimeRatio)
	}
	slots := float64(max(c.Slots, 1))
	// The reported load includes the requests of this node that were in flight at that
	// time.
	usedSlots := max(h.decayedLatestLoad(now)*slots+float64(h.inFlight-h.inFlightAtReport), float64(h.inFlight))
	if now.Sub(h.reportedAt) >= loadReportTTL {
		// Without a recent report, the other nodes are assumed to send as many requests to
		// the host as this node does, since they compute the same cost.
		usedSlots = float64(h.inFlight * max(request.CallerNodes, 1))
	}
	wait := max(0, usedSlots+1-slots) / slots
	// A nearly full host responds more slowly and leaves no room for other callers.
	slowdown := usedSlots / slots * fullHostSlowdown
	failureRate := h.failureRate
	if !h.hasFailureRate {
		failureRate = meanFailureRate
	}
	latency := serviceTime*ratio*(1+wait+slowdown) + h.networkLatency + failureRate*float64(failureCost) + h.lateness[latenessIndex(request.LargeResponse)].penalty(now)
	if request.LargeResponse {
		latency += h.linkWait(now)
	}
	return latency
}

// latenessIndex returns the index in hostState.lateness for small or large
// responses.
func latenessIndex(large bool) int {
	if large {
		return 1
	}
	return 0
}

// updateFailureRate records whether the upstream failed or refused a request.
func (h *hostState) updateFailureRate(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	h.failureRate += failureRateGain * (sample - h.failureRate)
	h.hasFailureRate = true
}

// meanFailureRate returns the mean failure rate of the hosts that have samples.
func (v *view) meanFailureRate() float64 {
	sum, samples := 0.0, 0
	for _, h := range v.hosts {
		if h.hasFailureRate {
			sum += h.failureRate
			samples++
		}
	}
	return sum / float64(max(samples, 1))
}

// MarkUnreachable records that the node of the host does not respond; the host is
// then chosen only when no other is left. first is false if it was already marked.
// The caller has to check when the node responds again and call MarkReachable.
func (p *Picker) MarkUnreachable(id mesh.HostID) (first bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.hostState(id)
	first = !h.unreachable
	h.unreachable = true
	return first
}

// MarkReachable records that the node of the host responds, and ends an ejection of
// the host.
func (p *Picker) MarkReachable(id mesh.HostID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	h := p.hostState(id)
	h.unreachable = false
	h.ejectedUntil, h.consecutiveFailures = time.Time{}, 0
	p.releaseHost(id, h)
}

// IsOutlier reports whether the failure rate of the host clearly exceeds the mean of
// the other hosts of the set. When all hosts fail alike, the cause lies elsewhere
// and none is an outlier.
func (p *Picker) IsOutlier(set *CandidateSet, id mesh.HostID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	own, sum, others := 0.0, 0.0, 0
	for _, c := range set.Candidates() {
		h := p.hosts[c.Host]
		switch {
		case h == nil:
		case c.Host == id:
			own = h.failureRate
		default:
			sum += h.failureRate
			others++
		}
	}
	return others > 0 && own > outlierFactor*sum/float64(others)
}

const (
	// failureRateGain is the weight of a new sample in the failure rate.
	failureRateGain = 0.1
	// failureCost is the cost of a request that is certain to fail.
	failureCost = 600 * time.Millisecond
	// outlierFactor is how many times the mean failure rate of the other hosts an
	// outlier exceeds.
	outlierFactor = 2
	// coldStartTime is how long an upstream counts as just started.
	coldStartTime = 4 * time.Second
	// fullHostSlowdown is the fraction of the service time by which requests to a fully
	// used host are assumed to take longer.
	fullHostSlowdown = 0.25
)

// decayedLatestLoad returns the most recent reported load, reduced linearly with its
// age.
func (h *hostState) decayedLatestLoad(now time.Time) float64 {
	age := now.Sub(h.reportedAt)
	if age >= loadReportTTL {
		return 0
	}
	return h.latestLoad * (1 - float64(age)/float64(loadReportTTL))
}

// updateCost records the outcome of an attempt in the statistics for PickCheapest.
func (h *hostState) updateCost(now time.Time, p *Picker, o Outcome) {
	if o.Shed || !o.NotRun && !o.Busy {
		h.updateFailureRate(o.Shed || o.Failed)
	}
	if o.LargeResponse {
		// The latency of a large response includes its transfer time and is no sample of the
		// network latency.
		o.Latency = 0
	}
	h.recordTimings(now, p, o.Latency, o.Timings)
}

// recordTimings updates the service-time ratio and network latency of the host and
// the typical service time of the class.
func (h *hostState) recordTimings(now time.Time, p *Picker, total time.Duration, reported Timings) {
	if typical := p.typicalServiceTimes[reported.Class]; reported.ExpectedServiceTime > 0 && typical > 0 {
		// A host that refuses a request it could not finish in time reports only this
		// estimate.
		h.updateServiceTimeRatio(now, refusalRatioGain, float64(reported.ExpectedServiceTime)/typical)
	}
	if reported.ServiceTime <= 0 {
		return
	}
	if p.typicalServiceTimes == nil || len(p.typicalServiceTimes) >= maxClasses {
		p.typicalServiceTimes = make(map[string]float64)
	}
	serviceTime := float64(reported.ServiceTime)
	typical := p.typicalServiceTimes[reported.Class]
	if typical == 0 {
		typical = serviceTime
	}
	h.updateServiceTimeRatio(now, serviceTimeRatioGain, serviceTime/typical)
	p.typicalServiceTimes[reported.Class] = typical + typicalServiceTimeGain*(serviceTime-typical)
	if networkLatency := float64(total - reported.NodeTime); networkLatency > 0 {
		if h.networkLatency == 0 {
			h.networkLatency = networkLatency
		}
		h.networkLatency += networkLatencyGain * (networkLatency - h.networkLatency)
	}
}

// updateServiceTimeRatio adds a sample of the ratio of the service time to the
// typical one.
func (h *hostState) updateServiceTimeRatio(now time.Time, gain, ratio float64) {
	current := h.decayedServiceTimeRatio(now)
	h.serviceTimeRatio, h.serviceTimeRatioAt = current+gain*(min(max(ratio, minServiceTimeRatio), maxServiceTimeRatio)-current), now
}

// decayedServiceTimeRatio returns the current service-time ratio. The ratio of a
// slow host decays with time: the host is no longer chosen and therefore gets no
// samples that would show a recovery.
func (h *hostState) decayedServiceTimeRatio(now time.Time) float64 {
	switch {
	case h.serviceTimeRatio == 0:
		return 1
	case h.serviceTimeRatio <= slowServiceTimeRatio:
		return h.serviceTimeRatio
	}
	return slowServiceTimeRatio + (h.serviceTimeRatio-slowServiceTimeRatio)*math.Exp2(-float64(now.Sub(h.serviceTimeRatioAt))/float64(slowRatioHalfLife))
}

// TypicalServiceTime returns the mean service time of the class, zero when unknown.
func (p *Picker) TypicalServiceTime(class string) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return time.Duration(p.typicalServiceTimes[class])
}
