package gate

import (
	"sync"
	"time"
)

const (
	// failingShare is the mean share of failures from which an upstream counts as
	// failing, and failingGain the weight of one more end in it: fifteen failures in
	// a row.
	failingShare = 0.85
	failingGain  = 0.12
	// ProbeTime is the time between two works that a failing upstream still gets, and
	// riskyProbeTime the same for work that must not run twice, for an upstream that
	// gets no other.
	ProbeTime      = 250 * time.Millisecond
	riskyProbeTime = time.Second
)

// Breaker keeps work from an upstream that fails nearly all it runs, except for
// some that shows whether it is well again. The zero Breaker admits all. It is
// safe for concurrent use.
type Breaker struct {
	mutex sync.Mutex
	// share is the mean share of failures; guarded by mutex.
	share float64
	// probed is when a failing upstream last got work; guarded by mutex.
	probed time.Time
}

// Admits reports whether the upstream may get the work. Repeatable work shows
// sooner whether it is well, since nothing is lost with it.
func (b *Breaker) Admits(now time.Time, repeatable bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.share < failingShare {
		return true
	}
	wait := riskyProbeTime
	if repeatable {
		wait = ProbeTime
	}
	if now.Sub(b.probed) < wait {
		return false
	}
	b.probed = now
	return true
}

// Ended takes in how work ended that the upstream ran.
func (b *Breaker) Ended(now time.Time, failed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sample := 0.0
	if failed {
		sample = 1
	}
	before := b.share
	b.share += failingGain * (sample - b.share)
	if before < failingShare && b.share >= failingShare {
		b.probed = now
	}
}
