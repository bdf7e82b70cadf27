package gate

import "time"

const (
	// minBusyPercent is the percentage of slots that must be busy for the ages of
	// running requests to count. Otherwise a few long requests would keep the other
	// slots empty.
	minBusyPercent = 60
	// minFinished is the number of requests that must have finished before. The
	// first ones to finish are the short ones, and compared with them all others
	// look slow.
	minFinished = 32
	// healthyMeanAge is the mean age of running requests on a healthy upstream, in
	// multiples of the service time.
	healthyMeanAge = 0.5
	// slowMeanAge is the mean age from which the upstream counts as slow, in
	// multiples of the service time.
	slowMeanAge = 1.0
	// minExpected is the lower bound of the expected service time, which is 0 if
	// unknown.
	minExpected = 10 * time.Millisecond
)

// stallDetector detects from the ages of running requests that an upstream has
// become slower than its completions show. An upstream that hangs completes
// nothing, so its completions alone would never show it.
type stallDetector struct {
	// epoch is when the first request started.
	epoch   time.Time
	running int
	// finished counts the requests that have finished.
	finished int
	// sumRates is the sum of 1/s over the running requests, and sumStarts the sum of
	// t/s, where s is the expected service time and t the start time since epoch,
	// both in seconds. From these, slowdown gets the mean age without a loop.
	sumRates, sumStarts float64
}

// start adds a request that starts now with the expected service time.
func (s *stallDetector) start(now time.Time, r *Request, expected time.Duration) {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	r.expectedServiceTime = max(expected, minExpected)
	s.running++
	s.sumRates += 1 / r.expectedServiceTime.Seconds()
	s.sumStarts += now.Sub(s.epoch).Seconds() / r.expectedServiceTime.Seconds()
}

// finish removes a request that has finished.
func (s *stallDetector) finish(r *Request) {
	s.running--
	s.finished++
	s.sumRates -= 1 / r.expectedServiceTime.Seconds()
	s.sumStarts -= r.started.Sub(s.epoch).Seconds() / r.expectedServiceTime.Seconds()
	if s.running == 0 {
		s.sumRates, s.sumStarts = 0, 0
	}
}

// slowdown returns the factor by which service times have grown, at least 1.
func (s *stallDetector) slowdown(now time.Time, slots int) float64 {
	if s.running*100 < slots*minBusyPercent || s.running == 0 || s.finished < minFinished {
		return 1
	}
	age := (now.Sub(s.epoch).Seconds()*s.sumRates - s.sumStarts) / float64(s.running)
	if age < slowMeanAge {
		return 1
	}
	return age / healthyMeanAge
}
