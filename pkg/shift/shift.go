// Package shift decides how the traffic of a service moves to upstreams of another
// software release. An order names the release. During a trial, a few new upstreams get a
// small share of the requests; their outcomes are compared with those of the old upstreams
// over the same time. The order then ends as completed or rolled back. The package does no
// I/O.
//
// A Director makes the decisions of the root of the tree of readers that holds the lease
// of an order. An Agent on every proxy holds what is in force there.
package shift

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Phase is the phase of an order.
type Phase uint8

// The phases of an order. Completed and RolledBack are final.
const (
	// Pending lasts until a root has taken the lease of the order.
	Pending Phase = iota
	Running
	Completed
	RolledBack
)

var phaseNames = [...]string{"pending", "running", "completed", "rolled_back"}

// String returns the name used in logs.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Final reports whether the phase is never left.
func (p Phase) Final() bool {
	return p == Completed || p == RolledBack
}

// MaxDuration is the longest duration of an order.
const MaxDuration = 24 * time.Hour

// Order asks for the traffic of a service to be moved to a release.
type Order struct {
	Service  mesh.Service
	Target   mesh.Release
	Duration time.Duration
}

// Status is the progress of an order, as written to the store by the holder of its lease.
type Status struct {
	Phase Phase
	// Target is the release that the status is about. It differs from that of the order
	// if the order was changed since.
	Target mesh.Release
	// Holder is the host that holds the lease.
	Holder mesh.HostID
	// Term increases with each status of a service. It orders statuses where revisions
	// of the store are not known, or started again from an older copy.
	Term uint64
	// Since is the term of the first status of the order. It tells two orders of the same
	// target apart.
	Since uint64
	// Elapsed is the time between the order and this write. A later holder continues from
	// it, so that no clock is compared between hosts.
	Elapsed time.Duration
	// Share is the share of the requests that Target gets, within 0 and 1.
	Share float64
	// RouteShares replaces Share on single routes. The shares are chosen so that all routes
	// are observed equally often.
	RouteShares map[string]float64
	// Canaries are the instances that get the share; nil means all of Target.
	Canaries []string
	// Excluded are the releases that get no requests: those rolled back, and the old
	// ones of completed orders.
	Excluded []mesh.Release
	// Reason says why the order was rolled back.
	Reason string
}

// ends reports whether the status is the end of the order whose other status is not final. No
// later status of that order replaces an end, whatever its term: whoever wrote it did not know
// of the end.
func (s *Status) ends(other *Status) bool {
	return s.Phase.Final() && !other.Phase.Final() && s.Target == other.Target && s.Since == other.Since
}

// Object is an order with its status, as read from the store.
type Object struct {
	Order  Order
	Status Status
	// Revision is the revision of the store at the last write of the object. A write of
	// the status is fenced by it.
	Revision uint64
}

// View is the state of an order as passed down the tree of readers.
type View struct {
	Service mesh.Service
	Status  Status
	// Halted is true once the release was found to be bad, even if that is not in the
	// store yet, or if the object cannot be found there.
	Halted bool
}

// Role is the part that a release has in the traffic of its service.
type Role uint8

// The roles of a release.
const (
	// Serving releases share the requests that are not part of a trial.
	Serving Role = iota
	// Tried is the role of the target of a running order.
	Tried
	// Barred releases get no requests.
	Barred
)

// RoleOf returns the role of a release under the view.
func (v *View) RoleOf(release mesh.Release) Role {
	switch {
	case release == v.Status.Target && v.Status.Phase == Completed:
		return Serving
	case release == v.Status.Target && (v.Halted || v.Status.Phase == RolledBack):
		return Barred
	case release == v.Status.Target:
		return Tried
	case slices.Contains(v.Status.Excluded, release):
		return Barred
	}
	return Serving
}

// exclude returns the list with the release added.
func exclude(list []mesh.Release, release mesh.Release) []mesh.Release {
	if slices.Contains(list, release) {
		return list
	}
	return append(slices.Clone(list), release)
}

// include returns the list without the release.
func include(list []mesh.Release, release mesh.Release) []mesh.Release {
	return slices.DeleteFunc(slices.Clone(list), func(r mesh.Release) bool { return r == release })
}
