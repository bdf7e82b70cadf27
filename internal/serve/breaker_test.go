package serve

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
)

// TestBreakerRejectsMostCallsToFailingUpstream makes many calls one after the
// other. Together they take much less time than the interval between two probes
// of an open breaker.
func TestBreakerRejectsMostCallsToFailingUpstream(t *testing.T) {
	const calls, most = 200, 60
	respond := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
	}
	tests := []struct {
		name  string
		run   http.HandlerFunc
		fails bool
	}{
		{name: "error responses", run: respond(http.StatusInternalServerError), fails: true},
		{name: "connections closed", run: abortHandler, fails: true},
		{name: "healthy", run: respond(http.StatusOK)},
		{name: "not found", run: respond(http.StatusNotFound)},
		{name: "gateway timeouts", run: respond(http.StatusGatewayTimeout)},
		{name: "not run", run: notRunHandler},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var ran, rejected atomic.Int32
			h := newHandler(t, func(w http.ResponseWriter, r *http.Request) {
				ran.Add(1)
				tt.run(w, r)
			})
			for range calls {
				_, _, err := do(t.Context(), h, callHead(""), "")
				var callErr *peer.CallError
				if errors.As(err, &callErr) && callErr.Reason == ReasonFailing {
					assert.Equal(t, callErr.Outcome, peer.NotRun)
					rejected.Add(1)
				}
			}
			assert.Equal(t, ran.Load()+rejected.Load(), int32(calls))
			assert.Equal(t, ran.Load() <= most, tt.fails, "%d ran", ran.Load())
		})
	}
}
