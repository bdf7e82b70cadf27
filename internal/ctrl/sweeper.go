package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// lookInterval is the time between two looks for dead nodes.
	lookInterval = 2 * time.Second
	// unlinkedTime is how long a node may have no link to a reader before that
	// dials it.
	unlinkedTime = 6 * time.Second
	// deadTime is how long a node that could not be dialled either counts as alive.
	deadTime = 14 * time.Second
)

// sweep lets a reader remove the records of nodes that are gone. Every node
// keeps a link to the readers; one without is dialled before it counts as dead,
// and one that was swept by mistake writes itself again.
type sweep struct {
	*cells.Proxy
	alarm board.Alarm
	// seen holds when each host last had a link here.
	seen map[mesh.HostID]time.Time
	// due is the time of the next look.
	due time.Time
}

func newSweep(set *cells.Proxy) board.Controller {
	s := &sweep{Proxy: set, seen: make(map[mesh.HostID]time.Time)}
	return board.Controller{
		Name:   "sweep",
		Reads:  []board.Ref{&set.ReadsPlatform, &s.alarm},
		Uses:   []board.Ref{&set.Self, &set.Peers, &set.Roster, &set.PlatformStatus},
		Writes: []board.Ref{&set.ObjectCommands, &set.LinkCommands, &set.LogEvents, &s.alarm},
		Step:   s.step,
	}
}

func (s *sweep) step(now time.Time) {
	if !s.ReadsPlatform.Get() || !s.PlatformStatus.Get().Reachable {
		clear(s.seen)
		return
	}
	s.alarm.SetIfEarlier(now.Add(lookInterval))
	if now.Before(s.due) {
		return
	}
	s.due = now.Add(lookInterval)
	for _, p := range s.Peers.Read().Identified() {
		s.seen[p.Hello.Host] = now
	}
	roster := s.Roster.Read()
	for _, h := range roster.Hosts() {
		if h != s.Self.Get().Host {
			s.judge(h, now)
		}
	}
	for h := range s.seen {
		if _, known := roster.Get(h); !known {
			delete(s.seen, h)
		}
	}
}

// judge dials a node without a link, and removes its record once it is dead.
func (s *sweep) judge(host mesh.HostID, now time.Time) {
	seen, known := s.seen[host]
	if !known {
		s.seen[host] = now
		return
	}
	entry, _ := s.Roster.Read().Get(host)
	switch silent := now.Sub(seen); {
	case silent >= deadTime:
		delete(s.seen, host)
		s.ObjectCommands.Send(cells.ObjectCommand{Action: cells.DeleteRecord, Kind: cells.RecordObjects, Host: host, Version: entry.Version})
		s.LogEvents.Send(cells.LogEvent{Name: "nodeSwept", Fields: []cells.LogField{
			{Name: "node", Value: string(host)}, {Name: "silent", Value: silent}, {Name: "objectVersion", Value: entry.Version},
		}})
	case silent >= unlinkedTime:
		s.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkDial, Address: entry.Node.Address})
	}
}
