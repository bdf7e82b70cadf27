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
	// classShare is the mean share of failures below which a class of work is well,
	// whatever the others do, and classGain the weight of one more end in it: three
	// failures in a row.
	classShare = 0.5
	classGain  = 0.25
	// ProbeInterval is the time between two works that a failing upstream still gets, and
	// riskyProbeTime the same for work that must not run twice, for an upstream that
	// gets no other.
	ProbeInterval  = 250 * time.Millisecond
	riskyProbeTime = time.Second
)

// Breaker keeps work from an upstream that fails nearly all it runs, except for
// some that shows whether it is well again, and for classes of work that it runs
// well. The zero Breaker admits all. It is safe for concurrent use.
type Breaker struct {
	mutex sync.Mutex
	// share is the mean share of failures; guarded by mutex.
	share float64
	// classes hold the same for each class of work; guarded by mutex.
	classes map[string]float64
	// probed is when a failing upstream last got work; guarded by mutex.
	probed time.Time
}

// Allow reports whether the upstream may get work of the class. Repeatable work
// shows sooner whether it is well, since nothing is lost with it.
func (b *Breaker) Allow(now time.Time, class string, repeatable bool) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if share, known := b.classes[class]; b.share < failingShare || known && share < classShare {
		return true
	}
	wait := riskyProbeTime
	if repeatable {
		wait = ProbeInterval
	}
	if now.Sub(b.probed) < wait {
		return false
	}
	b.probed = now
	return true
}

// Record takes in how work of the class ended that the upstream ran.
func (b *Breaker) Record(now time.Time, class string, failed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	sample := 0.0
	if failed {
		sample = 1
	}
	if share, known := b.classes[class]; known || len(b.classes) < maxClasses {
		if b.classes == nil {
			b.classes = make(map[string]float64)
		}
		b.classes[class] = share + classGain*(sample-share)
	}
	before := b.share
	b.share += failingGain * (sample - b.share)
	if before < failingShare && b.share >= failingShare {
		b.probed = now
	}
}
