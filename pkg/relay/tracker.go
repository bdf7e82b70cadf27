package relay

import (
	"cmp"
	"slices"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// MaxRefusals bounds the refusals that one mark lists.
const MaxRefusals = 8

// Refusal says that a host does not apply a version, and why.
type Refusal struct {
	Host mesh.HostID
	// Version is the refused version.
	Version mesh.Version
	Reason  string
}

// Summary sums up what the children of one relay, or of one zone, have in force.
type Summary struct {
	Zone mesh.Zone
	// Version is in force at every child; zero when some child has none.
	Version mesh.Version
	// Children is how many hosts the mark speaks for.
	Children int
	// Behind is how many of them have less than the target version in force.
	Behind int
	// Refusals lists at most MaxRefusals of what children refuse, by host.
	Refusals []Refusal
}

// ChildTracker keeps what the children of one relay have in force. The zero ChildTracker is
// ready to use. An update costs no scan of the children.
type ChildTracker struct {
	// Zone stands in the mark.
	Zone mesh.Zone

	// children holds the version in force at each child.
	children map[mesh.HostID]mesh.Version
	// counts holds how many children have each version, sorted by version; no
	// count is zero. Children have few distinct versions.
	counts []versionCount
	// refusals holds the standing refusal of a child.
	refusals map[mesh.HostID]Refusal
	// target is the version that every child should reach.
	target mesh.Version
	// behind is how many children have less than target.
	behind int
}

// SetTarget sets the version that every child should reach; it never falls.
func (m *ChildTracker) SetTarget(version mesh.Version) {
	if version <= m.target {
		return
	}
	m.target = version
	m.behind = 0
	for _, c := range m.counts {
		if c.version < version {
			m.behind += c.children
		}
	}
}

// Add adds a child that has nothing in force as far as is known.
func (m *ChildTracker) Add(child mesh.HostID) {
	if _, ok := m.children[child]; !ok {
		m.set(child, 0)
	}
}

// SetVersion notes the version that a child has in force, as it says. It ends a
// refusal of that version or a lower one.
func (m *ChildTracker) SetVersion(child mesh.HostID, version mesh.Version) {
	old, ok := m.children[child]
	if ok && old == version {
		return
	}
	if ok {
		m.drop(old)
	}
	m.set(child, version)
	if refusal, refused := m.refusals[child]; refused && refusal.Version <= version {
		delete(m.refusals, child)
	}
}

// SetRefusal notes that a child does not apply a version.
func (m *ChildTracker) SetRefusal(refusal Refusal) {
	m.Add(refusal.Host)
	if m.children[refusal.Host] >= refusal.Version {
		return
	}
	if m.refusals == nil {
		m.refusals = make(map[mesh.HostID]Refusal)
	}
	m.refusals[refusal.Host] = refusal
}

// Remove forgets a child that went elsewhere.
func (m *ChildTracker) Remove(child mesh.HostID) {
	old, ok := m.children[child]
	if !ok {
		return
	}
	m.drop(old)
	delete(m.children, child)
	delete(m.refusals, child)
}

// Summary returns the sum.
func (m *ChildTracker) Summary() Summary {
	mark := Summary{Zone: m.Zone, Version: m.low(), Children: len(m.children), Behind: m.behind}
	for _, r := range m.refusals {
		mark.Refusals = append(mark.Refusals, r)
	}
	mark.Refusals = boundRefusals(mark.Refusals)
	return mark
}

func (m *ChildTracker) set(child mesh.HostID, version mesh.Version) {
	if m.children == nil {
		m.children = make(map[mesh.HostID]mesh.Version)
	}
	m.children[child] = version
	index, ok := m.search(version)
	if !ok {
		m.counts = slices.Insert(m.counts, index, versionCount{version: version})
	}
	m.counts[index].children++
	if version < m.target {
		m.behind++
	}
}

func (m *ChildTracker) drop(version mesh.Version) {
	index, _ := m.search(version)
	m.counts[index].children--
	if m.counts[index].children == 0 {
		m.counts = slices.Delete(m.counts, index, index+1)
	}
	if version < m.target {
		m.behind--
	}
}

// low returns the lowest version of any child.
func (m *ChildTracker) low() mesh.Version {
	if len(m.counts) == 0 {
		return 0
	}
	return m.counts[0].version
}

// versionCount is how many children have a version.
type versionCount struct {
	version  mesh.Version
	children int
}

// search returns the index of the version in counts, or where it belongs.
func (m *ChildTracker) search(version mesh.Version) (index int, found bool) {
	return slices.BinarySearchFunc(m.counts, version, func(count versionCount, wanted mesh.Version) int {
		return cmp.Compare(count.version, wanted)
	})
}

func boundRefusals(refusals []Refusal) []Refusal {
	slices.SortFunc(refusals, func(left, right Refusal) int {
		return cmp.Or(cmp.Compare(right.Version, left.Version), cmp.Compare(left.Host, right.Host))
	})
	if len(refusals) > MaxRefusals {
		refusals = slices.Clip(refusals[:MaxRefusals])
	}
	return refusals
}
