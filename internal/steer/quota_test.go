package steer_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/steer"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

// fixedQuotas makes the same decision about all requests and counts the tokens.
type fixedQuotas struct {
	decision           tokens.Decision
	acquired, refunded int
}

// Acquire implements steer.Quotas.
func (q *fixedQuotas) Acquire(context.Context, *plan.Account, time.Duration) tokens.Decision {
	q.acquired++
	return q.decision
}

// Refund implements steer.Quotas.
func (q *fixedQuotas) Refund(mesh.Account) { q.refunded++ }

// TestRequestsNeedOneToken guards against requests that run without a token, need one for
// each attempt, or use up a token although no upstream received them.
func TestRequestsNeedOneToken(t *testing.T) {
	admitted := tokens.Decision{Verdict: tokens.Admitted}
	tests := []struct {
		name               string
		key                string
		decision           tokens.Decision
		results            []callResult
		wantStatus         int
		wantReason         string
		wantCalls          int
		acquired, refunded int
	}{
		{name: "admitted", key: "key-b", decision: admitted, results: []callResult{{status: 200}}, wantStatus: 200, wantCalls: 1, acquired: 1},
		{name: "beyond the quota", key: "key-b", decision: tokens.Decision{Verdict: tokens.Exceeded, RetryAfter: time.Second}, wantStatus: 429, wantReason: steer.ReasonQuotaExceeded, acquired: 1},
		{name: "undecided", key: "key-b", decision: tokens.Decision{RetryAfter: time.Second}, wantStatus: 503, wantReason: steer.ReasonQuotaUndecided, acquired: 1},
		{name: "two attempts", key: "key-b", decision: admitted, results: []callResult{notRun(serve.ReasonLeaving), {status: 200}}, wantStatus: 200, wantCalls: 2, acquired: 1},
		{name: "refused everywhere", key: "key-b", decision: admitted, results: []callResult{notRun("gate-late")}, wantStatus: 503, wantReason: "gate-late", wantCalls: 4, acquired: 1, refunded: 1},
		{name: "may have run", key: "key-b", decision: admitted, results: []callResult{unknown(peer.ReasonSessionLost)}, wantStatus: 502, wantReason: peer.ReasonSessionLost, wantCalls: 1, acquired: 1},
		{name: "anonymous", decision: tokens.Decision{Verdict: tokens.Exceeded, RetryAfter: time.Second}, results: []callResult{{status: 200}}, wantStatus: 200, wantCalls: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller := &scriptedCaller{results: tt.results}
			r, recorded := newRouter(t, plan.Idempotent, 1, caller)
			source := r.Snapshots.(fixedSnapshot)
			source.snapshot.Plan = accountPlan(t)
			quotas := &fixedQuotas{decision: tt.decision}
			r.Snapshots, r.Quotas = source, quotas
			headers := http.Header{}
			if tt.key != "" {
				headers.Set("Key", tt.key)
			}
			response := r.Handle(t.Context(), &front.Request{Method: "GET", Host: "a.example", Path: "/open/1", Target: "/open/1", Arrived: time.Now(), HeaderValue: headers.Get, HeaderValues: headers.Values})
			assert.Equal(t, response.Status, tt.wantStatus)
			assert.Equal(t, recorded.last.Reason, tt.wantReason)
			assert.Equal(t, recorded.last.RetryAfter, max(tt.decision.RetryAfter*time.Duration(quotas.acquired), recorded.last.RetryAfter))
			assert.Equal(t, len(caller.calls), tt.wantCalls)
			assert.Equal(t, quotas.acquired, tt.acquired)
			assert.Equal(t, quotas.refunded, tt.refunded)
		})
	}
}
