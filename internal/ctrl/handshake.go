package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
)

// handshake exchanges Hello on each link of a proxy and maintains Peers.
type handshake struct {
	*cells.Proxy
}

func newHandshake(proxy *cells.Proxy) board.Controller {
	h := &handshake{Proxy: proxy}
	return board.Controller{
		Name:   "handshake",
		Reads:  []board.Ref{&proxy.LinkEvents},
		Uses:   []board.Ref{&proxy.Self},
		Writes: []board.Ref{&proxy.Peers, &proxy.LinkCommands},
		Step:   h.step,
	}
}

func (h *handshake) step(time.Time) {
	for _, e := range h.LinkEvents.Events() {
		switch e.Kind {
		case cells.LinkUp:
			h.Peers.Change().Put(&cells.Peer{Link: e.Link, Dialed: e.Dialed, Address: e.Address})
			if e.Dialed {
				proxySend(h.Proxy, e.Link, h.hello())
			}
		case cells.LinkDown:
			h.Peers.Change().Remove(e.Link)
		case cells.LinkMessage:
			if hello, ok := e.Message.(ctlmsg.Hello); ok {
				h.handleHello(e.Link, hello)
			}
		}
	}
}

// handleHello stores the identity of the far end and answers Hello on an accepted
// link. It closes links to this proxy itself and to nodes with another protocol version.
func (h *handshake) handleHello(link cells.LinkID, hello ctlmsg.Hello) {
	old := h.Peers.Read().Get(link)
	if old == nil {
		return
	}
	if hello.ProtocolVersion != ctlmsg.ProtocolVersion || hello.Host == h.Self.Get().Host {
		h.LinkCommands.Send(cells.LinkCommand{Action: cells.LinkClose, Link: link})
		return
	}
	if !old.Dialed && !old.Identified() {
		proxySend(h.Proxy, link, h.hello())
	}
	peer := *old
	peer.Hello = hello
	h.Peers.Change().Put(&peer)
}

func (h *handshake) hello() ctlmsg.Hello {
	self := h.Self.Get()
	return ctlmsg.Hello{
		Host: self.Host, Place: self.Place, Node: self.Address,
		Incarnation: uint64(self.StartedAt.UnixNano()), ProtocolVersion: ctlmsg.ProtocolVersion,
	}
}
