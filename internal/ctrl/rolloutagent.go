package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

const (
	// collectInterval is the time between two collections of outcomes while an order runs,
	// and countsInterval the time between two messages with their sums.
	collectInterval = 250 * time.Millisecond
	countsInterval  = 500 * time.Millisecond
)

// rolloutAgent keeps the orders in force on this proxy. It passes their state down the tree
// of readers and the outcomes of requests up, and stops a trial on its own outcomes.
type rolloutAgent struct {
	*cells.Proxy
	alarm board.Alarm
	agent shift.Agent
	// subscribers contains the links that subscribed, and whether the state in force was
	// sent on them.
	subscribers map[cells.LinkID]bool
	// told contains the links to parents on which the state in force was sent. A parent may
	// have been started again, and know less of an order than its children.
	told map[cells.LinkID]bool
	// unsent holds the outcomes that are to be sent up.
	unsent cells.OutcomeCounts
	// collectedAt and countsSentAt are when outcomes were last collected and sent.
	collectedAt, countsSentAt time.Time
	// confirmedAt is the newest confirmation by a root, and confirmed is true if it was not
	// sent down yet. Older ones are not passed on, so that readers that receive from each
	// other do not confirm each other for ever.
	confirmedAt time.Time
	confirmed   bool
	// ownAt is the last confirmation that was taken from RolloutViews.
	ownAt time.Time
	// loaded is true once all orders are known.
	loaded bool
	// revision counts the changes of the state.
	revision int
}

func newRolloutAgent(proxy *cells.Proxy) board.Controller {
	a := &rolloutAgent{Proxy: proxy, subscribers: make(map[cells.LinkID]bool), told: make(map[cells.LinkID]bool), unsent: make(cells.OutcomeCounts)}
	return board.Controller{
		Name:   "rolloutAgent",
		Reads:  []board.Ref{&proxy.LinkEvents, &proxy.Outcomes, &proxy.RolloutViews, &a.alarm},
		Uses:   []board.Ref{&proxy.Self, &proxy.Tree, &proxy.Peers},
		Writes: []board.Ref{&proxy.Rollouts, &proxy.CollectOutcomes, &proxy.LinkCommands, &proxy.LogEvents, &a.alarm},
		Step:   a.step,
	}
}

func (a *rolloutAgent) step(now time.Time) {
	changed := false
	for _, e := range a.LinkEvents.Events() {
		changed = a.handleLink(e, now) || changed
	}
	if own := a.RolloutViews.Get(); own.ConfirmedAt.After(a.ownAt) {
		a.ownAt = own.ConfirmedAt
		changed = a.setLoaded(own.Loaded) || changed
		changed = a.learn(own.Views, own.ConfirmedAt) || changed
	}
	for _, o := range a.Outcomes.Events() {
		changed = a.observe(o, now) || changed
	}
	if changed {
		a.revision++
		for l := range a.subscribers {
			a.subscribers[l] = false
		}
	}
	if changed || a.confirmed {
		a.publish()
	}
	a.sendState(now)
	a.tellParents(now)
	if a.agent.Running() {
		a.collect(now)
	}
}

func (a *rolloutAgent) handleLink(e cells.LinkEvent, now time.Time) (changed bool) {
	if e.Kind == cells.LinkDown {
		delete(a.subscribers, e.Link)
		delete(a.told, e.Link)
		return false
	}
	switch m := e.Message.(type) {
	case ctlmsg.Subscribe:
		a.subscribers[e.Link] = false
	case ctlmsg.ShiftState:
		changed = a.learn(m.Views, now.Add(-m.Age))
		if _, isChild := a.subscribers[e.Link]; isChild && changed {
			clear(a.told)
		}
		return changed
	case ctlmsg.Roster:
		return a.setLoaded(m.HasRollouts)
	case ctlmsg.ShiftCounts:
		if !a.isRoot() {
			a.unsent.Add(m.Counts)
		}
	}
	return false
}

func (a *rolloutAgent) setLoaded(loaded bool) (changed bool) {
	changed = loaded && !a.loaded
	a.loaded = a.loaded || loaded
	return changed
}

func (a *rolloutAgent) isRoot() bool {
	tree := a.Tree.Get()
	return tree != nil && tree.IsRoot(a.Self.Get().Host)
}

// learn takes views that a root confirmed at the given time.
func (a *rolloutAgent) learn(views []shift.View, confirmedAt time.Time) (changed bool) {
	for _, v := range views {
		old, _ := a.agent.View(v.Service)
		if !a.agent.Learn(confirmedAt, v) {
			continue
		}
		changed = true
		if next, _ := a.agent.View(v.Service); old.Status.Phase != next.Status.Phase || old.Halted != next.Halted || old.Status.Target != next.Status.Target {
			a.log("rolloutState", v.Service, next.Status, cells.LogField{Name: "halted", Value: next.Halted})
		}
	}
	if confirmedAt.After(a.confirmedAt) {
		a.confirmedAt, a.confirmed = confirmedAt, true
	}
	return changed
}

func (a *rolloutAgent) log(name string, service mesh.Service, status shift.Status, field cells.LogField) {
	a.LogEvents.Send(cells.LogEvent{Name: name, Fields: []cells.LogField{
		{Name: "object", Value: string(service)},
		{Name: "target", Value: string(status.Target)},
		{Name: "phase", Value: status.Phase.String()},
		{Name: "share", Value: status.Share},
		field,
	}})
}

// observe takes the outcomes of this proxy. changed is true if they end a trial.
func (a *rolloutAgent) observe(outcomes cells.OutcomeCounts, now time.Time) (changed bool) {
	for service, counts := range outcomes {
		if reason := a.agent.Observe(now, service, counts); reason != "" {
			view, _ := a.agent.View(service)
			a.log("rolloutHalted", service, view.Status, cells.LogField{Name: "reason", Value: reason})
			changed = true
		}
	}
	if !a.isRoot() {
		a.unsent.Add(outcomes)
	}
	return changed
}

// publish sets the cell Rollouts.
func (a *rolloutAgent) publish() {
	next := cells.Rollouts{
		Revision: a.revision, Loaded: a.loaded, Views: make(map[mesh.Service]shift.View), Trials: make(map[mesh.Service]shift.Trial), Running: make(map[mesh.Service]bool),
	}
	for _, v := range a.agent.Views() {
		v, _ = a.agent.View(v.Service)
		next.Views[v.Service] = v
		if v.Status.Phase == shift.Running {
			next.Running[v.Service] = true
		}
		if trial := a.agent.Trial(v.Service); trial.Share > 0 {
			next.Trials[v.Service] = trial
		}
	}
	a.Rollouts.Set(next)
}

// sendState sends the state to the subscribers: to new ones, to all when it changed, and
// when it was confirmed.
func (a *rolloutAgent) sendState(now time.Time) {
	views := a.agent.Views()
	for l, sent := range a.subscribers {
		if len(views) > 0 && (!sent || a.confirmed && a.agent.Running()) {
			proxySend(a.Proxy, l, ctlmsg.ShiftState{Views: views, Age: now.Sub(a.confirmedAt)})
		}
		a.subscribers[l] = len(views) > 0
	}
	a.confirmed = false
}

// tellParents sends the state once on each link to a parent.
func (a *rolloutAgent) tellParents(now time.Time) {
	views := a.agent.Views()
	if len(views) == 0 {
		return
	}
	for _, parent := range a.linkedParents() {
		if !a.told[parent.link] {
			a.told[parent.link] = true
			proxySend(a.Proxy, parent.link, ctlmsg.ShiftState{Views: views, Age: now.Sub(a.confirmedAt)})
		}
	}
}

// collect requests the outcomes of this proxy and sends the sums up.
func (a *rolloutAgent) collect(now time.Time) {
	if now.Sub(a.collectedAt) >= collectInterval {
		a.collectedAt = now
		a.CollectOutcomes.Send(now)
	}
	if now.Sub(a.countsSentAt) >= countsInterval && len(a.unsent) > 0 {
		if links := a.uplinks(); len(links) > 0 {
			for _, l := range links {
				proxySend(a.Proxy, l, ctlmsg.ShiftCounts{Counts: a.unsent})
			}
			a.countsSentAt, a.unsent = now, make(cells.OutcomeCounts)
		}
	}
	a.alarm.SetIfEarlier(now.Add(collectInterval))
}

// uplinks returns the links on which counts are sent. Each root gets all counts, so that
// any of them can decide; of other parents only one does, so that none are counted twice.
func (a *rolloutAgent) uplinks() (links []cells.LinkID) {
	for _, parent := range a.linkedParents() {
		links = append(links, parent.link)
		if !parent.isRoot {
			return links
		}
	}
	return links
}

// linkedParent is a parent to which this proxy has a link.
type linkedParent struct {
	link   cells.LinkID
	isRoot bool
}

// linkedParents returns all parents to which this proxy has a link.
func (a *rolloutAgent) linkedParents() (parents []linkedParent) {
	self, tree := a.Self.Get(), a.Tree.Get()
	if tree == nil {
		return nil
	}
	for _, n := range tree.Parents(self.Host, self.Place) {
		if peers := a.Peers.Read().DialedTo(n.Host); len(peers) > 0 {
			parents = append(parents, linkedParent{link: peers[0].Link, isRoot: tree.IsRoot(n.Host)})
		}
	}
	return parents
}
