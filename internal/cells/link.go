package cells

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// LinkID identifies a control link within one process.
type LinkID uint64

// LinkEventKind is the kind of a LinkEvent.
type LinkEventKind uint8

// The kinds of link events.
const (
	// LinkUp means a link was dialed or accepted.
	LinkUp LinkEventKind = iota
	// LinkMessage means a message was received.
	LinkMessage
	// LinkDown means a link was closed or a dial failed.
	LinkDown
)

// LinkEvent is an event on a control link.
type LinkEvent struct {
	Link LinkID
	Kind LinkEventKind
	// Dialed is true if this node opened the link.
	Dialed bool
	// Address is the dialed address; invalid for an accepted link.
	Address netip.AddrPort
	// Message is the received message if Kind is LinkMessage.
	Message ctlmsg.Message
	// Err is the reason why the link was closed or could not be opened, if known.
	Err error
}

// LinkAction is the action of a LinkCommand.
type LinkAction uint8

// The actions on links.
const (
	LinkDial LinkAction = iota
	LinkSend
	LinkClose
)

// LinkCommand requests an action on a control link.
type LinkCommand struct {
	Action LinkAction
	// Link is the link to send on or to close. The ID of a dialed link is reported
	// with LinkUp.
	Link LinkID
	// Address is the address to dial.
	Address netip.AddrPort
	// Message is the message to send.
	Message ctlmsg.Message
}

// Peer is an open link and the node at its far end.
type Peer struct {
	Link   LinkID
	Dialed bool
	// Address is the dialed address, or the one from Hello.
	Address netip.AddrPort
	// Hello is the first message of the far end; its Host is empty until it arrives.
	Hello ctlmsg.Hello
}

// Identified reports whether the far end has sent Hello.
func (p *Peer) Identified() bool {
	return p.Hello.Host != ""
}

// Peers is the set of open links. The zero Peers is empty.
type Peers struct {
	byLink map[LinkID]*Peer
}

// Put adds or replaces a peer.
func (p *Peers) Put(peer *Peer) {
	if p.byLink == nil {
		p.byLink = make(map[LinkID]*Peer)
	}
	p.byLink[peer.Link] = peer
}

// Remove removes the peer of a link.
func (p *Peers) Remove(link LinkID) {
	delete(p.byLink, link)
}

// Get returns the peer of a link, or nil if the link is not open.
func (p *Peers) Get(link LinkID) *Peer {
	return p.byLink[link]
}

// DialedTo lists the identified peers of a host that this proxy dialed, sorted by link.
func (p *Peers) DialedTo(host mesh.HostID) []*Peer {
	return slices.DeleteFunc(p.Identified(), func(peer *Peer) bool { return !peer.Dialed || peer.Hello.Host != host })
}

// Identified lists the peers that have sent Hello, sorted by link.
func (p *Peers) Identified() []*Peer {
	peers := make([]*Peer, 0, len(p.byLink))
	for _, peer := range p.byLink {
		if peer.Identified() {
			peers = append(peers, peer)
		}
	}
	slices.SortFunc(peers, func(a, b *Peer) int { return cmp.Compare(a.Link, b.Link) })
	return peers
}

// Links lists the open links, sorted.
func (p *Peers) Links() []LinkID {
	return slices.Sorted(maps.Keys(p.byLink))
}
