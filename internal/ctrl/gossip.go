package ctrl

import (
	"cmp"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// digestInterval is the time between two rounds in which digests are sent to the
// nodes that serve this one, to find and repair differences.
const digestInterval = time.Minute

// maxRecordsPerMessage is the maximum number of records in one MemberRecords
// message.
const maxRecordsPerMessage = 512

// gossip forwards upstream records: to a child those of the services that it wants,
// to a relay all of them, and to a lead of another region those of this node's
// region.
type gossip struct {
	*cells.Node
	alarm board.Alarm
	// cursors holds, for each link, what has been sent on it.
	cursors map[cells.LinkID]*cursor
	// origins holds the link on which each host's record last arrived, so that it is
	// not sent back there.
	origins map[mesh.HostID]origin
	// digestsSent holds the links on which digests were sent. The value says whether
	// this node wanted every record at that time.
	digestsSent map[cells.LinkID]bool
	// nextDigestsAt is when digests are sent next on all uplinks.
	nextDigestsAt time.Time
	// lastServed is the state from which all links were last served.
	lastServed sourceState
}

// sourceState identifies the state of the records and of their completeness. Links are
// served again when it changes.
type sourceState struct {
	// records is the revision of the table of records.
	records uint64
	// allComplete is true once the records of all services are complete, and
	// completeServices is the number of complete services. Neither is ever reset.
	allComplete      bool
	completeServices int
}

// origin is a record with the link on which it arrived.
type origin struct {
	link   cells.LinkID
	record member.Record
}

// cursor holds what has been sent on a link.
type cursor struct {
	// sendsAll is true when every record changed after revision is sent.
	sendsAll bool
	revision uint64
	// pending is true while a request of the far end is unanswered.
	pending bool
	// sentAllComplete is true once the far end was notified that it has the records of
	// all services.
	sentAllComplete bool
	// serviceRevisions holds, for each wanted service, the table's revision up to
	// which its records were sent.
	serviceRevisions map[mesh.ServiceID]uint64
	// sentComplete holds the wanted services of which the far end was notified that it
	// has all records.
	sentComplete map[mesh.ServiceID]bool
}

func newGossip(node *cells.Node) board.Controller {
	g := &gossip{
		Node:        node,
		cursors:     make(map[cells.LinkID]*cursor),
		origins:     make(map[mesh.HostID]origin),
		digestsSent: make(map[cells.LinkID]bool),
	}
	return board.Controller{
		Name:   "gossip",
		Reads:  []board.Ref{&node.LinkEvents, &node.Records, &node.CompleteServices, &node.Uplinks, &node.NeededServices, &node.Subscription, &g.alarm},
		Uses:   []board.Ref{&node.Self, &node.Peers},
		Writes: []board.Ref{&node.LinkCommands, &g.alarm},
		Step:   g.step,
	}
}

func (g *gossip) step(now time.Time) {
	for _, e := range g.LinkEvents.Events() {
		g.handleEvent(e)
	}
	g.sendDigestsWhenDue(now)
	for _, l := range g.pendingLinks() {
		c := g.cursors[l]
		c.pending = !g.sendChanges(l, c)
	}
}

// pendingLinks returns the links to serve, sorted.
func (g *gossip) pendingLinks() (links []cells.LinkID) {
	changed := g.changedSinceLast()
	for l, c := range g.cursors {
		if changed || c.pending {
			links = append(links, l)
		}
	}
	slices.Sort(links)
	return links
}

// changedSinceLast reports whether there is more to forward than at the last step.
func (g *gossip) changedSinceLast() bool {
	complete := g.CompleteServices.Read()
	next := sourceState{
		records: g.Records.Read().Revision(), allComplete: complete.All, completeServices: len(complete.Services),
	}
	changed := next != g.lastServed
	g.lastServed = next
	return changed
}

func (g *gossip) handleEvent(e cells.LinkEvent) {
	if e.Kind == cells.LinkDown {
		delete(g.cursors, e.Link)
		delete(g.digestsSent, e.Link)
		return
	}
	switch m := e.Message.(type) {
	case ctlmsg.MemberRecords:
		for _, r := range m.Records {
			g.origins[r.Host] = origin{link: e.Link, record: r}
		}
	case ctlmsg.ConfigRequest:
		g.setServices(e.Link, m.Services)
	case ctlmsg.MembershipDigests:
		g.handleDigests(e.Link, m)
	case ctlmsg.Heartbeat:
		g.notifyIfLost(e.Link)
	}
}

func (g *gossip) cursor(link cells.LinkID) *cursor {
	c := g.cursors[link]
	if c == nil {
		c = &cursor{serviceRevisions: make(map[mesh.ServiceID]uint64), sentComplete: make(map[mesh.ServiceID]bool)}
		g.cursors[link] = c
	}
	return c
}

// notifyIfLost sends a host its own record if the record says that the host is
// lost although it sends heartbeats, so that the host refutes it.
func (g *gossip) notifyIfLost(link cells.LinkID) {
	p := g.Peers.Read().Get(link)
	if p == nil {
		return
	}
	if r, ok := g.Records.Read().Get(p.Hello.Host); ok && r.State == member.Lost {
		send(g.Node, link, ctlmsg.MemberRecords{Records: []member.Record{r}})
	}
}

// setServices replaces the services that the far end wants. The records of newly
// wanted ones are sent in full.
func (g *gossip) setServices(link cells.LinkID, ids []mesh.ServiceID) {
	c := g.cursor(link)
	revisions := make(map[mesh.ServiceID]uint64, len(ids))
	sentComplete := make(map[mesh.ServiceID]bool, len(ids))
	for _, id := range ids {
		revisions[id] = c.serviceRevisions[id]
		sentComplete[id] = c.sentComplete[id]
	}
	c.serviceRevisions, c.sentComplete, c.pending = revisions, sentComplete, true
}

// handleDigests has the records of a service sent in full if its digest differs from
// the far end's. The digests of a relay cover every service, and from then on it is
// sent every changed record; those of a child count for the services it wants.
func (g *gossip) handleDigests(link cells.LinkID, m ctlmsg.MembershipDigests) {
	peer := g.Peers.Read().Get(link)
	if peer == nil {
		return
	}
	table := g.Records.Read()
	remoteDigests := make(map[mesh.ServiceID]uint64, len(m.Services))
	for _, d := range m.Services {
		remoteDigests[d.ID] = d.Digest
	}
	c := g.cursor(link)
	c.pending = true
	if peer.Hello.WantsAll {
		for _, id := range table.Services() {
			if table.Digest(id) != remoteDigests[id] {
				full, _ := table.ServiceChangesSince(id, 0)
				g.sendRecords(link, g.visibleTo(peer, full), nil)
			}
		}
		c.sendsAll, c.revision = true, table.Revision()
		return
	}
	for id, d := range remoteDigests {
		if _, wanted := c.serviceRevisions[id]; wanted && table.Digest(id) != d {
			c.serviceRevisions[id], c.sentComplete[id] = 0, false
		}
	}
}

// sendDigestsWhenDue sends digests to the nodes that serve this one: on a new link,
// when this node starts or stops wanting every record, and once per
// digestInterval.
func (g *gossip) sendDigestsWhenDue(now time.Time) {
	due := !now.Before(g.nextDigestsAt)
	wantsAll := g.Subscription.Get().All
	for _, l := range g.Uplinks.Get().Links {
		if wantedAll, ok := g.digestsSent[l]; due || !ok || wantedAll != wantsAll {
			send(g.Node, l, g.digests())
			g.digestsSent[l] = wantsAll
		}
	}
	if due {
		g.nextDigestsAt = now.Add(digestInterval)
	}
	g.alarm.Set(g.nextDigestsAt)
}

func (g *gossip) digests() ctlmsg.MembershipDigests {
	all := g.Records.Read().Digests()
	digests := ctlmsg.MembershipDigests{Services: make([]ctlmsg.ServiceDigest, 0, len(all))}
	for id, d := range all {
		digests.Services = append(digests.Services, ctlmsg.ServiceDigest{ID: id, Digest: d})
	}
	slices.SortFunc(digests.Services, func(a, b ctlmsg.ServiceDigest) int {
		return cmp.Or(cmp.Compare(a.ID.Customer, b.ID.Customer), cmp.Compare(a.ID.Service, b.ID.Service))
	})
	return digests
}

// sendChanges sends what has changed since the link was last served; ok is false
// if the link is not up.
func (g *gossip) sendChanges(link cells.LinkID, c *cursor) (ok bool) {
	peer := g.Peers.Read().Get(link)
	if peer == nil {
		return false
	}
	if c.sendsAll {
		g.sendAllChanges(link, peer, c)
		return true
	}
	table, complete := g.Records.Read(), g.CompleteServices.Read()
	for id, revision := range c.serviceRevisions {
		switch {
		case complete.Has(id) && !c.sentComplete[id]:
			full, _ := table.ServiceChangesSince(id, 0)
			g.sendRecords(link, full, []mesh.ServiceID{id})
			c.sentComplete[id] = true
			c.serviceRevisions[id] = table.Revision()
		default:
			var changed []member.Record
			changed, c.serviceRevisions[id] = table.ServiceChangesSince(id, revision)
			g.sendRecords(link, changed, nil)
		}
	}
	return true
}

func (g *gossip) sendAllChanges(link cells.LinkID, peer *cells.Peer, c *cursor) {
	var changed []member.Record
	changed, c.revision = g.Records.Read().ChangesSince(c.revision)
	var complete []mesh.ServiceID
	if g.CompleteServices.Read().All && !c.sentAllComplete {
		c.sentAllComplete = true
		complete = []mesh.ServiceID{allServices}
	}
	g.sendRecords(link, g.forwardable(link, peer, changed), complete)
}

// forwardable filters out records that arrived on the link, and those that visibleTo
// filters out.
func (g *gossip) forwardable(link cells.LinkID, peer *cells.Peer, changed []member.Record) []member.Record {
	return slices.DeleteFunc(g.visibleTo(peer, changed), func(r member.Record) bool {
		return g.origins[r.Host] == origin{link: link, record: r}
	})
}

// visibleTo filters out records of other regions if the peer is not in this node's
// region, since the lead of each region sends the records of its own region.
func (g *gossip) visibleTo(peer *cells.Peer, records []member.Record) []member.Record {
	own := g.Self.Get().Place.Region
	return slices.DeleteFunc(records, func(r member.Record) bool {
		return peer.Hello.Place.Region != own && r.Place.Region != own
	})
}

// sendRecords sends records in as many messages as they need, but in a single one
// if complete is set: the receiver drops the records of a complete service that
// are missing from the message.
func (g *gossip) sendRecords(link cells.LinkID, changed []member.Record, complete []mesh.ServiceID) {
	for len(changed) > maxRecordsPerMessage && complete == nil {
		send(g.Node, link, ctlmsg.MemberRecords{Records: changed[:maxRecordsPerMessage]})
		changed = changed[maxRecordsPerMessage:]
	}
	if len(changed) > 0 || len(complete) > 0 {
		send(g.Node, link, ctlmsg.MemberRecords{Records: changed, CompleteServices: complete})
	}
}
