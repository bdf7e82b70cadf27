// Package fleet decides how the nodes of a mesh work together when each keeps
// one record of itself in the platform: which record of a host stands, what an
// upstream's word is worth, and who reads versions for others. It does no I/O.
package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Node is what a node says of itself and of the upstream beside it.
type Node struct {
	// Host is unique in the mesh.
	Host mesh.HostID
	// Place says where Host stands.
	Place mesh.Place
	// Address is where the node takes sessions.
	Address netip.AddrPort
	// PlatformRTT is the time that a connection to the platform took, zero when it is
	// not known; it tells who stands near the platform.
	PlatformRTT time.Duration
	// LinkRate is the rate of the host's link in bytes a second, zero when it is not told.
	LinkRate int64
	// Leaving is true while the node stops.
	Leaving bool
	// Upstream has an empty Instance while there is none.
	Upstream Upstream
}

// Upstream is one lifetime of the server beside a node.
type Upstream struct {
	// Instance names the lifetime, though not for ever: with a later Born it is another.
	Instance string
	// StartedAt is when the lifetime began.
	StartedAt time.Time
	// Sequence is that of the last word taken in.
	Sequence uint64
	Service  mesh.Service
	Address  netip.AddrPort
	State    member.State
	// Slots is how many requests it runs at once; not negative.
	Slots int
	// ColdRemaining is how much longer it was slow after its start, when it said so.
	ColdRemaining time.Duration
}

// AcceptsRequests reports whether callers' nodes may send new work to the node.
func (n *Node) AcceptsRequests() bool {
	return !n.Leaving && n.Upstream.Instance != "" && n.Upstream.State.Takes()
}

// nearMargin is by how much the trips to the platform of two nodes in its
// region may differ; another region is further away.
const nearMargin = 15 * time.Millisecond

// wideShare is which part of the widest link still counts as wide, as its divisor.
const wideShare = 2

// SelectReaders returns up to count nodes, chosen by rendezvous hashing, that read
// versions for the others: those near the platform if any has told its trip,
// and of them those with a wide link first, since all others hang on it.
// Nodes that leave, and those that the caller holds to be out of reach, are
// passed over.
func SelectReaders(nodes []Node, count int, out func(host mesh.HostID) bool) (readers []Node) {
	pool := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.Leaving || out(n.Host) })
	shortest := time.Duration(0)
	for _, n := range pool {
		if n.PlatformRTT > 0 && (shortest == 0 || n.PlatformRTT < shortest) {
			shortest = n.PlatformRTT
		}
	}
	if shortest > 0 {
		pool = slices.DeleteFunc(pool, func(n Node) bool { return n.PlatformRTT == 0 || n.PlatformRTT > shortest+nearMargin })
	}
	widest := int64(0)
	for _, n := range pool {
		widest = max(widest, n.LinkRate)
	}
	narrow := func(n Node) int {
		if n.LinkRate*wideShare >= widest {
			return 0
		}
		return 1
	}
	slices.SortFunc(pool, func(a, b Node) int {
		return cmp.Or(cmp.Compare(narrow(a), narrow(b)), cmp.Compare(weight(b.Host), weight(a.Host)), cmp.Compare(a.Host, b.Host))
	})
	return pool[:min(count, len(pool))]
}

func weight(host mesh.HostID) uint64 {
	return xxhash.Sum64String(string(host))
}
