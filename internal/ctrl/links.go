package ctrl

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/relay"
)

// silentBeats is how many heartbeats a link may miss before it is closed.
const silentBeats = 3

// links greets the far end of each link, keeps Peers, and closes links that
// fell silent, since an open connection may pass nothing for good.
type links struct {
	*cells.Set
	alarm board.Alarm
	// heard holds when something last came on each link.
	heard map[cells.LinkID]time.Time
	// admission bounds the children taken a second.
	admission relay.Admission
	// told is the greeting last sent on each link; a node greets again when its
	// role changes.
	told map[cells.LinkID]ctlmsg.Hello
}

func newLinks(set *cells.Set) board.Controller {
	l := &links{Set: set, heard: make(map[cells.LinkID]time.Time), told: make(map[cells.LinkID]ctlmsg.Hello)}
	return board.Controller{
		Name:   "links",
		Reads:  []board.Ref{&set.LinkEvents, &set.RelaySlot, &set.Subscription, &set.PlatformReachable, &l.alarm},
		Uses:   []board.Ref{&set.Self},
		Writes: []board.Ref{&set.Peers, &set.LinkCommands, &l.alarm},
		Step:   l.step,
	}
}

func (l *links) step(now time.Time) {
	for _, e := range l.LinkEvents.Events() {
		l.heard[e.Link] = now
		switch e.Kind {
		case cells.LinkUp:
			l.up(e)
		case cells.LinkDown:
			delete(l.heard, e.Link)
			delete(l.told, e.Link)
			l.Peers.Change().Remove(e.Link)
		case cells.LinkMessage:
			if hello, ok := e.Message.(ctlmsg.Hello); ok {
				l.greeted(e.Link, hello, now)
			}
		}
	}
	l.greetAgain()
	l.closeSilent(now)
}

// closeSilent closes the links on which nothing came for too long.
func (l *links) closeSilent(now time.Time) {
	self, peers := l.Self.Get(), l.Peers.Read()
	var silent []cells.LinkID
	for link, at := range l.heard {
		due := at.Add(silentBeats * beatInterval(self, peers.Get(link)))
		if now.Before(due) {
			l.alarm.SetIfEarlier(due)
			continue
		}
		silent = append(silent, link)
	}
	slices.Sort(silent)
	for _, link := range silent {
		delete(l.heard, link)
		l.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: link})
	}
}

// greetAgain tells every greeted link when this node's role has changed.
func (l *links) greetAgain() {
	hello := l.hello()
	var outdated []cells.LinkID
	for link, told := range l.told {
		if told != hello {
			outdated = append(outdated, link)
		}
	}
	slices.Sort(outdated)
	for _, link := range outdated {
		l.greet(link)
	}
}

// greet tells the far end of a link who this node is.
func (l *links) greet(link cells.LinkID) {
	l.told[link] = l.hello()
	send(l.Set, link, l.told[link])
}

// beatInterval returns the time between two heartbeats on a link. Leads of
// different regions beat twice as often, since a region that is cut off has to
// turn to the platform by itself.
func beatInterval(self cells.Self, p *cells.Peer) time.Duration {
	if p != nil && betweenRegions(self, p) {
		return self.Heartbeat / 2
	}
	return self.Heartbeat
}

// betweenRegions reports whether a link joins relays of different regions.
func betweenRegions(self cells.Self, p *cells.Peer) bool {
	return p.Hello.Relay && p.Hello.Place.Region != self.Place.Region
}

func (l *links) up(e cells.LinkEvent) {
	l.Peers.Change().Put(&cells.Peer{Link: e.Link, Dialed: e.Dialed, Address: e.Address})
	if e.Dialed {
		l.greet(e.Link)
	}
}

// greeted notes who the far end is and answers an accepted link's greeting.
func (l *links) greeted(link cells.LinkID, hello ctlmsg.Hello, now time.Time) {
	old := l.Peers.Read().Get(link)
	if old == nil {
		return
	}
	if hello.ProtocolVersion != ctlmsg.ProtocolVersion || hello.Host == l.Self.Get().Host {
		l.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: link})
		return
	}
	if !old.Dialed && !old.Identified() {
		if wait, ok := l.admission.Admit(now); !ok {
			send(l.Set, link, ctlmsg.RetryLater{After: wait})
			l.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: link})
			return
		}
		l.greet(link)
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
