package cells

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"arbutusstep.example/arbutusstep/internal/ctlmsg"
)

// LinkID numbers a control link within one process.
type LinkID uint64

// LinkKind tells link events apart.
type LinkKind uint8

// The kinds of link events.
const (
	LinkUp LinkKind = iota
	LinkMessage
	LinkDown
)

// LinkEvent is something that happened on a control link.
type LinkEvent struct {
	Link LinkID
	Kind LinkKind
	// Dialed is true when this node opened the link.
	Dialed bool
	// Address is the address that was dialled, invalid for an accepted link.
	Address netip.AddrPort
	// Message is set for LinkMessage.
	Message ctlmsg.Message
	// Err says why a link went down or could not be opened.
	Err error
}

// LinkAction tells link commands apart.
type LinkAction uint8

// The actions on links.
const (
	LinkDial LinkAction = iota
	LinkSend
	LinkClose
)

// LinkCommand asks for an action on a control link.
type LinkCommand struct {
	Action LinkAction
	// Link is the link to send on or close; a dialled link gets its ID with LinkUp.
	Link LinkID
	// Address is the address to dial.
	Address netip.AddrPort
	// Message is what to send.
	Message ctlmsg.Message
}

// Peer is a link that is up.
type Peer struct {
	Link   LinkID
	Dialed bool
	// Address is the address that was dialled, or the one that the far end greeted with.
	Address netip.AddrPort
	// Hello is what the far end greeted with; its Host is empty before that.
	Hello ctlmsg.Hello
}

// Identified reports whether the far end has said who it is.
func (p *Peer) Identified() bool {
	return p.Hello.Host != ""
}

// Peers holds the links that are up. The zero Peers is empty.
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

// Remove forgets a link.
func (p *Peers) Remove(link LinkID) {
	delete(p.byLink, link)
}

// Get returns the peer of a link, nil when it is not up.
func (p *Peers) Get(link LinkID) *Peer {
	return p.byLink[link]
}

// Identified lists the peers that have said who they are, by link.
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

// Links lists the links that are up, sorted.
func (p *Peers) Links() []LinkID {
	return slices.Sorted(maps.Keys(p.byLink))
}
