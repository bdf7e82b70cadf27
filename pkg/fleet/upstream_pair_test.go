package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// TestUpstreamsOfTwoReleasesAreTracked guards against an upstream that ends another one of
// the host, although that goes on serving.
func TestUpstreamsOfTwoReleasesAreTracked(t *testing.T) {
	report := func(instance string, release mesh.Release, born time.Time, sequence uint64, state member.State) fleet.Report {
		r := newReport(instance, born, sequence, state)
		r.Release = release
		return r
	}
	ready, third := member.Ready, second.Add(time.Second)
	tests := []struct {
		name string
		// recorded and beside are the upstreams of an earlier process.
		recorded, beside fleet.Upstream
		// early are received before the record is restored, and reports after it.
		early, reports []fleet.Report
		want           [2]string
		states         [2]member.State
	}{
		{name: "same release replaces", reports: []fleet.Report{report("a", "v1", first, 1, ready), report("b", "v1", second, 1, ready)}, want: [2]string{"b", ""}, states: [2]member.State{ready, member.Warming}},
		{name: "other release stands beside", reports: []fleet.Report{report("a", "v1", first, 1, ready), report("b", "v2", second, 1, ready), report("a", "v1", first, 2, ready)}, want: [2]string{"a", "b"}, states: [2]member.State{ready, ready}},
		{name: "other release after the end of the first", reports: []fleet.Report{report("a", "v1", first, 1, ready), newDeregistration("a"), report("b", "v2", second, 1, ready)}, want: [2]string{"b", ""}, states: [2]member.State{ready, member.Warming}},
		{name: "end of the second", reports: []fleet.Report{report("a", "v1", first, 1, ready), report("b", "v2", second, 1, ready), newDeregistration("b")}, want: [2]string{"a", "b"}, states: [2]member.State{ready, member.Left}},
		{name: "third release replaces the oldest", reports: []fleet.Report{report("a", "v1", first, 1, ready), report("b", "v2", second, 1, ready), report("c", "v3", third, 1, ready)}, want: [2]string{"c", "b"}, states: [2]member.State{ready, ready}},
		{name: "third release after the end of the first", reports: []fleet.Report{report("a", "v1", first, 1, ready), report("b", "v2", second, 1, ready), newDeregistration("a"), report("c", "v3", third, 1, ready)}, want: [2]string{"c", "b"}, states: [2]member.State{ready, ready}},
		{
			name: "second reports before the record is read", recorded: report("a", "v1", first, 5, ready).Upstream, beside: report("b", "v2", second, 5, ready).Upstream,
			early: []fleet.Report{report("b", "v2", second, 6, ready)}, want: [2]string{"b", "a"}, states: [2]member.State{ready, member.Lost},
		},
		{
			name: "both report after a restart", recorded: report("a", "v1", first, 5, ready).Upstream, beside: report("b", "v2", second, 5, ready).Upstream,
			reports: []fleet.Report{report("b", "v2", second, 6, ready), report("a", "v1", first, 6, ready)}, want: [2]string{"a", "b"}, states: [2]member.State{ready, ready},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var pair fleet.UpstreamPair
			for _, r := range tt.early {
				pair.Trackers[pair.Place(r)].HandleReport(start, r)
			}
			pair.Restore(tt.recorded, tt.beside)
			for _, r := range tt.reports {
				pair.Trackers[pair.Place(r)].HandleReport(start, r)
			}
			for i := range pair.Trackers {
				assert.Equal(t, pair.Trackers[i].Upstream().Instance, tt.want[i])
				assert.Equal(t, pair.Trackers[i].Upstream().State, tt.states[i])
			}
		})
	}
}
