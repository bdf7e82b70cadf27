package member

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// The detector's defaults.
const (
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultMissedHeartbeats  = 3
	DefaultHoldFraction      = 0.3
	DefaultHoldMin           = 3
	DefaultHoldTimeout       = 2 * time.Minute
	// maxSlowness bounds how far local slowness stretches the timeouts: by this
	// many times the timeout itself.
	maxSlowness = 3
)

// DetectorMode is what a detector does about silent hosts.
type DetectorMode uint8

// The modes of a detector.
const (
	// ModeWatching removes hosts that stay silent.
	ModeWatching DetectorMode = iota
	// ModeHolding keeps the last known set, since so many hosts went silent at once
	// that the detector's own link is suspect.
	ModeHolding
	// ModeOverdue is ModeHolding for longer than HoldTimeout: the caller decides by ResolveHold.
	ModeOverdue
)

var watchNames = [...]string{"watching", "holding", "overdue"}

// String returns the name used in status reports.
func (w DetectorMode) String() string {
	return watchNames[w]
}

// CheckResult is the result of one check.
type CheckResult struct {
	Mode DetectorMode
	// Suspects lists the silent hosts, sorted; they are still members.
	Suspects []mesh.HostID
	// Removed lists the hosts that the detector gave up and no longer watches,
	// sorted; the caller merges Lost records for them.
	Removed []mesh.HostID
	// Watched is how many hosts are still watched.
	Watched int
}

// Detector judges hosts by their heartbeats. The zero Detector is ready to use.
//
// A host is suspect after MissedHeartbeats intervals of silence and removed after ConfirmTime
// more. The time from the last heartbeat to the removal is one window. When
// HoldFraction of the watched hosts, and at least HoldMin, are suspect or were
// removed within one window, the detector holds: nothing more is removed until
// the share falls, by heartbeats that come again, or until the caller resolves
// an overdue hold. A caller that can reach the platform or other relays resolves
// by removing; one that is cut off from them as well keeps the set and asks again
// after HoldTimeout.
//
// Late checks mean that this process is slow, not that the others are: the time
// by which a check was late does not count as silence, and each late check
// stretches the timeouts until as many checks came in time.
type Detector struct {
	// Interval is the time between heartbeats; zero means DefaultHeartbeatInterval.
	Interval time.Duration
	// MissedHeartbeats is how many heartbeats a suspect has missed; zero means DefaultMissedHeartbeats.
	MissedHeartbeats int
	// ConfirmTime is the time from suspicion to removal; zero means Interval.
	ConfirmTime time.Duration
	// HoldFraction is the share of the watched hosts that makes the detector
	// hold; zero means DefaultHoldFraction.
	HoldFraction float64
	// HoldMin is the least count that makes it hold; zero means DefaultHoldMin.
	HoldMin int
	// HoldTimeout bounds a hold; zero means DefaultHoldTimeout.
	HoldTimeout time.Duration

	// heard holds the last heartbeat of every watched host.
	heard map[mesh.HostID]heartbeat
	// checked is the time of the last check; zero before the first.
	checked time.Time
	// late is by how much all checks were late, summed.
	late time.Duration
	// slowness rises with each late check and falls with each timely one.
	slowness int
	// holding is when the hold began; zero while watching.
	holding time.Time
	// removals holds the times of the removals within one window, in order.
	removals []time.Time
}

// heartbeat is when a host was heard.
type heartbeat struct {
	at time.Time
	// late is Detector.late at that time.
	late time.Duration
}

func (d *Detector) interval() time.Duration {
	if d.Interval == 0 {
		return DefaultHeartbeatInterval
	}
	return d.Interval
}

// suspicion returns the silence after which a host is suspect.
func (d *Detector) suspicion() time.Duration {
	missed := d.MissedHeartbeats
	if missed == 0 {
		missed = DefaultMissedHeartbeats
	}
	return d.interval() * time.Duration(missed*(1+d.slowness))
}

// removal returns the silence after which a host is removed.
func (d *Detector) removal() time.Duration {
	confirm := d.ConfirmTime
	if confirm == 0 {
		confirm = d.interval()
	}
	return d.suspicion() + confirm*time.Duration(1+d.slowness)
}

// RecordHeartbeat notes a heartbeat; a host that is not watched yet is from now on.
func (d *Detector) RecordHeartbeat(host mesh.HostID, now time.Time) {
	if d.heard == nil {
		d.heard = make(map[mesh.HostID]heartbeat)
	}
	d.heard[host] = heartbeat{at: now, late: d.late}
}

// Forget stops watching a host, such as one that left.
func (d *Detector) Forget(host mesh.HostID) {
	delete(d.heard, host)
}

// Watched returns how many hosts are watched.
func (d *Detector) Watched() int {
	return len(d.heard)
}

// Suspects returns the hosts that are silent at that time, sorted.
func (d *Detector) Suspects(now time.Time) (hosts []mesh.HostID) {
	for host, h := range d.heard {
		if d.silence(h, now) >= d.suspicion() {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// silence returns for how long a host was silent while this process listened.
func (d *Detector) silence(beat heartbeat, now time.Time) time.Duration {
	return now.Sub(beat.at) - (d.late - beat.late)
}

// Check judges every watched host. It is called once an interval; the caller
// takes in waiting heartbeats before it.
func (d *Detector) Check(now time.Time) (verdict CheckResult) {
	d.noteLateness(now)
	verdict.Suspects = d.Suspects(now)
	d.decideHold(now, len(verdict.Suspects))
	verdict.Mode = d.watch(now)
	if verdict.Mode == ModeWatching {
		verdict.Removed, verdict.Suspects = d.remove(now, verdict.Suspects)
	}
	verdict.Watched = len(d.heard)
	return verdict
}

// noteLateness compares the time since the last check with the interval.
func (d *Detector) noteLateness(now time.Time) {
	interval := d.interval()
	if !d.checked.IsZero() {
		late := now.Sub(d.checked) - interval
		switch {
		case late > interval/2:
			d.late += late
			d.slowness = min(d.slowness+1, maxSlowness)
		case d.slowness > 0:
			d.slowness--
		}
	}
	d.checked = now
}

// decideHold begins or ends a hold by the count of suspects and of the hosts
// removed within one window.
func (d *Detector) decideHold(now time.Time, suspects int) {
	for len(d.removals) > 0 && now.Sub(d.removals[0]) >= d.removal() {
		d.removals = d.removals[1:]
	}
	if suspects == 0 || !d.tooMany(suspects+len(d.removals)) {
		d.holding = time.Time{}
		return
	}
	if d.holding.IsZero() {
		d.holding = now
	}
}

func (d *Detector) tooMany(silent int) bool {
	share, least := d.HoldFraction, d.HoldMin
	if share == 0 {
		share = DefaultHoldFraction
	}
	if least == 0 {
		least = DefaultHoldMin
	}
	watched := len(d.heard) + len(d.removals)
	return silent >= least && float64(silent) >= share*float64(watched)
}

func (d *Detector) watch(now time.Time) DetectorMode {
	limit := d.HoldTimeout
	if limit == 0 {
		limit = DefaultHoldTimeout
	}
	switch {
	case d.holding.IsZero():
		return ModeWatching
	case now.Sub(d.holding) < limit:
		return ModeHolding
	default:
		return ModeOverdue
	}
}

// remove stops watching the suspects whose time is up.
func (d *Detector) remove(now time.Time, suspects []mesh.HostID) (removed, left []mesh.HostID) {
	for _, host := range suspects {
		if d.silence(d.heard[host], now) < d.removal() {
			left = append(left, host)
			continue
		}
		delete(d.heard, host)
		d.removals = append(d.removals, now)
		removed = append(removed, host)
	}
	return removed, left
}

// ResolveHold ends a hold by the caller's decision: to remove every suspect, which
// it returns, or to keep them for another HoldTimeout.
func (d *Detector) ResolveHold(now time.Time, remove bool) (removed []mesh.HostID) {
	if d.holding.IsZero() {
		return nil
	}
	if !remove {
		d.holding = now
		return nil
	}
	d.holding = time.Time{}
	removed = d.Suspects(now)
	for _, host := range removed {
		delete(d.heard, host)
	}
	return removed
}
