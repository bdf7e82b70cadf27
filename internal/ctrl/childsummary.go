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

// childSummary summarizes which version this relay and its children have in force
// and which versions they refused.
type childSummary struct {
	*cells.Node
	tracker relay.ChildTracker
	// children holds the host at the far end of each link to a child.
	children map[cells.LinkID]mesh.HostID
}

func newChildSummary(node *cells.Node) board.Controller {
	s := &childSummary{Node: node, children: make(map[cells.LinkID]mesh.HostID)}
	return board.Controller{
		Name:   "childSummary",
		Reads:  []board.Ref{&node.LinkEvents, &node.Config, &node.Adoption},
		Uses:   []board.Ref{&node.Self, &node.Peers},
		Writes: []board.Ref{&node.ChildSummary},
		Step:   s.step,
	}
}

func (s *childSummary) step(time.Time) {
	self := s.Self.Get()
	s.tracker.Zone = self.Place.Zone
	for _, e := range s.LinkEvents.Events() {
		s.handleEvent(e)
	}
	version := s.Config.Get().Manifest.Version
	s.tracker.SetTarget(version)
	s.tracker.SetVersion(self.Host, version)
	if status := s.Adoption.Get(); status.Refused > version {
		s.tracker.SetRefusal(relay.Refusal{Host: self.Host, Version: status.Refused, Reason: status.Reason})
	}
	summary := s.tracker.Summary()
	if !equalSummaries(summary, s.ChildSummary.Get()) {
		s.ChildSummary.Set(summary)
	}
}

func (s *childSummary) handleEvent(e cells.LinkEvent) {
	if e.Kind == cells.LinkDown {
		s.removeChild(e.Link)
		return
	}
	switch message := e.Message.(type) {
	case ctlmsg.Hello:
		if p := s.Peers.Read().Get(e.Link); p != nil && !p.Dialed {
			s.addChild(e.Link, message)
		}
	case ctlmsg.Heartbeat:
		host, ok := s.children[e.Link]
		if !ok {
			return
		}
		s.tracker.SetVersion(host, message.Version)
		if message.RefusedVersion > message.Version {
			s.tracker.SetRefusal(relay.Refusal{Host: host, Version: message.RefusedVersion, Reason: message.RefusalReason})
		}
	}
}

// addChild adds the far end to the children unless it is a relay, since a relay
// reports on itself.
func (s *childSummary) addChild(link cells.LinkID, hello ctlmsg.Hello) {
	if hello.Relay {
		s.removeChild(link)
		return
	}
	if _, ok := s.children[link]; ok {
		return
	}
	s.children[link] = hello.Host
	s.tracker.Add(hello.Host)
}

// removeChild removes the child of a link unless the child also has another link.
func (s *childSummary) removeChild(link cells.LinkID) {
	host, ok := s.children[link]
	if !ok {
		return
	}
	delete(s.children, link)
	for _, h := range s.children {
		if h == host {
			return
		}
	}
	s.tracker.Remove(host)
}

func equalSummaries(a, b relay.Summary) bool {
	return a.Zone == b.Zone && a.Version == b.Version && a.Children == b.Children && a.Behind == b.Behind &&
		slices.Equal(a.Refusals, b.Refusals)
}
