package fakeup

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// coldStartFactor multiplies the service time right after the start.
	coldStartFactor = 4
	// maxRandomFactor is the maximum random service time, in multiples of the mean.
	maxRandomFactor = 5
)

// Stats are an upstream's statistics.
type Stats struct {
	// Running is the number of requests that now hold a slot.
	Running int `json:"running"`
	// Served counts requests with a complete response.
	Served uint64 `json:"served"`
	// Shed counts requests rejected because no slot was free.
	Shed uint64 `json:"shed"`
	// Cancelled counts requests whose caller disconnected or whose deadline
	// passed.
	Cancelled uint64 `json:"cancelled"`
	// AfterDrain counts requests that arrived after Drain.
	AfterDrain uint64 `json:"afterDrain"`
	// Connections is the number of open connections.
	Connections int64 `json:"connections"`
	// RefusedConnections counts connections closed because of the limit.
	RefusedConnections int64 `json:"refusedConnections"`
}

// slotPool allocates slots to requests and keeps the statistics.
type slotPool struct {
	mutex sync.Mutex
	// stats and all below are guarded by mutex. The connections in stats stay
	// zero.
	stats    Stats
	draining bool
	// idle is closed when the last running request ends; nil when nobody waits.
	idle chan struct{}
}

// acquire takes a slot and reports whether one was free.
func (p *slotPool) acquire(slots int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.draining {
		p.stats.AfterDrain++
	}
	if p.stats.Running >= slots {
		p.stats.Shed++
		return false
	}
	p.stats.Running++
	return true
}

func (p *slotPool) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stats.Running--
	if p.stats.Running == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
}

// increment adds one to the counter, which must be a field of p.stats.
func (p *slotPool) increment(counter *uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	*counter++
}

func (p *slotPool) markDraining() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.draining = true
}

func (p *slotPool) waitIdle(ctx context.Context) (err error) {
	p.mutex.Lock()
	if p.stats.Running == 0 {
		p.mutex.Unlock()
		return nil
	}
	if p.idle == nil {
		p.idle = make(chan struct{})
	}
	idle := p.idle
	p.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loadPercent returns the percentage of slots in use.
func (p *slotPool) loadPercent(slots int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return 100 * p.stats.Running / slots
}

// Stats returns the current statistics.
func (u *Upstream) Stats() (stats Stats) {
	u.slots.mutex.Lock()
	stats = u.slots.stats
	u.slots.mutex.Unlock()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.listener != nil {
		stats.Connections = u.listener.open.Load()
		stats.RefusedConnections = u.listener.refused.Load()
	}
	return stats
}

// serviceTimes generates the service times of requests.
type serviceTimes struct {
	mean, coldStart time.Duration
	seed            uint64
	started         time.Time

	mutex sync.Mutex
	// random is nil until the first random service time; guarded by mutex.
	random *rand.Rand
}

// next returns the service time of a request that starts at the given time.
func (s *serviceTimes) next(now time.Time) (service time.Duration) {
	service = s.mean
	if s.seed != 0 {
		service = time.Duration(float64(service) * s.randomFactor())
	}
	if remaining := s.coldStart - now.Sub(s.started); remaining > 0 {
		service += time.Duration(float64(service) * (coldStartFactor - 1) * float64(remaining) / float64(s.coldStart))
	}
	return service
}

// randomFactor returns an exponentially distributed number with mean one before
// it is limited to maxRandomFactor.
func (s *serviceTimes) randomFactor() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(s.seed, s.seed))
	}
	return min(s.random.ExpFloat64(), maxRandomFactor)
}

// RunCount is the number of times that a request was run.
type RunCount struct {
	// Key is the request's Idempotency-Key or, without one, its Arbutus-Attempt.
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// runCounter counts how often each request was run.
type runCounter struct {
	mutex sync.Mutex
	// counts is guarded by mutex.
	counts map[string]int
}

func (r *runCounter) add(key string) {
	if key == "" {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int)
	}
	r.counts[key]++
}

// Runs returns how often each request with a key was run, sorted by key. A
// request counts as run once it holds a slot and its body was read, even if it is
// cancelled later.
func (u *Upstream) Runs() (list []RunCount) {
	u.runs.mutex.Lock()
	defer u.runs.mutex.Unlock()
	list = make([]RunCount, 0, len(u.runs.counts))
	for k, n := range u.runs.counts {
		list = append(list, RunCount{Key: k, Count: n})
	}
	slices.SortFunc(list, func(a, b RunCount) int { return strings.Compare(a.Key, b.Key) })
	return list
}
