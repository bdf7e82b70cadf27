package steer

import (
	"net/http"

	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// identify sets the account of the request. It returns the response to a request without
// a known key whose rule requires one, and to a request with a key that may have been
// revoked, otherwise nil.
func (r *Router) identify(rs *requestState) *front.Response {
	version := rs.snapshot.Plan
	if !version.IdentifiesCallers() {
		return nil
	}
	keys := r.keys(rs.request)
	if rs.account = accountOf(version, keys); rs.account != nil {
		rs.record.Account = rs.account.Name
		if !rs.keysAdmitted {
			return r.refuseUnverified(rs)
		}
		return nil
	}
	switch {
	case rs.rule.AllowAnonymous:
		return nil
	case !r.isConfirmed():
		return r.localResponse(rs, http.StatusServiceUnavailable, ReasonVersionUnconfirmed, noVersionRetryAfter)
	case len(keys) == 0:
		return r.localResponse(rs, http.StatusUnauthorized, ReasonNoKey, 0)
	default:
		return r.localResponse(rs, http.StatusUnauthorized, ReasonUnknownKey, 0)
	}
}

// keys returns the keys that the caller sent.
func (r *Router) keys(request *front.Request) []string {
	if request.HeaderValues == nil {
		return nil
	}
	return r.Headers.Keys(request.HeaderValues)
}

// accountOf returns the account of the only key; nil if there is none, or more than one.
func accountOf(version *plan.Plan, keys []string) *plan.Account {
	if len(keys) != 1 {
		return nil
	}
	return version.AccountOfKey(keys[0])
}
