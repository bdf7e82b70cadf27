package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// meet greets the far end of each link and keeps Peers.
type meet struct {
	*cells.Proxy
}

func newMeet(set *cells.Proxy) board.Controller {
	m := &meet{Proxy: set}
	return board.Controller{
		Name:   "meet",
		Reads:  []board.Ref{&set.LinkEvents},
		Uses:   []board.Ref{&set.Self},
		Writes: []board.Ref{&set.Peers, &set.LinkCommands},
		Step:   m.step,
	}
}

func (m *meet) step(time.Time) {
	for _, e := range m.LinkEvents.Events() {
		switch e.Kind {
		case cells.LinkUp:
			m.Peers.Change().Put(&cells.Peer{Link: e.Link, Dialed: e.Dialed, Address: e.Address})
			if e.Dialed {
				proxySend(m.Proxy, e.Link, m.hello())
			}
		case cells.LinkDown:
			m.Peers.Change().Remove(e.Link)
		case cells.LinkMessage:
			if hello, ok := e.Message.(ctlmsg.Hello); ok {
				m.greeted(e.Link, hello)
			}
		}
	}
}

// greeted notes who the far end is and answers an accepted link's greeting.
func (m *meet) greeted(link cells.LinkID, hello ctlmsg.Hello) {
	old := m.Peers.Read().Get(link)
	if old == nil {
		return
	}
	if hello.ProtocolVersion != ctlmsg.ProtocolVersion || hello.Host == m.Self.Get().Host {
		m.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: link})
		return
	}
	if !old.Dialed && !old.Identified() {
		proxySend(m.Proxy, link, m.hello())
	}
	peer := *old
	peer.Hello = hello
	m.Peers.Change().Put(&peer)
}

func (m *meet) hello() ctlmsg.Hello {
	self := m.Self.Get()
	return ctlmsg.Hello{
		Host: self.Host, Place: self.Place, Node: self.Address,
		Incarnation: uint64(self.StartedAt.UnixNano()), ProtocolVersion: ctlmsg.ProtocolVersion,
	}
}
