package gate

import (
	"math"
	"time"
)

const (
	// meanGain is the weight of a new sample, as in RFC 6298.
	meanGain = 1.0 / 8
	// estimateHold is how long an estimate stands without samples, in service times.
	estimateHold = 2
	// estimateDecay is how long an estimate then takes to reach zero, in service
	// times, so that an upstream that was slow gets new work to prove itself.
	estimateDecay = 4
)

// estimate learns the typical service time of one priority from completions:
// their geometric mean, which a few requests that take much longer hardly
// move. The zero estimate is zero.
type estimate struct {
	// mean is the moving mean of the logarithms.
	mean float64
	// updated is the time of the last sample, zero before the first.
	updated time.Time
	// pace is that of the upstream at the last sample.
	pace float64
}

// logarithm returns the binary logarithm of a service time in nanoseconds.
func logarithm(elapsed time.Duration) float64 {
	return math.Log2(float64(max(elapsed, 1)))
}

// learn takes in one completion. A failure or a refusal by the upstream says
// only that the service time would have been longer. The pace tells how slow the
// upstream is for work of all priorities.
func (e *estimate) learn(now time.Time, elapsed time.Duration, result Result, pace float64) {
	sample := logarithm(elapsed)
	if (result.Shed || result.Failed) && sample <= e.mean {
		return
	}
	if e.updated.IsZero() {
		e.mean = sample
	} else {
		e.mean += meanGain * (sample - e.mean)
	}
	e.updated = now
	e.pace = pace
}

// last returns the estimate as of the last sample.
func (e *estimate) last() time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	return time.Duration(math.Exp2(e.mean))
}

// get returns the estimated service time. It falls with the upstream's pace,
// which other priorities may have found to be better than at the last sample.
func (e *estimate) get(now time.Time, pace float64) time.Duration {
	if e.updated.IsZero() {
		return 0
	}
	typical := math.Exp2(e.mean)
	value := typical * math.Exp2(min(pace-e.pace, 0))
	if idle := float64(now.Sub(e.updated)) - estimateHold*typical; idle > 0 {
		value *= max(1-idle/(estimateDecay*typical), 0)
	}
	return time.Duration(value)
}
