package serve

import (
	"strings"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/pkg/gate"
)

// Reasons of calls that got no response of the upstream.
const (
	// ReasonNoUpstream means that the host has no upstream of the service.
	ReasonNoUpstream = "no-upstream"
	// ReasonRefused means that the upstream reported that it did not run the call.
	ReasonRefused = "upstream-refused"
	// ReasonUnreachable means that no part of the call was sent, because the
	// connection failed.
	ReasonUnreachable = "upstream-unreachable"
	// ReasonLost means that the exchange with the upstream failed after part of the
	// call may have been sent.
	ReasonLost = "upstream-lost"
	// ReasonClaimFailed means that the key could not be claimed.
	ReasonClaimFailed = "claim-failed"
	// ReasonInDoubt means that an earlier call with the key may have run, and its
	// response is not available.
	ReasonInDoubt = "in-doubt"
	// ReasonBadCall means that the call has an invalid priority.
	ReasonBadCall = "bad-call"
	// ReasonTarget means that the request cannot be sent with the target of its caller.
	ReasonTarget = "bad-target"
	// ReasonClaimExpired means that the claim expired before the call was sent.
	ReasonClaimExpired = "claim-expired"
	// ReasonLeaving means that the upstream is draining or was replaced.
	ReasonLeaving = "upstream-leaving"
	// ReasonMisdirected means that another upstream has the address now.
	ReasonMisdirected = "upstream-moved"
	// ReasonUnauthenticated means that a success response did not prove that it was
	// sent by the upstream.
	ReasonUnauthenticated = "answer-unsealed"
	// ReasonUnattributed means that a refusal may have been that of an earlier request on
	// the connection.
	ReasonUnattributed = "answer-unattributed"
	// ReasonInvalidResponse means that the upstream sent a response that is invalid.
	ReasonInvalidResponse = peer.ReasonInvalidResponse
	// ReasonSilent means that the upstream sent no byte of a response while it answered
	// calls that were sent later.
	ReasonSilent = "upstream-silent"
	// ReasonFailing means that the circuit breaker is open, because the upstream
	// fails nearly all requests.
	ReasonFailing = "upstream-failing"
	// ReasonInternalError means that handling the call panicked.
	ReasonInternalError = "internal-error"
	// ReasonLinkLate means that the response would have waited too long for the
	// network link of the host.
	ReasonLinkLate = "link-late"
)

// gatePrefix precedes the reason of the gate for rejecting a call.
const gatePrefix = "gate-"

// claimedPrefix precedes the reason of a call that was not run after its key had
// been claimed.
const claimedPrefix = "claimed-"

// claimedRetryAfter is how long a caller should wait before it retries such a
// call; by then the claim has usually been removed.
const claimedRetryAfter = time.Second

// Claimed reports whether a call with the reason was not run after its key had
// been claimed at that host.
func Claimed(reason string) bool {
	return strings.HasPrefix(reason, claimedPrefix)
}

// Unreached reports whether a call with the reason did not reach an upstream.
func Unreached(reason string) bool {
	return reason == ReasonUnreachable || reason == ReasonNoUpstream || reason == ReasonLeaving
}

// Busy reports whether a call with the reason was not run because the upstream is
// healthy but has no capacity left.
func Busy(reason string) bool {
	reason = strings.TrimPrefix(reason, claimedPrefix)
	if reason == ReasonRefused || reason == ReasonLinkLate {
		return true
	}
	return strings.HasPrefix(reason, gatePrefix) && reason != gatePrefix+gate.Draining.String()
}
