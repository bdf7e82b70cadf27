package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// TestCalledNodeKeepsToThePriorityOfNestedCalls guards against a called node that changes
// the priority that the caller's node chose, and against the lift for routes that only
// upstreams call given to requests of accounts.
func TestCalledNodeKeepsToThePriorityOfNestedCalls(t *testing.T) {
	const within, patient = 100 * time.Millisecond, 800 * time.Millisecond
	tests := []struct {
		name        string
		head        *wire.CallHead
		calls       int
		want        mesh.Priority
		wantWithin  time.Duration
		wantOverdue bool
		wantOnly    bool
		wantCallers bool
	}{
		{name: "few calls", head: &wire.CallHead{Overdue: true}, calls: 5, want: mesh.Normal, wantWithin: within, wantOverdue: true},
		{name: "only upstreams call", head: &wire.CallHead{Overdue: true}, calls: 50, want: mesh.High, wantWithin: patient, wantOnly: true},
		{name: "nested", head: &wire.CallHead{Nested: true, Overdue: true}, calls: 1, want: mesh.Normal, wantWithin: patient},
		{name: "nested on a known route", head: &wire.CallHead{Nested: true}, calls: 50, want: mesh.Normal, wantWithin: patient, wantOnly: true},
		{name: "account", head: &wire.CallHead{Account: "anna", Overdue: true}, calls: 50, want: mesh.Normal, wantWithin: within, wantOverdue: true, wantCallers: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &Handler{ServiceShare: func() float64 { return 0.5 }}
			tt.head.Route, tt.head.CallerService, tt.head.Priority = "r", "desk", uint32(mesh.Normal)
			tt.head.StartWithinMicros, tt.head.PatientMicros = within.Microseconds(), patient.Microseconds()
			arrived := time.Now()
			state := &callState{upstream: &upstream{service: "prints"}, call: &peer.Call{Head: tt.head}, arrivedAt: arrived}
			for range tt.calls - 1 {
				h.gateRequest(t.Context(), state)
			}
			request := h.gateRequest(t.Context(), state)
			assert.Equal(t, request.Priority, tt.want)
			assert.Equal(t, request.StartBy, arrived.Add(tt.wantWithin))
			assert.Equal(t, request.Overdue, tt.wantOverdue)
			assert.Equal(t, string(request.Account), tt.head.GetAccount())
			assert.Equal(t, state.onlyUpstreams, tt.wantOnly)
			assert.Equal(t, state.callersKnown, tt.wantCallers)
		})
	}
}

// recordedRuns records the priorities of running calls.
type recordedRuns struct{ begun, ended []mesh.Priority }

func (r *recordedRuns) Begin(p mesh.Priority) (end func()) {
	r.begun = append(r.begun, p)
	return func() { r.ended = append(r.ended, p) }
}

// TestRunningCallsAreRecorded guards against a caller's node that does not know what its
// upstream runs, or holds ended calls for running.
func TestRunningCallsAreRecorded(t *testing.T) {
	h := newHandler(t, echoHandler)
	runs := &recordedRuns{}
	h.Runs = runs
	_, _, err := do(t.Context(), h, callHead(""), "")
	assert.NilError(t, err)
	assert.DeepEqual(t, runs.begun, []mesh.Priority{mesh.High})
	assert.Assert(t, len(runs.ended) > 0)
}
