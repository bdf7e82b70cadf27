package pick

import (
	"math"
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
	// Admission is what the admission gates decide by.
	Admission Admission
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

// PickCheapest returns an upstream and its expected latency. Of the upstreams with low
// cost, it chooses at random, the more often the more free capacity one has: many
// callers choose among the same upstreams by outdated reports, and the one of lowest cost
// would be chosen by all. The error is a *NoUpstreamError when every upstream has been
// tried, and an *AllBusyError when all that are left are expected to refuse the request.
func (p *Picker) PickCheapest(now time.Time, request CostRequest) (candidate Candidate, expected time.Duration, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	c := p.newChoice(now, request, false)
	refused, left := c.excludeBusy()
	c.applyCosts()
	chosen := c.sample(p.intN)
	if left && chosen == nil {
		// Those that were left out of a large set may include the only available ones.
		c = p.newChoice(now, request, true)
		refused, left = c.excludeBusy()
		c.applyCosts()
		chosen = c.sample(p.intN)
	}
	switch {
	case !left:
		return candidate, 0, &AllBusyError{Service: request.Set.ID(), Refused: refused}
	case chosen == nil:
		return candidate, 0, &NoUpstreamError{Service: request.Set.ID(), Known: len(request.Set.Candidates()), Tried: len(request.Tried)}
	}
	return request.Set.candidates[chosen.index], time.Duration(chosen.latency), nil
}

// extraLatency returns the part of the expected latency that depends neither on the load
// nor on recent lateness, in nanoseconds: the network latency and the cost of likely
// failures. A host without failure samples is assumed to fail at the mean
// rate of the others.
func (h *hostState) extraLatency(meanFailureRate float64) float64 {
	failureRate := h.failureRate
	if !h.hasFailureRate {
		failureRate = meanFailureRate
	}
	return h.networkLatency + failureRate*float64(failureCost)
}

// assumedServiceTime returns the typical service time of the class in nanoseconds, or
// the default if there are no samples.
func (p *Picker) assumedServiceTime(class string) float64 {
	if typical := p.typicalServiceTimes[class]; typical > 0 {
		return typical
	}
	return float64(defaultServiceTime)
}

// assumedServiceTimeRatio returns the service-time ratio of the host, which is at least
// coldServiceTimeRatio for an upstream that has just started.
func (h *hostState) assumedServiceTimeRatio(now time.Time, c *Candidate) (ratio float64) {
	ratio = h.decayedServiceTimeRatio(now)
	if !c.ReadySince.IsZero() && now.Sub(c.ReadySince) < coldStartTime {
		ratio = max(ratio, coldServiceTimeRatio)
	}
	return ratio
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
)

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
