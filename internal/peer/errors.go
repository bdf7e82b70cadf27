package peer

import (
	"errors"
	"fmt"
	"time"
)

// Outcome says what is known of a call that got no answer.
type Outcome uint8

const (
	// NotRun means that the upstream never got the call: no byte of its head
	// left this node, or the far node said so.
	NotRun Outcome = iota + 1
	// Unknown means that the upstream may have got the call.
	Unknown
)

// String returns the name used in headers.
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

// CallError is the end of a call that got no whole answer.
type CallError struct {
	Outcome Outcome
	// Reason is short and stable, for headers and counters.
	Reason string
	// RetryAfter is how long the caller should hold back; zero for none.
	RetryAfter time.Duration
	// FromRemote is true when the error is the far node's own word, with its load and
	// the wait for its link.
	FromRemote  bool
	LoadPercent int
	LinkDelay   time.Duration
	// ExpectedServiceTime is how long the far node's upstream would have worked on the call, zero
	// when that is not known.
	ExpectedServiceTime time.Duration
	// Err is the cause, or nil when the far node's word is the cause.
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
	ReasonDialFailed    = "dial-failed"
	ReasonSessionLost   = "session-lost"
	ReasonSessionSilent = "session-silent"
	ReasonCanceled      = "canceled"
	ReasonDeadline      = "deadline"
	ReasonWrongCall     = "crossed-answer"
	ReasonTruncated     = "answer-cut"
	ReasonRequestBody   = "request-body"
	ReasonProtocol      = "protocol"
	ReasonDraining      = "draining"
	ReasonTooManyCalls  = "too-many-calls"
	ReasonNoHandler     = "no-handler"
)

// Errors of sessions and control streams.
var (
	// ErrClosed means that the pool, the server or the stream was closed.
	ErrClosed = errors.New("closed")
	// ErrQueueFull means that a control stream's queue has no room.
	ErrQueueFull = errors.New("control queue full")
	// ErrPingTimeout means that a session left a ping unanswered.
	ErrPingTimeout = errors.New("session silent")
	// errPreface means that a connection comes from no node.
	errPreface = errors.New("unknown preface")
	// errCrossed means that a frame belongs to another call.
	errCrossed = errors.New("frame of another call")
	// errBodyLength means that a body's end names another length.
	errBodyLength = errors.New("body length differs from its end")
)
