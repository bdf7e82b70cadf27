// Package retry decides whether and when a failed request is retried, and limits
// retries with budgets.
package retry

import (
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// DefaultMaxAttempts is the maximum number of attempts if the policy sets none.
	DefaultMaxAttempts = 3
	// initialBackoff is the upper bound of the first backoff on the same host.
	initialBackoff = 10 * time.Millisecond
	// backoffCap is the upper bound of any backoff on the same host.
	backoffCap = time.Second
	// backoffMultiplier is the growth of the upper bound with each attempt.
	backoffMultiplier = 2
)

// Outcome is what is known about the result of an attempt.
type Outcome uint8

// The outcomes of an attempt. The zero Outcome is the most restrictive one.
const (
	// Unknown means that the request may have reached an upstream.
	Unknown Outcome = iota
	// NotRun means that the request certainly did not reach an upstream.
	NotRun
	// Done means that there is a response.
	Done
)

// Reason is the reason for a decision.
type Reason uint8

// The reasons for a decision.
const (
	// Allowed means that the request may be retried.
	Allowed Reason = iota
	// Answered means that there is a response.
	Answered
	// MayHaveRun means that the request is not idempotent and may have run already.
	MayHaveRun
	// Exhausted means that the maximum number of attempts is reached.
	Exhausted
	// PastDeadline means that another attempt could not finish before the deadline.
	PastDeadline
	// OverBudget means that the retry budget of the service is exhausted.
	OverBudget
)

var reasonNames = [...]string{
	"allowed", "answered", "may have run", "exhausted", "past deadline", "over budget",
}

// String returns the reason in lower case.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return fmt.Sprintf("reason(%d)", uint8(r))
	}
	return reasonNames[r]
}

// Policy limits the retries of a route.
type Policy struct {
	// MaxAttempts is the maximum number of attempts, including the first; 0 means
	// DefaultMaxAttempts.
	MaxAttempts int
	// BudgetPercent is the ratio of retries to first attempts; 0 means
	// DefaultBudgetPercent.
	BudgetPercent int
}

// Attempt describes an attempt that has just failed, and its request.
type Attempt struct {
	// Now is when the attempt ended.
	Now time.Time
	// Deadline is the deadline of the request; zero means no deadline.
	Deadline time.Time
	// Number is the number of attempts so far, from 1.
	Number int
	// Outcome is what is known about the result of this attempt.
	Outcome Outcome
	// Unreached is true if the attempt did not reach an upstream. A retry then adds
	// no load to an upstream, so it is not limited by the budget.
	Unreached bool
	// EarlierMayHaveRun is true if an earlier attempt of the request may have run.
	EarlierMayHaveRun bool
	// Idempotent is true if it is safe to run the request twice.
	Idempotent bool
	// SameHost is true if the next attempt can only go to a host that was already
	// tried.
	SameHost bool
	// RetryAfter is how long the tried host asked not to be called.
	RetryAfter time.Duration
	// ExpectedLatency is the expected latency of another attempt, 0 if unknown.
	ExpectedLatency time.Duration
	// Service is the service whose budget pays for a retry.
	Service mesh.ServiceID
	// Policy limits the retries.
	Policy Policy
	// Budget limits the retries of the service; nil means no limit.
	Budget *Budget
	// Random returns a number in [0, 1) for the jitter; nil means no jitter.
	Random func() float64
}

// Decision is the decision about another attempt.
type Decision struct {
	// Retry is true if and only if Reason is Allowed.
	Retry bool
	// Delay is how long to wait before the next attempt; 0 unless Retry is set.
	Delay time.Duration
	// Reason is the reason for the decision.
	Reason Reason
}

// Decide decides whether the request is retried. It withdraws from the budget only
// if nothing else prevents the retry.
func Decide(a Attempt) Decision {
	if reason := a.rejectReason(); reason != Allowed {
		return Decision{Reason: reason}
	}
	delay := a.delay()
	if !a.Deadline.IsZero() && !a.Now.Add(delay+a.ExpectedLatency).Before(a.Deadline) {
		return Decision{Reason: PastDeadline}
	}
	if a.Budget != nil && !a.Unreached && !a.Budget.TryWithdraw(a.Now, a.Service) {
		return Decision{Reason: OverBudget}
	}
	return Decision{Retry: true, Delay: delay, Reason: Allowed}
}

// rejectReason returns why the request must not be retried even if there is time
// left, or Allowed.
func (a *Attempt) rejectReason() Reason {
	maxAttempts := a.Policy.MaxAttempts
	if maxAttempts <= 0 {
		maxAttempts = DefaultMaxAttempts
	}
	switch {
	case a.Outcome == Done:
		return Answered
	case !a.Idempotent && (a.Outcome != NotRun || a.EarlierMayHaveRun):
		return MayHaveRun
	case a.Number >= maxAttempts:
		return Exhausted
	}
	return Allowed
}

// delay returns how long to wait before the next attempt: nothing for another
// host; for the same host, its RetryAfter and an exponential backoff with full
// jitter.
func (a *Attempt) delay() time.Duration {
	if !a.SameHost {
		return 0
	}
	wait := MaxBackoff(a.Number)
	if a.Random != nil {
		wait = time.Duration(a.Random() * float64(wait))
	}
	return a.RetryAfter + wait
}

// MaxBackoff returns the upper bound of the backoff after that many attempts on
// the same host.
func MaxBackoff(attempts int) (bound time.Duration) {
	b := backoff.ExponentialBackOff{
		InitialInterval: initialBackoff, Multiplier: backoffMultiplier, MaxInterval: backoffCap,
	}
	b.Reset()
	for range min(max(attempts, 1), int(backoffCap/initialBackoff)) {
		bound = b.NextBackOff()
	}
	return min(bound, backoffCap)
}
