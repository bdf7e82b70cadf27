package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// leadSettle is how long a new lead gathers records from its region's relays
// before it answers that they are complete.
const leadSettle = 3 * time.Second

// sweepInterval is the time between two searches for hosts that no relay watches.
const sweepInterval = 10 * time.Second

// everything is the service ID that stands for all services.
var everything mesh.ServiceID

// records keeps the table of upstreams: it merges what this host, its children
// and its relays say, and judges children that fall silent.
type records struct {
	*cells.Set
	alarm    board.Alarm
	detector member.Detector
	// checked is the time of the last check of the children.
	checked time.Time
	// children holds the hosts that beat to this node.
	children map[mesh.HostID]bool
	// beating holds the record last told on each link by the host that beats there.
	beating map[cells.LinkID]member.Record
	// relays holds the relay at the far end of each link of a lead.
	relays map[cells.LinkID]ctlmsg.Hello
	// swept is the time of the last search for hosts that no relay watches.
	swept time.Time
	// leadSince is when this node became lead, zero while it is not.
	leadSince time.Time
}

func newRecords(set *cells.Set) board.Controller {
	r := &records{
		Set:      set,
		children: make(map[mesh.HostID]bool),
		beating:  make(map[cells.LinkID]member.Record),
		relays:   make(map[cells.LinkID]ctlmsg.Hello),
	}
	return board.Controller{
		Name:   "records",
		Reads:  []board.Ref{&set.LinkEvents, &set.LocalRecord, &set.Uplinks, &set.Directory, &r.alarm},
		Uses:   []board.Ref{&set.Self, &set.Subscription, &set.RelaySlot, &set.Peers, &set.PlatformReachable},
		Writes: []board.Ref{&set.Records, &set.CompleteServices, &r.alarm},
		Step:   r.step,
	}
}

func (r *records) step(now time.Time) {
	if r.detector.Interval == 0 {
		r.detector.Interval = r.Self.Get().Heartbeat
	}
	if own := r.LocalRecord.Get(); own.Host != "" {
		r.merge(own)
	}
	for _, e := range r.LinkEvents.Events() {
		if e.Kind == cells.LinkDown {
			delete(r.beating, e.Link)
			r.lostRelay(e.Link, now)
		}
		switch m := e.Message.(type) {
		case ctlmsg.Hello:
			if m.WantsAll && m.Place.Region == r.Self.Get().Place.Region {
				r.relays[e.Link] = m
			}
		case ctlmsg.Heartbeat:
			r.beat(e.Link, m, now)
		case ctlmsg.MemberRecords:
			r.members(m)
		}
	}
	r.check(now)
	r.settle(now)
}

// beat takes in a heartbeat, and watches the host unless it is a relay: those
// are watched by their leases in the platform.
func (r *records) beat(link cells.LinkID, beat ctlmsg.Heartbeat, now time.Time) {
	if beat.Upstream.Host != "" {
		r.merge(beat.Upstream)
		r.beating[link] = beat.Upstream
	}
	record, ok := r.beating[link]
	if !ok {
		return
	}
	p := r.Peers.Read().Get(link)
	if p == nil || p.Hello.WantsAll || !record.State.Live() {
		delete(r.children, record.Host)
		r.detector.Forget(record.Host)
		return
	}
	r.children[record.Host] = true
	r.detector.RecordHeartbeat(record.Host, now)
}

// lostRelay makes a lead watch a relay of its region whose link ended, since
// its lease in the platform ends late. When no relay of the zone is left, the
// zone is cut off rather than dead, and none of its relays is watched.
func (r *records) lostRelay(link cells.LinkID, now time.Time) {
	lost, ok := r.relays[link]
	if !ok {
		return
	}
	delete(r.relays, link)
	zoneLinked := false
	for _, other := range r.relays {
		if other.Host == lost.Host {
			return
		}
		zoneLinked = zoneLinked || other.Place == lost.Place
	}
	if !zoneLinked {
		r.forgetZone(lost.Place)
		return
	}
	if record, known := r.Records.Read().Get(lost.Host); known && record.State.Live() && r.Uplinks.Get().Lead {
		r.children[lost.Host] = true
		r.detector.RecordHeartbeat(lost.Host, now)
	}
}

// forgetZone stops watching the hosts of a zone that is cut off.
func (r *records) forgetZone(place mesh.Place) {
	if place == r.Self.Get().Place {
		return
	}
	for host := range r.children {
		if record, ok := r.Records.Read().Get(host); ok && record.Place == place {
			delete(r.children, host)
			r.detector.Forget(host)
		}
	}
}

// members merges records from a relay. A newer record of a child means that it
// beats to another node now. A child drops what a complete list
// leaves out; a relay hears from several sides and only merges.
func (r *records) members(m ctlmsg.MemberRecords) {
	for _, record := range m.Records {
		if r.merge(record) && r.children[record.Host] {
			delete(r.children, record.Host)
			r.detector.Forget(record.Host)
		}
	}
	for _, id := range m.CompleteServices {
		if id == everything {
			r.CompleteServices.Change().All = true
			continue
		}
		if !r.Subscription.Get().All {
			r.dropAbsent(id, m.Records)
		}
		if !r.CompleteServices.Read().Has(id) {
			r.CompleteServices.Change().Add(id)
		}
	}
}

func (r *records) dropAbsent(id mesh.ServiceID, full []member.Record) {
	for _, host := range r.Records.Read().MissingFrom(id, full) {
		if host != r.Self.Get().Host && !r.children[host] {
			r.Records.Change().Forget(host)
		}
	}
}

// merge takes in one record; the table changes only when it is newer.
func (r *records) merge(record member.Record) (changed bool) {
	if old, ok := r.Records.Read().Get(record.Host); ok && !member.Newer(record, old) {
		return false
	}
	return r.Records.Change().Merge(record)
}

// check judges the children once a heartbeat.
func (r *records) check(now time.Time) {
	due := r.checked.Add(r.detector.Interval)
	if now.Before(due) {
		r.alarm.SetIfEarlier(due)
		return
	}
	r.checked = now
	r.alarm.SetIfEarlier(now.Add(r.detector.Interval))
	verdict := r.detector.Check(now)
	r.remove(verdict.Removed)
	if verdict.Mode == member.ModeOverdue {
		// A relay that reaches the platform is not the one that is cut off.
		r.remove(r.detector.ResolveHold(now, r.PlatformReachable.Get()))
	}
	if now.Sub(r.swept) >= sweepInterval {
		r.swept = now
		r.watchOrphans(now)
		r.Records.Change().ExpireTombstones(now)
	}
}

// remove calls hosts lost.
func (r *records) remove(hosts []mesh.HostID) {
	for _, host := range hosts {
		delete(r.children, host)
		if record, ok := r.Records.Read().Get(host); ok && record.State.Live() {
			record.State = member.Lost
			r.merge(record)
		}
	}
}

// watchOrphans makes a relay watch the hosts of its zone whose relay is gone,
// and a lead those of zones of its region without relays. Hosts that live go to
// another relay and say so; the rest went down with their relay.
func (r *records) watchOrphans(now time.Time) {
	if !r.RelaySlot.Get().Held {
		return
	}
	relays := make(map[mesh.HostID]bool)
	zones := make(map[mesh.Place]bool)
	for _, v := range r.Directory.Get().Relays {
		relays[v.Host] = true
		zones[v.Place] = true
	}
	self, lead := r.Self.Get(), r.Uplinks.Get().Lead
	for _, record := range r.Records.Read().All() {
		mine := record.Place == self.Place ||
			(lead && record.Place.Region == self.Place.Region && !zones[record.Place])
		orphan := record.State.Live() && !relays[record.Relay] && record.Host != self.Host
		if mine && orphan && !r.children[record.Host] {
			r.children[record.Host] = true
			r.detector.RecordHeartbeat(record.Host, now)
		}
	}
}

// settle calls a lead's own table complete once its relays had time to report.
func (r *records) settle(now time.Time) {
	if !r.Uplinks.Get().Lead {
		r.leadSince = time.Time{}
		return
	}
	if r.leadSince.IsZero() {
		r.leadSince = now
	}
	if r.CompleteServices.Read().All {
		return
	}
	if due := r.leadSince.Add(leadSettle); now.Before(due) {
		r.alarm.SetIfEarlier(due)
		return
	}
	r.CompleteServices.Change().All = true
}
