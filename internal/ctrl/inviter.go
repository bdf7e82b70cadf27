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

// inviteInterval is the time between two rounds of invitations.
const inviteInterval = 5 * time.Second

// invite tells children which relays there are, and asks some of them to
// become relays while the zone has too few.
type invite struct {
	*cells.Set
	alarm board.Alarm
	// due is the time of the next round of invitations.
	due time.Time
	// told holds the links that were sent the present directory.
	told map[cells.LinkID]bool
	// last is the directory that they were sent.
	last cells.Directory
}

func newInvite(set *cells.Set) board.Controller {
	i := &invite{Set: set, told: make(map[cells.LinkID]bool)}
	return board.Controller{
		Name:   "invite",
		Reads:  []board.Ref{&set.Directory, &set.Peers, &set.RelaySlot, &i.alarm},
		Uses:   []board.Ref{&set.Self},
		Writes: []board.Ref{&set.LinkCommands, &i.alarm},
		Step:   i.step,
	}
}

func (i *invite) step(now time.Time) {
	i.tell()
	if !i.RelaySlot.Get().Held {
		return
	}
	if now.Before(i.due) {
		i.alarm.SetIfEarlier(i.due)
		return
	}
	i.due = now.Add(inviteInterval)
	i.alarm.SetIfEarlier(i.due)
	i.inviteChildren()
}

// tell sends the directory to every node that this one serves.
func (i *invite) tell() {
	directory := i.Directory.Get()
	if len(directory.Relays) == 0 {
		return
	}
	if !slices.Equal(directory.Relays, i.last.Relays) {
		i.last = directory
		clear(i.told)
	}
	up := make(map[cells.LinkID]bool)
	for _, p := range i.Peers.Read().Identified() {
		up[p.Link] = true
		if i.told[p.Link] || (p.Dialed && !betweenRegions(i.Self.Get(), p)) {
			continue
		}
		i.told[p.Link] = true
		send(i.Set, p.Link, ctlmsg.RelayList{Relays: i.listFor(p)})
	}
	for l := range i.told {
		if !up[l] {
			delete(i.told, l)
		}
	}
}

// listFor returns the relays that a node needs: a child those of its own region.
func (i *invite) listFor(p *cells.Peer) []relay.Relay {
	if p.Hello.WantsAll {
		return i.last.Relays
	}
	return slices.DeleteFunc(slices.Clone(i.last.Relays), func(r relay.Relay) bool {
		return r.Place.Region != p.Hello.Place.Region
	})
}

// inviteChildren fills the zone's vacant slots; only one relay of a zone does.
func (i *invite) inviteChildren() {
	self := i.Self.Get()
	live := slices.DeleteFunc(slices.Clone(i.Directory.Get().Relays), func(r relay.Relay) bool {
		return r.Place != self.Place
	})
	if chair, ok := relay.ChooseInviter(live); !ok || chair.Host != self.Host {
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
		send(i.Set, links[v.Host], ctlmsg.RelayInvite{Slot: v.Slot})
	}
}
