package fleet

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/member"
)

// Report is the state that an upstream sends to its node.
type Report struct {
	Upstream
	// Deregister ends the instance, whatever its sequence number.
	Deregister bool
}

// ReportResult is the effect of a report on the tracked upstream.
type ReportResult uint8

// The results of a report.
const (
	// Stale reports are ignored, because a newer report or instance is known.
	Stale ReportResult = iota
	// Renewed means that the report confirms what is known.
	Renewed
	// Changed means that the report changed the record of the upstream.
	Changed
)

var reportResultNames = [...]string{"stale", "renewed", "changed"}

// String returns the name used in logs.
func (r ReportResult) String() string {
	return reportResultNames[r]
}

// confirmDelay is how long after its first report to this process an upstream that
// was started before the process must report again to be confirmed. Delayed reports
// arrive together, so a second one within this time proves nothing.
const confirmDelay = 500 * time.Millisecond

// UpstreamTracker tracks the upstream next to a node by its reports. It orders them
// by instance and sequence number, whatever their order of arrival. The zero
// UpstreamTracker knows no upstream.
type UpstreamTracker struct {
	// ProcessStart is when this process started. An instance that started earlier may
	// have told the previous process that it is draining. With the zero ProcessStart,
	// every instance counts as started later.
	ProcessStart time.Time
	// upstream is the last accepted report; within an instance, its State never returns
	// from draining or left to an earlier state.
	upstream Upstream
	// lastSeen is when the upstream last sent an accepted report or was confirmed.
	lastSeen time.Time
	// silent is true from Restore, Expire or MarkUnreachable until the next report or
	// Confirm.
	silent bool
	// unconfirmed is true while the upstream counts as lost only because nothing proves
	// that it still serves. unconfirmedState is its state as recorded or reported.
	unconfirmed      bool
	unconfirmedState member.State
	// confirmed is true once the instance has proved that it serves. firstReport is when
	// its first report to this process arrived.
	confirmed   bool
	firstReport time.Time
}

// Upstream returns the tracked upstream.
func (t *UpstreamTracker) Upstream() Upstream {
	return t.upstream
}

// Restore adopts the upstream that a previous process of this node recorded, unless
// a newer report has arrived. The record is valid until the next report. An upstream
// that accepted requests counts as lost until it reports again or is confirmed.
func (t *UpstreamTracker) Restore(recorded Upstream) {
	if recorded.Instance == "" || supersedes(t.upstream, recorded) {
		return
	}
	state, served := recorded.State, recorded.State.AcceptsRequests()
	if served {
		recorded.State = member.Lost
	}
	if recorded.Instance == t.upstream.Instance && recorded.StartedAt.Equal(t.upstream.StartedAt) && t.upstream.State == member.Lost {
		return
	}
	t.upstream = recorded
	t.silent = true
	t.unconfirmed, t.unconfirmedState = served, state
}

// Unconfirmed returns an upstream that accepts requests according to its record or
// to a report that may be delayed, and that needs confirmation; ok is false when
// there is none.
func (t *UpstreamTracker) Unconfirmed() (upstream Upstream, ok bool) {
	return t.upstream, t.unconfirmed
}

// Confirm records that the instance responded that it serves. An unconfirmed
// upstream with this instance gets its recorded or reported state back.
func (t *UpstreamTracker) Confirm(now time.Time, instance string) (changed bool) {
	if !t.unconfirmed || t.upstream.Instance != instance {
		return false
	}
	t.upstream.State = t.unconfirmedState
	t.lastSeen, t.silent, t.unconfirmed, t.confirmed = now, false, false, true
	return true
}

// supersedes reports whether a is from a later instance than b, or from the same or
// a later report of the same instance.
func supersedes(a, b Upstream) bool {
	if !a.StartedAt.Equal(b.StartedAt) {
		return a.StartedAt.After(b.StartedAt)
	}
	return a.Instance == b.Instance && a.Sequence >= b.Sequence
}

// HandleReport processes a report. An instance that drains never accepts requests
// again, and one that left never returns.
func (t *UpstreamTracker) HandleReport(now time.Time, report Report) (result ReportResult) {
	sameInstance := report.Instance == t.upstream.Instance && (report.StartedAt.Equal(t.upstream.StartedAt) || report.StartedAt.IsZero())
	if !sameInstance {
		return t.handleOtherInstance(now, report)
	}
	if report.Deregister {
		return t.deregister(now)
	}
	if report.Sequence <= t.upstream.Sequence || t.upstream.State == member.Left {
		return Stale
	}
	next := report.Upstream
	if next.StartedAt.IsZero() {
		next.StartedAt = t.upstream.StartedAt
	}
	if t.upstream.State == member.Draining {
		next.State = member.Draining
	}
	t.lastSeen, t.silent = now, false
	return t.setUpstream(t.holdUnconfirmed(now, next))
}

// handleOtherInstance processes a report of an instance other than the tracked one.
func (t *UpstreamTracker) handleOtherInstance(now time.Time, report Report) ReportResult {
	if report.Deregister || report.StartedAt.Before(t.upstream.StartedAt) {
		return Stale
	}
	if report.StartedAt.Equal(t.upstream.StartedAt) && t.upstream.Instance != "" && t.upstream.State != member.Left && !t.silent {
		return Stale
	}
	t.lastSeen, t.silent = now, false
	t.confirmed, t.firstReport = false, time.Time{}
	return t.setUpstream(t.holdUnconfirmed(now, report.Upstream))
}

// holdUnconfirmed returns the state that a report leads to. A delayed report of an
// instance that started before this process could hide that the instance is
// draining. Such an instance counts as lost until it is confirmed or reports again
// after confirmDelay.
func (t *UpstreamTracker) holdUnconfirmed(now time.Time, next Upstream) Upstream {
	reportedAgain := !t.firstReport.IsZero() && now.Sub(t.firstReport) >= confirmDelay
	if t.firstReport.IsZero() {
		t.firstReport = now
	}
	t.unconfirmed = next.State.AcceptsRequests() && !t.confirmed && !reportedAgain && !t.ProcessStart.IsZero() && !next.StartedAt.After(t.ProcessStart)
	if !t.unconfirmed {
		t.confirmed = t.confirmed || next.State.AcceptsRequests()
		return next
	}
	t.unconfirmedState, next.State = next.State, member.Lost
	return next
}

// setUpstream replaces the tracked upstream and returns whether that changes its
// record.
func (t *UpstreamTracker) setUpstream(next Upstream) ReportResult {
	old := t.upstream
	t.upstream = next
	old.Sequence, old.ColdRemaining = next.Sequence, next.ColdRemaining
	if old.StartedAt.Equal(next.StartedAt) {
		old.StartedAt = next.StartedAt
	}
	if old == next {
		return Renewed
	}
	return Changed
}

func (t *UpstreamTracker) deregister(now time.Time) ReportResult {
	if t.upstream.State == member.Left {
		return Renewed
	}
	t.upstream.State = member.Left
	t.lastSeen, t.unconfirmed = now, false
	return Changed
}

// Expire marks the upstream lost, or left if it was draining, when it has not been
// seen for the timeout. Its next report ends the lost state.
func (t *UpstreamTracker) Expire(now time.Time, timeout time.Duration) (changed bool) {
	expiresAt := t.ExpiresAt(timeout)
	if expiresAt.IsZero() || now.Before(expiresAt) {
		return false
	}
	t.silent = true
	if t.upstream.State == member.Draining {
		t.upstream.State = member.Left
		return true
	}
	t.upstream.State = member.Lost
	return true
}

// ExpiresAt returns when the upstream expires, zero when it cannot expire.
func (t *UpstreamTracker) ExpiresAt(timeout time.Duration) time.Time {
	if t.upstream.Instance == "" || t.silent || !t.upstream.State.Live() {
		return time.Time{}
	}
	return t.lastSeen.Add(timeout)
}

// MarkUnreachable marks the upstream lost until its next report, because connections
// to it fail. A draining upstream keeps its state.
func (t *UpstreamTracker) MarkUnreachable() (changed bool) {
	if t.upstream.Instance == "" || !t.upstream.State.Live() {
		return false
	}
	t.silent = true
	if t.upstream.State != member.Draining {
		t.upstream.State = member.Lost
		return true
	}
	return false
}
