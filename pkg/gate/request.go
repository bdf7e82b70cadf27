package gate

import (
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Reason is the reason why a gate rejected a request.
type Reason uint8

// The reasons for a rejection. The request was not run in any of these cases.
const (
	// Full means that the queue was full.
	Full Reason = iota + 1
	// Late means that the request could not have started by its StartBy time or
	// finished by its deadline.
	Late
	// Draining means that the gate is draining and accepts no new requests.
	Draining
	// Displaced means that a more urgent or more recent request took its place in
	// the queue.
	Displaced
	// Canceled means that the caller canceled the request while it was waiting.
	Canceled
)

var reasonNames = [...]string{"none", "full", "late", "draining", "displaced", "cancelled"}

// String returns the reason in lower case.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return reasonNames[r]
}

// RejectedError is the error for a request that was rejected before it was sent to
// the upstream.
type RejectedError struct {
	// Reason is the reason for the rejection.
	Reason Reason
	// RetryAfter is how long the caller should avoid this upstream; it may be 0.
	RetryAfter time.Duration
	// ExpectedServiceTime is the expected service time of the request, 0 if unknown.
	ExpectedServiceTime time.Duration
}

// Error implements error.
func (e *RejectedError) Error() string {
	return "request rejected before it ran: " + e.Reason.String()
}

// Result describes how a request that had a slot ended.
type Result struct {
	// Shed is true if the upstream itself refused the request because of overload.
	Shed bool
	// Failed is true if the request ended without a usable response.
	Failed bool
	// NotRun is true if the request was not sent to the upstream after all; it does
	// not affect the estimates.
	NotRun bool
}

// State is the state of a request.
type State uint8

// The states of a request. A request never returns to an earlier state.
const (
	New State = iota
	Waiting
	Running
	Finished
	Rejected
)

// Request is a request for a slot. The zero Request has the lowest priority and no
// deadline.
type Request struct {
	// Priority is below mesh.NumPriorities; a higher value counts as the highest
	// priority.
	Priority mesh.Priority
	// Deadline is when the request must be finished; zero means no deadline.
	Deadline time.Time
	// StartBy is when the request must have got its slot; zero means no bound.
	StartBy time.Time
	// Overdue is true if the request can no longer meet its latency target. It gets a
	// slot only if no other request of its priority waits for one.
	Overdue bool
	// Class groups requests that take about the same time; empty if only the
	// priority is known.
	Class string
	// TypicalServiceTime is the service time of such requests at other upstreams,
	// used until this gate has samples of its own; 0 if unknown.
	TypicalServiceTime time.Duration
	// Account is the client account that the slots and places of a priority are shared
	// by; empty if the request is anonymous.
	Account mesh.Account
	// Weight is the configured share of the account relative to other accounts; 0 if it
	// is not known. It is used if all accounts have one, otherwise their usual loads.
	Weight float64

	// flow, cost and order are valid once the request was queued. cost is the expected service
	// time as of the arrival, above zero.
	flow *flow
	cost time.Duration
	// order is StartBy as the time since the epoch of the flows, math.MaxInt64 if there
	// is none. Comparing it is several times faster.
	order time.Duration

	state     State
	rejection RejectedError
	// started is when the request got its slot, and expectedServiceTime is its
	// service time as expected then. Both are valid while state is Running or
	// Finished.
	started             time.Time
	expectedServiceTime time.Duration
	// decided is closed when the state becomes Running or Rejected; nil unless a
	// caller of Gate waits for it.
	decided chan struct{}
}

// State returns the state of the request.
func (r *Request) State() State {
	return r.state
}

// Rejection returns why the request was rejected, nil unless its state is
// Rejected.
func (r *Request) Rejection() (rejected *RejectedError) {
	if r.state != Rejected {
		return nil
	}
	return &r.rejection
}
