package shift

import (
	"maps"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// ViewTTL is how long a share stays in force without word from a root. A proxy that is cut
// off then sends no more requests to the target.
const ViewTTL = 2500 * time.Millisecond

// Agent holds the orders that are in force on one proxy, and the outcomes that it has
// seen itself. The zero Agent knows no order.
type Agent struct {
	entries map[mesh.Service]*entry
}

// entry is the state of one service.
type entry struct {
	view View
	// heardAt is when the view was last confirmed.
	heardAt time.Time
	own     Evidence
	// stopped is true once the own outcomes showed that the target is bad. It is not passed
	// on: the few outcomes of one proxy must not end the trial for all.
	stopped bool
}

// Learn takes a view that was confirmed at the given time. changed is true if it differs from
// what was in force. A view with a lower term is older and is ignored, unless it ends the
// order, and so is one of an order that has ended. A halted trial stays halted until another
// order or the status says otherwise.
func (a *Agent) Learn(confirmedAt time.Time, view View) (changed bool) {
	e := a.entries[view.Service]
	if e == nil {
		if a.entries == nil {
			a.entries = make(map[mesh.Service]*entry)
		}
		a.entries[view.Service] = &entry{view: view, heardAt: confirmedAt}
		return true
	}
	isEnd := view.Status.ends(&e.view.Status)
	if e.view.Status.ends(&view.Status) || !isEnd && view.Status.Term < e.view.Status.Term {
		return false
	}
	if confirmedAt.After(e.heardAt) {
		e.heardAt = confirmedAt
	}
	sameTrial := view.Status.Target == e.view.Status.Target && view.Status.Since == e.view.Status.Since && !e.view.Status.Phase.Final()
	if !sameTrial {
		e.own, e.stopped = Evidence{}, false
	}
	view.Halted = view.Halted || e.view.Halted && sameTrial && !view.Status.Phase.Final()
	changed = isEnd || view.Status.Term != e.view.Status.Term || view.Halted != e.view.Halted
	e.view = view
	return changed
}

// Observe takes the outcomes that this proxy saw since the last time. reason is not empty
// if they show that the target is bad; the trial then ends here at once.
func (a *Agent) Observe(now time.Time, service mesh.Service, counts Counts) (reason string) {
	e := a.entries[service]
	if e == nil || e.view.Status.Phase != Running {
		return ""
	}
	e.own.Add(now, counts)
	if e.view.Halted || e.stopped {
		return ""
	}
	reason = e.own.Judge(now, e.view.Status.Target)
	e.stopped = reason != ""
	return reason
}

// Views lists the views as received, sorted by service.
func (a *Agent) Views() (views []View) {
	for _, service := range sortedKeys(a.entries) {
		views = append(views, a.entries[service].view)
	}
	return views
}

// View returns the view of a service that is in force here; known is false if there is
// none.
func (a *Agent) View(service mesh.Service) (view View, known bool) {
	e := a.entries[service]
	if e == nil {
		return view, false
	}
	view = e.view
	view.Halted = view.Halted || e.stopped && !view.Status.Phase.Final()
	return view, true
}

// Trial returns the trial of a service until the given time, if there is one.
func (a *Agent) Trial(service mesh.Service) (trial Trial) {
	e := a.entries[service]
	if e == nil || e.view.Halted || e.stopped || e.view.Status.Phase != Running {
		return trial
	}
	return Trial{Share: e.view.Status.Share, RouteShares: e.view.Status.RouteShares, Canaries: e.view.Status.Canaries, Until: e.heardAt.Add(ViewTTL)}
}

// Running reports whether any order is running.
func (a *Agent) Running() bool {
	for _, e := range a.entries {
		if e.view.Status.Phase == Running {
			return true
		}
	}
	return false
}

// Trial is the part of the requests that goes to the target. The zero Trial is none. It is
// immutable.
type Trial struct {
	Share       float64
	RouteShares map[string]float64
	// Canaries are the instances that get the share; nil means all of the target.
	Canaries []string
	// Until is when the trial ends unless it is confirmed before.
	Until time.Time
}

// Includes reports whether the instance takes part.
func (t *Trial) Includes(instance string) bool {
	return t.Share > 0 && (t.Canaries == nil || slices.Contains(t.Canaries, instance))
}

// Takes reports whether a request of the route goes to the target. random is uniform in
// [0, 1).
func (t *Trial) Takes(now time.Time, route string, random float64) bool {
	if !now.Before(t.Until) {
		return false
	}
	share, found := t.RouteShares[route]
	if !found {
		share = t.Share
	}
	return random < share
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
