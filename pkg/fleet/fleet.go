// Package fleet decides how the nodes of a mesh coordinate through the platform,
// where each node stores one record of itself. It determines the state of an
// upstream from its reports and selects the nodes that read versions on behalf of
// the others. It does no I/O.
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

// Bounds of what a record or report may say. Larger values are errors of the writer.
const (
	// MaxSlots is the maximum number of slots of an upstream.
	MaxSlots = 1 << 20
	// MaxColdTime is the longest time for which an upstream may be slow after its start.
	MaxColdTime = 24 * time.Hour
	// MaxLinkRate is the maximum rate of a network link in bytes per second.
	MaxLinkRate = 1 << 50
	// MinPlatformRTT is the shortest known round-trip time to the platform.
	MinPlatformRTT = 10 * time.Microsecond
)

// Node is the record that a node publishes about itself and the upstream next to it.
type Node struct {
	// Host is unique in the mesh.
	Host mesh.HostID
	// Place is the region and zone of the host.
	Place mesh.Place
	// Address is where the node accepts sessions from other nodes.
	Address netip.AddrPort
	// PlatformRTT is the time that a connection to the platform took, zero when unknown.
	// It shows which nodes are near the platform.
	PlatformRTT time.Duration
	// LinkRate is the rate of the host's network link in bytes per second, zero when
	// unknown.
	LinkRate int64
	// Leaving is true while the node shuts down.
	Leaving bool
	// StoreEra is the era of the store in which the node wrote the record; zero if the
	// platform counts none. A record of an earlier era is that of the copy from which the
	// store was restored.
	StoreEra uint64
	// Version is the version that the node had in force when it wrote the record; zero if
	// the platform counts no eras. A restored store may lack it, and nodes that start then
	// have no other way to know of it.
	Version mesh.Version
	// Upstream has an empty Instance while there is no upstream.
	Upstream Upstream
	// Beside is a second upstream of the node, of another release. It has an empty Instance
	// if there is none.
	Beside Upstream
}

// Upstream describes one instance of the server next to a node, from its start to
// its end.
type Upstream struct {
	// Instance is the name of the instance. Names may be reused: the same name with a
	// later StartedAt is another instance.
	Instance string
	// StartedAt is when the instance started.
	StartedAt time.Time
	// Sequence is the sequence number of the last accepted report.
	Sequence uint64
	Service  mesh.Service
	// Release is the version of the upstream's software; empty if it did not report one.
	Release mesh.Release
	Address netip.AddrPort
	State   member.State
	// Slots is the number of requests that it processes concurrently; not negative.
	Slots int
	// ColdRemaining is how much longer the upstream expected to be slow after its start,
	// if it reported that.
	ColdRemaining time.Duration
}

// Serving lists the upstreams of the node to which other nodes may send new requests.
func (n *Node) Serving() (upstreams []Upstream) {
	for _, u := range []Upstream{n.Upstream, n.Beside} {
		if !n.Leaving && u.Instance != "" && u.State.AcceptsRequests() {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// maxRTTSpread is the maximum difference of the RTT to the platform between two
// nodes in its region. Nodes in other regions are further away.
const maxRTTSpread = 15 * time.Millisecond

// fastLinkDivisor divides the highest link rate; links of at least the quotient
// count as fast.
const fastLinkDivisor = 2

// SelectReaders returns up to count nodes that read versions for the others, in the
// order of rendezvous hashing. If any PlatformRTT is known, only nodes near the
// platform are eligible. Nodes with a fast link come first, because all other nodes
// depend on the readers. Nodes that are leaving or unreachable are skipped.
func SelectReaders(nodes []Node, count int, unreachable func(host mesh.HostID) bool) (readers []Node) {
	candidates := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.Leaving || unreachable(n.Host) })
	lowestRTT := time.Duration(0)
	for _, n := range candidates {
		if n.PlatformRTT > 0 && (lowestRTT == 0 || n.PlatformRTT < lowestRTT) {
			lowestRTT = n.PlatformRTT
		}
	}
	if lowestRTT > 0 {
		candidates = slices.DeleteFunc(candidates, func(n Node) bool { return n.PlatformRTT == 0 || n.PlatformRTT > lowestRTT+maxRTTSpread })
	}
	sortBySuitability(candidates)
	return candidates[:min(count, len(candidates))]
}

// sortBySuitability sorts nodes by their suitability as readers: those with a fast link
// first, because other nodes depend on them, and then in the order of rendezvous
// hashing.
func sortBySuitability(nodes []Node) {
	highestRate := int64(0)
	for _, n := range nodes {
		highestRate = max(highestRate, n.LinkRate)
	}
	linkRank := func(n Node) int {
		if n.LinkRate*fastLinkDivisor >= highestRate {
			return 0
		}
		return 1
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(linkRank(a), linkRank(b)), cmp.Compare(rendezvousWeight(b.Host), rendezvousWeight(a.Host)), cmp.Compare(a.Host, b.Host))
	})
}

func rendezvousWeight(host mesh.HostID) uint64 {
	return xxhash.Sum64String(string(host))
}
