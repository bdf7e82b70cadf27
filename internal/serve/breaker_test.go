package serve

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
)

// TestUpstreamThatFailsNearlyAllGetsHardlyAnyWork makes many calls in a row,
// which take far less time than a failing upstream waits for its next one.
func TestUpstreamThatFailsNearlyAllGetsHardlyAnyWork(t *testing.T) {
	const calls, most = 200, 60
	answer := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
	}
	tests := []struct {
		name  string
		run   http.HandlerFunc
		fails bool
	}{
		{name: "it answers with errors", run: answer(http.StatusInternalServerError), fails: true},
		{name: "it breaks connections", run: abort, fails: true},
		{name: "it is well", run: answer(http.StatusOK)},
		{name: "callers ask for what is not there", run: answer(http.StatusNotFound)},
		{name: "it runs out of time", run: answer(http.StatusGatewayTimeout)},
		{name: "it runs none", run: refuse},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var ran, refused atomic.Int32
			h := newHandler(t, func(w http.ResponseWriter, r *http.Request) {
				ran.Add(1)
				tt.run(w, r)
			})
			for range calls {
				_, _, err := do(t.Context(), h, callHead(""), "")
				var failed *peer.CallError
				if errors.As(err, &failed) && failed.Reason == ReasonFailing {
					assert.Equal(t, failed.Outcome, peer.NotRun)
					refused.Add(1)
				}
			}
			assert.Equal(t, ran.Load()+refused.Load(), int32(calls))
			assert.Equal(t, ran.Load() <= most, tt.fails, "%d ran", ran.Load())
		})
	}
}
