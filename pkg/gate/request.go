package gate

import (
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Reason says why a gate refused a request.
type Reason uint8

// The reasons for a refusal. In every case the request was not run.
const (
	// Full means that the queue had no place left.
	Full Reason = iota + 1
	// Late means that the request could not have finished by its deadline.
	Late
	// Draining means that the gate takes no new work.
	Draining
	// Displaced means that a more urgent or more recent request took the place in the queue.
	Displaced
	// Cancelled means that the caller gave up while the request waited.
	Cancelled
)

var reasonNames = [...]string{"none", "full", "late", "draining", "displaced", "cancelled"}

// String returns the reason in lower case.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return reasonNames[r]
}

// RejectedError is the error for a request that was never handed to the upstream.
type RejectedError struct {
	// Reason is one of the reasons above.
	Reason Reason
	// RetryAfter is how long the caller should leave this upstream alone; it may be zero.
	RetryAfter time.Duration
	// ServiceTime is how long the upstream is expected to work on the request, zero when
	// that is not known.
	ServiceTime time.Duration
}

// Error implements error.
func (r *RejectedError) Error() string {
	return "not run: " + r.Reason.String()
}

// Result tells a gate how a request that it granted ended.
type Result struct {
	// Shed is true when the upstream itself refused the request for overload.
	Shed bool
	// Failed is true when the request ended without a usable answer.
	Failed bool
	// NotRun is true when the request was not handed to the upstream after all;
	// nothing is learned from it.
	NotRun bool
}

// State is the stage of a piece of work.
type State uint8

// The states of work. They only advance.
const (
	New State = iota
	Waiting
	Running
	Finished
	Rejected
)

// Request is one request at a queue. The zero Request is of the lowest priority and
// has no deadline.
type Request struct {
	// Priority is below mesh.NumPriorities; a higher value counts as the most urgent.
	Priority mesh.Priority
	// Deadline is zero when there is none.
	Deadline time.Time
	// StartBy is when the work must have got its slot, zero for no bound.
	StartBy time.Time
	// Class names what takes about the same time; empty for the priority's own.
	Class string
	// TypicalServiceTime is how long others work on such work, for a gate without a sample of
	// its own; zero when that is not known.
	TypicalServiceTime time.Duration

	state   State
	refused RejectedError
	// started is set while state is Running or Finished, and expected is how long
	// the work was expected to run then.
	started  time.Time
	expected time.Duration
	// signal is closed when the state becomes Running or Rejected; nil unless a Gate's request waits.
	signal chan struct{}
}

// State returns the stage that the work has reached.
func (w *Request) State() State {
	return w.state
}

// Rejection returns why the work was rejected, nil unless its state is Rejected.
func (w *Request) Rejection() (refused *RejectedError) {
	if w.state != Rejected {
		return nil
	}
	return &w.refused
}
