// Package verify decides how long ago it was certain that the version in force is the
// newest one. A revoked key may be used for a limited time only, so this must never be
// underestimated: neither by a process that was frozen, nor by a suspended machine, a slow
// store, a late message or a stepped clock.
package verify

import "time"

const (
	// agePercent is the part of the revocation time, in percent, up to which a
	// confirmation is accepted. The rest covers differences between the rates of clocks.
	agePercent = 80
	// watchPercent is the part of the revocation time, in percent, for which a watch of
	// versions may be held without a change. A confirmation at a root is up to two watches
	// old, and each level of readers adds up to 0.6 s.
	watchPercent = 10
	// minWatchWait limits the calls to the store with very short revocation times.
	minWatchWait = 200 * time.Millisecond
	// ProbeInterval is the time between two probes to a parent.
	ProbeInterval = 500 * time.Millisecond
	// RetryAfter is the time in which a confirmation usually arrives: parents echo a probe
	// with their next heartbeat, and a watch is answered in about the same time.
	RetryAfter = ProbeInterval
)

// MaxAge returns the largest age of a confirmation with which requests with keys are
// served.
func MaxAge(revocation time.Duration) time.Duration {
	return revocation * agePercent / 100
}

// WatchWait returns how long the store may hold a watch without a change, which is at most
// longest. Zero for revocation means that it does not matter.
func WatchWait(revocation, longest time.Duration) time.Duration {
	if revocation == 0 {
		return longest
	}
	return min(longest, max(minWatchWait, revocation*watchPercent/100))
}

// Moment is a reading of the two clocks that together measure all time that passed. The
// zero Moment means never.
type Moment struct {
	// Time has a monotonic reading, which does not advance while the machine is
	// suspended.
	Time time.Time
	// Suspended is the time for which the machine had been suspended, since any fixed
	// moment. It does not decrease.
	Suspended time.Duration
}

// IsZero reports whether the moment is never.
func (m Moment) IsZero() bool { return m.Time.IsZero() }

// Sub returns the time that passed from the earlier moment to this one. Suspended counts as
// unchanged if the later reading is lower, which happens if the clock could not be read.
func (m Moment) Sub(earlier Moment) time.Duration {
	return m.Time.Sub(earlier.Time) + max(0, m.Suspended-earlier.Suspended)
}

// before returns the moment that is the duration before this one.
func (m Moment) before(d time.Duration) Moment {
	return Moment{Time: m.Time.Add(-d), Suspended: m.Suspended}
}

// Heartbeat is what a heartbeat of a parent tells about its confirmation.
type Heartbeat struct {
	// Version is the version that the parent has in force.
	Version uint64
	// Verified is true if the parent has a confirmation, and Age its age when the
	// heartbeat was sent.
	Verified bool
	Age      time.Duration
	// ProbeSentAt is the time since the start of this process at which the latest probe
	// was sent that the parent had received before it sent the heartbeat; zero if none.
	ProbeSentAt time.Duration
}

// Tracker determines the latest moment of which it is certain that every version that the
// store accepted before it is known to this process. The zero Tracker has none.
type Tracker struct {
	// Started is when the process started, from which ProbeSentAt counts.
	Started Moment
	// verified is the latest confirmation; zero if there was none.
	verified Moment
}

// Verified returns the latest confirmation; zero if there was none.
func (t *Tracker) Verified() Moment { return t.verified }

// Age returns the age of the latest confirmation. It returns false if there was none.
func (t *Tracker) Age(now Moment) (age time.Duration, found bool) {
	return now.Sub(t.verified), !t.verified.IsZero()
}

// ProbeTime returns the time to send in a probe. It is above zero.
func (t *Tracker) ProbeTime(now Moment) time.Duration {
	return max(now.Sub(t.Started), time.Microsecond)
}

// AddCall adds a response of the store that contains every version accepted before the
// call began at calledAt, once these versions are in force or refused.
func (t *Tracker) AddCall(now, calledAt Moment) {
	if !calledAt.IsZero() {
		t.add(now, now.Sub(calledAt))
	}
}

// AddHeartbeat adds a heartbeat of a parent. As the parent sent it after it had received
// the probe, its confirmation is at least as late as the probe minus its age. That holds
// for this process only if it has the parent's version. version is the one in force here.
func (t *Tracker) AddHeartbeat(now Moment, h Heartbeat, version uint64) {
	sinceProbe := now.Sub(t.Started) - h.ProbeSentAt
	if !h.Verified || h.Age < 0 || h.ProbeSentAt <= 0 || sinceProbe < 0 || version < h.Version {
		return
	}
	t.add(now, sinceProbe+h.Age)
}

// add adds a confirmation of an age unless a later one is known.
func (t *Tracker) add(now Moment, age time.Duration) {
	if age < 0 {
		return
	}
	if old, found := t.Age(now); !found || age < old {
		t.verified = now.before(age)
	}
}
