package shift_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// TestEndOfOrderReplacesLaterStatuses guards against an order that runs again because a host
// that did not know of its end wrote a status with a higher term, and against the end of one
// order that ends another one.
func TestEndOfOrderReplacesLaterStatuses(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	order := shift.Order{Service: service, Target: "v2", Duration: 12 * time.Second}
	end := shift.Status{Phase: shift.Completed, Target: "v2", Holder: "root0", Term: 20, Since: 10, Share: 1, Excluded: []mesh.Release{"v1"}}
	tests := []struct {
		name   string
		stored shift.Status
		want   shift.Phase
	}{
		{name: "older status", stored: shift.Status{Phase: shift.Running, Target: "v2", Holder: "root1", Term: 15, Since: 10}, want: shift.Completed},
		{name: "status written without knowledge of the end", stored: shift.Status{Phase: shift.Running, Target: "v2", Holder: "root1", Term: 30, Since: 10}, want: shift.Completed},
		{name: "another end, later", stored: shift.Status{Phase: shift.RolledBack, Target: "v2", Holder: "root1", Term: 30, Since: 10}, want: shift.RolledBack},
		{name: "later order of the same release", stored: shift.Status{Phase: shift.Running, Target: "v2", Holder: "root1", Term: 30, Since: 29}, want: shift.Running},
	}
	for _, tt := range tests {
		t.Run("recalled, "+tt.name, func(t *testing.T) {
			d := shift.Director{Host: "root2"}
			d.Learn(now, shift.Object{Order: order, Status: tt.stored, Revision: 50})
			d.Recall(now, end)
			checkEnd(t, &d, now, tt.stored, tt.want)
		})
		t.Run("known, "+tt.name, func(t *testing.T) {
			d := shift.Director{Host: "root2"}
			d.Learn(now, shift.Object{Order: order, Status: end, Revision: 50})
			d.Forget()
			d.Learn(now, shift.Object{Order: order, Status: tt.stored, Revision: 40})
			checkEnd(t, &d, now, tt.stored, tt.want)
		})
		t.Run("agent, "+tt.name, func(t *testing.T) {
			views := []shift.View{{Service: service, Status: end}, {Service: service, Status: tt.stored}}
			for _, order := range [][]int{{0, 1}, {1, 0}} {
				var agent shift.Agent
				for _, i := range order {
					agent.Learn(now, views[i])
				}
				view, _ := agent.View(service)
				assert.Equal(t, view.Status.Phase, tt.want, "order %v", order)
			}
		})
	}
}

// checkEnd checks the phase in force at a root, and that an end is written although another
// host holds the lease.
func checkEnd(t *testing.T, d *shift.Director, now time.Time, stored shift.Status, want shift.Phase) {
	t.Helper()
	view := d.View()
	assert.Equal(t, view.Status.Phase, want)
	assert.Assert(t, view.Status.Term >= stored.Term)
	next, write := d.Next(now, shift.Upstreams{})
	assert.Equal(t, write, want == shift.Completed)
	if write {
		assert.Equal(t, next.Phase, want)
		assert.Assert(t, next.Term > stored.Term)
	}
}

// TestOrderWrittenAnewIsTried guards against the end of a former order that ends the next one
// of the same release, if no host knows any more that the former one was deleted.
func TestOrderWrittenAnewIsTried(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	order := shift.Object{Order: shift.Order{Service: service, Target: "v2", Duration: 12 * time.Second}, Revision: 50}
	var first, second shift.Director
	first.Learn(now, order)
	running, write := first.Next(now, shift.Upstreams{})
	assert.Assert(t, write)
	end := running
	end.Phase = shift.RolledBack
	now = now.Add(time.Minute)
	second.Learn(now, order)
	again, write := second.Next(now, shift.Upstreams{})
	assert.Assert(t, write)
	order.Status, order.Revision = again, 51
	second.Learn(now, order)
	second.Recall(now, end)
	assert.Equal(t, second.View().Status.Phase, shift.Running)
}
