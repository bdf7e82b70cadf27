// Package adopt decides which version of the configuration is in force on a node,
// that is, which one the node applies to requests. It does no I/O: the caller
// receives a version, computes its digest, compiles it, and offers the result.
package adopt

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// maxRefusals is the number of refusals kept; the lowest version is evicted first.
const maxRefusals = 16

// Offer is a version that the caller received and compiled.
type Offer[T any] struct {
	// Version is not zero.
	Version mesh.Version
	// ExpectedDigest is the root digest that was published with the version.
	ExpectedDigest mesh.Digest
	// ActualDigest is the root digest computed from the received data.
	ActualDigest mesh.Digest
	// Value is the compiled configuration; Adopter.InForce returns it once the
	// version is in force.
	Value T
	// RequiredServices lists the services to which routes of the version lead.
	RequiredServices []mesh.ServiceID
	// InvalidReason says why the configuration is invalid; empty if it is valid.
	InvalidReason string
}

// Result is the effect of a call on the version that it concerns.
type Result uint8

// The possible results.
const (
	// ResultUnchanged means that the call had no effect.
	ResultUnchanged Result = iota
	// ResultStale means that the version is lower than the one in force or pending.
	ResultStale
	// ResultPending means that the version waits for the upstream sets of required
	// services.
	ResultPending
	// ResultApplied means that the call put the version in force.
	ResultApplied
	// ResultRejected means that the version was refused.
	ResultRejected
)

// resultNames holds the names used in logs, by result.
var resultNames = [...]string{"unchanged", "older", "waits", "applied", "rejected"}

// String returns the name used in logs.
func (r Result) String() string {
	return resultNames[r]
}

// Outcome is the result of a call.
type Outcome struct {
	Result Result
	// Version is the version that Result refers to; zero if there is none.
	Version mesh.Version
	// Reason says why the version was refused; set if Result is ResultRejected.
	Reason string
}

// Refusal records a version that the node refused.
type Refusal struct {
	Version mesh.Version
	Digest  mesh.Digest
	Reason  string
}

// Status is a snapshot of the state of an Adopter.
type Status struct {
	State State
	// InForce is the version in force, which never decreases; zero if there is none.
	InForce mesh.Version
	// Pending is the version that waits, always above InForce; zero if there is none.
	Pending mesh.Version
	// Missing lists the services whose upstream sets Pending waits for, sorted.
	Missing []mesh.ServiceID
	// Refused is the highest version with a recorded refusal; zero if there is none.
	Refused mesh.Version
	// Reason says why Refused was refused.
	Reason string
	// Since is when State was entered; zero before the first offer.
	Since time.Time
}

// Adopter tracks the version in force and the pending version that will replace
// it. The zero Adopter is ready to use.
//
// The version in force never decreases. A version is put in force as a whole, and
// only once the upstream sets of all services that it requires are known, so that
// no route leads to a service whose upstreams the node has yet to learn. Refusing
// a version does not affect the versions in force and pending.
type Adopter[T any] struct {
	// stateMachine is created on first use.
	stateMachine *stateless.StateMachine
	// since is when the current state was entered.
	since time.Time
	// current is the offer in force; its version is zero if there is none.
	current Offer[T]
	// pending is the staged or waiting offer; its version is zero if there is none.
	pending Offer[T]
	// missing holds the required services of pending that are not in known.
	missing map[mesh.ServiceID]bool
	// known holds the services whose upstream sets are kept up to date.
	known map[mesh.ServiceID]bool
	// refusals holds at most maxRefusals refusals, by version.
	refusals map[mesh.Version]Refusal
}

// Offer proposes a version. It becomes pending, and is put in force once all
// services that it requires are known.
func (a *Adopter[T]) Offer(now time.Time, offer Offer[T]) Outcome {
	if reason := a.rejectReason(offer); reason != "" {
		return a.refuse(now, offer, reason)
	}
	switch {
	case offer.Version == a.current.Version || offer.Version == a.pending.Version:
		return Outcome{Result: ResultUnchanged, Version: offer.Version}
	case offer.Version < max(a.current.Version, a.pending.Version):
		return Outcome{Result: ResultStale, Version: offer.Version}
	}
	a.fire(now, stage)
	a.pending = offer
	a.missing = make(map[mesh.ServiceID]bool)
	for _, id := range offer.RequiredServices {
		if !a.known[id] {
			a.missing[id] = true
		}
	}
	return a.advance(now)
}

// rejectReason returns why an offer must be refused, or an empty string. An offer
// below the version in force or pending is not refused: it only arrived late.
func (a *Adopter[T]) rejectReason(offer Offer[T]) string {
	switch {
	case offer.Version == 0:
		return "version is zero"
	case offer.Version < max(a.current.Version, a.pending.Version):
		return ""
	case offer.ExpectedDigest != offer.ActualDigest:
		return fmt.Sprintf("digest is %s, want %s", offer.ActualDigest, offer.ExpectedDigest)
	case offer.Version == a.current.Version && offer.ExpectedDigest != a.current.ExpectedDigest:
		return fmt.Sprintf("digest %s differs from digest %s of the version in force", offer.ExpectedDigest, a.current.ExpectedDigest)
	case offer.Version == a.pending.Version && offer.ExpectedDigest != a.pending.ExpectedDigest:
		return fmt.Sprintf("digest %s differs from digest %s of the pending version", offer.ExpectedDigest, a.pending.ExpectedDigest)
	case offer.Version == a.current.Version || offer.Version == a.pending.Version:
		return ""
	default:
		return offer.InvalidReason
	}
}

// refuse records why a version is refused. An offer with version zero is refused
// without a record.
func (a *Adopter[T]) refuse(now time.Time, offer Offer[T], reason string) Outcome {
	a.fire(now, refuse)
	outcome := Outcome{Result: ResultRejected, Version: offer.Version, Reason: reason}
	if offer.Version == 0 {
		return outcome
	}
	if a.refusals == nil {
		a.refusals = make(map[mesh.Version]Refusal)
	}
	a.refusals[offer.Version] = Refusal{Version: offer.Version, Digest: offer.ExpectedDigest, Reason: reason}
	if len(a.refusals) > maxRefusals {
		delete(a.refusals, slices.Min(slices.Collect(maps.Keys(a.refusals))))
	}
	return outcome
}

// MarkKnown marks services whose upstream sets are known, including empty sets.
// They stay known until MarkUnknown is called for them.
func (a *Adopter[T]) MarkKnown(now time.Time, services []mesh.ServiceID) Outcome {
	if a.known == nil {
		a.known = make(map[mesh.ServiceID]bool)
	}
	changed := false
	for _, id := range services {
		a.known[id] = true
		if a.missing[id] {
			delete(a.missing, id)
			changed = true
		}
	}
	if !changed {
		return Outcome{}
	}
	return a.advance(now)
}

// MarkUnknown marks services whose upstream sets are no longer kept up to date. A
// pending version that requires one of them waits for it again.
func (a *Adopter[T]) MarkUnknown(services []mesh.ServiceID) {
	for _, id := range services {
		delete(a.known, id)
		if a.pending.Version != 0 && slices.Contains(a.pending.RequiredServices, id) {
			a.missing[id] = true
		}
	}
}

// advance puts the pending version in force if no required service is missing. It
// drops the refusals of this version and of lower ones.
func (a *Adopter[T]) advance(now time.Time) Outcome {
	version := a.pending.Version
	if len(a.missing) > 0 {
		a.fire(now, await)
		return Outcome{Result: ResultPending, Version: version}
	}
	a.fire(now, apply)
	a.current, a.pending, a.missing = a.pending, Offer[T]{}, nil
	for v := range a.refusals {
		if v <= version {
			delete(a.refusals, v)
		}
	}
	return Outcome{Result: ResultApplied, Version: version}
}

// InForce returns the version in force and its value; ok is false if there is none.
func (a *Adopter[T]) InForce() (version mesh.Version, value T, ok bool) {
	return a.current.Version, a.current.Value, a.current.Version != 0
}

// RequiredServices returns the services that the pending version requires, or
// those of the version in force if none is pending.
func (a *Adopter[T]) RequiredServices() []mesh.ServiceID {
	if a.pending.Version != 0 {
		return a.pending.RequiredServices
	}
	return a.current.RequiredServices
}

// Refusals returns the recorded refusals, the highest version first.
func (a *Adopter[T]) Refusals() []Refusal {
	return slices.SortedFunc(maps.Values(a.refusals), func(left, right Refusal) int {
		return cmp.Compare(right.Version, left.Version)
	})
}

// Status returns a snapshot of the state.
func (a *Adopter[T]) Status() Status {
	status := Status{
		State: a.state(), InForce: a.current.Version, Pending: a.pending.Version, Since: a.since,
		Missing: slices.SortedFunc(maps.Keys(a.missing), func(left, right mesh.ServiceID) int {
			return cmp.Or(cmp.Compare(left.Customer, right.Customer), cmp.Compare(left.Service, right.Service))
		}),
	}
	for v, r := range a.refusals {
		if v >= status.Refused {
			status.Refused, status.Reason = v, r.Reason
		}
	}
	return status
}
