package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	first  = start.Add(-time.Hour)
	second = start.Add(-time.Minute)
)

func newReport(instance string, born time.Time, sequence uint64, state member.State) fleet.Report {
	return fleet.Report{Upstream: fleet.Upstream{
		Instance: instance, StartedAt: born, Sequence: sequence, State: state, Service: "orders", Slots: 9,
	}}
}

func newDeregistration(instance string) fleet.Report {
	return fleet.Report{Upstream: fleet.Upstream{Instance: instance}, Deregister: true}
}

func TestReportsAreOrderedByInstanceAndSequence(t *testing.T) {
	ready, draining := member.Ready, member.Draining
	tests := []struct {
		name     string
		restored fleet.Upstream
		reports  []fleet.Report
		results  []fleet.ReportResult
		instance string
		state    member.State
	}{
		{
			name:    "first report",
			reports: []fleet.Report{newReport("i", first, 1, ready)}, results: []fleet.ReportResult{fleet.Changed}, instance: "i", state: ready,
		},
		{
			name:    "renewal",
			reports: []fleet.Report{newReport("i", first, 1, ready), newReport("i", first, 2, ready)},
			results: []fleet.ReportResult{fleet.Changed, fleet.Renewed}, instance: "i", state: ready,
		},
		{
			name:    "delayed report after draining",
			reports: []fleet.Report{newReport("i", first, 5, draining), newReport("i", first, 4, ready)},
			results: []fleet.ReportResult{fleet.Changed, fleet.Stale}, instance: "i", state: draining,
		},
		{
			name:    "draining is final",
			reports: []fleet.Report{newReport("i", first, 5, draining), newReport("i", first, 6, ready)},
			results: []fleet.ReportResult{fleet.Changed, fleet.Renewed}, instance: "i", state: draining,
		},
		{
			name:    "report after deregistration",
			reports: []fleet.Report{newReport("i", first, 1, ready), newDeregistration("i"), newReport("i", first, 9, ready)},
			results: []fleet.ReportResult{fleet.Changed, fleet.Changed, fleet.Stale}, instance: "i", state: member.Left,
		},
		{
			name:    "later instance with another name",
			reports: []fleet.Report{newReport("i", first, 9, ready), newReport("k", second, 1, ready), newReport("i", first, 10, ready)},
			results: []fleet.ReportResult{fleet.Changed, fleet.Changed, fleet.Stale}, instance: "k", state: ready,
		},
		{
			name:    "later instance with the same name restarts the sequence",
			reports: []fleet.Report{newReport("i", first, 9, draining), newReport("i", second, 1, ready), newReport("i", first, 10, draining)},
			results: []fleet.ReportResult{fleet.Changed, fleet.Changed, fleet.Stale}, instance: "i", state: ready,
		},
		{
			name:    "deregistration of another instance",
			reports: []fleet.Report{newReport("k", second, 1, ready), newDeregistration("i")},
			results: []fleet.ReportResult{fleet.Changed, fleet.Stale}, instance: "k", state: ready,
		},
		{
			name:     "delayed report after deregistration was restored",
			restored: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 7, State: member.Left, Service: "orders"},
			reports:  []fleet.Report{newReport("i", first, 6, ready)}, results: []fleet.ReportResult{fleet.Stale}, instance: "i", state: member.Left,
		},
		{
			name:     "newer report after a ready upstream was restored",
			restored: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 7, State: ready, Service: "orders", Slots: 9},
			reports:  []fleet.Report{newReport("i", first, 8, ready)}, results: []fleet.ReportResult{fleet.Changed}, instance: "i", state: ready,
		},
		{
			name:     "restored upstream accepts no requests before a report",
			restored: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 7, State: ready, Service: "orders"}, instance: "i", state: member.Lost,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tracker fleet.UpstreamTracker
			tracker.Restore(tt.restored)
			for i, r := range tt.reports {
				assert.Equal(t, tracker.HandleReport(start.Add(time.Duration(i)*time.Second), r), tt.results[i], "report %d", i)
			}
			assert.Equal(t, tracker.Upstream().Instance, tt.instance)
			assert.Equal(t, tracker.Upstream().State, tt.state)
		})
	}
}

func TestRestoredUpstreamOverridesOnlyOlderReports(t *testing.T) {
	tests := []struct {
		name     string
		report   fleet.Report
		restored fleet.Upstream
		want     member.State
	}{
		{
			name: "report newer than the record", report: newReport("i", first, 9, member.Ready),
			restored: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 8, State: member.Ready}, want: member.Ready,
		},
		{
			name: "delayed report, recorded as draining", report: newReport("i", first, 3, member.Ready),
			restored: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 8, State: member.Draining}, want: member.Draining,
		},
		{
			name: "report of a later instance", report: newReport("k", second, 1, member.Ready),
			restored: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 8, State: member.Left}, want: member.Ready,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tracker fleet.UpstreamTracker
			tracker.HandleReport(start, tt.report)
			tracker.Restore(tt.restored)
			assert.Equal(t, tracker.Upstream().State, tt.want)
		})
	}
}

func TestRestoredUpstreamIsConfirmedOnlyByItsInstance(t *testing.T) {
	restored := fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 8, State: member.Ready}
	tests := []struct {
		name     string
		restored fleet.Upstream
		// report is received before the check; nil for none.
		report   *fleet.Report
		instance string
		want     member.State
		// unconfirmed is true when the upstream still needs confirmation.
		unconfirmed bool
	}{
		{name: "the instance responds", restored: restored, instance: "i", want: member.Ready},
		{name: "another instance responds", restored: restored, instance: "k", want: member.Lost, unconfirmed: true},
		{name: "no instance responds", restored: restored, want: member.Lost, unconfirmed: true},
		{name: "draining was reported before", restored: restored, report: new(newReport("i", first, 9, member.Draining)), instance: "i", want: member.Draining},
		{name: "deregistered before", restored: restored, report: &fleet.Report{Upstream: fleet.Upstream{Instance: "i", StartedAt: first}, Deregister: true}, instance: "i", want: member.Left},
		{name: "recorded as draining", restored: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 8, State: member.Draining}, instance: "i", want: member.Draining},
		{name: "no record", instance: "", want: member.Warming},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tracker fleet.UpstreamTracker
			tracker.Restore(tt.restored)
			if tt.report != nil {
				tracker.HandleReport(start, *tt.report)
			}
			tracker.Confirm(start, tt.instance)
			_, unconfirmed := tracker.Unconfirmed()
			assert.Equal(t, tracker.Upstream().State, tt.want)
			assert.Equal(t, unconfirmed, tt.unconfirmed)
			if tt.want == member.Ready {
				assert.Assert(t, tracker.Expire(start.Add(3*time.Second), 3*time.Second), "lost without further reports")
			}
		})
	}
}

func TestSilentUpstreamIsLostUntilNextReport(t *testing.T) {
	var tracker fleet.UpstreamTracker
	tracker.HandleReport(start, newReport("i", first, 1, member.Ready))
	assert.Assert(t, !tracker.Expire(start.Add(2*time.Second), 3*time.Second))
	assert.Assert(t, tracker.Expire(start.Add(3*time.Second), 3*time.Second))
	assert.Equal(t, tracker.Upstream().State, member.Lost)
	assert.Equal(t, tracker.HandleReport(start.Add(4*time.Second), newReport("i", first, 2, member.Ready)), fleet.Changed)
	assert.Assert(t, tracker.MarkUnreachable())
	assert.Equal(t, tracker.Upstream().State, member.Lost)
	assert.Assert(t, tracker.ExpiresAt(time.Second).IsZero())
}

// newNodes returns the given numbers of nodes near the platform and far from it.
func newNodes(near, far int) (list []fleet.Node) {
	for i := range near + far {
		rtt := 2 * time.Millisecond
		if i >= near {
			rtt = 60 * time.Millisecond
		}
		list = append(list, fleet.Node{Host: mesh.HostID(fmt.Sprintf("n%02d", i)), PlatformRTT: rtt})
	}
	return list
}

// withFastLinks gives the nodes at the indices a link twenty times as fast as that
// of the others.
func withFastLinks(list []fleet.Node, indices ...int) []fleet.Node {
	for i := range list {
		list[i].LinkRate = 1_000_000
	}
	for _, i := range indices {
		list[i].LinkRate = 20_000_000
	}
	return list
}

func TestReadersAreSelectedNearThePlatform(t *testing.T) {
	none := func(mesh.HostID) bool { return false }
	tests := []struct {
		name        string
		nodes       []fleet.Node
		unreachable func(mesh.HostID) bool
		want        int
		near        bool
		// hosts are the possible readers; nil means any.
		hosts []mesh.HostID
	}{
		{name: "near nodes first", nodes: newNodes(4, 8), unreachable: none, want: 2, near: true},
		{name: "only far nodes", nodes: newNodes(0, 8), unreachable: none, want: 2},
		{name: "near nodes unreachable", nodes: newNodes(2, 8), unreachable: func(h mesh.HostID) bool { return h < "n02" }, want: 2},
		{name: "fewer nodes than requested", nodes: newNodes(1, 0), unreachable: none, want: 1, near: true},
		{name: "no nodes", unreachable: none},
		{name: "near nodes with a fast link first", nodes: withFastLinks(newNodes(6, 2), 3, 5), unreachable: none, want: 2, near: true, hosts: []mesh.HostID{"n03", "n05"}},
		{name: "second reader has a slow link if only one link is fast", nodes: withFastLinks(newNodes(2, 2), 1), unreachable: none, want: 2, near: true},
		{name: "fast link of a far node does not count", nodes: withFastLinks(newNodes(2, 2), 3), unreachable: none, want: 2, near: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			readers := fleet.SelectReaders(tt.nodes, 2, tt.unreachable)
			assert.Equal(t, len(readers), tt.want)
			for _, r := range readers {
				assert.Equal(t, r.PlatformRTT < 10*time.Millisecond, tt.near)
				assert.Assert(t, tt.hosts == nil || slices.Contains(tt.hosts, r.Host), "%s", r.Host)
			}
		})
	}
	all := newNodes(6, 0)
	before := fleet.SelectReaders(all, 2, none)
	without := fleet.SelectReaders(all, 2, func(h mesh.HostID) bool { return h == before[0].Host })
	assert.Equal(t, without[0].Host, before[1].Host, "the other reader stays selected")
}
