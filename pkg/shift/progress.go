package shift

import (
	"slices"
	"time"
)

const (
	// warmTime is how long after it was first seen an instance may still be slow. Its
	// service times say nothing before that.
	warmTime = 3500 * time.Millisecond
	// startShare and trialShare are the shares at the start of the trial and after
	// startTime. Together with the steps of the promotion, they stay within a tenth of the
	// requests of a duration of 12 s.
	startShare, trialShare = 0.04, 0.07
	startTime              = time.Second
	// canaryLoad is how many times the usual load of an upstream a canary gets, so that
	// faults under load show during the trial.
	canaryLoad = 2.0
	// maxRouteShare is the largest share of a rare route.
	maxRouteShare = 0.5
	// promoteAt is the part of the duration after which the release is promoted, and
	// lastPromoteAt the one after which it is promoted although some routes have no
	// evidence, or the new upstreams have less capacity than the old ones.
	promoteAt, lastPromoteAt = 0.66, 0.8
	// promoteStep is the time between two steps of the promotion: stepShare of the
	// requests, all of them, and the end of the order. With the second step, the old
	// upstreams finish their requests before they are stopped.
	promoteStep = 500 * time.Millisecond
	stepShare   = 0.3
	// minCapacity is the required capacity of the new upstreams, as part of that of the
	// old ones, and lastCapacity the one required after lastPromoteAt.
	minCapacity, lastCapacity = 0.8, 0.5
	// minResponses is the number of responses of the target without which it is not
	// promoted.
	minResponses = 25
)

func (i *Instance) warm(now time.Time) bool {
	return now.Sub(i.SeenAt) >= max(warmTime, i.Cold)
}

// decide sets the phase and the share.
func (d *Director) decide(now time.Time, next *Status, upstreams Upstreams) {
	if next.Phase == Pending {
		next.Phase, next.Since, next.Excluded = Running, next.Term, include(next.Excluded, next.Target)
	}
	d.judge(now)
	elapsed, duration := now.Sub(d.orderedAt), d.object.Order.Duration
	late := elapsed >= scale(duration, lastPromoteAt)
	switch {
	case d.verdict != "":
		rollBack(next, d.verdict)
	case next.Share >= 1:
		if now.Sub(d.stageAt) >= promoteStep || elapsed >= duration {
			complete(next, upstreams)
		}
	case elapsed >= duration-promoteStep:
		d.end(now, next, late, upstreams)
	case next.Share >= stepShare:
		if now.Sub(d.stageAt) >= promoteStep {
			promote(now, next, 1, upstreams)
		}
	case elapsed >= scale(duration, promoteAt) && d.isProven(now, late, upstreams):
		promote(now, next, stepShare, upstreams)
	default:
		d.try(now, next, upstreams)
	}
}

// end ends the order at its time limit. Without evidence against the target, a rollback
// needs other upstreams that take the requests; until one is known to run, the trial goes on.
func (d *Director) end(now time.Time, next *Status, late bool, upstreams Upstreams) {
	switch {
	case d.isProven(now, late, upstreams):
		complete(next, upstreams)
	case upstreams.Count > upstreams.Outdated:
		rollBack(next, "not enough responses or capacity at the time limit")
	default:
		d.try(now, next, upstreams)
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func rollBack(next *Status, reason string) {
	next.Phase, next.Reason = RolledBack, reason
	next.Share, next.RouteShares, next.Canaries = 0, nil, nil
	next.Excluded = exclude(next.Excluded, next.Target)
}

func complete(next *Status, upstreams Upstreams) {
	next.Phase = Completed
	next.Share, next.RouteShares, next.Canaries = 1, nil, nil
	for _, r := range upstreams.Releases {
		next.Excluded = exclude(next.Excluded, r)
	}
}

// promote sets the same share on all routes, for all instances that are warm. If none is known
// to be, as after a restart, the instances stay: no instances would mean all of them.
func promote(now time.Time, next *Status, share float64, upstreams Upstreams) {
	var warm []string
	for _, i := range upstreams.Targets {
		if i.warm(now) {
			warm = append(warm, i.ID)
		}
	}
	next.Share, next.RouteShares = share, nil
	if len(warm) > 0 {
		next.Canaries = warm
	}
}

// try sets the share of the trial and its canaries.
func (d *Director) try(now time.Time, next *Status, upstreams Upstreams) {
	count := max(1, int(float64(upstreams.Count)*trialShare/canaryLoad))
	canaries := slices.DeleteFunc(slices.Clone(next.Canaries), func(id string) bool {
		return !slices.ContainsFunc(upstreams.Targets, func(i Instance) bool { return i.ID == id })
	})
	for _, i := range upstreams.Targets {
		if len(canaries) < count && i.warm(now) && !slices.Contains(canaries, i.ID) {
			canaries = append(canaries, i.ID)
		}
	}
	next.Canaries = canaries
	switch {
	case len(canaries) == 0:
		next.Share, next.RouteShares, next.Canaries = 0, nil, nil
	case next.Share == 0:
		next.Share = startShare
	case next.Share == startShare && now.Sub(d.stageAt) >= startTime:
		next.Share = trialShare
	}
	if next.Share > 0 {
		next.RouteShares = routeShares(next.Share, d.evidence.ByRoute(next.Target))
	}
}

// routeShares distributes a share of all requests so that every route gets about the same
// number of them.
func routeShares(share float64, routes map[string]Comparison) map[string]float64 {
	total := uint64(0)
	for _, r := range routes {
		total += r.Target.Responses + r.Others.Responses
	}
	shares := make(map[string]float64, len(routes))
	remaining, left := share*float64(total), len(routes)
	names := sortedKeys(routes)
	responses := func(name string) float64 {
		return float64(routes[name].Target.Responses + routes[name].Others.Responses)
	}
	slices.SortStableFunc(names, func(a, b string) int { return int(responses(a) - responses(b)) })
	for _, name := range names {
		n := max(1, responses(name))
		shares[name] = min(maxRouteShare, remaining/float64(left)/n)
		remaining -= shares[name] * n
		left--
	}
	return shares
}

// isProven reports whether the evidence suffices and the new upstreams can carry the load.
func (d *Director) isProven(now time.Time, late bool, upstreams Upstreams) bool {
	slots, required := 0, minCapacity
	if late {
		required = lastCapacity
	}
	for _, i := range upstreams.Targets {
		if i.warm(now) {
			slots += i.Slots
		}
	}
	if float64(slots) < required*float64(upstreams.Slots) {
		return false
	}
	responses, matured := uint64(0), d.evidence.Matured(now, d.object.Order.Target)
	for route, r := range d.evidence.ByRoute(d.object.Order.Target) {
		known := min(r.Target.Responses, matured[route])
		responses += known
		if !late && r.Others.Responses >= minRouteResponses && known < minRouteResponses {
			return false
		}
	}
	return responses >= minResponses
}
