package gate

import (
	"sync"
	"time"
)

const (
	// openThreshold is the moving failure rate from which the breaker is open, and
	// failureGain is the weight of one result in that rate. Together, fifteen
	// failures in a row open a breaker that had none before.
	openThreshold = 0.85
	failureGain   = 0.12
	// classThreshold is the moving failure rate below which a class of requests is
	// allowed even while the breaker is open, and classGain is the weight of one
	// result in that rate. Three failures in a row reach it.
	classThreshold = 0.5
	classGain      = 0.25
	// ProbeInterval is the time between requests that an open breaker lets through
	// to test the upstream. nonIdempotentProbeInterval is the same for requests that
	// must not run twice, which serve as probes if the upstream gets no other
	// requests.
	ProbeInterval              = 250 * time.Millisecond
	nonIdempotentProbeInterval = time.Second
)

// Breaker is a circuit breaker: it blocks requests to an upstream that fails
// nearly all of them. While it is open it still allows occasional probes, and
// classes of requests that the upstream handles well. The zero Breaker allows
// every request. It is safe for concurrent use.
type Breaker struct {
	mutex sync.Mutex
	// failureRate is the moving average of failures over all classes; guarded by
	// mutex.
	failureRate float64
	// classFailureRates is the same for each class; guarded by mutex.
	classFailureRates map[string]float64
	// lastProbe is when the open breaker last let a request through as a probe, or
	// when it opened; guarded by mutex.
	lastProbe time.Time
}

// Allow reports whether a request of the class may be sent to the upstream.
// Idempotent requests are let through as probes more often, because a failed one
// can be retried.
func (b *Breaker) Allow(now time.Time, class string, idempotent bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if rate, known := b.classFailureRates[class]; b.failureRate < openThreshold || known && rate < classThreshold {
		return true
	}
	interval := nonIdempotentProbeInterval
	if idempotent {
		interval = ProbeInterval
	}
	if now.Sub(b.lastProbe) < interval {
		return false
	}
	b.lastProbe = now
	return true
}

// Record updates the failure rates with the result of a request of the class that
// the upstream ran.
func (b *Breaker) Record(now time.Time, class string, failed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sample := 0.0
	if failed {
		sample = 1
	}
	if rate, known := b.classFailureRates[class]; known || len(b.classFailureRates) < maxClasses {
		if b.classFailureRates == nil {
			b.classFailureRates = make(map[string]float64)
		}
		b.classFailureRates[class] = rate + classGain*(sample-rate)
	}
	previous := b.failureRate
	b.failureRate += failureGain * (sample - b.failureRate)
	if previous < openThreshold && b.failureRate >= openThreshold {
		b.lastProbe = now
	}
}
