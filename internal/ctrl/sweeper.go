package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// livenessCheckInterval is the interval between checks for dead nodes.
	livenessCheckInterval = 2 * time.Second
	// dialAfter is how long a node may have no link to a reader before the reader
	// dials it.
	dialAfter = 6 * time.Second
	// deadAfter is the time without a link after which a node counts as dead. It is
	// longer than dialAfter, so that the dials have time to succeed.
	deadAfter = 14 * time.Second
)

// sweeper removes the records of dead nodes. It is active while this proxy's data is
// current, and checks the nodes that receive from this proxy, directly or through
// others. Every node keeps a link to its parents. A node that neither has a link to this
// proxy nor a parent that is checked in turn is dialed before it counts as dead. A node
// whose record was removed by mistake writes it again.
type sweeper struct {
	*cells.Proxy
	alarm board.Alarm
	// lastLinked contains the time at which each host last had a link to this proxy,
	// or else was first checked.
	lastLinked map[mesh.HostID]time.Time
	// nextCheckAt is the time of the next check.
	nextCheckAt time.Time
}

func newSweeper(proxy *cells.Proxy) board.Controller {
	s := &sweeper{Proxy: proxy, lastLinked: make(map[mesh.HostID]time.Time)}
	return board.Controller{
		Name:   "sweeper",
		Reads:  []board.Ref{&proxy.Tree, &s.alarm},
		Uses:   []board.Ref{&proxy.Self, &proxy.Peers, &proxy.Roster, &proxy.Freshness},
		Writes: []board.Ref{&proxy.ObjectCommands, &proxy.LinkCommands, &proxy.LogEvents, &s.alarm},
		Step:   s.step,
	}
}

func (s *sweeper) step(now time.Time) {
	s.alarm.SetIfEarlier(now.Add(livenessCheckInterval))
	if now.Before(s.nextCheckAt) {
		return
	}
	s.nextCheckAt = now.Add(livenessCheckInterval)
	if !s.Tree.Get().IsReader(s.Self.Get().Host) || now.Sub(s.Freshness.Get().LastRead(now)) > maxHeartbeatAge {
		clear(s.lastLinked)
		return
	}
	linked := make(map[mesh.HostID]bool)
	for _, p := range s.Peers.Read().Identified() {
		linked[p.Hello.Host] = true
	}
	roster, tree, self := s.Roster.Read(), s.Tree.Get(), s.Self.Get().Host
	for _, n := range roster.Nodes() {
		switch {
		case n.Host == self || !tree.IsAncestor(self, n.Host, n.Place):
			delete(s.lastLinked, n.Host)
		case isCovered(tree, self, n.Host, n.Place, linked):
			s.lastLinked[n.Host] = now
		default:
			s.checkNode(n.Host, now)
		}
	}
	for h := range s.lastLinked {
		if _, known := roster.Get(h); !known {
			delete(s.lastLinked, h)
		}
	}
}

// isCovered reports whether a node has a link to this proxy, or receives from a node
// that has one and that checks it instead.
func isCovered(tree *fleet.Tree, self, host mesh.HostID, place mesh.Place, linked map[mesh.HostID]bool) bool {
	if linked[host] {
		return true
	}
	parents := tree.Parents(host, place)
	if slices.ContainsFunc(parents, func(p fleet.Node) bool { return p.Host == self }) {
		return false
	}
	return slices.ContainsFunc(parents, func(p fleet.Node) bool { return isCovered(tree, self, p.Host, p.Place, linked) })
}

// checkNode dials a node without a link, and removes its record once it counts as
// dead.
func (s *sweeper) checkNode(host mesh.HostID, now time.Time) {
	lastLinked, known := s.lastLinked[host]
	if !known {
		s.lastLinked[host] = now
		return
	}
	entry, _ := s.Roster.Read().Get(host)
	switch unlinked := now.Sub(lastLinked); {
	case unlinked >= deadAfter:
		delete(s.lastLinked, host)
		s.ObjectCommands.Send(cells.ObjectCommand{Action: cells.DeleteRecord, Kind: cells.RecordObjects, Host: host, Version: entry.Version, Era: entry.Era})
		s.LogEvents.Send(cells.LogEvent{Name: "nodeSwept", Fields: []cells.LogField{
			{Name: "node", Value: string(host)}, {Name: "silent", Value: unlinked}, {Name: "objectVersion", Value: entry.Version},
		}})
	case unlinked >= dialAfter:
		s.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkDial, Address: entry.Node.Address})
	}
}
