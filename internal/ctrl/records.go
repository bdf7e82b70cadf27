package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// leadGatherTime is how long a new lead collects records from the relays of its
// region before it declares its records complete.
const leadGatherTime = 3 * time.Second

// orphanSearchInterval is the time between two searches for hosts that no relay
// watches.
const orphanSearchInterval = 10 * time.Second

// allServices, the empty service ID, stands for all services in
// MemberRecords.CompleteServices.
var allServices mesh.ServiceID

// records maintains the table of upstream records. It merges the records of this
// host, its children and its relays, and marks watched hosts as lost when their
// heartbeats stop.
type records struct {
	*cells.Node
	alarm    board.Alarm
	detector member.Detector
	// lastCheckAt is when the watched hosts were last checked.
	lastCheckAt time.Time
	// watched holds the hosts that this node watches: its children, which send it
	// heartbeats, and hosts that no other relay watches.
	watched map[mesh.HostID]bool
	// orphans holds the watched hosts that are watched only because their relay was not
	// in the directory.
	orphans map[mesh.HostID]bool
	// lastRecords holds, for each link, the record in the last heartbeat that had one.
	lastRecords map[cells.LinkID]member.Record
	// relayLinks holds the Hello of the relay at the far end of each link to a relay
	// of this region.
	relayLinks map[cells.LinkID]ctlmsg.Hello
	// lastOrphanSearchAt is when hosts that no relay watches were last searched for.
	lastOrphanSearchAt time.Time
	// leadSince is when this node became a lead; zero while it is not one.
	leadSince time.Time
}

func newRecords(node *cells.Node) board.Controller {
	r := &records{
		Node:        node,
		watched:     make(map[mesh.HostID]bool),
		orphans:     make(map[mesh.HostID]bool),
		lastRecords: make(map[cells.LinkID]member.Record),
		relayLinks:  make(map[cells.LinkID]ctlmsg.Hello),
	}
	return board.Controller{
		Name:   "records",
		Reads:  []board.Ref{&node.LinkEvents, &node.LocalRecord, &node.Uplinks, &node.Directory, &r.alarm},
		Uses:   []board.Ref{&node.Self, &node.Subscription, &node.RelaySlot, &node.Peers, &node.PlatformReachable},
		Writes: []board.Ref{&node.Records, &node.CompleteServices, &r.alarm},
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
			delete(r.lastRecords, e.Link)
			r.handleRelayLinkDown(e.Link, now)
		}
		switch m := e.Message.(type) {
		case ctlmsg.Hello:
			if m.WantsAll && m.Place.Region == r.Self.Get().Place.Region {
				r.relayLinks[e.Link] = m
			}
		case ctlmsg.Heartbeat:
			r.handleHeartbeat(e.Link, m, now)
		case ctlmsg.MemberRecords:
			r.handleRecords(m)
		}
	}
	r.checkWatched(now)
	r.completeAsLead(now)
}

// handleHeartbeat merges the record of a heartbeat and watches the host unless it is
// a relay, since relays are watched by their leases in the platform.
func (r *records) handleHeartbeat(link cells.LinkID, message ctlmsg.Heartbeat, now time.Time) {
	if message.Upstream.Host != "" {
		r.merge(message.Upstream)
		r.lastRecords[link] = message.Upstream
	}
	record, ok := r.lastRecords[link]
	if !ok {
		return
	}
	p := r.Peers.Read().Get(link)
	if p == nil || p.Hello.WantsAll || !record.State.Live() {
		delete(r.watched, record.Host)
		r.detector.Forget(record.Host)
		return
	}
	r.watched[record.Host] = true
	delete(r.orphans, record.Host)
	r.detector.RecordHeartbeat(record.Host, now)
}

// handleRelayLinkDown makes a lead watch a relay of its region whose link went down,
// since the relay's lease in the platform expires only much later. If no other
// relay of the zone is linked, the zone is considered partitioned rather than failed,
// and none of its hosts is watched.
func (r *records) handleRelayLinkDown(link cells.LinkID, now time.Time) {
	lost, ok := r.relayLinks[link]
	if !ok {
		return
	}
	delete(r.relayLinks, link)
	zoneLinked := false
	for _, other := range r.relayLinks {
		if other.Host == lost.Host {
			return
		}
		zoneLinked = zoneLinked || other.Place == lost.Place
	}
	if !zoneLinked {
		r.stopWatchingZone(lost.Place)
		return
	}
	if record, known := r.Records.Read().Get(lost.Host); known && record.State.Live() && r.Uplinks.Get().Lead {
		r.watched[lost.Host] = true
		r.detector.RecordHeartbeat(lost.Host, now)
	}
}

// stopWatchingZone stops watching the hosts of another zone.
func (r *records) stopWatchingZone(place mesh.Place) {
	if place == r.Self.Get().Place {
		return
	}
	for host := range r.watched {
		if record, ok := r.Records.Read().Get(host); ok && record.Place == place {
			delete(r.watched, host)
			r.detector.Forget(host)
		}
	}
}

// handleRecords merges received records. A newer record of a watched host means that
// the host now sends its heartbeats to another node. A child forgets the hosts
// that are missing from a complete list of a service. A relay only merges, since
// it receives records from several nodes.
func (r *records) handleRecords(m ctlmsg.MemberRecords) {
	for _, record := range m.Records {
		if r.merge(record) && r.watched[record.Host] {
			delete(r.watched, record.Host)
			r.detector.Forget(record.Host)
		}
	}
	for _, id := range m.CompleteServices {
		if id == allServices {
			r.CompleteServices.Change().All = true
			continue
		}
		if !r.Subscription.Get().All {
			r.dropMissing(id, m.Records)
		}
		if !r.CompleteServices.Read().Has(id) {
			r.CompleteServices.Change().Add(id)
		}
	}
}

// dropMissing forgets the hosts of a service that are missing from its complete
// list, except this host and those that it watches.
func (r *records) dropMissing(id mesh.ServiceID, full []member.Record) {
	for _, host := range r.Records.Read().MissingFrom(id, full) {
		if host != r.Self.Get().Host && !r.watched[host] {
			r.Records.Change().Forget(host)
		}
	}
}

// merge adds a record to the table if it is newer than the one there. Otherwise the
// table is not marked as changed, so that its readers are not stepped.
func (r *records) merge(record member.Record) (changed bool) {
	if old, ok := r.Records.Read().Get(record.Host); ok && !member.Newer(record, old) {
		return false
	}
	return r.Records.Change().Merge(record)
}

// checkWatched runs the failure detector once per heartbeat interval and, less
// often, searches for hosts that no relay watches and expires tombstones.
func (r *records) checkWatched(now time.Time) {
	due := r.lastCheckAt.Add(r.detector.Interval)
	if now.Before(due) {
		r.alarm.SetIfEarlier(due)
		return
	}
	r.lastCheckAt = now
	r.alarm.SetIfEarlier(now.Add(r.detector.Interval))
	r.releaseOrphans()
	verdict := r.detector.Check(now)
	r.markLost(verdict.Removed)
	if verdict.Mode == member.ModeOverdue {
		// While this node reaches the platform, the partition is not on its side, so the
		// silent hosts are lost.
		r.markLost(r.detector.ResolveHold(now, r.PlatformReachable.Get()))
	}
	if now.Sub(r.lastOrphanSearchAt) >= orphanSearchInterval {
		r.lastOrphanSearchAt = now
		r.watchOrphans(now)
		r.Records.Change().ExpireTombstones(now)
	}
}

// markLost stops watching the hosts and sets their records to Lost.
func (r *records) markLost(hosts []mesh.HostID) {
	for _, host := range hosts {
		delete(r.watched, host)
		if record, ok := r.Records.Read().Get(host); ok && record.State.Live() {
			record.State = member.Lost
			r.merge(record)
		}
	}
}

// watchOrphans makes a relay watch the hosts of its zone whose relay is gone, and a
// lead also those of zones of its region that have no relays. Hosts that are alive
// join another relay, which ends the watch; the others failed together with their
// relay and are marked lost.
func (r *records) watchOrphans(now time.Time) {
	if !r.RelaySlot.Get().Held {
		return
	}
	relays := r.listedRelays()
	zones := make(map[mesh.Place]bool)
	for _, v := range r.Directory.Get().Relays {
		zones[v.Place] = true
	}
	self, lead := r.Self.Get(), r.Uplinks.Get().Lead
	for _, record := range r.Records.Read().All() {
		responsible := record.Place == self.Place ||
			(lead && record.Place.Region == self.Place.Region && !zones[record.Place])
		orphan := record.State.Live() && !relays[record.Relay] && record.Host != self.Host
		if responsible && orphan && !r.watched[record.Host] {
			r.watched[record.Host], r.orphans[record.Host] = true, true
			r.detector.RecordHeartbeat(record.Host, now)
		}
	}
}

// releaseOrphans ends the watch of orphans whose relay has appeared in the directory.
// The directory may list a new relay later than the records of its hosts arrive, and
// those hosts send their heartbeats to that relay.
func (r *records) releaseOrphans() {
	relays := r.listedRelays()
	for host := range r.orphans {
		record, _ := r.Records.Read().Get(host)
		if !r.watched[host] || relays[record.Relay] {
			delete(r.orphans, host)
			delete(r.watched, host)
			r.detector.Forget(host)
		}
	}
}

// listedRelays returns the hosts that are relays according to the directory.
func (r *records) listedRelays() map[mesh.HostID]bool {
	relays := make(map[mesh.HostID]bool)
	for _, v := range r.Directory.Get().Relays {
		relays[v.Host] = true
	}
	return relays
}

// completeAsLead declares a lead's table complete once its relays have had time to
// send their records.
func (r *records) completeAsLead(now time.Time) {
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
	if due := r.leadSince.Add(leadGatherTime); now.Before(due) {
		r.alarm.SetIfEarlier(due)
		return
	}
	r.CompleteServices.Change().All = true
}
