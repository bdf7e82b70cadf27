package nested_test

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// learnerTime is the time constant of the learned rates. priorCalls and priorSeconds
	// are assumed of each kind on top of what was measured.
	learnerTime              = time.Minute
	priorCalls, priorSeconds = 0.5, 0.5
)

// kind groups the requests that make the same nested calls.
type kind struct {
	route    string
	priority mesh.Priority
}

// learned is what a learner knows about one kind. The weight of the past falls with
// learnerTime.
type learned struct {
	running        int
	seconds, calls float64
	updated        time.Time
}

// learner estimates by expectation maximization how often a running request of each kind
// makes a call, and from that for which priority most calls are made. It is the
// alternative that nested.Tracker was compared with.
type learner map[kind]*learned

func (l learner) begin(now time.Time, k kind) (end func(now time.Time)) {
	e := l[k]
	if e == nil {
		e = &learned{updated: now}
		l[k] = e
	}
	e.advance(now)
	e.running++
	return func(now time.Time) {
		e.advance(now)
		e.running--
	}
}

func (e *learned) advance(now time.Time) {
	keep := math.Exp(-float64(now.Sub(e.updated)) / float64(learnerTime))
	e.seconds = e.seconds*keep + float64(e.running)*learnerTime.Seconds()*(1-keep)
	e.calls *= keep
	e.updated = now
}

// recordCall learns from a call and returns the priority for which most calls are made.
func (l learner) recordCall(now time.Time) (priority mesh.Priority) {
	var byPriority [mesh.NumPriorities]float64
	weights, sum := map[kind]float64{}, 0.0
	kinds := slices.SortedFunc(maps.Keys(l), func(a, b kind) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.priority, b.priority))
	})
	for _, k := range kinds {
		e := l[k]
		e.advance(now)
		weights[k] = float64(e.running) * (e.calls + priorCalls) / (e.seconds + priorSeconds)
		sum += weights[k]
	}
	for _, k := range kinds {
		w := weights[k]
		l[k].calls += w / sum
		byPriority[k.priority] += w
	}
	for p, w := range byPriority {
		if w >= byPriority[priority] {
			priority = mesh.Priority(p)
		}
	}
	return priority
}
