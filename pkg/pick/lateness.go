package pick

import (
	"math"
	"time"
)

const (
	// lateFactor is by how much an answer may exceed what was expected, and
	// lateGrace what it may take besides, before it counts as late.
	lateFactor = 2
	lateGrace  = 50 * time.Millisecond
	// lateGain is the weight of a new sample in a host's lateness.
	lateGain = 0.25
	// lateHalf is the time in which a lateness halves, so that the host is tried again.
	lateHalf = time.Second
	// linkLimit is the age at which a reported wait for a link has faded to nothing.
	linkLimit = 2 * time.Second
)

// lateness is by how much a host's answers exceed what was expected of them:
// for a host that does not answer at all, nothing else tells that it is slow.
type lateness struct {
	// mean is in nanoseconds, as of that time.
	mean float64
	at   time.Time
	// flights are under way; the first began first.
	flights []flown
}

// flown is a flight under way.
type flown struct {
	began time.Time
	// due is when the answer begins to be late.
	due time.Time
}

// begin counts a flight that is expected to take that long.
func (l *lateness) begin(now time.Time, expected time.Duration) {
	l.flights = append(l.flights, flown{began: now, due: now.Add(lateFactor*expected + lateGrace)})
}

// end takes in that the flight ended; counts is false when its end tells nothing
// of the host.
func (l *lateness) end(now, began time.Time, counts bool) {
	for i, f := range l.flights {
		if !f.began.Equal(began) {
			continue
		}
		l.flights = append(l.flights[:i], l.flights[i+1:]...)
		late := max(now.Sub(f.due), 0)
		if counts || late > 0 {
			mean := l.faded(now)
			l.mean, l.at = mean+lateGain*(float64(late)-mean), now
		}
		return
	}
}

// faded returns the mean as it counts now.
func (l *lateness) faded(now time.Time) float64 {
	if l.mean == 0 {
		return 0
	}
	return l.mean * math.Exp2(-float64(now.Sub(l.at))/float64(lateHalf))
}

// cost returns what is to be added to the time that an answer is expected to
// take: the lateness of answers that came, and that of those under way.
func (l *lateness) cost(now time.Time) float64 {
	waiting := time.Duration(0)
	for _, f := range l.flights {
		waiting += max(now.Sub(f.due), 0)
	}
	return max(l.faded(now), float64(waiting)/float64(max(len(l.flights), 1)))
}

// linkWait returns the wait for the host's link that was last reported, which
// fades with its age.
func (h *host) linkWait(now time.Time) float64 {
	age := now.Sub(h.linkAt)
	if age >= linkLimit {
		return 0
	}
	return float64(h.link) * (1 - float64(age)/float64(linkLimit))
}
