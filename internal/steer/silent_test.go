package steer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// TestSilentUpstreamsCostOneAttempt guards against a request that loses several attempts at
// upstreams that do not answer, and against one that is given up when it has none left.
func TestSilentUpstreamsCostOneAttempt(t *testing.T) {
	ok := callResult{status: 200, body: "fine"}
	silent := unknown(serve.ReasonSilent)
	tests := []struct {
		name     string
		off      bool
		kind     plan.Kind
		attempts int
		results  []callResult
		status   int
		// mayGiveUp says for each call whether the upstream's host may give it up.
		mayGiveUp []bool
	}{
		{name: "answered", attempts: 3, results: []callResult{ok}, status: 200, mayGiveUp: []bool{true}},
		{name: "silent once", attempts: 3, results: []callResult{silent, ok}, status: 200, mayGiveUp: []bool{true, false}},
		{name: "given up twice", attempts: 3, results: []callResult{silent, silent, ok}, status: 502, mayGiveUp: []bool{true, false}},
		{name: "lost after silence", attempts: 3, results: []callResult{silent, unknown(peer.ReasonSessionLost), ok}, status: 200, mayGiveUp: []bool{true, false, false}},
		{name: "one attempt", attempts: 1, results: []callResult{ok}, status: 200, mayGiveUp: []bool{false}},
		{name: "last attempt", attempts: 2, results: []callResult{unknown(peer.ReasonSessionLost), ok}, status: 200, mayGiveUp: []bool{true, false}},
		{name: "at most once", kind: plan.AtMostOnce, attempts: 3, results: []callResult{ok}, status: 200, mayGiveUp: []bool{false}},
		{name: "not enabled", off: true, attempts: 1, results: []callResult{ok}, status: 200, mayGiveUp: []bool{true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedCaller{results: tt.results}
			router, _ := newRouter(t, tt.kind, tt.attempts, s)
			router.GiveUpSilent = !tt.off
			response := router.Handle(t.Context(), newRequest("/o/x", nil))
			assert.Equal(t, response.Status, tt.status)
			var mayGiveUp []bool
			for _, c := range s.calls {
				mayGiveUp = append(mayGiveUp, c.GetIdempotent())
			}
			assert.DeepEqual(t, mayGiveUp, tt.mayGiveUp)
		})
	}
}
