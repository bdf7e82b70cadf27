package member

import (
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Defaults of a Detector.
const (
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultMissedHeartbeats  = 3
	DefaultHoldFraction      = 0.3
	DefaultHoldMin           = 3
	DefaultHoldTimeout       = 2 * time.Minute
	// maxSlowness limits how far local delays extend the timeouts: to at most 1 +
	// maxSlowness times their normal length.
	maxSlowness = 3
)

// DetectorMode is the way a Detector treats silent hosts.
type DetectorMode uint8

// The modes of a Detector.
const (
	// ModeWatching removes hosts that remain silent.
	ModeWatching DetectorMode = iota
	// ModeHolding removes no hosts, because so many became silent at once that the
	// detector's own network connection is suspect.
	ModeHolding
	// ModeOverdue is a hold that has lasted longer than HoldTimeout. The caller has to
	// decide by ResolveHold.
	ModeOverdue
)

var modeNames = [...]string{"watching", "holding", "overdue"}

// String returns the name used in status reports.
func (m DetectorMode) String() string {
	return modeNames[m]
}

// CheckResult is the result of one check.
type CheckResult struct {
	Mode DetectorMode
	// Suspects lists the silent hosts that are still members, sorted.
	Suspects []mesh.HostID
	// Removed lists the hosts that the detector removed and no longer watches, sorted.
	// The caller merges Lost records for them.
	Removed []mesh.HostID
	// Watched is the number of hosts that are still watched.
	Watched int
}

// Detector is a failure detector based on heartbeats. The zero Detector is ready to
// use.
//
// A host becomes suspect after MissedHeartbeats intervals of silence and is removed
// after a further ConfirmTime. The time from the last heartbeat to the removal is
// called the window. When at least HoldFraction of the watched hosts, and at least
// HoldMin of them, are suspect or were removed within one window, the detector
// holds: it removes no further hosts until heartbeats resume and the fraction falls,
// or until the caller resolves an overdue hold. A caller that can reach the platform
// or other relays should resolve it by removing the hosts. One that is cut off from
// those too should keep the hosts and decide again after HoldTimeout.
//
// A late check means that this process is slow, not that the hosts are silent. The
// delay of a check does not count as silence, and each late check extends the
// timeouts until the same number of checks have been on time.
type Detector struct {
	// Interval is the time between heartbeats; zero means DefaultHeartbeatInterval.
	Interval time.Duration
	// MissedHeartbeats is the number of missed heartbeats after which a host is suspect;
	// zero means DefaultMissedHeartbeats.
	MissedHeartbeats int
	// ConfirmTime is the time from suspicion to removal; zero means Interval.
	ConfirmTime time.Duration
	// HoldFraction is the fraction of the watched hosts that starts a hold; zero means
	// DefaultHoldFraction.
	HoldFraction float64
	// HoldMin is the minimum number of hosts that starts a hold; zero means
	// DefaultHoldMin.
	HoldMin int
	// HoldTimeout is the duration after which a hold is overdue; zero means
	// DefaultHoldTimeout.
	HoldTimeout time.Duration

	// lastHeartbeats holds the last heartbeat of every watched host.
	lastHeartbeats map[mesh.HostID]heartbeat
	// lastCheck is the time of the last check; zero before the first.
	lastCheck time.Time
	// totalLateness is the sum of the delays of all late checks.
	totalLateness time.Duration
	// slowness rises with each late check and falls with each check that is on time.
	slowness int
	// holdStart is the start of the current hold; zero while there is none.
	holdStart time.Time
	// recentRemovals holds the times of the removals within one window, in order.
	recentRemovals []time.Time
}

// heartbeat is the last sign of life of a host.
type heartbeat struct {
	at time.Time
	// totalLateness is Detector.totalLateness at that time.
	totalLateness time.Duration
}

func (d *Detector) interval() time.Duration {
	if d.Interval == 0 {
		return DefaultHeartbeatInterval
	}
	return d.Interval
}

// suspectTimeout returns the silence after which a host is suspect.
func (d *Detector) suspectTimeout() time.Duration {
	missed := d.MissedHeartbeats
	if missed == 0 {
		missed = DefaultMissedHeartbeats
	}
	return d.interval() * time.Duration(missed*(1+d.slowness))
}

// removalTimeout returns the silence after which a host is removed.
func (d *Detector) removalTimeout() time.Duration {
	confirm := d.ConfirmTime
	if confirm == 0 {
		confirm = d.interval()
	}
	return d.suspectTimeout() + confirm*time.Duration(1+d.slowness)
}

// RecordHeartbeat records a heartbeat. A host that is not watched yet is watched
// from then on.
func (d *Detector) RecordHeartbeat(host mesh.HostID, now time.Time) {
	if d.lastHeartbeats == nil {
		d.lastHeartbeats = make(map[mesh.HostID]heartbeat)
	}
	d.lastHeartbeats[host] = heartbeat{at: now, totalLateness: d.totalLateness}
}

// Forget stops watching a host, for example one that left.
func (d *Detector) Forget(host mesh.HostID) {
	delete(d.lastHeartbeats, host)
}

// Watched returns the number of watched hosts.
func (d *Detector) Watched() int {
	return len(d.lastHeartbeats)
}

// Suspects returns the hosts that are silent at the given time, sorted.
func (d *Detector) Suspects(now time.Time) (hosts []mesh.HostID) {
	for host, h := range d.lastHeartbeats {
		if d.silence(h, now) >= d.suspectTimeout() {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// silence returns how long a host has been silent, without the delays of this
// process.
func (d *Detector) silence(last heartbeat, now time.Time) time.Duration {
	return now.Sub(last.at) - (d.totalLateness - last.totalLateness)
}

// Check evaluates every watched host. It has to be called once per interval, after
// pending heartbeats have been recorded.
func (d *Detector) Check(now time.Time) (result CheckResult) {
	d.recordLateness(now)
	result.Suspects = d.Suspects(now)
	d.updateHold(now, len(result.Suspects))
	result.Mode = d.mode(now)
	if result.Mode == ModeWatching {
		result.Removed, result.Suspects = d.removeExpired(now, result.Suspects)
	}
	result.Watched = len(d.lastHeartbeats)
	return result
}

// recordLateness compares the time since the last check with the interval. A check
// is late when it is delayed by more than half an interval.
func (d *Detector) recordLateness(now time.Time) {
	interval := d.interval()
	if !d.lastCheck.IsZero() {
		late := now.Sub(d.lastCheck) - interval
		switch {
		case late > interval/2:
			d.totalLateness += late
			d.slowness = min(d.slowness+1, maxSlowness)
		case d.slowness > 0:
			d.slowness--
		}
	}
	d.lastCheck = now
}

// updateHold starts or ends a hold, depending on the number of suspects and of hosts
// removed within one window.
func (d *Detector) updateHold(now time.Time, suspects int) {
	for len(d.recentRemovals) > 0 && now.Sub(d.recentRemovals[0]) >= d.removalTimeout() {
		d.recentRemovals = d.recentRemovals[1:]
	}
	if suspects == 0 || !d.shouldHold(suspects+len(d.recentRemovals)) {
		d.holdStart = time.Time{}
		return
	}
	if d.holdStart.IsZero() {
		d.holdStart = now
	}
}

func (d *Detector) shouldHold(silent int) bool {
	fraction, minimum := d.HoldFraction, d.HoldMin
	if fraction == 0 {
		fraction = DefaultHoldFraction
	}
	if minimum == 0 {
		minimum = DefaultHoldMin
	}
	watched := len(d.lastHeartbeats) + len(d.recentRemovals)
	return silent >= minimum && float64(silent) >= fraction*float64(watched)
}

func (d *Detector) mode(now time.Time) DetectorMode {
	limit := d.HoldTimeout
	if limit == 0 {
		limit = DefaultHoldTimeout
	}
	switch {
	case d.holdStart.IsZero():
		return ModeWatching
	case now.Sub(d.holdStart) < limit:
		return ModeHolding
	default:
		return ModeOverdue
	}
}

// removeExpired removes the suspects whose silence has reached the removal timeout.
func (d *Detector) removeExpired(now time.Time, suspects []mesh.HostID) (removed, remaining []mesh.HostID) {
	for _, host := range suspects {
		if d.silence(d.lastHeartbeats[host], now) < d.removalTimeout() {
			remaining = append(remaining, host)
			continue
		}
		delete(d.lastHeartbeats, host)
		d.recentRemovals = append(d.recentRemovals, now)
		removed = append(removed, host)
	}
	return removed, remaining
}

// ResolveHold ends a hold by a decision of the caller: with remove, every suspect is
// removed and returned; otherwise the hosts are kept for another HoldTimeout.
func (d *Detector) ResolveHold(now time.Time, remove bool) (removed []mesh.HostID) {
	if d.holdStart.IsZero() {
		return nil
	}
	if !remove {
		d.holdStart = now
		return nil
	}
	d.holdStart = time.Time{}
	removed = d.Suspects(now)
	for _, host := range removed {
		delete(d.lastHeartbeats, host)
	}
	return removed
}
