package serve

import (
	"context"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// Action says how to proceed with a call that has a key.
type Action uint8

// The actions of a ClaimResult.
const (
	// Run means that the call is the first one with its key and must be run.
	Run Action = iota
	// Replay means that the call gets the stored response to the first call.
	Replay
	// InDoubt means that an earlier call with the key may have run, but its response
	// is not available.
	InDoubt
)

// ClaimResult is the result of claiming the key of a call.
type ClaimResult struct {
	Action Action
	// Response is set for Replay only.
	Response Response
	// Reason says why a call is in doubt. If it is empty, ReasonInDoubt is used.
	Reason string
	// SendBy is the time after which a call with the action Run must not be sent to
	// the upstream; zero means no limit.
	SendBy time.Time
}

// Response is a stored response.
type Response struct {
	Head *wire.ReplyHead
	Body []byte
	// Complete is false if the body was too long to be stored; Body is then nil.
	Complete bool
}

// Claims claims the idempotency keys of calls that must run at most once.
type Claims interface {
	// Claim claims the key of the call. It is called before the call waits at the
	// gate. After an error, the call is not run.
	Claim(ctx context.Context, call *peer.Call) (result ClaimResult, err error)
	// Complete stores the response to a call with the action Run.
	Complete(call *peer.Call, response Response)
	// Release removes the claim of a call with the action Run that was certainly not
	// run. A claim that is neither completed nor released leaves its key in doubt.
	Release(call *peer.Call)
}
