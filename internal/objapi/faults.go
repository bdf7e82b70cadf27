package objapi

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Default rates, in calls a second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Outage says how calls fail while the stand-in is down.
type Outage string

// The ways to be down.
const (
	NoOutage Outage = ""
	// OutageRefuse answers 503; the call has no effect.
	OutageRefuse Outage = "refuse"
	// OutageDrop closes the connection without an answer; the call has no effect.
	OutageDrop Outage = "drop"
)

// Faults says how the stand-in misbehaves. The zero Faults is none at all,
// with the default rates.
type Faults struct {
	// Latency is added before each call is carried out.
	Latency time.Duration
	// Outage makes every call fail.
	Outage Outage
	// LoseResponses counts the writes to come that take effect and whose
	// connection is then closed without an answer.
	LoseResponses int
	// FreezeWatches makes watches that wait now or come later never answer,
	// not even after it is unset, while their connections stay open.
	FreezeWatches bool
	// EventDelay keeps events of writes to come from watches for that time.
	EventDelay time.Duration
	// DuplicateEvents delivers each event twice, the whole sequence once more after
	// the first.
	DuplicateEvents bool
	// ShuffleEvents delivers the events of an answer in random order.
	ShuffleEvents bool
	// WritesPerSecond bounds accepted writes; zero means DefaultWritesPerSecond.
	WritesPerSecond int
	// ReadsPerSecond bounds accepted reads and watches; zero means
	// DefaultReadsPerSecond.
	ReadsPerSecond int
}

// check reports what makes the faults unusable.
func (f Faults) check() (err error) {
	switch {
	case f.Outage != NoOutage && f.Outage != OutageRefuse && f.Outage != OutageDrop:
		return fmt.Errorf("down is %q, want refuse, drop or nothing", f.Outage)
	case f.Latency < 0 || f.EventDelay < 0:
		return fmt.Errorf("a duration is negative")
	case f.LoseResponses < 0 || f.WritesPerSecond < 0 || f.ReadsPerSecond < 0:
		return fmt.Errorf("a number is negative")
	}
	return nil
}

// switchboard holds the faults in force.
type switchboard struct {
	mutex sync.Mutex
	// current and all below are guarded by mutex.
	current Faults
	// freezes counts how often FreezeWatches was set.
	freezes uint64
	// changed is closed and replaced with each change; nil before first use.
	changed chan struct{}
	// writes and reads are nil until the first call after a change of rates.
	writes *rate.Limiter
	reads  *rate.Limiter
	// random is nil until the first shuffle.
	random *rand.Rand
}

func (s *switchboard) set(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.FreezeWatches && !s.current.FreezeWatches {
		s.freezes++
	}
	if faults.WritesPerSecond != s.current.WritesPerSecond {
		s.writes = nil
	}
	if faults.ReadsPerSecond != s.current.ReadsPerSecond {
		s.reads = nil
	}
	s.current = faults
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// get returns the faults, the count of freezes, and a channel that is closed
// at the next change.
func (s *switchboard) get() (faults Faults, freezes uint64, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.current, s.freezes, s.changed
}

// allow takes a token for a write or read and reports whether there was one.
func (s *switchboard) allow(write bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if write {
		if s.writes == nil {
			s.writes = limiter(s.current.WritesPerSecond, DefaultWritesPerSecond)
		}
		return s.writes.Allow()
	}
	if s.reads == nil {
		s.reads = limiter(s.current.ReadsPerSecond, DefaultReadsPerSecond)
	}
	return s.reads.Allow()
}

// limiter admits that many calls a second, with a burst of a tenth of it.
func limiter(perSecond, standard int) *rate.Limiter {
	if perSecond == 0 {
		perSecond = standard
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/10, 1))
}

// loseAnswer reports whether the answer to a write is to be lost.
func (s *switchboard) loseAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current.LoseResponses == 0 {
		return false
	}
	s.current.LoseResponses--
	return true
}

// disturb delivers the events twice or out of order, as the faults say.
func (s *switchboard) disturb(events []Event, seed uint64) []Event {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current.DuplicateEvents {
		events = append(events[:len(events):len(events)], events...)
	}
	if s.current.ShuffleEvents {
		if s.random == nil {
			s.random = rand.New(rand.NewPCG(seed, seed))
		}
		s.random.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	}
	return events
}
