package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func ExampleLocalUpstream() {
	local := member.LocalUpstream{Host: "h1", Place: place, Node: node, Incarnation: 5}
	r, _, _ := local.Announce(epoch, member.Announcement{ID: notices, Slots: 9, Warming: true})
	fmt.Println(r.State, r.Stamp)
	r, changed := local.Expire(epoch.Add(member.DefaultAnnouncementTTL))
	fmt.Println(r.State, r.Stamp, changed)
	// Output:
	// warming {5 1}
	// left {5 2} true
}

func TestDetectorRemovesSilentHostsAndHoldsOnMassSilence(t *testing.T) {
	const interval = member.DefaultHeartbeatInterval
	tests := []struct {
		name string
		// watched hosts send a heartbeat per interval, but the silent ones only the first.
		watched, silent int
		// silentLater hosts become silent after the second check.
		silentLater int
		// checks is the number of checks, one per interval.
		checks        int
		lateIntervals int
		removed       int
		mode          member.DetectorMode
	}{
		{name: "one suspect", watched: 10, silent: 1, checks: 3},
		{name: "one removed", watched: 10, silent: 1, checks: 4, removed: 1},
		{name: "two of three removed", watched: 3, silent: 2, checks: 4, removed: 2},
		{name: "three of ten start a hold", watched: 10, silent: 3, checks: 20, mode: member.ModeHolding},
		{name: "three of eleven removed", watched: 11, silent: 3, checks: 20, removed: 3},
		{name: "all silent", watched: 10, silent: 10, checks: 10, mode: member.ModeHolding},
		{name: "two, then a third within the window", watched: 10, silent: 2, silentLater: 1, checks: 7, removed: 2, mode: member.ModeHolding},
		{name: "two, then a third after the window", watched: 10, silent: 2, silentLater: 1, checks: 8, removed: 3},
		{name: "overdue hold", watched: 10, silent: 10, checks: 63, mode: member.ModeOverdue},
		{name: "late checks do not count as silence", watched: 10, silent: 1, checks: 1, lateIntervals: 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d member.Detector
			now, removed := epoch, 0
			var result member.CheckResult
			heartbeats := func(from int) {
				for i := from; i < tt.watched; i++ {
					d.RecordHeartbeat(mesh.HostID(fmt.Sprint("h", i)), now)
				}
			}
			heartbeats(0)
			d.Check(now)
			for i := range tt.checks {
				now = now.Add(interval)
				if i == 0 {
					now = now.Add(interval * time.Duration(tt.lateIntervals))
				}
				if i < 2 {
					heartbeats(tt.silent)
				} else {
					heartbeats(tt.silent + tt.silentLater)
				}
				result = d.Check(now)
				removed += len(result.Removed)
			}
			assert.Equal(t, removed, tt.removed)
			assert.Equal(t, result.Mode, tt.mode)
			assert.Equal(t, result.Watched, tt.watched-removed)
		})
	}
}

func TestHoldEndsByHeartbeatOrDecision(t *testing.T) {
	tests := []struct {
		name    string
		end     func(d *member.Detector, now time.Time) []mesh.HostID
		removed int
		mode    member.DetectorMode
	}{
		{name: "heartbeats resume", mode: member.ModeWatching, end: func(d *member.Detector, now time.Time) []mesh.HostID {
			for _, h := range []mesh.HostID{"a", "b", "c"} {
				d.RecordHeartbeat(h, now)
			}
			return nil
		}},
		{name: "hosts kept", mode: member.ModeHolding, end: func(d *member.Detector, now time.Time) []mesh.HostID {
			return d.ResolveHold(now, false)
		}},
		{name: "hosts removed", mode: member.ModeWatching, removed: 3, end: func(d *member.Detector, now time.Time) []mesh.HostID {
			return d.ResolveHold(now, true)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := member.Detector{HoldTimeout: time.Second}
			for _, h := range []mesh.HostID{"a", "b", "c"} {
				d.RecordHeartbeat(h, epoch)
			}
			now := epoch
			for range 8 {
				now = now.Add(member.DefaultHeartbeatInterval)
				d.Check(now)
			}
			assert.Equal(t, d.Check(now).Mode, member.ModeOverdue)
			assert.Equal(t, len(tt.end(&d, now)), tt.removed)
			assert.Equal(t, d.Check(now).Mode, tt.mode)
		})
	}
}

func TestLocalUpstreamLifecycle(t *testing.T) {
	announce := func(warming bool) func(l *member.LocalUpstream) {
		return func(l *member.LocalUpstream) {
			_, _, _ = l.Announce(epoch, member.Announcement{ID: notices, Slots: 9, Warming: warming})
		}
	}
	replaced := func(l *member.LocalUpstream) {
		_, _, _ = l.Announce(epoch, member.Announcement{ID: archive, Slots: 9})
	}
	drain := func(l *member.LocalUpstream) { _, _, _ = l.Drain(epoch) }
	leave := func(l *member.LocalUpstream) { _, _, _ = l.Leave(epoch) }
	refute := func(r member.Record) func(l *member.LocalUpstream) {
		return func(l *member.LocalUpstream) { l.Refute(r) }
	}
	restarted := record("h1", 8, member.Ready)
	restarted.Stamp.Incarnation = 3
	tests := []struct {
		name  string
		steps []func(l *member.LocalUpstream)
		phase member.Phase
		state member.State
		stamp mesh.Stamp
	}{
		{name: "not announced", phase: member.PhaseAbsent},
		{name: "drain and leave without an announcement", steps: []func(*member.LocalUpstream){drain, leave}, phase: member.PhaseAbsent},
		{name: "renewal publishes no new record", steps: []func(*member.LocalUpstream){announce(false), announce(false)}, phase: member.PhaseReady, state: member.Ready, stamp: mesh.Stamp{Incarnation: 2, Sequence: 1}},
		{name: "warms up", steps: []func(*member.LocalUpstream){announce(true), announce(false)}, phase: member.PhaseReady, state: member.Ready, stamp: mesh.Stamp{Incarnation: 2, Sequence: 2}},
		{name: "renewal keeps draining", steps: []func(*member.LocalUpstream){announce(false), drain, announce(false)}, phase: member.PhaseDraining, state: member.Draining, stamp: mesh.Stamp{Incarnation: 2, Sequence: 2}},
		{name: "leaves and returns", steps: []func(*member.LocalUpstream){announce(false), leave, leave, announce(false)}, phase: member.PhaseReady, state: member.Ready, stamp: mesh.Stamp{Incarnation: 2, Sequence: 3}},
		{name: "another service replaces a draining one", steps: []func(*member.LocalUpstream){announce(false), drain, replaced}, phase: member.PhaseReady, state: member.Ready, stamp: mesh.Stamp{Incarnation: 2, Sequence: 3}},
		{name: "refutes a lost record", steps: []func(*member.LocalUpstream){announce(false), func(l *member.LocalUpstream) {
			r, _ := l.Record()
			r.State = member.Lost
			l.Refute(r)
		}}, phase: member.PhaseReady, state: member.Ready, stamp: mesh.Stamp{Incarnation: 2, Sequence: 2}},
		{name: "refutes a live record of an earlier incarnation", steps: []func(*member.LocalUpstream){refute(record("h1", 7, member.Ready))}, phase: member.PhaseAbsent, state: member.Left, stamp: mesh.Stamp{Incarnation: 2, Sequence: 1}},
		{name: "adopts a higher incarnation", steps: []func(*member.LocalUpstream){announce(false), refute(restarted)}, phase: member.PhaseReady, state: member.Ready, stamp: mesh.Stamp{Incarnation: 3, Sequence: 9}},
		{name: "ignores the record of another host", steps: []func(*member.LocalUpstream){refute(record("h2", 7, member.Ready))}, phase: member.PhaseAbsent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := member.LocalUpstream{Host: "h1", Place: place, Node: node, Incarnation: 2}
			for _, s := range tt.steps {
				s(&l)
			}
			r, _ := l.Record()
			assert.Equal(t, l.Phase(), tt.phase)
			assert.Equal(t, r.State, tt.state)
			assert.Equal(t, r.Stamp, tt.stamp)
		})
	}
}
