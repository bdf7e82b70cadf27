package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/relay"
)

// maxMissedHeartbeats is the number of heartbeat intervals without any message
// after which a link is closed.
const maxMissedHeartbeats = 3

// links exchanges a Hello with the far end of each link, maintains the peers and
// closes silent links, because a connection can stay open although it no longer
// delivers any messages.
type links struct {
	*cells.Node
	alarm board.Alarm
	// lastReceived holds when the last event arrived on each link.
	lastReceived map[cells.LinkID]time.Time
	// admission limits the number of children accepted per second.
	admission relay.Admission
	// sentHellos holds the Hello last sent on each link. A new one is sent when its
	// content changes, as with the node's role.
	sentHellos map[cells.LinkID]ctlmsg.Hello
}

func newLinks(node *cells.Node) board.Controller {
	l := &links{Node: node, lastReceived: make(map[cells.LinkID]time.Time), sentHellos: make(map[cells.LinkID]ctlmsg.Hello)}
	return board.Controller{
		Name:   "links",
		Reads:  []board.Ref{&node.LinkEvents, &node.RelaySlot, &node.Subscription, &node.PlatformReachable, &l.alarm},
		Uses:   []board.Ref{&node.Self},
		Writes: []board.Ref{&node.Peers, &node.LinkCommands, &l.alarm},
		Step:   l.step,
	}
}

func (l *links) step(now time.Time) {
	for _, e := range l.LinkEvents.Events() {
		l.lastReceived[e.Link] = now
		switch e.Kind {
		case cells.LinkUp:
			l.handleLinkUp(e)
		case cells.LinkDown:
			delete(l.lastReceived, e.Link)
			delete(l.sentHellos, e.Link)
			l.Peers.Change().Remove(e.Link)
		case cells.LinkMessage:
			if hello, ok := e.Message.(ctlmsg.Hello); ok {
				l.handleHello(e.Link, hello, now)
			}
		}
	}
	l.resendHellos()
	l.closeSilent(now)
}

// closeSilent closes the links on which nothing has arrived for too long.
func (l *links) closeSilent(now time.Time) {
	self, peers := l.Self.Get(), l.Peers.Read()
	var silent []cells.LinkID
	for link, at := range l.lastReceived {
		due := at.Add(maxMissedHeartbeats * heartbeatInterval(self, peers.Get(link)))
		if now.Before(due) {
			l.alarm.SetIfEarlier(due)
			continue
		}
		silent = append(silent, link)
	}
	slices.Sort(silent)
	for _, link := range silent {
		delete(l.lastReceived, link)
		l.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: link})
	}
}

// resendHellos sends a new Hello on the links whose last one is out of date.
func (l *links) resendHellos() {
	hello := l.hello()
	var outdated []cells.LinkID
	for link, sent := range l.sentHellos {
		if sent != hello {
			outdated = append(outdated, link)
		}
	}
	slices.Sort(outdated)
	for _, link := range outdated {
		l.sendHello(link)
	}
}

// sendHello sends this node's Hello on a link and records it.
func (l *links) sendHello(link cells.LinkID) {
	l.sentHellos[link] = l.hello()
	send(l.Node, link, l.sentHellos[link])
}

// heartbeatInterval returns the time between two heartbeats on a link. Leads of
// different regions send them twice as often, because the lead of a region that is
// partitioned from the others must detect it soon and watch the platform itself.
func heartbeatInterval(self cells.Self, p *cells.Peer) time.Duration {
	if p != nil && betweenRegions(self, p) {
		return self.Heartbeat / 2
	}
	return self.Heartbeat
}

// betweenRegions reports whether the peer is a relay of another region.
func betweenRegions(self cells.Self, p *cells.Peer) bool {
	return p.Hello.Relay && p.Hello.Place.Region != self.Place.Region
}

func (l *links) handleLinkUp(e cells.LinkEvent) {
	l.Peers.Change().Put(&cells.Peer{Link: e.Link, Dialed: e.Dialed, Address: e.Address})
	if e.Dialed {
		l.sendHello(e.Link)
	}
}

// handleHello records who the far end is and answers its first Hello on an accepted
// link. It closes the link if the protocol versions differ, if the far end is this
// host itself or if too many children connect at once.
func (l *links) handleHello(link cells.LinkID, hello ctlmsg.Hello, now time.Time) {
	old := l.Peers.Read().Get(link)
	if old == nil {
		return
	}
	if hello.ProtocolVersion != ctlmsg.ProtocolVersion || hello.Host == l.Self.Get().Host {
		l.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: link})
		return
	}
	if !old.Dialed && !old.Identified() {
		if delay, ok := l.admission.Admit(now); !ok {
			send(l.Node, link, ctlmsg.RetryLater{After: delay})
			l.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: link})
			return
		}
		l.sendHello(link)
	}
	peer := *old
	peer.Hello = hello
	if !peer.Dialed {
		peer.Address = hello.Node
	}
	l.Peers.Change().Put(&peer)
}

func (l *links) hello() ctlmsg.Hello {
	self := l.Self.Get()
	return ctlmsg.Hello{
		Host:              self.Host,
		Place:             self.Place,
		Node:              self.Address,
		Incarnation:       self.Incarnation,
		Relay:             l.RelaySlot.Get().Held,
		WantsAll:          l.Subscription.Get().All,
		PlatformReachable: l.RelaySlot.Get().Held && l.PlatformReachable.Get(),
		ProtocolVersion:   ctlmsg.ProtocolVersion,
	}
}
