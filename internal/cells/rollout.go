package cells

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// OutcomeCounts holds the outcomes of requests by service.
type OutcomeCounts map[mesh.Service]shift.Counts

// Add adds the other counts.
func (c OutcomeCounts) Add(other OutcomeCounts) {
	for service, counts := range other {
		c.Of(service).Add(counts)
	}
}

// Of returns the counts of a service, which can be changed.
func (c OutcomeCounts) Of(service mesh.Service) shift.Counts {
	if c[service] == nil {
		c[service] = make(shift.Counts)
	}
	return c[service]
}

// RolloutViews holds the state of all orders as decided by this root. It is set again at
// intervals, which confirms the shares.
type RolloutViews struct {
	Views []shift.View
	// Loaded is true once all orders were read.
	Loaded bool
	// ConfirmedAt is when the views were last set.
	ConfirmedAt time.Time
}

// Rollouts holds the orders that are in force on this proxy. It is immutable.
type Rollouts struct {
	// Revision increases with each change other than a confirmation.
	Revision int
	// Loaded is true once all orders are known.
	Loaded bool
	Views  map[mesh.Service]shift.View
	// Trials contains the trials in progress, and Running the services of orders that
	// are not ended, whose outcomes are counted.
	Trials  map[mesh.Service]shift.Trial
	Running map[mesh.Service]bool
}

// RoleOf returns the role of a release of a service. Without an order, every release
// serves.
func (r *Rollouts) RoleOf(service mesh.Service, release mesh.Release) shift.Role {
	view, known := r.Views[service]
	if !known {
		return shift.Serving
	}
	return view.RoleOf(release)
}

// ServiceTrial is the trial of a service with the candidates that take part.
type ServiceTrial struct {
	shift.Trial
	Set *pick.CandidateSet
}

// besideSuffix follows the host in the ID of a candidate that is the second upstream of its
// host. Names of hosts do not contain it.
const besideSuffix = "+"

// CandidateHost returns the ID by which the picker knows an upstream of a host. The two
// upstreams of a host have separate statistics.
func CandidateHost(host mesh.HostID, release mesh.Release, beside bool) mesh.HostID {
	if beside {
		return host + besideSuffix + mesh.HostID(release)
	}
	return host
}

// IsOnHost reports whether the candidate is an upstream of the host.
func IsOnHost(candidate pick.Candidate, host mesh.HostID) bool {
	return candidate.Host == host || candidate.Host == CandidateHost(host, candidate.Release, true)
}
