package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// ParentCount is the number of nodes from which a node receives versions and
	// records. With two, one may fail without a gap.
	ParentCount = 2
	// maxFlatNodes is the number of nodes up to which all receive from the roots.
	maxFlatNodes = 96
	// nodesPerZoneReader is the number of nodes of a zone for each of its readers. As
	// each node has two parents, a zone reader has about twice as many children.
	nodesPerZoneReader = 32
	// minZoneNodes is the number of nodes up to which a zone has no readers of its own.
	minZoneNodes = 8
	// DetectionTime is the time without confirmation after which a child of a root
	// considers its data out of date.
	DetectionTime = 700 * time.Millisecond
	// FailoverTime is how much longer each further level waits, so that the level above
	// can find another source first.
	FailoverTime = 500 * time.Millisecond
	// minPatience and maxPatience limit how much longer a node waits whose parents are
	// alive and are no children of the roots, but whose data is out of date as well.
	// Those above it look for the platform, and all others would only fill the links
	// to it.
	minPatience = 2 * time.Second
	maxPatience = 4 * time.Second
)

// Tree determines from which other nodes each node receives versions and records. The
// roots read them from the platform. In a small fleet, all others receive them from the
// roots. In a larger one, the roots serve readers of each region, these serve readers of
// each zone, and those serve the other nodes, so that the number of children of a node
// stays bounded and a version crosses the link between two regions only twice. Every
// node derives the tree from the same records; nodes that have different records for a
// moment still get the same data, because any node can serve any other.
type Tree struct {
	roots []Node
	// home is the region of the roots.
	home mesh.Region
	// regions contains the readers of the regions other than home, and zones those of
	// the zones that have any. Both are empty in a small fleet.
	regions map[mesh.Region][]Node
	zones   map[mesh.Place][]Node
	// depths contains the number of levels above each reader.
	depths map[mesh.HostID]int
}

// NewTree returns the tree of the nodes. Nodes that are leaving or unreachable are not
// chosen as parents.
func NewTree(nodes []Node, unreachable func(host mesh.HostID) bool) *Tree {
	t := &Tree{roots: SelectReaders(nodes, ParentCount, unreachable), depths: make(map[mesh.HostID]int)}
	for _, r := range t.roots {
		t.depths[r.Host] = 0
	}
	if len(nodes) <= maxFlatNodes || len(t.roots) == 0 {
		return t
	}
	t.home = t.roots[0].Place.Region
	t.regions, t.zones = make(map[mesh.Region][]Node), make(map[mesh.Place][]Node)
	byRegion := make(map[mesh.Region][]Node)
	for _, n := range nodes {
		if !n.Leaving && !unreachable(n.Host) {
			byRegion[n.Place.Region] = append(byRegion[n.Place.Region], n)
		}
	}
	for region, members := range byRegion {
		t.addRegion(region, members)
	}
	return t
}

// addRegion chooses the readers of a region and of its zones.
func (t *Tree) addRegion(region mesh.Region, members []Node) {
	depth := 1
	if region != t.home {
		t.regions[region] = t.choose(members, ParentCount, depth)
		depth++
	}
	byZone := make(map[mesh.Place][]Node)
	for _, n := range members {
		byZone[n.Place] = append(byZone[n.Place], n)
	}
	for place, nodes := range byZone {
		if len(nodes) > minZoneNodes {
			t.zones[place] = t.choose(nodes, max(ParentCount, (len(nodes)+nodesPerZoneReader-1)/nodesPerZoneReader), depth)
		}
	}
}

// choose returns up to count nodes that are no readers yet, those with a fast link
// first, and makes them readers of that depth.
func (t *Tree) choose(nodes []Node, count, depth int) (readers []Node) {
	free := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return t.IsReader(n.Host) })
	sortBySuitability(free)
	readers = free[:min(count, len(free))]
	for _, r := range readers {
		t.depths[r.Host] = depth
	}
	return readers
}

// IsRoot reports whether the host reads from the platform.
func (t *Tree) IsRoot(host mesh.HostID) bool {
	depth, isReader := t.depths[host]
	return isReader && depth == 0
}

// Roots returns the nodes that read from the platform, the most suitable one first.
func (t *Tree) Roots() []Node {
	return slices.Clone(t.roots)
}

// Depth returns the number of levels above a host; zero if it is a root.
func (t *Tree) Depth(host mesh.HostID, place mesh.Place) int {
	parents := t.Parents(host, place)
	if len(parents) == 0 {
		return 0
	}
	return t.depths[parents[0].Host] + 1
}

// RootRank returns the rank of a root among the roots, from zero; -1 if the host is none.
func (t *Tree) RootRank(host mesh.HostID) int {
	return slices.IndexFunc(t.roots, func(n Node) bool { return n.Host == host })
}

// IsReader reports whether other nodes may receive from the host.
func (t *Tree) IsReader(host mesh.HostID) bool {
	_, isReader := t.depths[host]
	return isReader
}

// Parents returns the nodes from which a host receives versions and records; none if it
// is a root.
func (t *Tree) Parents(host mesh.HostID, place mesh.Place) []Node {
	depth, isReader := t.depths[host]
	regional := t.roots
	if place.Region != t.home && len(t.regions[place.Region]) > 0 {
		regional = t.regions[place.Region]
	}
	switch {
	case isReader && depth == 0:
		return nil
	case isReader && depth == 1:
		return t.roots
	case isReader:
		return regional
	}
	if zonal := t.zones[place]; len(zonal) > 0 {
		return assigned(host, zonal)
	}
	return regional
}

// assigned returns the readers of a zone that serve a host. Rendezvous hashing spreads
// the hosts evenly over the readers.
func assigned(host mesh.HostID, readers []Node) []Node {
	if len(readers) <= ParentCount {
		return readers
	}
	weight := func(n Node) uint64 { return xxhash.Sum64String(string(host) + "/" + string(n.Host)) }
	sorted := slices.SortedFunc(slices.Values(readers), func(a, b Node) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Host, b.Host))
	})
	return sorted[:ParentCount]
}

// Timeout returns the time without confirmation after which a host reads from the
// platform itself. hearsParent is true if one of its parents is alive.
func (t *Tree) Timeout(host mesh.HostID, place mesh.Place, hearsParent bool) (timeout time.Duration) {
	levels := 0
	if parents := t.Parents(host, place); len(parents) > 0 {
		levels = t.depths[parents[0].Host]
	}
	timeout = DetectionTime + time.Duration(levels)*FailoverTime
	if hearsParent && levels > 0 {
		timeout += minPatience + time.Duration(rendezvousWeight(host)%uint64(maxPatience-minPatience))
	}
	return timeout
}

// IsAncestor reports whether data reaches the host through the ancestor.
func (t *Tree) IsAncestor(ancestor mesh.HostID, host mesh.HostID, place mesh.Place) bool {
	return slices.ContainsFunc(t.Parents(host, place), func(p Node) bool {
		return p.Host == ancestor || t.IsAncestor(ancestor, p.Host, p.Place)
	})
}
