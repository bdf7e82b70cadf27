package steer_test

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/steer"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/nested"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

func getRequest(path, key string) *front.Request {
	headers := http.Header{}
	if key != "" {
		headers.Set("Key", key)
	}
	return &front.Request{Method: "GET", Host: "a.example", Path: path, Target: path, Arrived: time.Now(), HeaderValue: headers.Get, HeaderValues: headers.Values}
}

// TestNestedCallsGetThePriorityOfTheirRequest guards against nested calls of urgent
// requests that compete with the least urgent ones, and against requests of callers that
// are taken for nested calls.
func TestNestedCallsGetThePriorityOfTheirRequest(t *testing.T) {
	tests := []struct {
		name string
		path string
		key  string
		// running are the priorities of the requests that the upstream runs.
		running []mesh.Priority
		report  bool
		// then is what another called node reports after that.
		then         callResult
		noAccounts   bool
		wantPriority mesh.Priority
		wantNested   bool
	}{
		{name: "nested", path: "/open/1", running: []mesh.Priority{mesh.Low, mesh.Urgent}, report: true, wantPriority: mesh.Urgent, wantNested: true},
		{name: "nothing runs", path: "/open/1", report: true, wantPriority: mesh.Normal},
		{name: "callers use the route, too", path: "/open/1", running: []mesh.Priority{mesh.Urgent}, wantPriority: mesh.Normal},
		{name: "callers are found later", path: "/open/1", running: []mesh.Priority{mesh.Urgent}, report: true, then: callResult{callersKnown: true}, wantPriority: mesh.Normal},
		{name: "a restarted node knows nothing", path: "/open/1", running: []mesh.Priority{mesh.Low, mesh.Urgent}, report: true, wantPriority: mesh.Urgent, wantNested: true},
		{name: "with a key", path: "/open/1", key: "key-b", running: []mesh.Priority{mesh.Urgent}, report: true, wantPriority: mesh.Normal},
		{name: "no accounts", path: "/o/1", running: []mesh.Priority{mesh.Urgent}, report: true, noAccounts: true, wantPriority: mesh.High},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.then.status = http.StatusOK
			caller := &scriptedCaller{results: []callResult{{status: http.StatusOK, onlyUpstreams: tt.report}, tt.then}}
			r, _ := newRouter(t, plan.Idempotent, 1, caller)
			if source := r.Snapshots.(fixedSnapshot); !tt.noAccounts {
				source.snapshot.Plan = accountPlan(t)
				r.Snapshots = source
			}
			tracker := &nested.Tracker{}
			r.Nested = tracker
			for range 2 {
				assert.Equal(t, r.Handle(t.Context(), getRequest(tt.path, tt.key)).Status, http.StatusOK)
			}
			for _, p := range tt.running {
				tracker.Begin(p)
			}
			assert.Equal(t, r.Handle(t.Context(), getRequest(tt.path, tt.key)).Status, http.StatusOK)
			assert.Equal(t, mesh.Priority(caller.calls[2].GetPriority()), tt.wantPriority)
			assert.Equal(t, caller.calls[2].GetNested(), tt.wantNested)
			assert.Assert(t, !caller.calls[0].GetNested())
		})
	}
}

// TestNestedCallsStayNear guards against nested calls that hold a slot of their caller
// while they cross regions, although a near upstream has capacity, or although too little
// time is left.
func TestNestedCallsStayNear(t *testing.T) {
	tests := []struct {
		name   string
		nested bool
		// refusedAfter is when the near host refuses the request.
		refusedAfter time.Duration
		wantCalls    int
	}{
		{name: "nested, enough time", nested: true, refusedAfter: 100 * time.Millisecond, wantCalls: 2},
		{name: "nested, too little time", nested: true, refusedAfter: 850 * time.Millisecond, wantCalls: 1},
		{name: "request of a caller", refusedAfter: 850 * time.Millisecond, wantCalls: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				busy := notRun(serve.ReasonUnreachable)
				busy.delay = tt.refusedAfter
				caller := &scriptedCaller{results: []callResult{{status: http.StatusOK, onlyUpstreams: true}, busy, {status: http.StatusOK}}}
				r, recorded := newRouter(t, plan.Idempotent, 2, caller)
				r.Place = mesh.Place{Region: "r1", Zone: "z1"}
				node := netip.MustParseAddrPort("10.0.0.1:1")
				r.Snapshots = fixedSnapshot{ready: r.Snapshots.(fixedSnapshot).ready, snapshot: cells.ProxySnapshot{Plan: accountPlan(t), NodeCount: 1, CandidateSets: map[mesh.Service]*pick.CandidateSet{
					"orders": pick.NewCandidateSet(mesh.ServiceID{Service: "orders"}, []pick.Candidate{
						{Host: "near", Node: node, Slots: 9, Place: mesh.Place{Region: "r1", Zone: "z1"}},
						{Host: "far", Node: node, Slots: 9, Place: mesh.Place{Region: "r2", Zone: "z3"}},
					}),
				}}}
				tracker := &nested.Tracker{}
				r.Nested = tracker
				r.Handle(t.Context(), getRequest("/open/1", ""))
				if tt.nested {
					tracker.Begin(mesh.Urgent)
				}
				r.Handle(t.Context(), getRequest("/open/1", ""))
				hosts := make([]mesh.HostID, 0, 2)
				for _, a := range recorded.last.Attempts {
					hosts = append(hosts, a.Host)
				}
				assert.DeepEqual(t, hosts, []mesh.HostID{"near", "far"}[:tt.wantCalls])
			})
		})
	}
}

var _ steer.NestedCalls = (*nested.Tracker)(nil)
