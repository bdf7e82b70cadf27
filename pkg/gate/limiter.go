package gate

import (
	"math"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// coldFraction is the part of the slots that a cold upstream starts with.
	coldFraction = 0.25
	// increase is what the limit gains while as many requests finish as it lets in.
	increase = 0.25
	// shedDecrease is the factor for a limit at which the upstream shed.
	shedDecrease = 0.85
	// shedHold is how long the limit does not rise after the upstream shed.
	shedHold = time.Second
	// slowDecrease is the factor for a limit at which the upstream slowed down.
	slowDecrease = 0.7
	// slowRatio is the ratio of service times to the baseline that counts as slow.
	slowRatio = 2.0
	// wellRatio is the ratio of service times to the baseline up to which the limit rises.
	wellRatio = 1.5
	// keptThroughput is the part of the throughput that a lower limit must keep to stand.
	keptThroughput = 0.85
	// firstAccept is how long a slowness stands that a lower limit did not mend;
	// it doubles with each further trial that fails.
	firstAccept = 500 * time.Millisecond
	// maxAccept bounds the time between trials.
	maxAccept = 8 * time.Second
	// paceGain is the weight of a new sample in the pace.
	paceGain = 1.0 / 16
	// roundSamples is the number of completions that are judged together.
	roundSamples = 32
)

// limiter adapts the concurrency that an upstream gets to what it bears:
// additive increase while it is well, multiplicative decrease when it sheds or
// slows down. A decrease for slowness stands only if the throughput bears out
// that concurrency was the cause; otherwise something behind the upstream is
// slow, and fewer requests at once would only lose throughput.
type limiter struct {
	// slots is the upper bound; zero before configure and then at least 1.
	slots int
	// fixed keeps the limit at slots.
	fixed bool
	// value is at most slots; below 1 it counts as 1.
	value float64
	// coldSince is when the upstream was configured first.
	coldSince time.Time
	slowStart time.Duration
	// changed is when the limit last fell or was set back; what started before
	// it tells nothing about the present limit.
	changed time.Time
	// shedAt is when the upstream last shed.
	shedAt time.Time
	// acceptUntil is until when slowness is accepted.
	acceptUntil time.Time
	// accept is the length of the last acceptance, zero once the upstream is well.
	accept time.Duration
	// baselines hold the service time of each priority on a well upstream.
	baselines [mesh.NumPriorities]baseline
	round     round
	// last is the round before the limit fell, nil unless that decrease is on trial.
	last *verdict
	// ratio is that of the last whole round, zero before the first.
	ratio float64
	// pace is the moving mean of slownesses, the logarithms of ratios.
	pace float64
}

// verdict is what a round showed.
type verdict struct {
	// ratio is the geometric mean of service times against the baseline.
	ratio float64
	// concurrency is the mean number of running requests.
	concurrency float64
	// limit is the limit at the end of the round.
	limit float64
}

// throughput is proportional to the completions a second, by Little's law.
func (v verdict) throughput() float64 {
	return v.concurrency / v.ratio
}

func (l *limiter) configure(now time.Time, slots int, slowStart time.Duration) {
	if l.slots == 0 {
		l.coldSince = now
	}
	if l.slots < slots {
		l.value += float64(slots - l.slots)
	}
	l.slots = slots
	l.slowStart = slowStart
	l.value = min(l.value, float64(slots))
}

// current returns the limit, at least 1.
func (l *limiter) current(now time.Time) int {
	if l.fixed {
		return max(l.slots, 1)
	}
	return max(int(min(l.value, l.warm(now))), 1)
}

// warm returns the limit that the slow start allows.
func (l *limiter) warm(now time.Time) float64 {
	age := now.Sub(l.coldSince)
	if age >= l.slowStart {
		return float64(l.slots)
	}
	part := coldFraction + (1-coldFraction)*float64(age)/float64(l.slowStart)
	return part * float64(l.slots)
}

// nextRise returns when the slow start allows one slot more, zero when it has ended.
func (l *limiter) nextRise(now time.Time) (next time.Time) {
	if now.Sub(l.coldSince) >= l.slowStart || l.slots == 0 {
		return next
	}
	target := float64(int(l.warm(now))+1) / float64(l.slots)
	part := (target - coldFraction) / (1 - coldFraction)
	next = l.coldSince.Add(time.Duration(part*float64(l.slowStart)) + time.Microsecond)
	return earliest(next, l.coldSince.Add(l.slowStart))
}

// learn takes in one completion; running counts the requests that held slots
// just before it.
func (l *limiter) learn(now time.Time, w *Request, elapsed time.Duration, result Result, running int) {
	busy := running >= l.current(now)
	switch {
	case result.Shed:
		l.shed(now, w, running)
	case result.Failed:
	default:
		l.baselines[w.Priority].learn(elapsed)
		slowness := l.baselines[w.Priority].slowness(elapsed)
		l.pace += paceGain * (slowness - l.pace)
		if !w.started.Before(l.changed) {
			l.judge(now, slowness, running)
		}
		if busy && l.mayRise(now) {
			l.value = min(l.value+increase/max(l.value, 1), float64(l.slots))
		}
	}
}

func (l *limiter) mayRise(now time.Time) bool {
	if !l.shedAt.IsZero() && now.Sub(l.shedAt) < shedHold {
		return false
	}
	return l.ratio <= wellRatio || now.Before(l.acceptUntil)
}

// shed lowers the limit once for all the work that the present limit let in.
func (l *limiter) shed(now time.Time, w *Request, running int) {
	l.shedAt = now
	if w.started.Before(l.changed) {
		return
	}
	l.set(now, min(l.value, float64(running))*shedDecrease)
	l.last = nil
}

func (l *limiter) set(now time.Time, value float64) {
	l.value = min(max(value, 1), float64(max(l.slots, 1)))
	l.changed = now
	l.round = round{}
}

// judge takes in a sample and, once a round is whole, changes the limit by it.
func (l *limiter) judge(now time.Time, slowness float64, running int) {
	v, whole := l.round.add(slowness, running)
	if !whole {
		return
	}
	v.limit = l.value
	l.ratio = v.ratio
	last := l.last
	l.last = nil
	switch {
	case v.ratio <= slowRatio:
		l.accept = 0
	case now.Before(l.acceptUntil):
	case last != nil && v.throughput() < keptThroughput*last.throughput():
		l.accept = min(max(2*l.accept, firstAccept), maxAccept)
		l.acceptUntil = now.Add(l.accept)
		l.set(now, last.limit)
	default:
		l.last = &v
		l.set(now, min(l.value, v.concurrency)*slowDecrease)
	}
}

// round collects the samples that are judged together.
type round struct {
	slowness float64
	running  int
	samples  int
}

// add takes in a sample; whole is true when it completed the round.
func (r *round) add(slowness float64, running int) (v verdict, whole bool) {
	r.slowness += slowness
	r.running += running
	r.samples++
	if r.samples < roundSamples {
		return v, false
	}
	v = verdict{ratio: math.Exp2(r.slowness / roundSamples), concurrency: float64(r.running) / roundSamples}
	*r = round{}
	return v, true
}
