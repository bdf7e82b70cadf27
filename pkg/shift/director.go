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

// Revision returns the revision of the object as last read, which fences the next write.
func (d *Director) Revision() uint64 {
	return d.object.Revision
}
