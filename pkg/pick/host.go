package pick

import "time"

const (
	// slowStart is the time in which a new or returning host comes up to its full share.
	slowStart = 10 * time.Second
	// minWeight is the share that a host starts with.
	minWeight = 0.1
	// maxFailures is the number of consecutive failures that eject a host.
	maxFailures = 3
	// firstEjection is the length of a host's first ejection; it doubles with each further one.
	firstEjection = time.Second
	// maxEjection bounds the length of an ejection.
	maxEjection = time.Minute
	// maxDoublings bounds how often firstEjection is doubled.
	maxDoublings = 6
	// reportGain is the weight of a new report in the reported load.
	reportGain = 0.2
	// reportWeight is that of the reported load beside what the node sees itself.
	// Reports are late, and every node gets the same: more weight makes all
	// nodes turn to the same hosts at once.
	reportWeight = 0.25
	// fullReport is the reported load from which a host counts as full.
	fullReport = 2
	// reportLimit is the age at which a reported load has faded to nothing.
	reportLimit = 2 * time.Second
	// latencyGain is the weight of a new sample in the mean latency.
	latencyGain = 0.1
	// slowFactor is the ratio to a neighbour's mean latency that counts as slow.
	slowFactor = 4
	// slowSamples is the number of samples without which a mean latency means nothing.
	slowSamples = 10
	// slowFor is how long a host must stay slow to be ejected.
	slowFor = 3 * time.Second
	// trialEvery is how often an ejected host is tried while its zone has no other.
	trialEvery = 100 * time.Millisecond
)

// host is what this node knows of one upstream host. It is guarded by the
// picker's mutex.
type host struct {
	// inFlight counts the flights that have begun and not ended.
	inFlight int
	// views counts the sets that hold the host; at 0 it is forgotten once inFlight is 0.
	views int
	// reported is the moving mean of the loads that answers carried, as a
	// fraction of the limit, as of reportedAt.
	reported   float64
	reportedAt time.Time
	// heldUntil is until when the host asked to be left alone.
	heldUntil time.Time
	// failures counts consecutive failures.
	failures int
	// ejections counts ejections that a later spell of health has not made up for.
	ejections int
	// forgiveAt is when the next ejection is made up for.
	forgiveAt time.Time
	// ejectedAt and ejectedUntil bound the last ejection; zero for a host that was never ejected.
	ejectedAt, ejectedUntil time.Time
	// returned is when the slow start after the last ejection begins.
	returned time.Time
	// trialAt is when an ejected host was last tried.
	trialAt time.Time
	// latency is the mean in nanoseconds over samples.
	latency float64
	samples int
	// pace is the mean ratio of the host's service times to the typical ones, zero
	// before the first, and trip the mean time that requests are on their way, in
	// nanoseconds.
	pace, trip float64
	// pacedAt is when pace was last told.
	pacedAt time.Time
	// late holds the lateness of short and of long answers, see kind.
	late [2]lateness
	// link is the wait for the host's link that was reported at linkAt.
	link   time.Duration
	linkAt time.Time
	// unreached is true while the host's node does not answer.
	unreached bool
	// failRate is the mean share of requests that the upstream failed or refused.
	failRate float64
	// judged is true once an answer or a failure told something of failRate.
	judged bool
	// latest is the load last reported, as a fraction of the limit.
	latest float64
	// inFlightThen is what inFlight was when reported was last told.
	inFlightThen int
	// slowSince is when the host was first found slow in this spell, zero while it is not.
	slowSince time.Time
}

// weight returns the share of its slots that the host may be given now.
func (h *host) weight(now, since time.Time) float64 {
	if h.returned.After(since) {
		since = h.returned
	}
	if since.IsZero() {
		return 1
	}
	return min(max(float64(now.Sub(since))/float64(slowStart), minWeight), 1)
}

// load returns the expected use of that many slots once one more request is
// sent to the host.
func (h *host) load(now time.Time, slots float64) float64 {
	return float64(h.inFlight+1)/max(slots, 1) + reportWeight*h.report(now)
}

// report returns the reported load as a fraction that fades with its age.
func (h *host) report(now time.Time) float64 {
	age := now.Sub(h.reportedAt)
	if age >= reportLimit {
		return 0
	}
	return h.reported * (1 - float64(age)/float64(reportLimit))
}

// usable reports whether the host is neither ejected nor held.
func (h *host) usable(now time.Time) bool {
	return !h.unreached && !now.Before(h.ejectedUntil) && !now.Before(h.heldUntil)
}

// end takes in the outcome of a flight that began at that time.
func (h *host) end(now, began time.Time, o Outcome) {
	h.inFlight--
	if o.Busy {
		h.observeLoad(now, o.LoadPercent)
		return
	}
	if o.RetryAfter > 0 {
		h.heldUntil = now.Add(o.RetryAfter)
	}
	if o.Failed {
		h.fail(now, began)
		return
	}
	h.observeLoad(now, o.LoadPercent)
	if !began.After(h.ejectedAt) {
		return
	}
	h.failures = 0
	if !o.NotRun {
		h.observe(o.Latency)
		h.recover(now)
	}
}

// fail counts a failure. What began before the last ejection says nothing new;
// a failure during an ejection or the slow start after it ejects at once.
func (h *host) fail(now, began time.Time) {
	if !began.After(h.ejectedAt) {
		return
	}
	h.failures++
	if h.failures >= maxFailures || now.Before(h.returned.Add(slowStart)) {
		h.eject(now)
	}
}

// eject keeps new work away, for longer each time.
func (h *host) eject(now time.Time) {
	length := min(firstEjection<<min(h.ejections, maxDoublings), maxEjection)
	h.ejections++
	h.failures = 0
	h.ejectedAt = now
	h.ejectedUntil = now.Add(length)
	h.returned = h.ejectedUntil
	h.forgiveAt = h.returned.Add(slowStart)
	h.slowSince = time.Time{}
	h.samples = 0
}

// recover ends an ejection after a trial that went well, and forgives one
// ejection for each slow start's length in health.
func (h *host) recover(now time.Time) {
	if now.Before(h.ejectedUntil) {
		h.ejectedUntil = now
		h.returned = now
		h.forgiveAt = now.Add(slowStart)
		return
	}
	if h.ejections > 0 && !now.Before(h.forgiveAt) {
		h.ejections--
		h.forgiveAt = now.Add(slowStart)
	}
}

// observeLoad takes in a reported load.
func (h *host) observeLoad(now time.Time, percent int) {
	h.reported += reportGain * (float64(percent)/100 - h.reported)
	h.reportedAt = now
	h.latest = float64(percent) / 100
	h.inFlightThen = h.inFlight
}

// observe takes in the latency of an answer.
func (h *host) observe(latency time.Duration) {
	if latency <= 0 {
		return
	}
	if h.samples == 0 {
		h.latency = float64(latency)
	} else {
		h.latency += latencyGain * (float64(latency) - h.latency)
	}
	h.samples = min(h.samples+1, slowSamples)
}

// compare ejects the host when it has been much slower than its neighbour for long.
func (h *host) compare(now time.Time, neighbour *host) {
	if h.samples < slowSamples || neighbour.samples < slowSamples {
		return
	}
	if h.latency <= slowFactor*neighbour.latency {
		h.slowSince = time.Time{}
		return
	}
	if h.slowSince.IsZero() {
		h.slowSince = now
	}
	if now.Sub(h.slowSince) >= slowFor {
		h.eject(now)
	}
}
