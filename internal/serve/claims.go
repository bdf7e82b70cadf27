package serve

import (
	"context"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// Action says what to do with a keyed call.
type Action uint8

// The actions of a verdict.
const (
	// Run means that the call is the first of its key.
	Run Action = iota
	// Replay means that the answer of the first call is at hand.
	Replay
	// InDoubt means that a call of the key may have run, and its answer is not
	// at hand.
	InDoubt
)

// ClaimResult is the word of Claims on a call.
type ClaimResult struct {
	Action Action
	// Response is set for Replay only.
	Response Response
	// Reason is why a call is in doubt; empty otherwise.
	Reason string
	// SendBy is when a call with the verdict Run must have been handed over; a
	// later one is not run. Zero means no bound.
	SendBy time.Time
}

// Response is a whole answer.
type Response struct {
	Head *wire.ReplyHead
	Body []byte
	// Complete is false when the body was too long to keep; Body is then nil.
	Complete bool
}

// Claims remembers the keys of calls that must run at most once.
type Claims interface {
	// Claim is asked after the call has its slot and before the hand-over. On
	// an error the call is not run.
	Claim(ctx context.Context, call *peer.Call) (verdict ClaimResult, err error)
	// Complete is told the answer of a call that had the verdict Run.
	Complete(call *peer.Call, answer Response)
	// Release is told that a call which had the verdict Run did certainly not
	// run. A call that is neither answered nor released stays in doubt.
	Release(call *peer.Call)
}
