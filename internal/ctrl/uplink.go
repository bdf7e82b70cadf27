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

// failedRelayDelay is how long a relay that could not be reached is not chosen.
const failedRelayDelay = 10 * time.Second

// helloTimeout is the longest wait for the far end's Hello on a dialed link.
const helloTimeout = 3 * time.Second

// uplink chooses the relays that serve this node and dials them. A child is served by
// the nearest relay, if possible of its zone, a relay by its region's lead, and a
// lead by the leads of the other regions.
type uplink struct {
	*cells.Node
	alarm board.Alarm
	// failedUntil holds until when a failed relay is not chosen.
	failedUntil map[mesh.HostID]time.Time
	// dialingSince holds, by address, when a dial started that has not led to a Hello
	// yet.
	dialingSince map[netip.AddrPort]time.Time
	backoff      relay.Backoff
	// nextDialAt is the earliest time of the next dial.
	nextDialAt time.Time
	// seedIndex selects the seed to dial. It increases with each failed dial, so that
	// the seeds are tried in turn.
	seedIndex int
}

func newUplink(node *cells.Node, source rand.Source) board.Controller {
	u := &uplink{
		Node:         node,
		failedUntil:  make(map[mesh.HostID]time.Time),
		dialingSince: make(map[netip.AddrPort]time.Time),
		backoff:      relay.Backoff{Initial: retryInitial, Max: retryMax, Source: source},
	}
	return board.Controller{
		Name:   "uplink",
		Reads:  []board.Ref{&node.LinkEvents, &node.Peers, &node.Directory, &node.RelaySlot, &node.PlatformReachable, &u.alarm},
		Uses:   []board.Ref{&node.Self},
		Writes: []board.Ref{&node.Uplinks, &node.LinkCommands, &u.alarm},
		Step:   u.step,
	}
}

func (u *uplink) step(now time.Time) {
	for _, e := range u.LinkEvents.Events() {
		u.handleEvent(e, now)
	}
	u.abortSlowDials(now)
	lead := u.isLead(now)
	targets := u.targets(lead, now)
	u.dialMissing(targets, now)
	u.closeUnneeded(targets)
	u.publish(lead)
}

func (u *uplink) handleEvent(e cells.LinkEvent, now time.Time) {
	switch e.Kind {
	case cells.LinkUp:
	case cells.LinkDown:
		if e.Dialed {
			u.handleDialFailure(e.Address, now)
		}
	case cells.LinkMessage:
		switch m := e.Message.(type) {
		case ctlmsg.Hello:
			if p := u.Peers.Read().Get(e.Link); p != nil && p.Dialed {
				delete(u.dialingSince, p.Address)
				delete(u.failedUntil, m.Host)
				u.backoff.Reset()
				u.nextDialAt = time.Time{}
			}
		case ctlmsg.RetryLater:
			u.nextDialAt = now.Add(m.After)
		}
	}
}

// handleDialFailure excludes the relay at the address from the choice for a while
// and delays the next dial.
func (u *uplink) handleDialFailure(node netip.AddrPort, now time.Time) {
	delete(u.dialingSince, node)
	for _, r := range u.Directory.Get().Relays {
		if r.Node == node {
			u.failedUntil[r.Host] = now.Add(failedRelayDelay)
		}
	}
	u.seedIndex++
	if u.nextDialAt.Before(now) {
		u.nextDialAt = now.Add(u.backoff.Next())
	}
}

// abortSlowDials closes dialed links that did not bring a Hello in time.
func (u *uplink) abortSlowDials(now time.Time) {
	for node, since := range u.dialingSince {
		if now.Sub(since) < helloTimeout {
			u.alarm.SetIfEarlier(since.Add(helloTimeout))
			continue
		}
		u.handleDialFailure(node, now)
		u.closeDialed(node)
	}
}

func (u *uplink) closeDialed(node netip.AddrPort) {
	peers := u.Peers.Read()
	for _, l := range peers.Links() {
		if p := peers.Get(l); p.Dialed && p.Address == node {
			u.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: l})
		}
	}
}

// recentlyFailed returns a function that reports whether a relay failed recently.
func (u *uplink) recentlyFailed(now time.Time) func(host mesh.HostID) bool {
	return func(host mesh.HostID) bool {
		until, ok := u.failedUntil[host]
		if !ok {
			return false
		}
		if now.Before(until) {
			u.alarm.SetIfEarlier(until)
			return true
		}
		delete(u.failedUntil, host)
		return false
	}
}

// isLead reports whether this node is the lead of its region, which exchanges control
// messages with other regions. A relay that knows no eligible relay of its region
// is the lead.
func (u *uplink) isLead(now time.Time) bool {
	self := u.Self.Get()
	if !u.RelaySlot.Get().Held {
		return false
	}
	lead, ok := relay.ChooseLead(self.Place.Region, u.Directory.Get().Relays, u.ineligibleAsLead(now))
	return !ok || lead.Host == self.Host
}

// ineligibleAsLead returns a function that reports whether a relay can't be the lead of
// its region, because it failed recently or because it does not reach the platform
// while another relay of the region does.
func (u *uplink) ineligibleAsLead(now time.Time) func(host mesh.HostID) bool {
	self, failed := u.Self.Get(), u.recentlyFailed(now)
	anyReachable := u.PlatformReachable.Get()
	isolated := make(map[mesh.HostID]bool)
	for _, p := range u.Peers.Read().Identified() {
		if p.Hello.Relay && p.Hello.Place.Region == self.Place.Region {
			isolated[p.Hello.Host] = !p.Hello.PlatformReachable
			anyReachable = anyReachable || p.Hello.PlatformReachable
		}
	}
	isolated[self.Host] = !u.PlatformReachable.Get()
	return func(host mesh.HostID) bool { return failed(host) || (anyReachable && isolated[host]) }
}

// targets returns the nodes that should serve this one.
func (u *uplink) targets(lead bool, now time.Time) []relay.Relay {
	self := u.Self.Get()
	relays := u.Directory.Get().Relays
	failed := u.recentlyFailed(now)
	if lead {
		return u.otherLeads(failed)
	}
	if u.RelaySlot.Get().Held {
		if r, ok := relay.ChooseLead(self.Place.Region, relays, u.ineligibleAsLead(now)); ok {
			return []relay.Relay{r}
		}
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(relays), func(r relay.Relay) bool { return r.Host == self.Host })
	if r, ok := relay.ChooseNearest(self.Host, self.Place, others, failed); ok {
		return []relay.Relay{r}
	}
	if len(self.Seeds) > 0 {
		return []relay.Relay{{Node: self.Seeds[u.seedIndex%len(self.Seeds)]}}
	}
	// With no other target, a relay that failed recently is dialed again, since it may
	// have been starting. The backoff limits the rate of these dials.
	if r, ok := relay.ChooseNearest(self.Host, self.Place, others, nil); ok {
		return []relay.Relay{r}
	}
	return nil
}

// otherLeads returns the leads of other regions that this lead dials. Of each pair of
// regions, the one whose name sorts first dials, so that there is only one link
// between them.
func (u *uplink) otherLeads(failed func(host mesh.HostID) bool) []relay.Relay {
	own := u.Self.Get().Place.Region
	relays := u.Directory.Get().Relays
	var leads []relay.Relay
	seen := map[mesh.Region]bool{own: true}
	for _, r := range relays {
		if seen[r.Place.Region] || r.Place.Region < own {
			continue
		}
		seen[r.Place.Region] = true
		if l, ok := relay.ChooseLead(r.Place.Region, relays, failed); ok {
			leads = append(leads, l)
		}
	}
	return leads
}

func (u *uplink) dialMissing(targets []relay.Relay, now time.Time) {
	for _, t := range targets {
		if _, ok := u.dialingSince[t.Node]; ok || u.isLinked(t) {
			continue
		}
		if now.Before(u.nextDialAt) {
			u.alarm.SetIfEarlier(u.nextDialAt)
			return
		}
		u.dialingSince[t.Node] = now
		u.alarm.SetIfEarlier(now.Add(helloTimeout))
		u.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkDial, Address: t.Node})
	}
}

// isLinked reports whether this node is served over a link to the target.
func (u *uplink) isLinked(target relay.Relay) bool {
	for _, p := range u.Peers.Read().Identified() {
		if u.serves(p) && isTarget(p, target) {
			return true
		}
	}
	return false
}

// serves reports whether the far end of a link serves this node: this node dialed it,
// or both are relays.
func (u *uplink) serves(p *cells.Peer) bool {
	return p.Dialed || (u.RelaySlot.Get().Held && p.Hello.WantsAll)
}

func isTarget(p *cells.Peer, target relay.Relay) bool {
	return p.Address == target.Node || (target.Host != "" && p.Hello.Host == target.Host)
}

// closeUnneeded closes dialed links to nodes that are not targets, once every target
// is linked. A child without a target keeps its links.
func (u *uplink) closeUnneeded(targets []relay.Relay) {
	for _, t := range targets {
		if !u.isLinked(t) {
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

// publish publishes the links over which this node is served: those that it dialed
// and, if it is a relay, also those that other relays dialed.
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
