package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
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

// sweeper removes the records of dead nodes. It is active while this proxy reads from
// the platform, as the readers do. Every node keeps a link to the readers. A node
// without a link is dialed before it counts as dead. A node whose record was removed
// by mistake writes it again.
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
		Reads:  []board.Ref{&proxy.ReadsPlatform, &s.alarm},
		Uses:   []board.Ref{&proxy.Self, &proxy.Peers, &proxy.Roster, &proxy.PlatformStatus},
		Writes: []board.Ref{&proxy.ObjectCommands, &proxy.LinkCommands, &proxy.LogEvents, &s.alarm},
		Step:   s.step,
	}
}

func (s *sweeper) step(now time.Time) {
	if !s.ReadsPlatform.Get() || !s.PlatformStatus.Get().Reachable {
		clear(s.lastLinked)
		return
	}
	s.alarm.SetIfEarlier(now.Add(livenessCheckInterval))
	if now.Before(s.nextCheckAt) {
		return
	}
	s.nextCheckAt = now.Add(livenessCheckInterval)
	for _, p := range s.Peers.Read().Identified() {
		s.lastLinked[p.Hello.Host] = now
	}
	roster := s.Roster.Read()
	for _, h := range roster.Hosts() {
		if h != s.Self.Get().Host {
			s.checkNode(h, now)
		}
	}
	for h := range s.lastLinked {
		if _, known := roster.Get(h); !known {
			delete(s.lastLinked, h)
		}
	}
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
		s.ObjectCommands.Send(cells.ObjectCommand{Action: cells.DeleteRecord, Kind: cells.RecordObjects, Host: host, Version: entry.Version})
		s.LogEvents.Send(cells.LogEvent{Name: "nodeSwept", Fields: []cells.LogField{
			{Name: "node", Value: string(host)}, {Name: "silent", Value: unlinked}, {Name: "objectVersion", Value: entry.Version},
		}})
	case unlinked >= dialAfter:
		s.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkDial, Address: entry.Node.Address})
	}
}
