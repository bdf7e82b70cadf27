package steer

import (
	"context"
	"net/http"
	"time"

	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

const (
	// ReasonQuotaExceeded means that the account has used up its quota.
	ReasonQuotaExceeded = "quota-exceeded"
	// ReasonQuotaUndecided means that no owner of the account's tokens answered in time.
	ReasonQuotaUndecided = "quota-undecided"
)

// Quotas decides whether the requests of client accounts may run.
type Quotas interface {
	// Acquire waits for the token of a request with that timeout. Accounts without a limit
	// are admitted at once.
	Acquire(ctx context.Context, account *plan.Account, timeout time.Duration) tokens.Decision
	// Refund gives back the token of a request that was not sent to any upstream.
	Refund(account mesh.Account)
}

// runWithToken runs a request that gets its token. A request that gets none is not counted
// for the retry budget.
func (r *Router) runWithToken(ctx context.Context, rs *requestState) *front.Response {
	if response := r.acquireToken(ctx, rs); response != nil {
		return response
	}
	r.Budget.RecordRequest(rs.request.Arrived, rs.service)
	response := r.runAttempts(ctx, rs)
	r.refundToken(rs)
	return response
}

// acquireToken gets the token of a request. It returns the response to a request that may
// not run, otherwise nil. A request needs one token for all of its attempts.
func (r *Router) acquireToken(ctx context.Context, rs *requestState) *front.Response {
	if r.Quotas == nil || rs.account == nil {
		return nil
	}
	switch decision := r.Quotas.Acquire(ctx, rs.account, rs.record.Timeout); decision.Verdict {
	case tokens.Admitted:
		return nil
	case tokens.Exceeded:
		return r.localResponse(rs, http.StatusTooManyRequests, ReasonQuotaExceeded, decision.RetryAfter)
	default:
		return r.localResponse(rs, http.StatusServiceUnavailable, ReasonQuotaUndecided, decision.RetryAfter)
	}
}

// refundToken gives back the token of a request that no upstream received, so that
// refusals for want of capacity use up no quota.
func (r *Router) refundToken(rs *requestState) {
	if r.Quotas != nil && rs.account != nil && rs.upstreamAttempts == 0 {
		r.Quotas.Refund(rs.account.Name)
	}
}
