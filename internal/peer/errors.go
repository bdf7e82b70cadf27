package peer

import (
	"errors"
	"fmt"
	"time"
)

// Outcome says what is known about a call that got no complete reply.
type Outcome uint8

const (
	// NotRun means that the upstream did not receive the call: either no byte of
	// its head was sent, or the remote node reported so.
	NotRun Outcome = iota + 1
	// Unknown means that the upstream may have received the call.
	Unknown
)

// String returns the outcome as used in HTTP headers.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return "none"
	}
}

// CallError is the error of a call that got no complete reply.
type CallError struct {
	Outcome Outcome
	// Reason is a short, stable text for headers and metrics.
	Reason string
	// RetryAfter is how long the caller should wait before it retries; zero if
	// unspecified.
	RetryAfter time.Duration
	// FromRemote is true if the remote node reported the error. LoadPercent and
	// LinkWait are then the load of its upstream and the time for which a large
	// reply would wait for the network link of its host.
	FromRemote  bool
	LoadPercent int
	LinkWait    time.Duration
	// ExpectedServiceTime is the remote node's estimate of how long its upstream
	// would have worked on the call; zero if unknown.
	ExpectedServiceTime time.Duration
	// Err is the cause; usually nil if FromRemote is true.
	Err error
}

// Error implements error.
func (c *CallError) Error() string {
	if c.Err == nil {
		return fmt.Sprintf("%s: %s", c.Outcome, c.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", c.Outcome, c.Reason, c.Err)
}

// Unwrap returns the cause.
func (c *CallError) Unwrap() error {
	return c.Err
}

// Reasons of a CallError.
const (
	ReasonDialFailed  = "dial-failed"
	ReasonSessionLost = "session-lost"
	// ReasonSessionSilent means that the session was closed after a ping timed out.
	ReasonSessionSilent = "session-silent"
	ReasonCanceled      = "canceled"
	ReasonDeadline      = "deadline"
	// ReasonWrongCall means that a frame of another call arrived.
	ReasonWrongCall = "crossed-answer"
	// ReasonTruncated means that the reply body ended early.
	ReasonTruncated = "answer-cut"
	// ReasonInvalidResponse means that the upstream sent an invalid response, such as one
	// with a status of 000 or 600, a blank in a field name, or a 204 with a body.
	ReasonInvalidResponse = "answer-invalid"
	// ReasonRequestBody means that reading the request body failed.
	ReasonRequestBody = "request-body"
	// ReasonProtocol means that a frame violated the protocol.
	ReasonProtocol = "protocol"
	// ReasonDraining means that the remote node is shutting down.
	ReasonDraining     = "draining"
	ReasonTooManyCalls = "too-many-calls"
	// ReasonNoHandler means that the remote node has no call handler, or that the
	// handler returned without a reply.
	ReasonNoHandler = "no-handler"
)

// Errors of sessions and control streams.
var (
	// ErrClosed means that the pool, server, session or stream was closed.
	ErrClosed = errors.New("closed")
	// ErrQueueFull means that the send queue of a control stream is full.
	ErrQueueFull = errors.New("control queue full")
	// ErrPingTimeout means that the remote node did not respond to a ping in time.
	ErrPingTimeout = errors.New("ping timed out")
	// errUnknownPreface means that the other end of a connection is not a node.
	errUnknownPreface = errors.New("unknown connection preface")
	// errWrongCall means that a frame carries the ID of another call.
	errWrongCall = errors.New("frame belongs to another call")
	// errLengthMismatch means that the length in an end frame differs from the
	// number of body bytes received.
	errLengthMismatch = errors.New("body length mismatch")
)
