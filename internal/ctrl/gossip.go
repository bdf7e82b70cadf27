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

// repairInterval is the time between two comparisons of digests with the nodes
// that serve this one.
const repairInterval = time.Minute

// maxRecordsPerMessage bounds one Members message.
const maxRecordsPerMessage = 512

// gossip passes records on: to a child those of the services that it wants, to
// a relay all of them, and to another region's lead those of its own region.
type gossip struct {
	*cells.Set
	alarm board.Alarm
	// cursors holds what the far end of each link was told.
	cursors map[cells.LinkID]*cursor
	// learned holds where a record came from, so that it is not sent back there.
	learned map[mesh.HostID]lesson
	// compared holds the links that were sent digests, and whether this node
	// wanted every record then.
	compared map[cells.LinkID]bool
	// due is the time of the next comparison.
	due time.Time
	// last is what every cursor was last served from.
	last heard
}

// heard tells how much there is to pass on.
type heard struct {
	// records is the table's revision.
	records uint64
	// everything and services tell what is known; both only grow.
	everything bool
	services   int
}

// lesson is a record with the link over which it came.
type lesson struct {
	link   cells.LinkID
	record member.Record
}

// cursor is what the far end of a link was told.
type cursor struct {
	// whole is true when it gets every record from revision all on.
	whole bool
	all   uint64
	// due is true when the far end asked for something that was not sent yet.
	due bool
	// complete is true once it was told that it has everything.
	complete bool
	// services holds the revision told of each wanted service.
	services map[mesh.ServiceID]uint64
	// known holds the wanted services that it was told are complete.
	known map[mesh.ServiceID]bool
}

func newGossip(set *cells.Set) board.Controller {
	g := &gossip{
		Set:      set,
		cursors:  make(map[cells.LinkID]*cursor),
		learned:  make(map[mesh.HostID]lesson),
		compared: make(map[cells.LinkID]bool),
	}
	return board.Controller{
		Name:   "gossip",
		Reads:  []board.Ref{&set.LinkEvents, &set.Records, &set.CompleteServices, &set.Uplinks, &set.NeededServices, &set.Subscription, &g.alarm},
		Uses:   []board.Ref{&set.Self, &set.Peers},
		Writes: []board.Ref{&set.LinkCommands, &g.alarm},
		Step:   g.step,
	}
}

func (g *gossip) step(now time.Time) {
	for _, e := range g.LinkEvents.Events() {
		g.event(e)
	}
	g.compare(now)
	for _, l := range g.dueLinks() {
		c := g.cursors[l]
		c.due = !g.serve(l, c)
	}
}

// dueLinks lists the links to serve, sorted.
func (g *gossip) dueLinks() (links []cells.LinkID) {
	moved := g.moved()
	for l, c := range g.cursors {
		if moved || c.due {
			links = append(links, l)
		}
	}
	slices.Sort(links)
	return links
}

// moved reports whether there is more to pass on than at the last step.
func (g *gossip) moved() bool {
	known := g.CompleteServices.Read()
	next := heard{
		records: g.Records.Read().Revision(), everything: known.All, services: len(known.Services),
	}
	moved := next != g.last
	g.last = next
	return moved
}

func (g *gossip) event(e cells.LinkEvent) {
	if e.Kind == cells.LinkDown {
		delete(g.cursors, e.Link)
		delete(g.compared, e.Link)
		return
	}
	switch m := e.Message.(type) {
	case ctlmsg.MemberRecords:
		for _, r := range m.Records {
			g.learned[r.Host] = lesson{link: e.Link, record: r}
		}
	case ctlmsg.ConfigRequest:
		g.wants(e.Link, m.Services)
	case ctlmsg.MembershipDigests:
		g.repair(e.Link, m)
	case ctlmsg.Heartbeat:
		g.tellVerdict(e.Link)
	}
}

func (g *gossip) cursor(link cells.LinkID) *cursor {
	c := g.cursors[link]
	if c == nil {
		c = &cursor{services: make(map[mesh.ServiceID]uint64), known: make(map[mesh.ServiceID]bool)}
		g.cursors[link] = c
	}
	return c
}

// tellVerdict tells a host that beats and is called lost, so that it refutes.
func (g *gossip) tellVerdict(link cells.LinkID) {
	p := g.Peers.Read().Get(link)
	if p == nil {
		return
	}
	if r, ok := g.Records.Read().Get(p.Hello.Host); ok && r.State == member.Lost {
		send(g.Set, link, ctlmsg.MemberRecords{Records: []member.Record{r}})
	}
}

// wants notes the services that the far end wants; new ones are told in full.
func (g *gossip) wants(link cells.LinkID, ids []mesh.ServiceID) {
	c := g.cursor(link)
	services := make(map[mesh.ServiceID]uint64, len(ids))
	known := make(map[mesh.ServiceID]bool, len(ids))
	for _, id := range ids {
		services[id] = c.services[id]
		known[id] = c.known[id]
	}
	c.services, c.known, c.due = services, known, true
}

// repair sends in full what the far end holds otherwise. A relay's digests
// cover every service and open the flow of all records to it.
func (g *gossip) repair(link cells.LinkID, m ctlmsg.MembershipDigests) {
	peer := g.Peers.Read().Get(link)
	if peer == nil {
		return
	}
	table := g.Records.Read()
	theirs := make(map[mesh.ServiceID]uint64, len(m.Services))
	for _, d := range m.Services {
		theirs[d.ID] = d.Digest
	}
	c := g.cursor(link)
	c.due = true
	if peer.Hello.WantsAll {
		for _, id := range table.Services() {
			if table.Digest(id) != theirs[id] {
				full, _ := table.ServiceChangesSince(id, 0)
				g.send(link, g.ofRegion(peer, full), nil)
			}
		}
		c.whole, c.all = true, table.Revision()
		return
	}
	for id, d := range theirs {
		if _, wanted := c.services[id]; wanted && table.Digest(id) != d {
			c.services[id], c.known[id] = 0, false
		}
	}
}

// compare sends digests to the nodes that serve this one: when a link is new,
// when this node begins to want every record, and once an interval.
func (g *gossip) compare(now time.Time) {
	due := !now.Before(g.due)
	whole := g.Subscription.Get().All
	for _, l := range g.Uplinks.Get().Links {
		if asked, ok := g.compared[l]; due || !ok || asked != whole {
			send(g.Set, l, g.digests())
			g.compared[l] = whole
		}
	}
	if due {
		g.due = now.Add(repairInterval)
	}
	g.alarm.Set(g.due)
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

// serve sends what changed since the far end was last told; ok is false while
// its link is not up.
func (g *gossip) serve(link cells.LinkID, c *cursor) (ok bool) {
	peer := g.Peers.Read().Get(link)
	if peer == nil {
		return false
	}
	if c.whole {
		g.serveWhole(link, peer, c)
		return true
	}
	table, known := g.Records.Read(), g.CompleteServices.Read()
	for id, told := range c.services {
		switch {
		case known.Has(id) && !c.known[id]:
			full, _ := table.ServiceChangesSince(id, 0)
			g.send(link, full, []mesh.ServiceID{id})
			c.known[id] = true
			c.services[id] = table.Revision()
		default:
			var changed []member.Record
			changed, c.services[id] = table.ServiceChangesSince(id, told)
			g.send(link, changed, nil)
		}
	}
	return true
}

func (g *gossip) serveWhole(link cells.LinkID, peer *cells.Peer, c *cursor) {
	var changed []member.Record
	changed, c.all = g.Records.Read().ChangesSince(c.all)
	var complete []mesh.ServiceID
	if g.CompleteServices.Read().All && !c.complete {
		c.complete = true
		complete = []mesh.ServiceID{everything}
	}
	g.send(link, g.passable(link, peer, changed), complete)
}

// passable leaves out records that came over the link, and those that the far
// end's region does not get from here.
func (g *gossip) passable(link cells.LinkID, peer *cells.Peer, changed []member.Record) []member.Record {
	return slices.DeleteFunc(g.ofRegion(peer, changed), func(r member.Record) bool {
		return g.learned[r.Host] == lesson{link: link, record: r}
	})
}

// ofRegion leaves out records of other regions when the far end is not of this
// node's own region, since the lead of each region tells its own.
func (g *gossip) ofRegion(peer *cells.Peer, records []member.Record) []member.Record {
	own := g.Self.Get().Place.Region
	return slices.DeleteFunc(records, func(r member.Record) bool {
		return peer.Hello.Place.Region != own && r.Place.Region != own
	})
}

// send splits records over as many messages as they need; the last one says
// what is complete.
func (g *gossip) send(link cells.LinkID, changed []member.Record, complete []mesh.ServiceID) {
	for len(changed) > maxRecordsPerMessage && complete == nil {
		send(g.Set, link, ctlmsg.MemberRecords{Records: changed[:maxRecordsPerMessage]})
		changed = changed[maxRecordsPerMessage:]
	}
	if len(changed) > 0 || len(complete) > 0 {
		send(g.Set, link, ctlmsg.MemberRecords{Records: changed, CompleteServices: complete})
	}
}
