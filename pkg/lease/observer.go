// Package lease decides who holds a lease that is kept as one object in a store
// with conditional updates by the object's version. It does no I/O and needs no
// synchronised clocks, only ones that run at about the same rate: the slowest
// and the fastest may differ by the margin's share of the time to live.
//
// A holder counts its time to live, less the margin, from when it decided to
// send its last successful write. An observer counts the whole time to live
// from when it first saw the version. The write lies between the two, so that
// an observer never finds a lease stale that its holder finds valid. Work done
// under the lease carries the fence, since a holder may be paused between its
// check and the work.
package lease

import "time"

// DefaultTimeToLive is how long a lease stands without a renewal.
const DefaultTimeToLive = 15 * time.Second

// Fence is the version of the lease's object. It rises with each write; zero
// means that there is no object.
type Fence uint64

// Token is the content that proves which attempt wrote the object; empty means
// that the lease is vacant.
type Token string

// Status is what an observer finds.
type Status uint8

// The findings of an observer.
const (
	// Unseen means that the object was not read yet.
	Unseen Status = iota
	// Vacant means that nobody holds the lease.
	Vacant
	// Held means that the version moved within the time to live.
	Held
	// Stale means that the version did not move for the time to live.
	Stale
)

var standingNames = [...]string{"unseen", "vacant", "held", "stale"}

// String returns the name used in status reports.
func (s Status) String() string {
	return standingNames[s]
}

// Observer judges a lease by the versions seen and by the local clock. The zero
// Observer is ready to use.
type Observer struct {
	// TimeToLive is the same at every node; zero means DefaultTimeToLive.
	TimeToLive time.Duration

	// fence and token are what was seen last.
	fence Fence
	token Token
	// since is when fence was first seen; zero before the first sight.
	since time.Time
}

// Observe notes the object as an answer of the store showed it. The time is when
// the answer came.
func (o *Observer) Observe(now time.Time, fence Fence, token Token) {
	if !o.since.IsZero() && o.fence == fence {
		return
	}
	o.fence, o.token, o.since = fence, token, now
}

// Status judges the lease at that time.
func (o *Observer) Status(now time.Time) Status {
	switch {
	case o.since.IsZero():
		return Unseen
	case o.fence == 0 || o.token == "":
		return Vacant
	case now.Before(o.StaleAt()):
		return Held
	default:
		return Stale
	}
}

// StaleAt returns when the lease goes stale unless its version moves.
func (o *Observer) StaleAt() time.Time {
	live := o.TimeToLive
	if live == 0 {
		live = DefaultTimeToLive
	}
	return o.since.Add(live)
}

// Fence returns the version seen last.
func (o *Observer) Fence() Fence {
	return o.fence
}

// Token returns the token seen last.
func (o *Observer) Token() Token {
	return o.token
}
