package shift

import (
	"math"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Key identifies the requests of one route that a release answered.
type Key struct {
	Release mesh.Release
	Route   string
}

// Count counts the outcomes of requests.
type Count struct {
	// Responses is the number of requests that reached the upstream, and Failures the
	// number of those that it failed or did not answer.
	Responses, Failures uint64
	// Timed is the number of requests whose service time is known. LogSum and LogSquares
	// are the sums of its logarithm in milliseconds and of the square of that.
	Timed              uint64
	LogSum, LogSquares float64
	// Late is the number of requests that took longer than LateFactor times the usual
	// service time of their route. They are counted at that time, so that a slow release
	// shows before it has answered.
	Late uint64
	// Started is the number of requests that were sent, and Ended the number of those whose
	// outcome is known. Refused is the number of requests among Ended that say nothing about
	// the release, because they did not run.
	Started, Ended, Refused uint64
}

// LateFactor is the multiple of the usual service time of a route after which a request is
// late. Upstreams of the same release differ by up to a factor of three.
const LateFactor = 5

// Counts holds the counts of one service.
type Counts map[Key]Count

// Outcome is the outcome of one request at an upstream.
type Outcome struct {
	Failed bool
	// ServiceTime is the time that the upstream took; zero if unknown. For a request that
	// was abandoned it is the time after which it was.
	ServiceTime time.Duration
}

// Record adds the outcome of one request.
func (c Counts) Record(key Key, outcome Outcome) {
	entry := c[key]
	entry.Responses++
	if outcome.Failed {
		entry.Failures++
	}
	if outcome.ServiceTime > 0 {
		// Times below one millisecond are noise of the measurement.
		log := math.Log(max(1, float64(outcome.ServiceTime)/float64(time.Millisecond)))
		entry.Timed++
		entry.LogSum += log
		entry.LogSquares += log * log
	}
	c[key] = entry
}

// RecordStart adds a request that is sent.
func (c Counts) RecordStart(key Key) {
	entry := c[key]
	entry.Started++
	c[key] = entry
}

// RecordEnd adds the end of a request. isRefused is true if it says nothing about the release.
func (c Counts) RecordEnd(key Key, isRefused bool) {
	entry := c[key]
	entry.Ended++
	if isRefused {
		entry.Refused++
	}
	c[key] = entry
}

// RecordLate adds a request that is late. It is recorded again once its outcome is known.
func (c Counts) RecordLate(key Key) {
	entry := c[key]
	entry.Late++
	c[key] = entry
}

// Add adds the other counts.
func (c Counts) Add(other Counts) {
	for key, o := range other {
		c[key] = c[key].plus(o)
	}
}

// plus returns the sum of two counts.
func (c Count) plus(o Count) Count {
	return Count{
		Responses: c.Responses + o.Responses, Failures: c.Failures + o.Failures, Timed: c.Timed + o.Timed,
		LogSum: c.LogSum + o.LogSum, LogSquares: c.LogSquares + o.LogSquares, Late: c.Late + o.Late,
		Started: c.Started + o.Started, Ended: c.Ended + o.Ended, Refused: c.Refused + o.Refused,
	}
}

// failureRate returns the fraction of failures; zero without responses.
func (c Count) failureRate() float64 {
	return float64(c.Failures) / float64(max(c.Responses, 1))
}

// lateRate returns the fraction of late requests, each late one counted as if it were
// answered later; zero without requests.
func (c Count) lateRate() float64 {
	return float64(c.Late) / float64(max(c.Responses+c.Late, 1))
}

// meanLog returns the mean of the logarithm of the service time, and its variance.
func (c Count) meanLog() (mean, variance float64) {
	n := float64(max(c.Timed, 1))
	mean = c.LogSum / n
	return mean, max(0, c.LogSquares/n-mean*mean)
}
