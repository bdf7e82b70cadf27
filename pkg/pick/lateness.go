package pick

import (
	"math"
	"time"
)

const (
	// A response is late once it takes longer than lateFactor times the expected latency
	// plus lateGrace.
	lateFactor = 2
	lateGrace  = 50 * time.Millisecond
	// latenessGain is the weight of a new sample in the lateness of a host.
	latenessGain = 0.25
	// latenessHalfLife is the half-life of the lateness. The decay allows a late host to
	// be tried again.
	latenessHalfLife = time.Second
	// linkWaitTTL is the age at which a reported wait for the link no longer counts.
	linkWaitTTL = 2 * time.Second
)

// lateness measures by how much the responses of a host exceed their expected
// latency. For a host that does not respond at all, it is the only sign that the
// host is slow.
type lateness struct {
	// mean is in nanoseconds, at updatedAt.
	mean      float64
	updatedAt time.Time
	// pending holds the attempts in flight, in the order of their start.
	pending []pendingAttempt
}

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	startedAt time.Time
	// due is the time after which the response is late.
	due time.Time
}

// begin adds an attempt with the given expected latency.
func (l *lateness) begin(now time.Time, expected time.Duration) {
	l.pending = append(l.pending, pendingAttempt{startedAt: now, due: now.Add(lateFactor*expected + lateGrace)})
}

// end removes the attempt that began at startedAt and records its lateness.
// informative is false when the end of the attempt says nothing about the host, for
// example because the caller disconnected or the upstream was not reached; it is then
// recorded only if it was late.
func (l *lateness) end(now, startedAt time.Time, informative bool) {
	for i, a := range l.pending {
		if !a.startedAt.Equal(startedAt) {
			continue
		}
		l.pending = append(l.pending[:i], l.pending[i+1:]...)
		late := max(now.Sub(a.due), 0)
		if informative || late > 0 {
			mean := l.decayedMean(now)
			l.mean, l.updatedAt = mean+latenessGain*(float64(late)-mean), now
		}
		return
	}
}

// decayedMean returns the mean lateness after its decay since the last update.
func (l *lateness) decayedMean(now time.Time) float64 {
	if l.mean == 0 {
		return 0
	}
	return l.mean * math.Exp2(-float64(now.Sub(l.updatedAt))/float64(latenessHalfLife))
}

// penalty returns the time in nanoseconds to add to the expected latency: the
// greater of the mean lateness of finished attempts and the mean time by which
// attempts in flight are overdue.
func (l *lateness) penalty(now time.Time) float64 {
	overdue := time.Duration(0)
	for _, a := range l.pending {
		overdue += max(now.Sub(a.due), 0)
	}
	return max(l.decayedMean(now), float64(overdue)/float64(max(len(l.pending), 1)))
}

// linkWait returns the last reported wait for the network link of the host in
// nanoseconds, reduced linearly with its age.
func (h *hostState) linkWait(now time.Time) float64 {
	age := now.Sub(h.linkWaitAt)
	if age >= linkWaitTTL {
		return 0
	}
	return float64(h.reportedLinkWait) * (1 - float64(age)/float64(linkWaitTTL))
}
