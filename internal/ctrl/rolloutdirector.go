package ctrl

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

const (
	// directInterval is the time between two decisions while an order runs.
	directInterval = 100 * time.Millisecond
	// confirmInterval is the time between two confirmations of the shares in force.
	confirmInterval = time.Second
	// maxAnswerAge is how long after the last answer of the platform a root that does not
	// hold the lease confirms the shares that it read.
	maxAnswerAge = 2500 * time.Millisecond
)

// rolloutDirector decides about the orders to move services to other releases while this
// proxy is a root of the tree of readers.
type rolloutDirector struct {
	*cells.Proxy
	codec  Codec
	source rand.Source
	alarm  board.Alarm
	// orders contains the known orders by service; nil while this proxy is no root.
	orders map[mesh.Service]*directedOrder
	// era is the highest era of the store that an answer had. Answers of earlier eras are ignored.
	era uint64
	// answeredAt is when the platform last answered the watch.
	answeredAt time.Time
	// loaded is true once all orders were read, and published once that was set.
	loaded, published bool
	// directedAt is when statuses were last decided.
	directedAt time.Time
	// confirmedAt is when the views were last set.
	confirmedAt time.Time
}

// directedOrder is the state of one order at a root.
type directedOrder struct {
	shift.Director
	// writing is true while a write of the status is in progress, and retryAt when a
	// failed write is retried.
	writing bool
	retryAt time.Time
	backoff relay.Backoff
	// lastView is the view that was last set.
	lastView shift.View
	// seenAt contains when each instance of the target was first seen.
	seenAt map[string]time.Time
	// isRefused is true while the order names an unknown service.
	isRefused bool
}

func newRolloutDirector(proxy *cells.Proxy, codec Codec, source rand.Source) board.Controller {
	d := &rolloutDirector{Proxy: proxy, codec: codec, source: source}
	return board.Controller{
		Name:   "rolloutDirector",
		Reads:  []board.Ref{&proxy.LinkEvents, &proxy.ObjectEvents, &proxy.Outcomes, &proxy.Tree, &proxy.Roster, &proxy.ActiveVersion, &d.alarm},
		Uses:   []board.Ref{&proxy.Self, &proxy.Rollouts},
		Writes: []board.Ref{&proxy.RolloutViews, &proxy.ObjectCommands, &proxy.LogEvents, &d.alarm},
		Step:   d.step,
	}
}

func (d *rolloutDirector) step(now time.Time) {
	self := d.Self.Get()
	tree := d.Tree.Get()
	isRoot := self.DirectRollouts && tree != nil && tree.IsRoot(self.Host)
	d.setWatch(isRoot)
	objects, links, outcomes := d.ObjectEvents.Events(), d.LinkEvents.Events(), d.Outcomes.Events()
	if !isRoot {
		return
	}
	for _, e := range objects {
		d.handleObjects(e, now)
	}
	for _, e := range links {
		switch m := e.Message.(type) {
		case ctlmsg.ShiftCounts:
			d.observe(m.Counts, now)
		case ctlmsg.ShiftState:
			d.recall(m.Views, now)
		}
	}
	for _, o := range outcomes {
		d.observe(o, now)
	}
	if len(objects) > 0 || now.Sub(d.directedAt) >= directInterval {
		d.directedAt = now
		d.direct(now)
	}
	d.publish(now)
}

// setWatch starts or ends the watch of orders. All are listed again at its start.
func (d *rolloutDirector) setWatch(isRoot bool) {
	switch {
	case isRoot && d.orders == nil:
		d.orders, d.loaded, d.published = make(map[mesh.Service]*directedOrder), false, false
		d.ObjectCommands.Send(cells.ObjectCommand{Action: cells.WatchObjects, Kind: cells.RolloutObjects})
	case !isRoot && d.orders != nil:
		d.orders = nil
		d.ObjectCommands.Send(cells.ObjectCommand{Action: cells.UnwatchObjects, Kind: cells.RolloutObjects})
	}
}

func (d *rolloutDirector) handleObjects(e cells.ObjectEvent, now time.Time) {
	switch {
	case e.Kind != cells.RolloutObjects:
	case e.Action == cells.PutStatus:
		d.handleWrite(e, now)
	case e.Action == cells.WatchObjects && e.Result == cells.StoreDone:
		if e.Era < d.era {
			return
		}
		d.era = e.Era
		d.answeredAt = now
		if e.Complete {
			d.loaded = true
			for _, o := range d.orders {
				o.Forget()
			}
		}
		for _, o := range e.Objects {
			d.learn(o, now)
		}
		if e.Complete {
			d.recall(slices.Collect(maps.Values(d.Rollouts.Get().Views)), now)
		}
	}
}

// recall takes the states that other proxies have in force. The copy from which the store was
// restored may be older, and the roots that decided since may be gone.
func (d *rolloutDirector) recall(views []shift.View, now time.Time) {
	for _, v := range views {
		if order := d.orders[v.Service]; order != nil {
			order.Recall(now, v.Status)
		}
	}
}

func (d *rolloutDirector) handleWrite(e cells.ObjectEvent, now time.Time) {
	order := d.orders[e.Command.Service]
	if order == nil {
		return
	}
	order.writing = false
	if e.Result == cells.StoreDone {
		order.backoff.Reset()
	} else {
		order.retryAt = now.Add(order.backoff.Next())
		if e.Result != cells.StoreConflict {
			d.logRollout("rolloutNotWritten", e.Command.Service, cells.LogField{Name: "reason", Value: errorText(e.Err)})
		}
	}
	if e.Current.Version > 0 && e.Current.Era >= d.era {
		d.learn(e.Current, now)
	}
}

// learn takes an object of the platform. What is in force stays if it is malformed.
func (d *rolloutDirector) learn(o cells.Object, now time.Time) {
	service := mesh.Service(o.Name)
	order := d.orders[service]
	if o.Deleted {
		if order != nil {
			order.Withdraw()
			d.logRollout("rolloutWithdrawn", service)
		}
		return
	}
	err := o.Malformed
	var object shift.Object
	if err == nil {
		var statusErr error
		if object, statusErr, err = d.codec.DecodeRollout(o.Name, o.Value); statusErr != nil {
			d.logRollout("rolloutStatusRefused", service, cells.LogField{Name: "reason", Value: statusErr.Error()})
		}
	}
	if err != nil {
		d.logRollout("rolloutRefused", service, cells.LogField{Name: "reason", Value: err.Error()}, cells.LogField{Name: "revision", Value: o.Version})
		return
	}
	if order == nil {
		self := d.Self.Get()
		order = &directedOrder{backoff: relay.Backoff{Initial: minWriteBackoff, Max: maxWriteBackoff, Source: d.source}}
		order.Host, order.Rank = self.Host, d.Tree.Get().RootRank(self.Host)
		d.orders[service] = order
	}
	object.Revision = o.Version
	order.Learn(now, object)
}

func (d *rolloutDirector) observe(counts cells.OutcomeCounts, now time.Time) {
	for service, c := range counts {
		if order := d.orders[service]; order != nil {
			order.Observe(now, c)
		}
	}
}

// direct writes the statuses that the orders need.
func (d *rolloutDirector) direct(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(d.orders)) {
		order := d.orders[service]
		if !d.isKnown(service, order) {
			continue
		}
		if !order.View().Status.Phase.Final() {
			d.alarm.SetIfEarlier(now.Add(directInterval))
		}
		if order.writing || now.Before(order.retryAt) {
			continue
		}
		status, write := order.Next(now, d.upstreams(service, order, now))
		if !write {
			continue
		}
		order.writing = true
		d.ObjectCommands.Send(cells.ObjectCommand{
			Action: cells.PutStatus, Kind: cells.RolloutObjects, Service: service, Status: status, Version: order.Revision(), Era: d.era,
		})
	}
}

// isKnown reports whether the version in force has the service, and logs it once if not.
func (d *rolloutDirector) isKnown(service mesh.Service, order *directedOrder) bool {
	plan := d.ActiveVersion.Get().Plan
	if plan == nil {
		return false
	}
	_, known := plan.Service(service)
	if !known && !order.isRefused {
		d.logRollout("rolloutRefused", service, cells.LogField{Name: "reason", Value: fmt.Sprintf("unknown service %q", service)})
	}
	order.isRefused = !known
	return known
}

// upstreams describes the upstreams of a service.
func (d *rolloutDirector) upstreams(service mesh.Service, order *directedOrder, now time.Time) (u shift.Upstreams) {
	seenAt := make(map[string]time.Time)
	roster := d.Roster.Read()
	for _, n := range roster.Nodes() {
		for _, up := range n.Serving() {
			switch {
			case up.Service != service:
			case up.Release == order.Order().Target:
				since, known := order.seenAt[up.Instance]
				if !known {
					since = now
				}
				seenAt[up.Instance] = since
				u.Targets = append(u.Targets, shift.Instance{ID: up.Instance, Slots: up.Slots, SeenAt: since, Cold: up.ColdRemaining})
			default:
				u.Slots += up.Slots
				u.Count++
				if roster.IsOutdated(n.Host) {
					u.Outdated++
				}
				if !slices.Contains(u.Releases, up.Release) {
					u.Releases = append(u.Releases, up.Release)
				}
			}
		}
	}
	order.seenAt = seenAt
	return u
}

// publish sets the views when they changed, and at intervals while an order runs and the
// lease is held here or the platform answers.
func (d *rolloutDirector) publish(now time.Time) {
	changed, confirm := false, false
	views := make([]shift.View, 0, len(d.orders))
	for _, service := range slices.Sorted(maps.Keys(d.orders)) {
		order := d.orders[service]
		view := order.View()
		views = append(views, view)
		if view.Status.Term != order.lastView.Status.Term || view.Halted != order.lastView.Halted {
			changed = true
			d.logChange(order.lastView, view)
			order.lastView = view
		}
		confirm = confirm || !view.Status.Phase.Final() && (order.IsHolder() || now.Sub(d.answeredAt) < maxAnswerAge)
	}
	changed = changed || d.loaded && !d.published
	if changed || confirm && now.Sub(d.confirmedAt) >= confirmInterval {
		d.confirmedAt, d.published = now, d.loaded
		d.RolloutViews.Set(cells.RolloutViews{Views: views, Loaded: d.loaded, ConfirmedAt: now})
	}
}

// logChange logs a change of the state of an order, but not the renewals of its lease.
func (d *rolloutDirector) logChange(old, next shift.View) {
	a, b := old.Status, next.Status
	if a.Phase == b.Phase && a.Target == b.Target && a.Share == b.Share && a.Holder == b.Holder && old.Halted == next.Halted {
		return
	}
	d.logRollout("rollout", next.Service, cells.LogField{Name: "target", Value: string(b.Target)}, cells.LogField{Name: "phase", Value: b.Phase.String()},
		cells.LogField{Name: "share", Value: b.Share}, cells.LogField{Name: "canaries", Value: len(b.Canaries)}, cells.LogField{Name: "halted", Value: next.Halted},
		cells.LogField{Name: "holder", Value: string(b.Holder)}, cells.LogField{Name: "elapsed", Value: b.Elapsed}, cells.LogField{Name: "reason", Value: b.Reason})
}

func (d *rolloutDirector) logRollout(name string, service mesh.Service, fields ...cells.LogField) {
	fields = append([]cells.LogField{{Name: "object", Value: string(service)}}, fields...)
	d.LogEvents.Send(cells.LogEvent{Name: name, Fields: fields})
}
