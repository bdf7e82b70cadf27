package gate

import (
	"math"
	"time"
)

const (
	// meanGain is the weight of a new sample; it is the gain that RFC 6298 uses for
	// the smoothed round-trip time.
	meanGain = 1.0 / 8
	// estimateHold is how long an estimate stays unchanged without samples, in
	// multiples of itself.
	estimateHold = 2
	// estimateDecay is how long an estimate then takes to fall to zero, in multiples
	// of itself. An upstream that was slow has to get new requests to show that it
	// has recovered; a high estimate would keep rejecting them.
	estimateDecay = 4
)

// estimate is the typical service time of one priority or class: the moving
// geometric mean of its completions, on which a few much slower requests have
// little effect. The zero estimate is 0.
type estimate struct {
	// mean is the moving mean of the binary logarithms.
	mean float64
	// updated is the time of the last sample, zero before the first.
	updated time.Time
	// logSlowdown is the slowdown of the upstream at the last sample; see
	// limiter.logSlowdown.
	logSlowdown float64
}

// log2 returns the binary logarithm of a service time in nanoseconds.
func log2(elapsed time.Duration) float64 {
	return math.Log2(float64(max(elapsed, 1)))
}

// observe adds a completion. A request that the upstream failed or shed early is
// ignored: it only shows that its service time would have been longer. logSlowdown
// is the current slowdown of the upstream over all priorities.
func (e *estimate) observe(now time.Time, elapsed time.Duration, result Result, logSlowdown float64) {
	sample := log2(elapsed)
	if (result.Shed || result.Failed) && sample <= e.mean {
		return
	}
	if e.updated.IsZero() {
		e.mean = sample
	} else {
		e.mean += meanGain * (sample - e.mean)
	}
	e.updated = now
	e.logSlowdown = logSlowdown
}

// lastValue returns the estimate as of the last sample, without decay.
func (e *estimate) lastValue() time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	return time.Duration(math.Exp2(e.mean))
}

// get returns the estimated service time. If the upstream has become faster since
// the last sample, as the completions of other priorities show, the estimate falls
// with its slowdown.
func (e *estimate) get(now time.Time, logSlowdown float64) time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	typical := math.Exp2(e.mean)
	value := typical * math.Exp2(min(logSlowdown-e.logSlowdown, 0))
	if idle := float64(now.Sub(e.updated)) - estimateHold*typical; idle > 0 {
		value *= max(1-idle/(estimateDecay*typical), 0)
	}
	return time.Duration(value)
}
