package pick

import (
	"fmt"
	"math"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// refusalTTL is the age at which the refusal of a request no longer says that the host
	// would refuse another one.
	refusalTTL = 300 * time.Millisecond
	// minRefusals is the number of hosts that must have refused such requests within
	// refusalTTL before a request is sent to none, and that must have reported their load
	// recently before anything is predicted. In a smaller set, all hosts must have.
	minRefusals = 3
	// promisingWaitPercent is the expected wait, in percent of the expected wait at a host
	// that refused the request, below which another host is expected to accept it.
	promisingWaitPercent = 75
	// minRefusedWaitPercent is the least expected wait of a host, in percent of the typical
	// service time, at which a refusal is attributed to its load.
	minRefusedWaitPercent = 10
	// startWithinTolerance is added to the time limit of a refused request when it is
	// compared with another one, since the time until the attempt is deducted from both.
	startWithinTolerance = 5 * time.Millisecond
)

// RequestClass groups the requests that an admission gate treats alike.
type RequestClass struct {
	// Rule is the name of the rule.
	Rule string
	// Account is empty for an anonymous request.
	Account  mesh.Account
	Priority mesh.Priority
	// Overdue is true if the request can no longer meet its latency target.
	Overdue bool
}

// Admission is what the admission gate of a host decides by.
type Admission struct {
	Class RequestClass
	// StartWithin is how long the request may wait for a slot. Requests for which it is
	// zero are not predicted to be refused.
	StartWithin time.Duration
}

// refusal is the last refusal by the gate or for the link of a host. The zero refusal is
// none.
type refusal struct {
	admission Admission
	at        time.Time
}

// appliesTo reports whether the host would refuse the request for the same reason.
func (r *refusal) appliesTo(now time.Time, request Admission) bool {
	return request.StartWithin > 0 && now.Sub(r.at) < refusalTTL &&
		r.admission.Class == request.Class && request.StartWithin <= r.admission.StartWithin+startWithinTolerance
}

// AllBusyError is returned when every upstream that is left is expected to refuse the
// request.
type AllBusyError struct {
	// Service is the requested service.
	Service mesh.ServiceID
	// Refused is the number of upstreams that recently refused such a request.
	Refused int
}

// Error implements error.
func (e *AllBusyError) Error() string {
	return fmt.Sprintf("no upstream of %s is expected to accept the request: %d refused one recently", e.Service, e.Refused)
}

// excludeBusy removes the options that are expected to refuse the request, if enough hosts
// have reported their load. Once a host has refused it, only hosts with a clearly shorter wait remain. Before that, a request
// is sent to no host only if some have recently refused such a request and no other has
// a shorter wait. refused is the number of hosts that did, and left false if no option
// remains although the set has hosts that were not tried.
func (c *choice) excludeBusy() (refused int, left bool) {
	limit, retried, untried := math.Inf(1), false, 0
	for i := range c.options {
		o := &c.options[i]
		if !o.tried {
			untried++
		}
		if !c.view.hosts[o.index].lastRefusal.appliesTo(c.now, c.request.Admission) || o.wait*100 < c.typical*minRefusedWaitPercent {
			continue
		}
		refused++
		limit = min(limit, o.wait*promisingWaitPercent/100)
		retried = retried || o.tried
	}
	needed := min(minRefusals, len(c.view.hosts))
	if untried == 0 || refused == 0 || !retried && refused < needed || c.summary.recentReports < needed {
		return refused, true
	}
	for i := range c.options {
		o := &c.options[i]
		promising := o.wait < limit
		left = left || promising && !o.tried
		if retried && !promising {
			o.weight = 0
		}
	}
	return refused, left
}
