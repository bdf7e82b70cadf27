package gate

import (
	"math"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// slowStartFraction is the part of the slots that a new upstream starts with.
	slowStartFraction = 0.25
	// additiveIncrease is how much the limit grows while as many requests complete
	// as it admits at once.
	additiveIncrease = 0.25
	// shedDecreaseFactor scales the limit down after the upstream shed a request.
	shedDecreaseFactor = 0.85
	// shedCooldown is how long the limit does not rise after the upstream shed a
	// request.
	shedCooldown = time.Second
	// slowDecreaseFactor scales the limit down after the upstream slowed down.
	slowDecreaseFactor = 0.7
	// slowThreshold is the ratio of service times to the baseline above which the
	// upstream counts as slow.
	slowThreshold = 2.0
	// healthyThreshold is the ratio of service times to the baseline up to which the
	// limit may rise.
	healthyThreshold = 1.5
	// minThroughputRatio is the part of the previous throughput that a lower limit
	// must keep; otherwise the decrease is undone.
	minThroughputRatio = 0.85
	// minAcceptPeriod is how long a slowdown is accepted after a decrease of the
	// limit did not help. The period doubles with each further decrease that is
	// undone.
	minAcceptPeriod = 500 * time.Millisecond
	// maxAcceptPeriod bounds the time between two trial decreases.
	maxAcceptPeriod = 8 * time.Second
	// slowdownGain is the weight of a new sample in limiter.logSlowdown.
	slowdownGain = 1.0 / 16
	// windowSamples is the number of completions that are evaluated together.
	windowSamples = 32
)

// limiter adapts the concurrency limit to what the upstream can handle: additive
// increase while it is healthy, multiplicative decrease when it sheds requests or
// slows down. A decrease for a slowdown is a trial: it is undone if the throughput
// falls with it. In that case concurrency was not the cause; something behind the
// upstream is slow, and a lower limit would only lose throughput.
type limiter struct {
	// slots is the upper bound of the limit; 0 before configure is called, at least
	// 1 afterwards.
	slots int
	// fixed keeps the limit at slots.
	fixed bool
	// limit is at most slots; a value below 1 counts as 1.
	limit float64
	// configuredAt is when the limiter was first configured, which begins the slow
	// start.
	configuredAt time.Time
	slowStart    time.Duration
	// changedAt is when the limit was last decreased or restored. Requests that
	// started earlier say nothing about the current limit.
	changedAt time.Time
	// shedAt is when the upstream last shed a request.
	shedAt time.Time
	// acceptUntil is when the current accept period ends; until then a slowdown does
	// not decrease the limit.
	acceptUntil time.Time
	// acceptPeriod is the length of the last accept period, 0 once the upstream is
	// no longer slow.
	acceptPeriod time.Duration
	// baselines hold the service time of each priority on a healthy upstream.
	baselines [mesh.NumPriorities]baseline
	window    sampleWindow
	// beforeDecrease is the window before a trial decrease, nil if there is no
	// trial.
	beforeDecrease *windowStats
	// slowdown is that of the last complete window, 0 before the first.
	slowdown float64
	// logSlowdown is the moving mean, over all priorities, of the binary logarithm
	// of the ratio of service times to their baselines.
	logSlowdown float64
}

// windowStats is the result of a complete sample window.
type windowStats struct {
	// slowdown is the geometric mean of the ratio of service times to the baseline.
	slowdown float64
	// concurrency is the mean number of running requests.
	concurrency float64
	// limit is the limit at the end of the window.
	limit float64
}

// throughput is proportional to completions per second, by Little's law.
func (s windowStats) throughput() float64 {
	return s.concurrency / s.slowdown
}

func (l *limiter) configure(now time.Time, slots int, slowStart time.Duration) {
	if l.slots == 0 {
		l.configuredAt = now
	}
	if l.slots < slots {
		l.limit += float64(slots - l.slots)
	}
	l.slots = slots
	l.slowStart = slowStart
	l.limit = min(l.limit, float64(slots))
}

// current returns the limit, at least 1.
func (l *limiter) current(now time.Time) int {
	if l.fixed {
		return max(l.slots, 1)
	}
	return max(int(min(l.limit, l.slowStartLimit(now))), 1)
}

// slowStartLimit returns the limit that the slow start allows.
func (l *limiter) slowStartLimit(now time.Time) float64 {
	age := now.Sub(l.configuredAt)
	if age >= l.slowStart {
		return float64(l.slots)
	}
	part := slowStartFraction + (1-slowStartFraction)*float64(age)/float64(l.slowStart)
	return part * float64(l.slots)
}

// nextIncrease returns when the slow start allows one more slot, zero once it has
// ended.
func (l *limiter) nextIncrease(now time.Time) (next time.Time) {
	if now.Sub(l.configuredAt) >= l.slowStart || l.slots == 0 {
		return next
	}
	target := float64(int(l.slowStartLimit(now))+1) / float64(l.slots)
	part := (target - slowStartFraction) / (1 - slowStartFraction)
	next = l.configuredAt.Add(time.Duration(part*float64(l.slowStart)) + time.Microsecond)
	return earliest(next, l.configuredAt.Add(l.slowStart))
}

// observe adds a completion. running is the number of requests that held slots
// just before it.
func (l *limiter) observe(now time.Time, r *Request, elapsed time.Duration, result Result, running int) {
	busy := running >= l.current(now)
	switch {
	case result.Shed:
		l.onShed(now, r, running)
	case result.Failed:
	default:
		l.baselines[r.Priority].observe(elapsed)
		logRatio := l.baselines[r.Priority].logRatio(elapsed)
		l.logSlowdown += slowdownGain * (logRatio - l.logSlowdown)
		if !r.started.Before(l.changedAt) {
			l.evaluate(now, logRatio, running)
		}
		if busy && l.mayIncrease(now) {
			l.limit = min(l.limit+additiveIncrease/max(l.limit, 1), float64(l.slots))
		}
	}
}

func (l *limiter) mayIncrease(now time.Time) bool {
	if !l.shedAt.IsZero() && now.Sub(l.shedAt) < shedCooldown {
		return false
	}
	return l.slowdown <= healthyThreshold || now.Before(l.acceptUntil)
}

// onShed decreases the limit after the upstream shed a request, but only once for
// all the requests that were admitted under the current limit.
func (l *limiter) onShed(now time.Time, r *Request, running int) {
	l.shedAt = now
	if r.started.Before(l.changedAt) {
		return
	}
	l.setLimit(now, min(l.limit, float64(running))*shedDecreaseFactor)
	l.beforeDecrease = nil
}

func (l *limiter) setLimit(now time.Time, limit float64) {
	l.limit = min(max(limit, 1), float64(max(l.slots, 1)))
	l.changedAt = now
	l.window = sampleWindow{}
}

// evaluate adds a sample and, once the window is complete, adapts the limit.
func (l *limiter) evaluate(now time.Time, logRatio float64, running int) {
	stats, complete := l.window.add(logRatio, running)
	if !complete {
		return
	}
	stats.limit = l.limit
	l.slowdown = stats.slowdown
	previous := l.beforeDecrease
	l.beforeDecrease = nil
	switch {
	case stats.slowdown <= slowThreshold:
		l.acceptPeriod = 0
	case now.Before(l.acceptUntil):
	case previous != nil && stats.throughput() < minThroughputRatio*previous.throughput():
		l.acceptPeriod = min(max(2*l.acceptPeriod, minAcceptPeriod), maxAcceptPeriod)
		l.acceptUntil = now.Add(l.acceptPeriod)
		l.setLimit(now, previous.limit)
	default:
		l.beforeDecrease = &stats
		l.setLimit(now, min(l.limit, stats.concurrency)*slowDecreaseFactor)
	}
}

// sampleWindow accumulates the samples that are evaluated together.
type sampleWindow struct {
	logRatio float64
	running  int
	samples  int
}

// add adds a sample; complete is true if it was the last one of the window.
func (w *sampleWindow) add(logRatio float64, running int) (stats windowStats, complete bool) {
	w.logRatio += logRatio
	w.running += running
	w.samples++
	if w.samples < windowSamples {
		return stats, false
	}
	stats = windowStats{slowdown: math.Exp2(w.logRatio / windowSamples), concurrency: float64(w.running) / windowSamples}
	*w = sampleWindow{}
	return stats, true
}
