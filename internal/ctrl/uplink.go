package ctrl

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
)

// failedTime is how long a relay that could not be reached is passed over.
const failedTime = 10 * time.Second

// greetTime bounds the wait for the far end's greeting on a dialled link.
const greetTime = 3 * time.Second

// uplink decides which relays serve this node and dials them. A child is
// served by one relay of its zone, a relay by its region's lead, and a lead by
// the leads of the other regions.
type uplink struct {
	*cells.Set
	alarm board.Alarm
	// failed holds until when a relay is passed over.
	failed map[mesh.HostID]time.Time
	// dialing holds since when a node is being dialled.
	dialing map[netip.AddrPort]time.Time
	backoff relay.Backoff
	// nextTry is the earliest time of the next dial.
	nextTry time.Time
	// seed counts the seeds tried, so that each gets its turn.
	seed int
}

func newUplink(set *cells.Set, source rand.Source) board.Controller {
	u := &uplink{
		Set:     set,
		failed:  make(map[mesh.HostID]time.Time),
		dialing: make(map[netip.AddrPort]time.Time),
		backoff: relay.Backoff{Initial: retryFirst, Max: retryLongest, Source: source},
	}
	return board.Controller{
		Name:   "uplink",
		Reads:  []board.Ref{&set.LinkEvents, &set.Peers, &set.Directory, &set.RelaySlot, &set.PlatformReachable, &u.alarm},
		Uses:   []board.Ref{&set.Self},
		Writes: []board.Ref{&set.Uplinks, &set.LinkCommands, &u.alarm},
		Step:   u.step,
	}
}

func (u *uplink) step(now time.Time) {
	for _, e := range u.LinkEvents.Events() {
		u.event(e, now)
	}
	u.dropSlowDials(now)
	lead := u.isLead(now)
	targets := u.targets(lead, now)
	u.dialMissing(targets, now)
	u.closeNeedless(targets)
	u.publish(lead)
}

func (u *uplink) event(e cells.LinkEvent, now time.Time) {
	switch e.Kind {
	case cells.LinkUp:
	case cells.LinkDown:
		if e.Dialed {
			u.failedTo(e.Address, now)
		}
	case cells.LinkMessage:
		switch m := e.Message.(type) {
		case ctlmsg.Hello:
			if p := u.Peers.Read().Get(e.Link); p != nil && p.Dialed {
				delete(u.dialing, p.Address)
				delete(u.failed, m.Host)
				u.backoff.Reset()
				u.nextTry = time.Time{}
			}
		case ctlmsg.RetryLater:
			u.nextTry = now.Add(m.After)
		}
	}
}

// failedTo passes over the relay at the address for a while.
func (u *uplink) failedTo(node netip.AddrPort, now time.Time) {
	delete(u.dialing, node)
	for _, r := range u.Directory.Get().Relays {
		if r.Node == node {
			u.failed[r.Host] = now.Add(failedTime)
		}
	}
	u.seed++
	if u.nextTry.Before(now) {
		u.nextTry = now.Add(u.backoff.Next())
	}
}

func (u *uplink) dropSlowDials(now time.Time) {
	for node, since := range u.dialing {
		if now.Sub(since) < greetTime {
			u.alarm.SetIfEarlier(since.Add(greetTime))
			continue
		}
		u.failedTo(node, now)
		u.closeDialled(node)
	}
}

func (u *uplink) closeDialled(node netip.AddrPort) {
	peers := u.Peers.Read()
	for _, l := range peers.Links() {
		if p := peers.Get(l); p.Dialed && p.Address == node {
			u.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: l})
		}
	}
}

// passedOver reports whether a relay failed lately.
func (u *uplink) passedOver(now time.Time) func(host mesh.HostID) bool {
	return func(host mesh.HostID) bool {
		until, ok := u.failed[host]
		if !ok {
			return false
		}
		if now.Before(until) {
			u.alarm.SetIfEarlier(until)
			return true
		}
		delete(u.failed, host)
		return false
	}
}

// isLead reports whether this node carries what crosses regions for its region.
func (u *uplink) isLead(now time.Time) bool {
	self := u.Self.Get()
	if !u.RelaySlot.Get().Held {
		return false
	}
	lead, ok := relay.ChooseLead(self.Place.Region, u.Directory.Get().Relays, u.noLead(now))
	return !ok || lead.Host == self.Host
}

// noLead reports whether a relay can't be its region's lead: it failed lately,
// or it does not reach the platform while another relay of the region does.
func (u *uplink) noLead(now time.Time) func(host mesh.HostID) bool {
	self, passed := u.Self.Get(), u.passedOver(now)
	reached := u.PlatformReachable.Get()
	cut := make(map[mesh.HostID]bool)
	for _, p := range u.Peers.Read().Identified() {
		if p.Hello.Relay && p.Hello.Place.Region == self.Place.Region {
			cut[p.Hello.Host] = !p.Hello.PlatformReachable
			reached = reached || p.Hello.PlatformReachable
		}
	}
	cut[self.Host] = !u.PlatformReachable.Get()
	return func(host mesh.HostID) bool { return passed(host) || (reached && cut[host]) }
}

// targets lists the nodes that should serve this one.
func (u *uplink) targets(lead bool, now time.Time) []relay.Relay {
	self := u.Self.Get()
	relays := u.Directory.Get().Relays
	passed := u.passedOver(now)
	if lead {
		return u.otherLeads(passed)
	}
	if u.RelaySlot.Get().Held {
		if r, ok := relay.ChooseLead(self.Place.Region, relays, u.noLead(now)); ok {
			return []relay.Relay{r}
		}
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(relays), func(r relay.Relay) bool { return r.Host == self.Host })
	if r, ok := relay.ChooseNearest(self.Host, self.Place, others, passed); ok {
		return []relay.Relay{r}
	}
	if len(self.Seeds) > 0 {
		return []relay.Relay{{Node: self.Seeds[u.seed%len(self.Seeds)]}}
	}
	// A relay that failed lately is better than none, since it may have been
	// about to start; the backoff spaces the dials.
	if r, ok := relay.ChooseNearest(self.Host, self.Place, others, nil); ok {
		return []relay.Relay{r}
	}
	return nil
}

// otherLeads lists the leads that this one dials: of each pair of regions, the
// one whose name sorts first dials, so that one link joins them.
func (u *uplink) otherLeads(passed func(host mesh.HostID) bool) []relay.Relay {
	own := u.Self.Get().Place.Region
	relays := u.Directory.Get().Relays
	var leads []relay.Relay
	seen := map[mesh.Region]bool{own: true}
	for _, r := range relays {
		if seen[r.Place.Region] || r.Place.Region < own {
			continue
		}
		seen[r.Place.Region] = true
		if l, ok := relay.ChooseLead(r.Place.Region, relays, passed); ok {
			leads = append(leads, l)
		}
	}
	return leads
}

func (u *uplink) dialMissing(targets []relay.Relay, now time.Time) {
	for _, t := range targets {
		if _, ok := u.dialing[t.Node]; ok || u.linked(t) {
			continue
		}
		if now.Before(u.nextTry) {
			u.alarm.SetIfEarlier(u.nextTry)
			return
		}
		u.dialing[t.Node] = now
		u.alarm.SetIfEarlier(now.Add(greetTime))
		u.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkDial, Address: t.Node})
	}
}

// linked reports whether a link that serves this node joins it to the target.
func (u *uplink) linked(target relay.Relay) bool {
	for _, p := range u.Peers.Read().Identified() {
		if u.serves(p) && isTarget(p, target) {
			return true
		}
	}
	return false
}

// serves reports whether the far end of a link serves this node: it was dialled
// for that, or both ends are relays.
func (u *uplink) serves(p *cells.Peer) bool {
	return p.Dialed || (u.RelaySlot.Get().Held && p.Hello.WantsAll)
}

func isTarget(p *cells.Peer, target relay.Relay) bool {
	return p.Address == target.Node || (target.Host != "" && p.Hello.Host == target.Host)
}

// closeNeedless closes dialled links that are no target, once every target is linked.
func (u *uplink) closeNeedless(targets []relay.Relay) {
	for _, t := range targets {
		if !u.linked(t) {
			return
		}
	}
	if len(targets) == 0 && !u.RelaySlot.Get().Held {
		return
	}
	for _, p := range u.Peers.Read().Identified() {
		needed := slices.ContainsFunc(targets, func(t relay.Relay) bool { return isTarget(p, t) })
		if p.Dialed && !needed {
			u.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: p.Link})
		}
	}
}

// publish lists the links that serve this node: those it dialled, and for a
// relay also those from other relays.
func (u *uplink) publish(lead bool) {
	next := cells.Uplinks{Lead: lead, Served: lead}
	for _, p := range u.Peers.Read().Identified() {
		if u.serves(p) {
			next.Links = append(next.Links, p.Link)
			next.Served = next.Served || p.Hello.Relay
		}
	}
	old := u.Uplinks.Get()
	if old.Lead == lead && old.Served == next.Served && slices.Equal(old.Links, next.Links) {
		return
	}
	u.Uplinks.Set(next)
}
