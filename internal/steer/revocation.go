package steer

import (
	"net/http"
	"time"

	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

// KeyGuard decides whether requests with keys may be served.
type KeyGuard interface {
	// AdmitsKeys reports whether every version accepted until shortly before now is
	// contained in the snapshots that are read after the call.
	AdmitsKeys(now time.Time) bool
}

// admitsKeys reports whether the request may be served if it has a key. It must be called
// after the request arrived and before its snapshot is read: a snapshot that is older than
// the confirmation may contain a key that was revoked since.
func (r *Router) admitsKeys() bool {
	return r.KeyGuard == nil || r.KeyGuard.AdmitsKeys(time.Now())
}

// refuseUnverified returns the response to a request with a key that may have been revoked.
func (r *Router) refuseUnverified(rs *requestState) *front.Response {
	return r.localResponse(rs, http.StatusServiceUnavailable, ReasonVersionUnverified, verify.RetryAfter)
}
