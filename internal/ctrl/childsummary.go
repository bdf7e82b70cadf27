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

// marks sums up what this relay and its children have in force.
type marks struct {
	*cells.Set
	sum relay.ChildTracker
	// children holds the host at the far end of each child's link.
	children map[cells.LinkID]mesh.HostID
}

func newMarks(set *cells.Set) board.Controller {
	m := &marks{Set: set, children: make(map[cells.LinkID]mesh.HostID)}
	return board.Controller{
		Name:   "marks",
		Reads:  []board.Ref{&set.LinkEvents, &set.Config, &set.Adoption},
		Uses:   []board.Ref{&set.Self, &set.Peers},
		Writes: []board.Ref{&set.ChildSummary},
		Step:   m.step,
	}
}

func (m *marks) step(time.Time) {
	self := m.Self.Get()
	m.sum.Zone = self.Place.Zone
	for _, e := range m.LinkEvents.Events() {
		m.event(e)
	}
	version := m.Config.Get().Manifest.Version
	m.sum.SetTarget(version)
	m.sum.SetVersion(self.Host, version)
	if status := m.Adoption.Get(); status.Refused > version {
		m.sum.SetRefusal(relay.Refusal{Host: self.Host, Version: status.Refused, Reason: status.Reason})
	}
	mark := m.sum.Summary()
	if !equalMarks(mark, m.ChildSummary.Get()) {
		m.ChildSummary.Set(mark)
	}
}

func (m *marks) event(e cells.LinkEvent) {
	if e.Kind == cells.LinkDown {
		m.leave(e.Link)
		return
	}
	switch b := e.Message.(type) {
	case ctlmsg.Hello:
		if p := m.Peers.Read().Get(e.Link); p != nil && !p.Dialed {
			m.greeted(e.Link, b)
		}
	case ctlmsg.Heartbeat:
		host, ok := m.children[e.Link]
		if !ok {
			return
		}
		m.sum.SetVersion(host, b.Version)
		if b.RefusedVersion > b.Version {
			m.sum.SetRefusal(relay.Refusal{Host: host, Version: b.RefusedVersion, Reason: b.RefusalReason})
		}
	}
}

// greeted counts the far end as a child unless it is a relay, which reports
// for itself.
func (m *marks) greeted(link cells.LinkID, hello ctlmsg.Hello) {
	if hello.Relay {
		m.leave(link)
		return
	}
	if _, ok := m.children[link]; ok {
		return
	}
	m.children[link] = hello.Host
	m.sum.Add(hello.Host)
}

// leave forgets a child, unless it has another link by now.
func (m *marks) leave(link cells.LinkID) {
	host, ok := m.children[link]
	if !ok {
		return
	}
	delete(m.children, link)
	for _, h := range m.children {
		if h == host {
			return
		}
	}
	m.sum.Remove(host)
}

func equalMarks(a, b relay.Summary) bool {
	return a.Zone == b.Zone && a.Version == b.Version && a.Children == b.Children && a.Behind == b.Behind &&
		slices.Equal(a.Refusals, b.Refusals)
}
