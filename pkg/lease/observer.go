// Package lease decides who holds a lease that is stored as one object in a store
// with conditional updates by the object's version. It performs no I/O. Clocks
// need not be synchronized but must run at about the same rate: the fastest and
// the slowest clock may differ by the ratio of the margin to the time to live.
//
// A holder counts its time to live, less the margin, from the time at which it
// decided on its last successful write. An observer counts the whole time to live
// from the time at which it first saw that version. The write takes place between
// the two, so an observer never considers a lease stale while its holder
// considers it valid. Work done under the lease carries the fence as its fencing
// token, because a holder may be paused between its check and the work.
package lease

import "time"

// DefaultTimeToLive is how long a lease lasts without a renewal.
const DefaultTimeToLive = 15 * time.Second

// Fence is the version of the lease's object, used as the fencing token of the
// lease. It increases with each write; zero means that the object does not exist.
type Fence uint64

// Token is the content of the object and identifies the attempt that wrote it. If
// it is empty, the lease is vacant.
type Token string

// Status is the state of a lease as seen by an Observer.
type Status uint8

// Statuses of a lease.
const (
	// Unseen means that the object has not been read yet.
	Unseen Status = iota
	// Vacant means that nobody holds the lease.
	Vacant
	// Held means that the version changed within the last time to live.
	Held
	// Stale means that the version has not changed for a time to live.
	Stale
)

var statusNames = [...]string{"unseen", "vacant", "held", "stale"}

// String returns the name used in status reports.
func (s Status) String() string {
	return statusNames[s]
}

// Observer derives the status of a lease from the versions it has seen and the
// local clock. The zero Observer is ready to use.
type Observer struct {
	// TimeToLive must be the same on every node; zero means DefaultTimeToLive.
	TimeToLive time.Duration

	// fence and token are the ones seen last.
	fence Fence
	token Token
	// firstSeen is when fence was first seen; zero before the first call of
	// Observe.
	firstSeen time.Time
}

// Observe records the object as the store returned it. The time is when the
// response arrived.
func (o *Observer) Observe(now time.Time, fence Fence, token Token) {
	if !o.firstSeen.IsZero() && o.fence == fence {
		return
	}
	o.fence, o.token, o.firstSeen = fence, token, now
}

// Status returns the status of the lease at that time.
func (o *Observer) Status(now time.Time) Status {
	switch {
	case o.firstSeen.IsZero():
		return Unseen
	case o.fence == 0 || o.token == "":
		return Vacant
	case now.Before(o.StaleAt()):
		return Held
	default:
		return Stale
	}
}

// StaleAt returns when the lease becomes stale unless its version changes.
func (o *Observer) StaleAt() time.Time {
	ttl := o.TimeToLive
	if ttl == 0 {
		ttl = DefaultTimeToLive
	}
	return o.firstSeen.Add(ttl)
}

// Fence returns the version seen last.
func (o *Observer) Fence() Fence {
	return o.fence
}

// Token returns the token seen last.
func (o *Observer) Token() Token {
	return o.token
}
