// Package nested decides how urgent the calls are that an upstream makes while it runs
// requests. The node beside the upstream knows which requests run, but not which of them
// a call is made for.
package nested

import (
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// maxRoutes bounds the memory. The calls of routes beyond it do not count as nested.
	maxRoutes = 1024
	// reportTTL is how long a report that only upstreams make calls of a route is valid.
	reportTTL = 10 * time.Minute
)

// Tracker counts the running requests of one upstream by priority. It is safe for
// concurrent use. The zero Tracker is ready to use.
type Tracker struct {
	mutex sync.Mutex
	// running is guarded by mutex.
	running [mesh.NumPriorities]int
	// reports holds, for the routes of which only upstreams make calls, when a called
	// node last reported it; guarded by mutex.
	reports map[string]time.Time
	// calls counts the nested calls by the priority that they got, and raised those
	// whose rule would have given them a lower one; guarded by mutex.
	calls  [mesh.NumPriorities]uint64
	raised uint64
}

// Begin records that the upstream runs a request. The returned function records its end;
// only the first call has an effect.
func (t *Tracker) Begin(priority mesh.Priority) (end func()) {
	priority = min(priority, mesh.NumPriorities-1)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running[priority]++
	return sync.OnceFunc(func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.running[priority]--
	})
}

// Report records whether only upstreams make calls of the route, as a called node that has
// seen enough of them reports.
func (t *Tracker) Report(now time.Time, route string, onlyUpstreams bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !onlyUpstreams {
		delete(t.reports, route)
		return
	}
	if t.reports == nil || len(t.reports) >= maxRoutes {
		t.reports = make(map[string]time.Time)
	}
	t.reports[route] = now
}

// Priority decides about an anonymous request of the route to this node, whose rule gives
// it the priority ruled. It is a nested call if only upstreams make calls of the route and
// the upstream of this node runs requests. Its priority is then that of the most urgent of
// them: a call that is refused or late costs the request that it is made for, and the
// slots that the request holds.
func (t *Tracker) Priority(now time.Time, route string, ruled mesh.Priority) (priority mesh.Priority, isNested bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	reported, only := t.reports[route]
	highest, runs := t.mostUrgent()
	if !only || now.Sub(reported) > reportTTL || !runs {
		return ruled, false
	}
	t.calls[highest]++
	if ruled < highest {
		t.raised++
	}
	return highest, true
}

// mostUrgent returns the priority of the most urgent running request.
func (t *Tracker) mostUrgent() (highest mesh.Priority, runs bool) {
	for p, n := range t.running {
		if n > 0 {
			highest, runs = mesh.Priority(p), true
		}
	}
	return highest, runs
}

// Stats returns the number of nested calls by the priority that they got, and the number
// of those that the priority of their rule would have made less urgent.
func (t *Tracker) Stats() (calls [mesh.NumPriorities]uint64, raised uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.calls, t.raised
}
