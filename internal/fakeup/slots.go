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
	// coldFactor is how much longer a request runs right after the start.
	coldFactor = 4
	// maxSpread bounds a random service time, in multiples of the mean.
	maxSpread = 5
)

// Stats tells what an upstream did.
type Stats struct {
	// Running counts the requests that hold a slot now.
	Running int `json:"running"`
	// Served counts the requests that were answered whole.
	Served uint64 `json:"served"`
	// Shed counts the requests refused without running.
	Shed uint64 `json:"shed"`
	// Cancelled counts the requests whose caller left or whose deadline passed.
	Cancelled uint64 `json:"cancelled"`
	// AfterDrain counts the requests that came after Drain.
	AfterDrain uint64 `json:"afterDrain"`
	// Connections counts the open connections.
	Connections int64 `json:"connections"`
	// RefusedConnections counts the connections over the limit.
	RefusedConnections int64 `json:"refusedConnections"`
}

// work counts requests and hands out slots.
type work struct {
	mutex sync.Mutex
	// stats is guarded by mutex; its connections stay zero.
	stats    Stats
	draining bool
	// idle is closed and forgotten when no request runs; nil when none waits.
	idle chan struct{}
}

// take takes a slot and reports whether one was free.
func (w *work) take(slots int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.draining {
		w.stats.AfterDrain++
	}
	if w.stats.Running >= slots {
		w.stats.Shed++
		return false
	}
	w.stats.Running++
	return true
}

func (w *work) release() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.stats.Running--
	if w.stats.Running == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}

// bump adds one to a counter of the stats.
func (w *work) bump(counter *uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	*counter++
}

func (w *work) drain() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.draining = true
}

func (w *work) waitIdle(ctx context.Context) (err error) {
	w.mutex.Lock()
	if w.stats.Running == 0 {
		w.mutex.Unlock()
		return nil
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	idle := w.idle
	w.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// load returns the percentage of slots in use.
func (w *work) load(slots int) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return 100 * w.stats.Running / slots
}

// Stats tells what the upstream did so far.
func (u *Upstream) Stats() (stats Stats) {
	u.work.mutex.Lock()
	stats = u.work.stats
	u.work.mutex.Unlock()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.listener != nil {
		stats.Connections = u.listener.open.Load()
		stats.RefusedConnections = u.listener.refused.Load()
	}
	return stats
}

// serviceClock says how long requests run.
type serviceClock struct {
	mean, cold time.Duration
	seed       uint64
	started    time.Time

	mutex sync.Mutex
	// random is nil until the first random service time; guarded by mutex.
	random *rand.Rand
}

// next returns the service time of a request that begins now.
func (c *serviceClock) next(now time.Time) (service time.Duration) {
	service = c.mean
	if c.seed != 0 {
		service = time.Duration(float64(service) * c.spread())
	}
	if left := c.cold - now.Sub(c.started); left > 0 {
		service += time.Duration(float64(service) * (coldFactor - 1) * float64(left) / float64(c.cold))
	}
	return service
}

// spread returns an exponentially distributed number of mean one, bounded by maxSpread.
func (c *serviceClock) spread() float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.random == nil {
		c.random = rand.New(rand.NewPCG(c.seed, c.seed))
	}
	return min(c.random.ExpFloat64(), maxSpread)
}

// RunCount tells how often one request was run.
type RunCount struct {
	// Key is the request's Idempotency-Key, else its Arbutus-Attempt.
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// runs counts how often each request was run.
type runs struct {
	mutex sync.Mutex
	// counts is guarded by mutex.
	counts map[string]int
}

func (r *runs) add(key string) {
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

// Runs returns how often each request with a key was run, ordered by key.
// A request counts when its body is read and it holds a slot, also when it is
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
