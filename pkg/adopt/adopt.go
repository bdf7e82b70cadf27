// Package adopt decides which configuration version a node has in force. It
// does no I/O: the caller stages and verifies a version, and offers it.
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

// maxRefusals bounds the refusals remembered; the highest versions are kept.
const maxRefusals = 16

// Offer is a version that the caller staged.
type Offer[T any] struct {
	// Version is not zero.
	Version mesh.Version
	// ExpectedDigest is the digest that the version was accepted with.
	ExpectedDigest mesh.Digest
	// ActualDigest is the digest of what was received.
	ActualDigest mesh.Digest
	// Value is swapped in whole when the version takes force.
	Value T
	// RequiredServices lists the services that routes of the version name.
	RequiredServices []mesh.ServiceID
	// InvalidReason says why the node can't apply the version; empty when it can.
	InvalidReason string
}

// Result is what became of an offer.
type Result uint8

// The results of an offer.
const (
	// ResultUnchanged means that nothing new was learnt.
	ResultUnchanged Result = iota
	// ResultStale means that the version is below one in force or pending.
	ResultStale
	// ResultPending means that the version waits for upstream sets.
	ResultPending
	// ResultApplied means that the version took force in this call.
	ResultApplied
	// ResultRejected means that the version is refused.
	ResultRejected
)

var resultNames = [...]string{"unchanged", "older", "waits", "applied", "rejected"}

// String returns the name used in logs.
func (r Result) String() string {
	return resultNames[r]
}

// Outcome says what became of a version.
type Outcome struct {
	Result Result
	// Version is the version that Result speaks of; zero when there is none.
	Version mesh.Version
	// Reason is set when Result is ResultRejected.
	Reason string
}

// Refusal is a version that the node does not apply.
type Refusal struct {
	Version mesh.Version
	Digest  mesh.Digest
	Reason  string
}

// Status is a snapshot of an adopter.
type Status struct {
	State State
	// InForce never falls; zero before the first version.
	InForce mesh.Version
	// Pending is above InForce, or zero when nothing is pending.
	Pending mesh.Version
	// Missing lists the services that Pending waits for, sorted.
	Missing []mesh.ServiceID
	// Refused is the highest refused version; zero when no refusal stands.
	Refused mesh.Version
	// Reason says why Refused is refused.
	Reason string
	// Since is when State was entered; zero before the first offer.
	Since time.Time
}

// Adopter holds the version in force and the one that is to follow it. The zero
// Adopter is ready to use.
//
// The version in force never falls, whoever offers what. A version takes force
// whole, once every service that it needs has a known upstream set. A refused
// version leaves everything else as it was.
type Adopter[T any] struct {
	// machine is nil until the first offer.
	machine *stateless.StateMachine
	// since is when the machine entered its state.
	since time.Time
	// current is in force; its version is zero before the first.
	current Offer[T]
	// pending is staged or waiting; its version is zero when there is none.
	pending Offer[T]
	// missing holds the needs of pending that are not known.
	missing map[mesh.ServiceID]bool
	// known holds the services whose upstream sets are known.
	known map[mesh.ServiceID]bool
	// refusals holds at most maxRefusals refusals by version.
	refusals map[mesh.Version]Refusal
}

// Offer takes in a staged version.
func (a *Adopter[T]) Offer(now time.Time, offer Offer[T]) Outcome {
	if reason := a.fault(offer); reason != "" {
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

// fault returns why an offer is refused; empty when it is not. An offer below
// the version in force or pending is no fault: it is only late.
func (a *Adopter[T]) fault(offer Offer[T]) string {
	switch {
	case offer.Version == 0:
		return "version is zero"
	case offer.Version < max(a.current.Version, a.pending.Version):
		return ""
	case offer.ExpectedDigest != offer.ActualDigest:
		return fmt.Sprintf("digest is %s, want %s", offer.ActualDigest, offer.ExpectedDigest)
	case offer.Version == a.current.Version && offer.ExpectedDigest != a.current.ExpectedDigest:
		return fmt.Sprintf("digest %s differs from %s in force", offer.ExpectedDigest, a.current.ExpectedDigest)
	case offer.Version == a.pending.Version && offer.ExpectedDigest != a.pending.ExpectedDigest:
		return fmt.Sprintf("digest %s differs from %s pending", offer.ExpectedDigest, a.pending.ExpectedDigest)
	case offer.Version == a.current.Version || offer.Version == a.pending.Version:
		return ""
	default:
		return offer.InvalidReason
	}
}

// refuse remembers why a version is not applied; version zero names none.
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

// MarkKnown notes services whose upstream sets are known from now on, even if they
// are empty. Services named earlier stay known until MarkUnknown.
func (a *Adopter[T]) MarkKnown(now time.Time, services []mesh.ServiceID) Outcome {
	if a.known == nil {
		a.known = make(map[mesh.ServiceID]bool)
	}
	progressed := false
	for _, id := range services {
		a.known[id] = true
		if a.missing[id] {
			delete(a.missing, id)
			progressed = true
		}
	}
	if !progressed {
		return Outcome{}
	}
	return a.advance(now)
}

// MarkUnknown withdraws services whose upstream sets are no longer kept up to date.
// A pending version that needs one of them waits for it again.
func (a *Adopter[T]) MarkUnknown(services []mesh.ServiceID) {
	for _, id := range services {
		delete(a.known, id)
		if a.pending.Version != 0 && slices.Contains(a.pending.RequiredServices, id) {
			a.missing[id] = true
		}
	}
}

// advance puts the pending version in force when nothing is missing.
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

// InForce returns the version in force and its value; ok is false before the
// first.
func (a *Adopter[T]) InForce() (version mesh.Version, value T, ok bool) {
	return a.current.Version, a.current.Value, a.current.Version != 0
}

// RequiredServices returns the services that the pending version needs, or else those of
// the one in force.
func (a *Adopter[T]) RequiredServices() []mesh.ServiceID {
	if a.pending.Version != 0 {
		return a.pending.RequiredServices
	}
	return a.current.RequiredServices
}

// Refusals returns the refusals that stand, the highest version first.
func (a *Adopter[T]) Refusals() []Refusal {
	return slices.SortedFunc(maps.Values(a.refusals), func(left, right Refusal) int {
		return cmp.Compare(right.Version, left.Version)
	})
}

// Status returns a snapshot.
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
