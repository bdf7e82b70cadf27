package shift

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// LeaseTime is how long an unchanged status keeps other hosts from taking the lease,
	// by the clock of the host that wants it.
	LeaseTime = 2 * time.Second
	// judgeInterval is the least time between two judgements. Counts arrive more often: one
	// message from each proxy every 500 ms.
	judgeInterval = 100 * time.Millisecond
	// renewInterval is the time between two writes by the holder of the lease.
	renewInterval = 700 * time.Millisecond
	// rankDelay is how much longer the second root waits before it takes the lease of a
	// new order.
	rankDelay = time.Second
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
	// recalledReason is the reason of a rollback that is known from other hosts only.
	recalledReason = "rolled back before the store was restored"
)

// Upstreams describes the upstreams of a service as known to a root.
type Upstreams struct {
	// Targets are the upstreams of the target of the order that accept requests.
	Targets []Instance
	// Slots is the number of slots of the other upstreams, and Count their number.
	Slots, Count int
	// Outdated is the number of those among Count that were last known to run before the
	// store was restored, and may be gone.
	Outdated int
	// Releases are the releases of the other upstreams.
	Releases []mesh.Release
}

// Instance is one upstream of the target.
type Instance struct {
	ID    string
	Slots int
	// SeenAt is when it was first seen, and Cold how much longer it then expected to be
	// slow; zero if it did not say.
	SeenAt time.Time
	Cold   time.Duration
}

func (i *Instance) warm(now time.Time) bool {
	return now.Sub(i.SeenAt) >= max(warmTime, i.Cold)
}

// Director makes the decisions of a root about one order. The zero Director is ready to
// use.
type Director struct {
	// Host is the root, and Rank its rank among the roots, from zero.
	Host mesh.HostID
	Rank int

	object Object
	// orderedAt is when the order was given, as far as is known here.
	orderedAt time.Time
	// revisedAt is when the object was last changed.
	revisedAt time.Time
	// term is the highest term that is known of the service.
	term uint64
	// stageAt is when the present share was decided.
	stageAt  time.Time
	evidence Evidence
	// judgedAt is when the evidence was last judged.
	judgedAt time.Time
	// verdict is why the target is bad; empty if it is not.
	verdict string
	// stale is true if the store has an older status than the one in force, or one that
	// somebody else wrote. It is then written again.
	stale bool
	// withdrawn is true once the object was deleted.
	withdrawn bool
}

// Learn takes the object as read from the store. A status with a lower term than the one
// in force does not replace it: the store was restored from an older copy, or somebody else
// wrote it.
func (d *Director) Learn(now time.Time, object Object) {
	if object.Revision < d.object.Revision {
		return
	}
	isNew := object.Order.Target != d.object.Order.Target || d.withdrawn
	if object.Status.Target != object.Order.Target {
		// The status is about another order: only the excluded releases remain.
		object.Status = Status{Target: object.Order.Target, Term: object.Status.Term + 1, Excluded: excludedAfter(object)}
	}
	hasEnded := !isNew && d.object.Status.ends(&object.Status)
	d.stale = hasEnded || !isNew && object.Status.Term < d.object.Status.Term
	d.term = max(d.term, object.Status.Term)
	if d.stale {
		object.Status = d.object.Status
	}
	if isNew || hasEnded {
		d.term++
	}
	if object.Status.Since == 0 {
		object.Status.Since = d.term
	}
	if object.Revision != d.object.Revision {
		d.revisedAt = now
	}
	if isNew {
		d.evidence, d.verdict, d.withdrawn = Evidence{}, "", false
		d.orderedAt = now.Add(-object.Status.Elapsed)
	}
	if earliest := now.Add(-object.Status.Elapsed); earliest.Before(d.orderedAt) {
		d.orderedAt = earliest
	}
	if object.Status.Share != d.object.Status.Share || isNew {
		d.stageAt = now
	}
	d.object = object
}

// excludedAfter returns the releases that get no requests once the order of the object's
// status was replaced by another one. A release whose trial was not completed is among
// them.
func excludedAfter(object Object) []mesh.Release {
	excluded := include(object.Status.Excluded, object.Order.Target)
	if object.Status.Phase == Running || object.Status.Phase == RolledBack {
		excluded = exclude(excluded, object.Status.Target)
	}
	return excluded
}

// Recall takes the status that another host has in force. If it ends the order, it is in
// force here too, and is written again: the store was restored from a copy that lacks it.
func (d *Director) Recall(now time.Time, status Status) {
	if !status.ends(&d.object.Status) {
		return
	}
	if status.Phase == RolledBack && status.Reason == "" {
		status.Reason = recalledReason
	}
	d.object.Status = status
	d.term = max(d.term+1, status.Term)
	d.stageAt, d.stale = now, true
}

// Withdraw takes the deletion of the object by its operator.
func (d *Director) Withdraw() {
	if !d.withdrawn {
		d.withdrawn = true
		d.term++
	}
}

// Forget discards the revision of the object, before all objects are read again. The
// object may not be among them if the store was restored from an older copy; what is in
// force then stays, except that a trial stops.
func (d *Director) Forget() {
	d.object.Revision = 0
}

// IsHolder reports whether this root holds the lease.
func (d *Director) IsHolder() bool {
	return d.object.Status.Holder == d.Host
}

// Order returns the order.
func (d *Director) Order() Order {
	return d.object.Order
}

// Observe takes the outcomes that were received since the last time.
func (d *Director) Observe(now time.Time, counts Counts) {
	if d.object.Status.Phase != Running || d.withdrawn {
		return
	}
	d.evidence.Add(now, counts)
	if now.Sub(d.judgedAt) >= judgeInterval {
		d.judge(now)
	}
}

// judge sets the verdict. It is final.
func (d *Director) judge(now time.Time) {
	d.judgedAt = now
	if d.verdict == "" {
		d.verdict = d.evidence.Judge(now, d.object.Status.Target)
	}
}

// View returns the state to pass down.
func (d *Director) View() View {
	v := View{Service: d.object.Order.Service, Status: d.object.Status, Halted: d.verdict != "" || d.object.Revision == 0}
	if d.withdrawn && !v.Status.Phase.Final() {
		rollBack(&v.Status, "withdrawn")
	}
	v.Status.Term = d.term
	if v.Status.Phase.Final() {
		v.Halted = false
	}
	return v
}

// Next returns the status to write, fenced by the revision of the object; write is false
// if there is none. The time of day makes terms increase if all that is known was lost.
func (d *Director) Next(now time.Time, upstreams Upstreams) (next Status, write bool) {
	current := d.object.Status
	isFinal := current.Phase.Final()
	if d.withdrawn || isFinal && !d.stale || d.object.Revision == 0 || !d.mayWrite(now) {
		return next, false
	}
	next = current
	next.Holder, next.Target = d.Host, d.object.Order.Target
	next.Elapsed = now.Sub(d.orderedAt)
	next.Term = max(d.term+1, uint64(max(0, now.UnixMilli())))
	if !isFinal {
		d.decide(now, &next, upstreams)
	}
	unchanged := next.Phase == current.Phase && next.Share == current.Share && next.Holder == current.Holder && slices.Equal(next.Canaries, current.Canaries)
	if unchanged && !d.stale && now.Sub(d.revisedAt) < renewInterval {
		return next, false
	}
	return next, true
}

// mayWrite reports whether this root holds the lease or may take it.
func (d *Director) mayWrite(now time.Time) bool {
	if d.stale && d.object.Status.Phase.Final() {
		// The holder of the lease does not know that the order has ended.
		return true
	}
	switch d.object.Status.Holder {
	case d.Host:
		return true
	case "":
		return now.Sub(d.revisedAt) >= time.Duration(d.Rank)*rankDelay
	}
	return now.Sub(d.revisedAt) >= LeaseTime
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
	responses := uint64(0)
	for _, r := range d.evidence.ByRoute(d.object.Order.Target) {
		responses += r.Target.Responses
		if !late && r.Others.Responses >= minRouteResponses && r.Target.Responses < minRouteResponses {
			return false
		}
	}
	return responses >= minResponses
}

// Revision returns the revision of the object as last read, which fences the next write.
func (d *Director) Revision() uint64 {
	return d.object.Revision
}
