package pick

import "time"

const (
	// slowStartWindow is the time over which a new or returning host is ramped up to its
	// full share of requests.
	slowStartWindow = 10 * time.Second
	// minSlowStartWeight is the share of requests with which the slow start begins.
	minSlowStartWeight = 0.1
	// maxConsecutiveFailures is the number of consecutive failures that eject a host.
	maxConsecutiveFailures = 3
	// baseEjectionTime is the duration of the first ejection of a host. It doubles with
	// each further ejection.
	baseEjectionTime = time.Second
	// maxEjectionTime limits the duration of an ejection.
	maxEjectionTime = time.Minute
	// maxEjectionDoublings limits how often baseEjectionTime is doubled.
	maxEjectionDoublings = 6
	// loadReportGain is the weight of a new sample in the moving mean of the reported
	// load.
	loadReportGain = 0.2
	// reportedLoadWeight is the weight of the reported load relative to the node's own
	// requests in flight. Reports are stale and every node receives the same ones, so a
	// greater weight makes all nodes switch to the same hosts at once.
	reportedLoadWeight = 0.25
	// saturatedLoad is the reported load, as a fraction of the limit, above which a host
	// counts as saturated. A load above 1 means that requests are queued.
	saturatedLoad = 2
	// loadReportTTL is the age at which a reported load no longer counts.
	loadReportTTL = 2 * time.Second
	// latencyGain is the weight of a new sample in the mean latency.
	latencyGain = 0.1
	// slowLatencyRatio is how many times the mean latency of another host of the same
	// zone a host must exceed to count as slow.
	slowLatencyRatio = 4
	// minLatencySamples is the number of samples required before mean latencies are
	// compared.
	minLatencySamples = 10
	// slowEjectionDelay is how long a host must be slow before it is ejected.
	slowEjectionDelay = 3 * time.Second
	// probeInterval is the minimum time between two requests to an ejected host while
	// every host of its zone is ejected.
	probeInterval = 100 * time.Millisecond
)

// hostState holds the statistics that this node keeps of one upstream host. It is
// guarded by the mutex of the Picker. The fields that PickCheapest reads of every host
// come first, so that they share cache lines.
type hostState struct {
	// meanLoad is the moving mean of the reported loads, as a fraction of the limit,
	// at reportedAt.
	meanLoad   float64
	reportedAt time.Time
	// latestLoad is the most recent reported load, as a fraction of the limit.
	latestLoad float64
	// inFlightAtReport is the value of inFlight when latestLoad was received.
	inFlightAtReport int
	// failureRate is the moving mean of the fraction of requests that the upstream
	// failed or refused.
	failureRate float64
	// hasFailureRate is true once failureRate has a sample.
	hasFailureRate bool
	// unreachable is true while the node of the host does not respond.
	unreachable bool
	// serviceTimeRatio is the moving mean of the ratio of service times at the host to
	// typical ones, zero before the first sample. networkLatency is the moving mean of
	// the time outside the node of the host, in nanoseconds.
	serviceTimeRatio, networkLatency float64
	// inFlight is the number of attempts that have begun and not ended.
	inFlight int
	// views is the number of views that include the host. The state is deleted when it,
	// inFlight and unreachable are all zero.
	views int
	// backoffUntil is the end of the time for which the host asked not to receive
	// requests.
	backoffUntil time.Time
	// consecutiveFailures is the number of failures since the last success or ejection.
	consecutiveFailures int
	// ejections determines the duration of the next ejection. It rises with each
	// ejection and falls after a slow-start window without failures.
	ejections int
	// ejectionDecayAt is when ejections falls next.
	ejectionDecayAt time.Time
	// ejectedAt and ejectedUntil delimit the last ejection; zero for a host that was
	// never ejected.
	ejectedAt, ejectedUntil time.Time
	// slowStartAt is the start of the slow start after the last ejection.
	slowStartAt time.Time
	// lastProbe is when a request was last sent to the host while it was ejected.
	lastProbe time.Time
	// meanLatency is the moving mean of the latency in nanoseconds. latencySamples is
	// the number of its samples, counted up to minLatencySamples.
	meanLatency    float64
	latencySamples int
	// serviceTimeRatioAt is when serviceTimeRatio was last updated.
	serviceTimeRatioAt time.Time
	// lateness holds the lateness of small and large responses, indexed by
	// latenessIndex.
	lateness [2]lateness
	// reportedLinkWait is the wait for the network link of the host, as reported at
	// linkWaitAt.
	reportedLinkWait time.Duration
	linkWaitAt       time.Time
	// lastRefusal is the last refusal by the gate or for the link of the host.
	lastRefusal refusal
	// slowSince is when the host was first found slow, zero while it is not slow.
	slowSince time.Time
}

// weight returns the fraction of its slots that the host may use at this point of
// its slow start, 1 outside of it. since is when the host became ready.
func (h *hostState) weight(now, since time.Time) float64 {
	if h.slowStartAt.After(since) {
		since = h.slowStartAt
	}
	if since.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(since))/float64(slowStartWindow), minSlowStartWeight), 1)
}

// load returns the expected utilization of the slots after one more request is sent
// to the host.
func (h *hostState) load(now time.Time, slots float64) float64 {
	return float64(h.inFlight+1)/max(slots, 1) + reportedLoadWeight*h.decayedMeanLoad(now)
}

// decayedMeanLoad returns the mean reported load, reduced linearly with its age.
func (h *hostState) decayedMeanLoad(now time.Time) float64 {
	age := now.Sub(h.reportedAt)
	if age >= loadReportTTL {
		return 0
	}
	return h.meanLoad * (1 - float64(age)/float64(loadReportTTL))
}

// available reports whether the host is reachable, not ejected and not in its
// requested backoff.
func (h *hostState) available(now time.Time) bool {
	return !h.unreachable && !now.Before(h.ejectedUntil) && !now.Before(h.backoffUntil)
}

// updateHealth records the outcome of an attempt in the load, failure and latency
// statistics of the host.
func (h *hostState) updateHealth(now, startedAt time.Time, o Outcome) {
	h.inFlight--
	if o.Busy {
		h.recordLoad(now, o.LoadPercent)
		if !o.Shed {
			h.lastRefusal = refusal{admission: o.Admission, at: now}
		}
		return
	}
	if o.RetryAfter > 0 {
		h.backoffUntil = now.Add(o.RetryAfter)
	}
	if o.Failed {
		h.recordFailure(now, startedAt)
		return
	}
	h.recordLoad(now, o.LoadPercent)
	if !startedAt.After(h.ejectedAt) {
		return
	}
	h.consecutiveFailures = 0
	if !o.NotRun {
		h.recordLatency(o.Latency)
		h.recordSuccess(now)
	}
}

// recordFailure counts a failure. Attempts that began before the last ejection are
// ignored, because they show nothing new. A failure during an ejection or the slow
// start after it ejects the host immediately.
func (h *hostState) recordFailure(now, startedAt time.Time) {
	if !startedAt.After(h.ejectedAt) {
		return
	}
	h.consecutiveFailures++
	if h.consecutiveFailures >= maxConsecutiveFailures || now.Before(h.slowStartAt.Add(slowStartWindow)) {
		h.eject(now)
	}
}

// eject excludes the host from new requests. The duration doubles with each recent
// ejection, up to maxEjectionTime.
func (h *hostState) eject(now time.Time) {
	ejectionTime := min(baseEjectionTime<<min(h.ejections, maxEjectionDoublings), maxEjectionTime)
	h.ejections++
	h.consecutiveFailures = 0
	h.ejectedAt = now
	h.ejectedUntil = now.Add(ejectionTime)
	h.slowStartAt = h.ejectedUntil
	h.ejectionDecayAt = h.slowStartAt.Add(slowStartWindow)
	h.slowSince = time.Time{}
	h.latencySamples = 0
}

// recordSuccess ends an ejection after a successful probe, and decrements ejections
// after each slow-start window without a failure.
func (h *hostState) recordSuccess(now time.Time) {
	if now.Before(h.ejectedUntil) {
		h.ejectedUntil = now
		h.slowStartAt = now
		h.ejectionDecayAt = now.Add(slowStartWindow)
		return
	}
	if h.ejections > 0 && !now.Before(h.ejectionDecayAt) {
		h.ejections--
		h.ejectionDecayAt = now.Add(slowStartWindow)
	}
}

// recordLoad updates the reported load.
func (h *hostState) recordLoad(now time.Time, percent int) {
	h.meanLoad += loadReportGain * (float64(percent)/100 - h.meanLoad)
	h.reportedAt = now
	h.latestLoad = float64(percent) / 100
	h.inFlightAtReport = h.inFlight
}

// recordLatency adds a sample to the mean latency.
func (h *hostState) recordLatency(latency time.Duration) {
	if latency <= 0 {
		return
	}
	if h.latencySamples == 0 {
		h.meanLatency = float64(latency)
	} else {
		h.meanLatency += latencyGain * (float64(latency) - h.meanLatency)
	}
	h.latencySamples = min(h.latencySamples+1, minLatencySamples)
}

// ejectIfSlow ejects the host when its mean latency has been more than
// slowLatencyRatio times that of the other host for slowEjectionDelay.
func (h *hostState) ejectIfSlow(now time.Time, other *hostState) {
	if h.latencySamples < minLatencySamples || other.latencySamples < minLatencySamples {
		return
	}
	if h.meanLatency <= slowLatencyRatio*other.meanLatency {
		h.slowSince = time.Time{}
		return
	}
	if h.slowSince.IsZero() {
		h.slowSince = now
	}
	if now.Sub(h.slowSince) >= slowEjectionDelay {
		h.eject(now)
	}
}
