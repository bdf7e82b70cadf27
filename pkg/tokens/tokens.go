// Package tokens decides how the requests of client accounts are limited over all nodes
// together. The owner holds a token bucket for each account (Table), and every other node
// asks its parent for tokens (Collector) and keeps those that it expects to use soon
// (Stock). Keeper joins these for one node, and decides by itself while no owner answers.
// Contacts counts the nodes behind an owner, and Selector chooses the owner or the parent.
//
// All decisions get the time as an argument. No type is safe for concurrent use.
package tokens

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// MaxWait is the longest time for which the owner promises a token in advance.
	MaxWait = 200 * time.Millisecond
	// MaxAge is how long after the ask for it a token may be used.
	MaxAge = 500 * time.Millisecond
	// ReportAge is how long an owner counts the nodes of a report.
	ReportAge = time.Second
	// ReturnInterval is the interval at which unused tokens are returned if no other ask
	// carries them.
	ReturnInterval = 200 * time.Millisecond
	// MaxCount limits the numbers of tokens in one ask, which other nodes send.
	MaxCount = 1 << 14
)

// Limit is the limit of an account over all nodes.
type Limit struct {
	// Rate is the number of requests per second; zero means no limit.
	Rate float64
	// Burst is the number of requests that may run at once after a pause.
	Burst float64
}

// Ask is a request for tokens of one account.
type Ask struct {
	Account mesh.Account
	// Needed is the number of tokens for requests that wait, and Extra that of further
	// tokens that the node expects to use soon.
	Needed, Extra int
	// Returned is the number of unused tokens that the node gives back.
	Returned int
}

// Bounded returns the ask with numbers that are within their limits.
func (a Ask) Bounded() Ask {
	bound := func(n int) int { return min(max(n, 0), MaxCount) }
	a.Needed, a.Extra, a.Returned = bound(a.Needed), bound(a.Extra), bound(a.Returned)
	return a
}

// Grant is the answer to an Ask.
type Grant struct {
	Account mesh.Account
	// Tokens is the number of tokens. Those beyond the needed ones are valid at once.
	Tokens int
	// Wait is the time after which the last of the needed tokens is valid.
	Wait time.Duration
	// RetryAfter is the time after which the account has capacity. It is set if there are
	// fewer tokens than needed because the account is at its limit. If it is zero then,
	// the owner could not decide.
	RetryAfter time.Duration
}

// Verdict is the outcome of a decision about one request.
type Verdict uint8

// The verdicts.
const (
	// Undecided means that no owner answered in time, and that there is no local token.
	Undecided Verdict = iota
	// Admitted means that the request may run.
	Admitted
	// Exceeded means that the account has used up its quota.
	Exceeded
)

// Decision is a decision about one request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when the caller should try again; zero if the request is admitted.
	RetryAfter time.Duration
	// Local is true if the request is admitted without an owner.
	Local bool
}

const (
	// undecidedRetryAfter is the least Retry-After value of an undecided request. A node
	// finds another owner, or is counted by it, within about that time.
	undecidedRetryAfter = 300 * time.Millisecond
	// spread is the largest part that is added to a Retry-After value at random, so that
	// callers who were refused together do not return together.
	spread = 0.5
	// waitPercent is the part of its timeout, in percent, for which a request waits for a
	// promised token, and answerPercent that for which it waits for the owner's answer.
	// An answer from another region takes 60 ms, or twice that if another call is under way.
	waitPercent   = 10
	answerPercent = 30
)

// TokenWait returns how long a request with that timeout waits for a promised token.
func TokenWait(timeout time.Duration) time.Duration {
	return min(MaxWait, timeout*waitPercent/100)
}

// AnswerWait returns how long a request with that timeout waits for the owner's answer.
func AnswerWait(timeout time.Duration) time.Duration {
	return min(MaxWait, timeout*answerPercent/100)
}

// spreadOut returns a Retry-After value between d and half as much again.
func spreadOut(d time.Duration, random float64) time.Duration {
	return time.Duration(float64(d) * (1 + spread*random))
}
