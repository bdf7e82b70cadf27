package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
)

// inviteInterval is the time between two rounds of invitations to become a relay.
const inviteInterval = 5 * time.Second

// inviter sends the list of relays to the nodes that this one serves and, while
// its zone has too few relays, invites some of them to become relays.
type inviter struct {
	*cells.Node
	alarm board.Alarm
	// nextRoundAt is when the next round of invitations is due.
	nextRoundAt time.Time
	// sentTo holds the links on which lastDirectory was sent.
	sentTo map[cells.LinkID]bool
	// lastDirectory is the directory that was last sent.
	lastDirectory cells.Directory
}

func newInviter(node *cells.Node) board.Controller {
	i := &inviter{Node: node, sentTo: make(map[cells.LinkID]bool)}
	return board.Controller{
		Name:   "inviter",
		Reads:  []board.Ref{&node.Directory, &node.Peers, &node.RelaySlot, &i.alarm},
		Uses:   []board.Ref{&node.Self},
		Writes: []board.Ref{&node.LinkCommands, &i.alarm},
		Step:   i.step,
	}
}

func (i *inviter) step(now time.Time) {
	i.sendDirectory()
	if !i.RelaySlot.Get().Held {
		return
	}
	if now.Before(i.nextRoundAt) {
		i.alarm.SetIfEarlier(i.nextRoundAt)
		return
	}
	i.nextRoundAt = now.Add(inviteInterval)
	i.alarm.SetIfEarlier(i.nextRoundAt)
	i.inviteChildren()
}

// sendDirectory sends the list of relays to each node that this one serves and to
// relays of other regions, once for each change.
func (i *inviter) sendDirectory() {
	directory := i.Directory.Get()
	if len(directory.Relays) == 0 {
		return
	}
	if !slices.Equal(directory.Relays, i.lastDirectory.Relays) {
		i.lastDirectory = directory
		clear(i.sentTo)
	}
	linked := make(map[cells.LinkID]bool)
	for _, p := range i.Peers.Read().Identified() {
		linked[p.Link] = true
		if i.sentTo[p.Link] || (p.Dialed && !betweenRegions(i.Self.Get(), p)) {
			continue
		}
		i.sentTo[p.Link] = true
		send(i.Node, p.Link, ctlmsg.RelayList{Relays: i.relaysFor(p)})
	}
	for l := range i.sentTo {
		if !linked[l] {
			delete(i.sentTo, l)
		}
	}
}

// relaysFor returns the relays to list for a peer: all of them if it wants
// everything, otherwise those of its region.
func (i *inviter) relaysFor(p *cells.Peer) []relay.Relay {
	if p.Hello.WantsAll {
		return i.lastDirectory.Relays
	}
	return slices.DeleteFunc(slices.Clone(i.lastDirectory.Relays), func(r relay.Relay) bool {
		return r.Place.Region != p.Hello.Place.Region
	})
}

// inviteChildren invites children to the zone's vacant relay slots if this node is
// the one relay of the zone that sends invitations.
func (i *inviter) inviteChildren() {
	self := i.Self.Get()
	live := slices.DeleteFunc(slices.Clone(i.Directory.Get().Relays), func(r relay.Relay) bool {
		return r.Place != self.Place
	})
	if chosen, ok := relay.ChooseInviter(live); !ok || chosen.Host != self.Host {
		return
	}
	links := make(map[mesh.HostID]cells.LinkID)
	var children []mesh.HostID
	for _, p := range i.Peers.Read().Identified() {
		if !p.Dialed && !p.Hello.Relay && p.Hello.Place == self.Place {
			links[p.Hello.Host] = p.Link
			children = append(children, p.Hello.Host)
		}
	}
	for _, v := range relay.PlanInvites(live, self.RelaysPerZone, children) {
		send(i.Node, links[v.Host], ctlmsg.RelayInvite{Slot: v.Slot})
	}
}
