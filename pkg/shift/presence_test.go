package shift_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// TestReleasesAreAbsentAfterAWhile guards against an old release that counts as absent while
// it runs, or as present for good after it ended.
func TestReleasesAreAbsentAfterAWhile(t *testing.T) {
	type observation struct {
		after   time.Duration
		present []mesh.Release
	}
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	tests := []struct {
		name         string
		phase        shift.Phase
		observations []observation
		missing      bool
		// absentAfter is when the others count as absent, from the start.
		absentAfter time.Duration
	}{
		{name: "nothing observed"},
		{name: "old one present", observations: []observation{{0, []mesh.Release{"v1", "v2"}}}},
		{name: "old one gone", observations: []observation{{0, []mesh.Release{"v1", "v2"}}, {time.Minute, []mesh.Release{"v2"}}}, missing: true, absentAfter: time.Minute + shift.AbsenceTime},
		{name: "old one never seen", observations: []observation{{0, []mesh.Release{"v2"}}, {time.Minute, []mesh.Release{"v2"}}}, missing: true, absentAfter: shift.AbsenceTime},
		{name: "old one back", observations: []observation{{0, []mesh.Release{"v1"}}, {time.Second, nil}, {9 * time.Second, []mesh.Release{"v1"}}}},
		{name: "old one gone twice", observations: []observation{{0, []mesh.Release{"v1"}}, {time.Second, nil}, {9 * time.Second, []mesh.Release{"v1"}}, {10 * time.Second, nil}}, missing: true, absentAfter: 10*time.Second + shift.AbsenceTime},
		{name: "barred one present", observations: []observation{{0, []mesh.Release{"v0"}}}, missing: true, absentAfter: shift.AbsenceTime},
		{name: "completed target present", phase: shift.Completed, observations: []observation{{0, []mesh.Release{"v2"}}}},
		{name: "rolled back target present", phase: shift.RolledBack, observations: []observation{{0, []mesh.Release{"v2"}}}, missing: true, absentAfter: shift.AbsenceTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var presence shift.Presence
			for _, o := range tt.observations {
				presence.Observe(start.Add(o.after), o.present)
			}
			view := shift.View{Service: service, Status: shift.Status{Phase: tt.phase, Target: "v2", Excluded: []mesh.Release{"v0"}}}
			at, missing := presence.AbsentAt(&view)
			assert.Equal(t, missing, tt.missing)
			if missing {
				assert.Equal(t, at.Sub(start), tt.absentAfter)
			}
		})
	}
}

// TestOrderIsRolledBackOnlyToRunningUpstreams guards against a rollback at the time limit
// that leaves the service without upstreams.
func TestOrderIsRolledBackOnlyToRunningUpstreams(t *testing.T) {
	key := shift.Key{Release: "v2", Route: "r"}
	failures := shift.Counts{key: {Responses: 20, Failures: 20, Started: 20, Ended: 20}}
	responses := shift.Counts{key: {Responses: 30, Started: 30, Ended: 30}}
	tests := []struct {
		name   string
		others shift.Upstreams
		counts shift.Counts
		want   shift.Phase
	}{
		{name: "others run", others: shift.Upstreams{Count: 4, Slots: 40}, want: shift.RolledBack},
		{name: "some run", others: shift.Upstreams{Count: 4, Slots: 40, Outdated: 3}, want: shift.RolledBack},
		{name: "others known from before the restoration only", others: shift.Upstreams{Count: 4, Slots: 40, Outdated: 4}, want: shift.Running},
		{name: "no others", want: shift.Running},
		{name: "no others, target proven", counts: responses, want: shift.Completed},
		{name: "no others, target bad", counts: failures, want: shift.RolledBack},
		{name: "others known from before, target bad", others: shift.Upstreams{Count: 4, Slots: 40, Outdated: 4}, counts: failures, want: shift.RolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			d := shift.Director{Host: "root0"}
			status := shift.Status{Phase: shift.Running, Target: "v2", Holder: "root0", Term: 9, Since: 3, Elapsed: 9 * time.Second, Share: 0.07, Canaries: []string{"new0"}}
			d.Learn(now, shift.Object{Order: shift.Order{Service: service, Target: "v2", Duration: 12 * time.Second}, Status: status, Revision: 10})
			d.Observe(now.Add(time.Second), tt.counts)
			now = now.Add(3 * time.Second)
			upstreams := tt.others
			upstreams.Targets = []shift.Instance{{ID: "new0", Slots: 40, SeenAt: now.Add(-time.Minute)}}
			next, write := d.Next(now, upstreams)
			assert.Assert(t, write)
			assert.Equal(t, next.Phase, tt.want, "%+v", next)
		})
	}
}

// TestPromotionKeepsWarmInstances guards against a step of the promotion that sends requests to
// all instances, cold ones too, because none is known to be warm after a restart.
func TestPromotionKeepsWarmInstances(t *testing.T) {
	tests := []struct {
		name string
		// age is how long the instances have been known.
		age  time.Duration
		want []string
	}{
		{name: "known", age: time.Minute, want: []string{"new0", "new1"}},
		{name: "known since the restart", want: []string{"new0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			d := shift.Director{Host: "root0"}
			status := shift.Status{Phase: shift.Running, Target: "v2", Holder: "root0", Term: 9, Since: 3, Elapsed: 9 * time.Second, Share: 0.3, Canaries: []string{"new0"}}
			d.Learn(now, shift.Object{Order: shift.Order{Service: service, Target: "v2", Duration: 12 * time.Second}, Status: status, Revision: 10})
			now = now.Add(time.Second)
			next, write := d.Next(now, shift.Upstreams{Count: 2, Slots: 20, Targets: []shift.Instance{
				{ID: "new0", Slots: 10, SeenAt: now.Add(-tt.age)}, {ID: "new1", Slots: 10, SeenAt: now.Add(-tt.age)},
			}})
			assert.Assert(t, write)
			assert.Equal(t, next.Share, 1.0)
			assert.DeepEqual(t, next.Canaries, tt.want)
		})
	}
}
