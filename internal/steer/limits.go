package steer

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// queueLimits returns how long from now a request may wait for a slot. typical is the
// typical service time of its rule; zero if unknown. A request that starts after
// startWithin would be of little use to its caller and would delay others. A request
// that can no longer meet its latency target may wait longer, so that it yields to
// those that can. maxWait is the limit for requests that an upstream sends while it
// processes another request: if they were refused, the work on that request would be
// lost.
func (r *Router) queueLimits(rs *requestState, typical time.Duration) (startWithin, maxWait time.Duration) {
	if typical == 0 {
		typical = r.latencyTarget(rs) / unknownServiceTimeDivisor
	}
	latest := gate.MaxWait(rs.record.Timeout)
	// A large response that is late would delay others on the network link of its
	// host, so downloads never wait longer.
	if !r.isOverdue(rs, typical) {
		latest = gate.StartWithin(r.latencyTarget(rs)-rs.elapsedBefore, rs.record.Timeout, typical)
	}
	if rs.rule.Kind == plan.Download {
		latest = max(latest, gate.LeastWait(rs.record.Timeout))
	}
	used := time.Since(rs.request.Arrived)
	startWithin = max(latest-used, time.Microsecond)
	return startWithin, max(rs.record.Timeout-reservedServiceTimes*typical-used, startWithin)
}

// isOverdue reports whether a request can no longer meet its latency target, because its
// caller spent the time on earlier attempts. Downloads never count as overdue: their turn
// on the network link decides how late they are.
func (r *Router) isOverdue(rs *requestState, typical time.Duration) bool {
	return rs.rule.Kind != plan.Download && r.latencyTarget(rs)-rs.elapsedBefore <= typical*overdueServiceTimePercent/100
}

// distanceCosts returns the cost of distance for a request of the rule. Large
// responses are expensive to transfer, so nearby upstreams are preferred as long as
// they are fast enough.
func (r *Router) distanceCosts(rs *requestState) pick.DistanceCosts {
	if rs.rule.Kind == plan.Download {
		return pick.DistanceCosts{
			Host: r.latencyTarget(rs) * largeHostCostPercent / 100, Zone: r.latencyTarget(rs) * largeZoneCostPercent / 100, Region: r.latencyTarget(rs) * largeRegionCostPercent / 100,
		}
	}
	if rs.nested {
		return r.nestedDistanceCosts(rs)
	}
	zone := r.latencyTarget(rs) * zoneCostPercent / 100
	return pick.DistanceCosts{Zone: zone, Region: zone + regionCost}
}
