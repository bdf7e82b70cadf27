package relay

import (
	"cmp"
	"slices"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// MaxRefusals bounds the refusals in one Summary.
const MaxRefusals = 8

// Refusal records that a host refuses to apply a version, and why.
type Refusal struct {
	Host mesh.HostID
	// Version is the refused version.
	Version mesh.Version
	Reason  string
}

// Summary tells which version the children of one relay, or all hosts of one
// zone, have in force.
type Summary struct {
	Zone mesh.Zone
	// Version is in force at every child; zero if some child has no version in
	// force.
	Version mesh.Version
	// Children is the number of hosts that the summary covers.
	Children int
	// Behind is the number of them whose version in force is below the target.
	Behind int
	// Refusals lists at most MaxRefusals refusals of the children, the highest
	// version first, then by host.
	Refusals []Refusal
}

// ChildTracker tracks the version in force at each child of one relay. The zero
// ChildTracker is ready to use. Updates do not iterate over the children.
type ChildTracker struct {
	// Zone is copied to the summary.
	Zone mesh.Zone

	// children holds the version in force at each child.
	children map[mesh.HostID]mesh.Version
	// counts holds the number of children per version, sorted by version. No
	// count is zero. There are few distinct versions.
	counts []versionCount
	// refusals holds each child's current refusal.
	refusals map[mesh.HostID]Refusal
	// target is the version that every child should have in force.
	target mesh.Version
	// behind is the number of children below target.
	behind int
}

// SetTarget sets the version that every child should have in force. A lower
// version than the current target is ignored.
func (t *ChildTracker) SetTarget(version mesh.Version) {
	if version <= t.target {
		return
	}
	t.target = version
	t.behind = 0
	for _, c := range t.counts {
		if c.version < version {
			t.behind += c.children
		}
	}
}

// Add adds a child that is not known to have any version in force.
func (t *ChildTracker) Add(child mesh.HostID) {
	if _, ok := t.children[child]; !ok {
		t.set(child, 0)
	}
}

// SetVersion records the version that a child reports as in force. It clears a
// refusal of that version or a lower one.
func (t *ChildTracker) SetVersion(child mesh.HostID, version mesh.Version) {
	old, ok := t.children[child]
	if ok && old == version {
		return
	}
	if ok {
		t.uncount(old)
	}
	t.set(child, version)
	if refusal, refused := t.refusals[child]; refused && refusal.Version <= version {
		delete(t.refusals, child)
	}
}

// SetRefusal records that a child refuses a version.
func (t *ChildTracker) SetRefusal(refusal Refusal) {
	t.Add(refusal.Host)
	if t.children[refusal.Host] >= refusal.Version {
		return
	}
	if t.refusals == nil {
		t.refusals = make(map[mesh.HostID]Refusal)
	}
	t.refusals[refusal.Host] = refusal
}

// Remove removes a child that left the relay.
func (t *ChildTracker) Remove(child mesh.HostID) {
	old, ok := t.children[child]
	if !ok {
		return
	}
	t.uncount(old)
	delete(t.children, child)
	delete(t.refusals, child)
}

// Summary returns the summary of the children.
func (t *ChildTracker) Summary() Summary {
	summary := Summary{Zone: t.Zone, Version: t.lowestVersion(), Children: len(t.children), Behind: t.behind}
	for _, r := range t.refusals {
		summary.Refusals = append(summary.Refusals, r)
	}
	summary.Refusals = limitRefusals(summary.Refusals)
	return summary
}

func (t *ChildTracker) set(child mesh.HostID, version mesh.Version) {
	if t.children == nil {
		t.children = make(map[mesh.HostID]mesh.Version)
	}
	t.children[child] = version
	index, ok := t.findCount(version)
	if !ok {
		t.counts = slices.Insert(t.counts, index, versionCount{version: version})
	}
	t.counts[index].children++
	if version < t.target {
		t.behind++
	}
}

func (t *ChildTracker) uncount(version mesh.Version) {
	index, _ := t.findCount(version)
	t.counts[index].children--
	if t.counts[index].children == 0 {
		t.counts = slices.Delete(t.counts, index, index+1)
	}
	if version < t.target {
		t.behind--
	}
}

// lowestVersion returns the lowest version in force at any child.
func (t *ChildTracker) lowestVersion() mesh.Version {
	if len(t.counts) == 0 {
		return 0
	}
	return t.counts[0].version
}

// versionCount is the number of children that have a version in force.
type versionCount struct {
	version  mesh.Version
	children int
}

// findCount returns the index of the version in counts, or the index at which to
// insert it.
func (t *ChildTracker) findCount(version mesh.Version) (index int, found bool) {
	return slices.BinarySearchFunc(t.counts, version, func(count versionCount, wanted mesh.Version) int {
		return cmp.Compare(count.version, wanted)
	})
}

func limitRefusals(refusals []Refusal) []Refusal {
	slices.SortFunc(refusals, func(left, right Refusal) int {
		return cmp.Or(cmp.Compare(right.Version, left.Version), cmp.Compare(left.Host, right.Host))
	})
	if len(refusals) > MaxRefusals {
		refusals = slices.Clip(refusals[:MaxRefusals])
	}
	return refusals
}
