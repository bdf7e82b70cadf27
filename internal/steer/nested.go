package steer

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

const (
	// nestedHostCostPercent, nestedZoneCostPercent and nestedRegionCost are the distance
	// costs of a nested call, in percent of its latency target and as the additional cost
	// of another region. They exceed those of other requests, because the time on the
	// network also counts for the slot that the calling upstream holds.
	nestedHostCostPercent = 2
	nestedZoneCostPercent = 8
	nestedRegionCost      = 2 * regionCost
	// farRetryTimes is the time that must remain for a nested call to be retried in
	// another region, in expected latencies there. A host that is only known from old
	// reports often takes twice as long as expected.
	farRetryTimes = 2
)

// NestedCalls tells nested calls, which the upstream of this node makes while it runs
// requests, from requests of callers. It must not block.
type NestedCalls interface {
	// Priority returns the priority of an anonymous request of the route, whose rule
	// gives it the priority ruled, and whether it is a nested call.
	Priority(now time.Time, route string, ruled mesh.Priority) (priority mesh.Priority, isNested bool)
	// Report records whether only upstreams make calls of the route, as a called node
	// that has seen enough of them reports.
	Report(now time.Time, route string, onlyUpstreams bool)
}

// classify sets the priority of the request. In a version with accounts, a request that
// needs no key and has none may be a nested call. Without accounts, nothing tells it from
// requests of callers, and the called node decides.
func (r *Router) classify(rs *requestState) {
	rs.priority = rs.snapshot.Plan.Priority(rs.rule, rs.account)
	if r.Nested == nil || !rs.snapshot.Plan.IdentifiesCallers() || rs.account != nil || !rs.rule.AllowAnonymous {
		return
	}
	rs.priority, rs.nested = r.Nested.Priority(rs.request.Arrived, rs.rule.Name, rs.priority)
}

// reportOrigin records what a called node reports about the calls of the rule.
func (r *Router) reportOrigin(now time.Time, rs *requestState, reply *wire.ReplyHead) {
	known := reply.GetOnlyUpstreams() || reply.GetCallersKnown()
	if known && r.Nested != nil && rs.snapshot.Plan.IdentifiesCallers() && rs.rule.AllowAnonymous {
		r.Nested.Report(now, rs.rule.Name, reply.GetOnlyUpstreams())
	}
}

// nestedDistanceCosts returns the cost of distance for a nested call. If little time is
// left, hosts of other regions are chosen only when no other is left.
func (r *Router) nestedDistanceCosts(rs *requestState) pick.DistanceCosts {
	target := r.latencyTarget(rs)
	zone := target * nestedZoneCostPercent / 100
	costs := pick.DistanceCosts{Host: target * nestedHostCostPercent / 100, Zone: zone, Region: zone + nestedRegionCost}
	if len(rs.tried) > 0 && time.Until(rs.deadline) < target {
		costs.Region = max(costs.Region, rs.rule.Timeout)
	}
	return costs
}

// tooFarForRetry reports whether too little time is left to retry a nested call in
// another region.
func (r *Router) tooFarForRetry(rs *requestState, candidate pick.Candidate, expected time.Duration) bool {
	return rs.nested && candidate.Place.Region != r.Place.Region && time.Until(rs.deadline) < farRetryTimes*expected
}
