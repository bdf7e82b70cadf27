package objapi

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Default rate limits, in calls per second.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Outage is the way in which all calls fail.
type Outage string

// Kinds of outages.
const (
	NoOutage Outage = ""
	// OutageRefuse answers with 503; the call has no effect.
	OutageRefuse Outage = "refuse"
	// OutageDrop closes the connection without a response; the call has no effect.
	OutageDrop Outage = "drop"
)

// Faults configures the injected faults and the rate limits. The zero Faults
// injects none and uses the default rates.
type Faults struct {
	// Latency delays each call before it is processed.
	Latency time.Duration
	// Outage makes every call fail; NoOutage disables it.
	Outage Outage
	// LoseResponses is the number of coming writes that take effect but whose
	// connection is closed without a response.
	LoseResponses int
	// FreezeWatches makes current and new watches hang with their connections
	// open. They do not resume when it is unset.
	FreezeWatches bool
	// EventDelay delays the delivery of events of coming writes to watches.
	EventDelay time.Duration
	// DuplicateEvents repeats the sequence of events in each watch response.
	DuplicateEvents bool
	// ShuffleEvents puts the events of each watch response in random order.
	ShuffleEvents bool
	// WritesPerSecond limits writes; zero means DefaultWritesPerSecond.
	WritesPerSecond int
	// ReadsPerSecond limits reads and watches; zero means
	// DefaultReadsPerSecond.
	ReadsPerSecond int
}

// validate returns an error when a field has an invalid value.
func (f Faults) validate() (err error) {
	switch {
	case f.Outage != NoOutage && f.Outage != OutageRefuse && f.Outage != OutageDrop:
		return fmt.Errorf("down is %q, want refuse, drop or nothing", f.Outage)
	case f.Latency < 0 || f.EventDelay < 0:
		return fmt.Errorf("latency and watchDelay must not be negative")
	case f.LoseResponses < 0 || f.WritesPerSecond < 0 || f.ReadsPerSecond < 0:
		return fmt.Errorf("loseAnswers and the rates must not be negative")
	}
	return nil
}

// faultState holds the current faults and the state needed to inject them.
type faultState struct {
	mutex sync.Mutex
	// current and all below are guarded by mutex.
	current Faults
	// freezeCount is how often FreezeWatches was set. A watch that notices a
	// new count since its start stays frozen.
	freezeCount uint64
	// restoring is true while the store drops all calls before it is restored from a
	// copy.
	restoring bool
	// changed is closed at the next change of faults; nil when nobody waits.
	changed chan struct{}
	// writes and reads are the rate limiters. They are created by the first
	// call after a change of their rate and nil until then.
	writes *rate.Limiter
	reads  *rate.Limiter
	// random is created by the first shuffle.
	random *rand.Rand
}

func (s *faultState) set(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.FreezeWatches && !s.current.FreezeWatches {
		s.freezeCount++
	}
	if faults.WritesPerSecond != s.current.WritesPerSecond {
		s.writes = nil
	}
	if faults.ReadsPerSecond != s.current.ReadsPerSecond {
		s.reads = nil
	}
	s.current = faults
	s.notify()
}

// setRestoring sets whether the store drops all calls because it is being restored.
func (s *faultState) setRestoring(restoring bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.restoring = restoring
	s.notify()
}

// notify wakes those who wait for a change of faults. The caller must hold the mutex.
func (s *faultState) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// get returns the current faults, the number of times that watches were frozen,
// and a channel that is closed at the next change.
func (s *faultState) get() (faults Faults, freezeCount uint64, changed <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	faults = s.current
	if s.restoring {
		faults.Outage = OutageDrop
	}
	return faults, s.freezeCount, s.changed
}

// allow takes a token from the limiter of writes or reads and reports whether
// one was available.
func (s *faultState) allow(write bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if write {
		if s.writes == nil {
			s.writes = newLimiter(s.current.WritesPerSecond, DefaultWritesPerSecond)
		}
		return s.writes.Allow()
	}
	if s.reads == nil {
		s.reads = newLimiter(s.current.ReadsPerSecond, DefaultReadsPerSecond)
	}
	return s.reads.Allow()
}

// newLimiter returns a limiter with a burst of a tenth of a second's calls.
func newLimiter(perSecond, defaultRate int) *rate.Limiter {
	if perSecond == 0 {
		perSecond = defaultRate
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond/10, 1))
}

// takeLostResponse reports whether to drop the response to a write, and counts
// it against LoseResponses.
func (s *faultState) takeLostResponse() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.current.LoseResponses == 0 {
		return false
	}
	s.current.LoseResponses--
	return true
}

// reorder duplicates and shuffles the events as the current faults require.
func (s *faultState) reorder(events []Event, seed uint64) []Event {
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
