// Package retry decides whether a failed attempt may be repeated, where and when.
package retry

import (
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// DefaultMaxAttempts bounds the attempts of a request when the policy has no bound.
	DefaultMaxAttempts = 3
	// initialBackoff is the upper bound of the first wait on the same host.
	initialBackoff = 10 * time.Millisecond
	// backoffCap bounds the wait on the same host.
	backoffCap = time.Second
	// backoffGrowth multiplies the bound with each attempt.
	backoffGrowth = 2
)

// Outcome is what is known of an attempt.
type Outcome uint8

// The outcomes of an attempt. The zero Outcome is the one that allows least.
const (
	// Unknown means that the request may have been handed to an upstream.
	Unknown Outcome = iota
	// NotRun means that the request was certainly never handed to an upstream.
	NotRun
	// Done means that there is an answer.
	Done
)

// Reason says why a request is or isn't tried again.
type Reason uint8

// The reasons of a decision.
const (
	// Allowed means that the request may be tried again.
	Allowed Reason = iota
	// Answered means that there is an answer.
	Answered
	// MayHaveRun means that a request that is not idempotent may have run.
	MayHaveRun
	// Exhausted means that the policy allows no further attempt.
	Exhausted
	// PastDeadline means that a further attempt could not finish in time.
	PastDeadline
	// OverBudget means that the service's retry budget is used up.
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

// Policy bounds the retries of a route.
type Policy struct {
	// MaxAttempts bounds the attempts, the first one included; 0 means DefaultMaxAttempts.
	MaxAttempts int
	// BudgetPercent is the share of retries to first attempts; 0 means DefaultBudgetPercent.
	BudgetPercent int
}

// Attempt describes the attempt that has just ended.
type Attempt struct {
	// Now is when the attempt ended.
	Now time.Time
	// Deadline is the request's deadline, zero when there is none.
	Deadline time.Time
	// Number counts the attempts made, from 1.
	Number int
	// Outcome is what is known of this attempt.
	Outcome Outcome
	// Unreached is true when the attempt reached no upstream: repeating it adds
	// no load to one, so it needs no budget.
	Unreached bool
	// EarlierMayHaveRun is true when some earlier attempt of the request may have run.
	EarlierMayHaveRun bool
	// Idempotent is true when running the request twice does no harm.
	Idempotent bool
	// SameHost is true when the next attempt can only go to a host already tried.
	SameHost bool
	// RetryAfter is how long the tried host asked to be left alone.
	RetryAfter time.Duration
	// ExpectedDuration is the time that a further attempt needs, zero when unknown.
	ExpectedDuration time.Duration
	// Service is whose budget a retry uses.
	Service mesh.ServiceID
	// Policy bounds the retries.
	Policy Policy
	// Budget bounds the retries of the service; nil means no bound.
	Budget *Budget
	// Random returns a number in [0, 1) for the jitter; nil means no jitter.
	Random func() float64
}

// Decision is the verdict on a further attempt.
type Decision struct {
	// Retry is true if and only if Reason is Allowed.
	Retry bool
	// Delay is how long to wait before the attempt; zero unless Retry.
	Delay time.Duration
	// Reason explains the verdict.
	Reason Reason
}

// Decide returns whether the request may be tried again. It takes a token from
// the budget only when nothing else forbids the retry.
func Decide(a Attempt) Decision {
	if reason := a.forbidden(); reason != Allowed {
		return Decision{Reason: reason}
	}
	after := a.wait()
	if !a.Deadline.IsZero() && !a.Now.Add(after+a.ExpectedDuration).Before(a.Deadline) {
		return Decision{Reason: PastDeadline}
	}
	if a.Budget != nil && !a.Unreached && !a.Budget.TryWithdraw(a.Now, a.Service) {
		return Decision{Reason: OverBudget}
	}
	return Decision{Retry: true, Delay: after, Reason: Allowed}
}

// forbidden returns why the request may not be tried again whatever time is left.
func (a *Attempt) forbidden() Reason {
	attempts := a.Policy.MaxAttempts
	if attempts <= 0 {
		attempts = DefaultMaxAttempts
	}
	switch {
	case a.Outcome == Done:
		return Answered
	case !a.Idempotent && (a.Outcome != NotRun || a.EarlierMayHaveRun):
		return MayHaveRun
	case a.Number >= attempts:
		return Exhausted
	}
	return Allowed
}

// wait returns how long to wait before the next attempt: nothing on another
// host, else a full-jitter backoff that respects what the host asked for.
func (a *Attempt) wait() time.Duration {
	if !a.SameHost {
		return 0
	}
	wait := MaxBackoff(a.Number)
	if a.Random != nil {
		wait = time.Duration(a.Random() * float64(wait))
	}
	return a.RetryAfter + wait
}

// MaxBackoff returns the upper bound of the wait after that many attempts on one host.
func MaxBackoff(attempts int) (bound time.Duration) {
	b := backoff.ExponentialBackOff{
		InitialInterval: initialBackoff, Multiplier: backoffGrowth, MaxInterval: backoffCap,
	}
	b.Reset()
	for range min(max(attempts, 1), int(backoffCap/initialBackoff)) {
		bound = b.NextBackOff()
	}
	return min(bound, backoffCap)
}
