package wire

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// TestShiftMessagesRoundTrip guards against fields that are lost between two proxies.
func TestShiftMessagesRoundTrip(t *testing.T) {
	tests := []struct {
		name    string
		message ctlmsg.Message
	}{
		{name: "state", message: ctlmsg.ShiftState{Age: 3 * time.Millisecond, Views: []shift.View{{Service: "orders", Halted: true, Status: shift.Status{
			Phase: shift.Running, Target: "v2", Term: 7, Since: 5, Share: 0.07, RouteShares: map[string]float64{"a": 0.5, "b": 0.01},
			Canaries: []string{"i-1"}, Excluded: []mesh.Release{"", "v0"},
		}}}}},
		{name: "counts", message: ctlmsg.ShiftCounts{Counts: map[mesh.Service]shift.Counts{"orders": {
			{Release: "v2", Route: "a"}: {Responses: 9, Failures: 2, Timed: 8, LogSum: 33.5, LogSquares: 150, Late: 1, Started: 14, Ended: 12, Refused: 3},
			{Release: "", Route: "a"}:   {Responses: 1},
		}}}},
		{name: "roster", message: ctlmsg.Roster{Revision: 4, HasRollouts: true, Entries: []ctlmsg.RosterEntry{}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			data, err := proto.Marshal(EncodeControl(tt.message))
			assert.NilError(t, err)
			var control Control
			assert.NilError(t, proto.Unmarshal(data, &control))
			got, err := DecodeControl(&control)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, tt.message)
		})
	}
}

// TestInvalidShiftMessagesAreRejected guards against shares and counts that no proxy sends
// and that would distort a decision.
func TestInvalidShiftMessagesAreRejected(t *testing.T) {
	view := func(v *ShiftView) *Control {
		return &Control{Body: &Control_Shift{Shift: &Shift{Views: []*ShiftView{v}}}}
	}
	count := func(c *ShiftCount) *Control {
		return &Control{Body: &Control_ShiftCounts{ShiftCounts: &ShiftCounts{Counts: []*ShiftCount{c}}}}
	}
	tests := []struct {
		name    string
		control *Control
	}{
		{name: "no service", control: view(&ShiftView{Target: "v2"})},
		{name: "unknown phase", control: view(&ShiftView{Service: "s", Phase: 4})},
		{name: "share above 1", control: view(&ShiftView{Service: "s", Share: 1.01})},
		{name: "share that is no number", control: view(&ShiftView{Service: "s", Share: math.NaN()})},
		{name: "route share below 0", control: view(&ShiftView{Service: "s", Shares: []*ShiftShare{{Route: "a", Share: -0.1}}})},
		{name: "more failures than responses", control: count(&ShiftCount{Service: "s", Responses: 1, Failures: 2})},
		{name: "more refused than ended", control: count(&ShiftCount{Service: "s", Ended: 1, Refused: 2})},
		{name: "sum that is no number", control: count(&ShiftCount{Service: "s", Responses: 1, LogSum: math.NaN()})},
		{name: "infinite sum", control: count(&ShiftCount{Service: "s", Responses: 1, LogSquares: math.Inf(1)})},
		{name: "count beyond any traffic", control: count(&ShiftCount{Service: "s", Responses: math.MaxUint64})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := DecodeControl(tt.control)
			assert.ErrorContains(t, err, "control message")
		})
	}
}
