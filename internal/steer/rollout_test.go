package steer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// startTrial adds a trial of v2 on one host to the snapshot of a router.
func startTrial(snapshots fixedSnapshot, trial shift.Trial) fixedSnapshot {
	candidate := pick.Candidate{Host: "h1+v2", Node: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 9, Release: "v2"}
	snapshots.snapshot.Trials = map[mesh.Service]cells.ServiceTrial{"orders": {
		Trial: trial, Set: pick.NewCandidateSet(mesh.ServiceID{Customer: "trial", Service: "orders"}, []pick.Candidate{candidate}),
	}}
	snapshots.snapshot.CountOutcomes = map[mesh.Service]bool{"orders": true}
	return snapshots
}

// TestTrialGetsItsShare guards against requests to a new release beyond its share, after
// the trial ended, and as retries.
func TestTrialGetsItsShare(t *testing.T) {
	later := time.Now().Add(time.Hour)
	tests := []struct {
		name     string
		trial    shift.Trial
		low, top int
	}{
		{name: "tenth", trial: shift.Trial{Share: 0.1, Until: later}, low: 60, top: 140},
		{name: "share of the route", trial: shift.Trial{Share: 0.9, RouteShares: map[string]float64{"r": 0.1}, Until: later}, low: 60, top: 140},
		{name: "all", trial: shift.Trial{Share: 1, Until: later}, low: 1000, top: 1000},
		{name: "not confirmed any more", trial: shift.Trial{Share: 1, Until: time.Now()}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedCaller{results: []callResult{{status: 200, serviceTime: time.Millisecond}}}
			router, _ := newRouter(t, plan.Idempotent, 2, s)
			router.Snapshots = startTrial(router.Snapshots.(fixedSnapshot), tt.trial)
			for i := range 1000 {
				router.Handle(t.Context(), newRequest("/o/x", map[string]string{"id": fmt.Sprint(i)}))
			}
			tried := 0
			for _, c := range s.calls {
				if c.GetRelease() == "v2" {
					tried++
				}
			}
			assert.Assert(t, tt.low <= tried && tried <= tt.top, "%d", tried)
			counts := router.Outcomes.Take()["orders"]
			assert.Equal(t, counts[shift.Key{Release: "v2", Route: "r"}].Responses, uint64(tried))
			assert.Equal(t, counts[shift.Key{Release: "", Route: "r"}].Timed, uint64(1000-tried))
		})
	}
}

// TestOutcomesOfTrialsAreCounted guards against failures that are missed, and against ones
// that are counted although the release had no part in them.
func TestOutcomesOfTrialsAreCounted(t *testing.T) {
	ok := callResult{status: 200, serviceTime: time.Millisecond}
	refused := shift.Count{Started: 1, Ended: 1, Refused: 1}
	tests := []struct {
		name   string
		first  callResult
		want   shift.Count
		status int
	}{
		{name: "error response, retried at the old release", first: callResult{status: 500}, want: shift.Count{Responses: 1, Failures: 1, Started: 1, Ended: 1}, status: 200},
		{name: "no response of the upstream", first: unknown(serve.ReasonLost), want: shift.Count{Responses: 1, Failures: 1, Started: 1, Ended: 1}, status: 200},
		{name: "response cut off", first: unknown(peer.ReasonTruncated), want: shift.Count{Responses: 1, Failures: 1, Started: 1, Ended: 1}, status: 200},
		{name: "no response of the host", first: unknown(peer.ReasonSessionLost), want: refused, status: 200},
		{name: "refused by the upstream", first: notRun(serve.ReasonRefused), want: shift.Count{Responses: 1, Failures: 1, Started: 1, Ended: 1}, status: 200},
		{name: "full", first: notRun("gate-late"), want: refused, status: 200},
		{name: "host unreachable", first: notRun(peer.ReasonDialFailed), want: refused, status: 200},
		{name: "no response until the deadline", first: callResult{hangs: true}, want: shift.Count{Late: 1, Started: 1, Ended: 1}, status: 504},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedCaller{results: []callResult{tt.first, ok}}
			router, _ := newRouter(t, plan.Idempotent, 2, s)
			router.Snapshots = startTrial(router.Snapshots.(fixedSnapshot), shift.Trial{Share: 1, Until: time.Now().Add(time.Hour)})
			response := router.Handle(t.Context(), newRequest("/o/x", map[string]string{"id": "1"}))
			assert.Equal(t, response.Status, tt.status)
			assert.Equal(t, router.Outcomes.Take()["orders"][shift.Key{Release: "v2", Route: "r"}], tt.want)
		})
	}
}

// fullTrialCaller refuses calls for the release of a trial and answers all others.
type fullTrialCaller struct{ refused, answered int }

// Call implements steer.RemoteCaller.
func (f *fullTrialCaller) Call(_ context.Context, _ netip.AddrPort, call *peer.Call) (*peer.Reply, error) {
	if call.Head.GetRelease() == "v2" {
		f.refused++
		return nil, &peer.CallError{Outcome: peer.NotRun, Reason: "gate-late", LoadPercent: 300, FromRemote: true}
	}
	f.answered++
	return &peer.Reply{Head: &wire.ReplyHead{Status: http.StatusOK, ServiceMicros: 20_000}, Body: http.NoBody}, nil
}

// TestFullTrialLeavesRequestsToTheOthers guards against requests that are refused because
// the few upstreams of a trial are expected to refuse them.
func TestFullTrialLeavesRequestsToTheOthers(t *testing.T) {
	caller := &fullTrialCaller{}
	router, recorded := newRouter(t, plan.Idempotent, 2, &scriptedCaller{})
	router.Remote = caller
	router.Snapshots = startTrial(router.Snapshots.(fixedSnapshot), shift.Trial{Share: 1, Until: time.Now().Add(time.Hour)})
	const requests = 30
	for i := range requests {
		response := router.Handle(t.Context(), newRequest("/o/x", map[string]string{"id": fmt.Sprint(i)}))
		assert.Equal(t, response.Status, http.StatusOK, recorded.last.Reason)
	}
	assert.Equal(t, caller.answered, requests)
	assert.Assert(t, caller.refused > 0 && caller.refused < requests, "%d refused", caller.refused)
}
