package steer

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

// Reasons reported in responses that this node generates. Those of the peer and serve
// packages are reported as well.
const (
	ReasonNoVersion = "no-version"
	ReasonNoRule    = "no-rule"
	// ReasonVersionUnconfirmed means that no rule matches, but that the version in force
	// may not be the newest.
	ReasonVersionUnconfirmed = "version-unconfirmed"
	// ReasonVersionUnverified means that the request has a key which a newer version may
	// have revoked.
	ReasonVersionUnverified = "version-unverified"
	// ReasonNoKey and ReasonUnknownKey mean that the rule requires the key of a client
	// account, and that the request has none, or not exactly one that is known.
	ReasonNoKey      = "no-key"
	ReasonUnknownKey = "unknown-key"
	ReasonBadHeader  = "bad-header"
	// ReasonAccountPending means that too many requests of the account are in progress at
	// this node.
	ReasonAccountPending = "account-pending"
	// ReasonNoService means that all services of the rule have weight zero.
	ReasonNoService = "no-service"
	// ReasonStopping means that this process may end before the request would.
	ReasonStopping    = "stopping"
	ReasonNoUpstreams = "no-upstreams"
	// ReasonAllBusy means that the request was sent to no upstream, because all are
	// expected to refuse it.
	ReasonAllBusy  = "all-busy"
	ReasonDeadline = "deadline"
	// ReasonUnsafeStatus replaces an upstream's status that would tell the caller that
	// the request did not run.
	ReasonUnsafeStatus = "upstream-promise"
	// ReasonInternalError means that processing the request panicked.
	ReasonInternalError = "internal-error"
)

const (
	// maxAttemptedHosts limits the number of hosts that one request is sent to.
	maxAttemptedHosts = 4
	// snapshotWaitPercent is the part of its timeout that a request waits for the
	// first version, in percent. defaultTimeout is assumed for requests without a
	// timeout.
	snapshotWaitPercent = 10
	defaultTimeout      = 2 * time.Second
	// busyRetryPercent is the part of its maximum queue wait, in percent, within which
	// a request that a busy host refused is sent to another host. After that it is
	// refused immediately.
	busyRetryPercent = 25
	// maxVersionAge is how long after its last confirmation the version in force decides
	// that a request matches no rule.
	maxVersionAge = 2 * time.Second
	// noVersionRetryAfter and noUpstreamRetryAfter are the Retry-After values sent if
	// no version is in force or no upstream is available.
	noVersionRetryAfter  = 400 * time.Millisecond
	noUpstreamRetryAfter = 150 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the Retry-After value of other refusals.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// overdueServiceTimePercent is the time that a request needs to meet its latency
	// target, in percent of the typical service time.
	overdueServiceTimePercent = 125
	// reservedServiceTimes is the part of the timeout that must remain after the queue
	// wait of a request from an upstream, in typical service times.
	reservedServiceTimes = 3
	// unknownServiceTimeDivisor yields the assumed service time of a rule without
	// samples: its latency target divided by this.
	unknownServiceTimeDivisor = 3
	// overloadRetryPercent is the mean Retry-After value of a request that was refused
	// because of overload, in percent of its latency target, and overloadJitterPercent
	// the width of the jitter, in percent of that mean.
	overloadRetryPercent  = 20
	overloadJitterPercent = 50
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 64 << 20
	// zoneCostPercent is the cost of sending a request with a small response to
	// another zone, in percent of its latency target. regionCost is the additional
	// cost of another region, on top of the network latency.
	zoneCostPercent = 4
	regionCost      = 60 * time.Millisecond
	// largeHostCostPercent, largeZoneCostPercent and largeRegionCostPercent are the
	// distance costs of a large response, in percent of the latency target. The cost
	// of another host applies because a response from this host crosses one network
	// link less.
	largeHostCostPercent   = 15
	largeZoneCostPercent   = 40
	largeRegionCostPercent = 120
)

// toCallError returns err as a *peer.CallError. Other errors, such as a response body
// that could not be read, leave the outcome unknown.
func toCallError(err error) (callErr *peer.CallError) {
	if errors.As(err, &callErr) {
		return callErr
	}
	return &peer.CallError{Outcome: peer.Unknown, Reason: peer.ReasonProtocol, Err: err}
}

// failedOutcome returns the outcome of a failed call for the picker.
func failedOutcome(ctx context.Context, callErr *peer.CallError, rs *requestState) pick.Outcome {
	canceled := errors.Is(ctx.Err(), context.Canceled)
	expired := callErr.Reason == peer.ReasonDeadline && ctx.Err() != nil
	return pick.Outcome{
		Failed:      !canceled && !expired,
		NotRun:      callErr.Outcome == peer.NotRun,
		Busy:        serve.Busy(callErr.Reason),
		Shed:        callErr.Reason == serve.ReasonRefused || callErr.Reason == serve.ReasonFailing,
		LoadPercent: callErr.LoadPercent,
		Canceled:    canceled,
		Admission:   rs.admission,
		HasLinkWait: callErr.FromRemote, LinkWait: callErr.LinkWait,
		Timings: pick.Timings{Class: rs.rule.Name, ExpectedServiceTime: callErr.ExpectedServiceTime},
	}
}

// shouldTryAnother reports whether a request is sent to another host after a failed
// attempt.
func (r *Router) shouldTryAnother(ctx context.Context, rs *requestState, callErr *peer.CallError) bool {
	rs.lastFailure = callErr
	reachedUpstream := callErr.Outcome == peer.Unknown || callErr.Reason == serve.ReasonRefused || callErr.Reason == serve.ReasonMisdirected
	if reachedUpstream {
		rs.upstreamAttempts++
	}
	if callErr.Outcome == peer.Unknown {
		rs.mayHaveRun = true
	}
	if callErr.Reason == serve.ReasonSilent {
		if rs.sawSilence {
			return false
		}
		rs.sawSilence = true
	}
	if ctx.Err() != nil || len(rs.tried) >= maxAttemptedHosts || callErr.Reason == serve.ReasonTarget {
		return false
	}
	if callErr.Outcome == peer.Unknown && !rs.rule.Kind.IsIdempotent() {
		return false
	}
	switch {
	case reachedUpstream:
		return r.tryWithdrawRetry(rs)
	case !serve.Busy(callErr.Reason):
		return true
	}
	_, maxWait := r.queueLimits(rs, r.Picker.TypicalServiceTime(rs.rule.Name))
	return time.Since(rs.request.Arrived) < maxWait*busyRetryPercent/100
}

// mayRepeat reports whether the next attempt may be repeated, so that the upstream's host
// may give it up. Silent upstreams cost a request one attempt at most, and its last attempt
// waits for the response.
func (r *Router) mayRepeat(rs *requestState) bool {
	if !rs.rule.Kind.IsIdempotent() || !r.GiveUpSilent {
		return rs.rule.Kind.IsIdempotent()
	}
	return !rs.sawSilence && rs.upstreamAttempts+1 < rs.rule.MaxAttempts && len(rs.tried) < maxAttemptedHosts
}

// latencyTarget returns the time within which a response has its full value to the
// caller.
func (r *Router) latencyTarget(rs *requestState) time.Duration {
	if rs.rule.LatencyTarget > 0 {
		return rs.rule.LatencyTarget
	}
	return rs.rule.Timeout / 2
}

// tryWithdrawRetry reports whether a request that reached an upstream may be sent to
// another one. If so, it withdraws the retry from the budget.
func (r *Router) tryWithdrawRetry(rs *requestState) bool {
	if rs.upstreamAttempts >= rs.rule.MaxAttempts || len(rs.tried) >= maxAttemptedHosts || time.Until(rs.deadline) < r.Picker.TypicalServiceTime(rs.rule.Name)/2 {
		return false
	}
	return r.Budget.TryWithdrawFor(time.Now(), rs.service, rs.record.Account, rs.snapshot.NodeCount)
}

// replaceUnsafeStatus returns the response of an upstream, or an error response if its
// status would tell the caller that the request did not run although the upstream has
// not confirmed that.
func (r *Router) replaceUnsafeStatus(rs *requestState, response *front.Response) *front.Response {
	switch response.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		response.Release()
		return r.localResponse(rs, http.StatusBadGateway, ReasonUnsafeStatus, 0)
	}
	return response
}

// failureResponse returns the response to a request that no upstream answered. It
// states that the request did not run only if that is certain.
func (r *Router) failureResponse(ctx context.Context, rs *requestState, callErr *peer.CallError) *front.Response {
	if rs.fallback != nil {
		return r.replaceUnsafeStatus(rs, rs.fallback)
	}
	reason := ReasonNoUpstreams
	retryAfter := noUpstreamRetryAfter
	if callErr = cmp.Or(callErr, rs.lastFailure); callErr != nil {
		reason, retryAfter = callErr.Reason, min(max(callErr.RetryAfter, minRetryAfter), maxRetryAfter)
		if serve.Busy(callErr.Reason) && callErr.Reason != serve.ReasonRefused {
			// ReasonRefused is excluded because an upstream that refuses a request
			// although a slot was free is not overloaded.
			retryAfter = max(retryAfter, r.retryAfterOverload(rs))
		}
	}
	switch {
	case rs.mayHaveRun && (reason == peer.ReasonDeadline || errors.Is(ctx.Err(), context.DeadlineExceeded)):
		return r.localResponse(rs, http.StatusGatewayTimeout, ReasonDeadline, 0)
	case rs.mayHaveRun:
		return r.localResponse(rs, http.StatusBadGateway, reason, 0)
	default:
		return r.localResponse(rs, http.StatusServiceUnavailable, reason, retryAfter)
	}
}

// retryAfterOverload returns when a request that was refused because of overload
// should be retried: early enough to meet its latency target, with jitter so that
// retries do not arrive at the same time.
func (r *Router) retryAfterOverload(rs *requestState) time.Duration {
	mean := r.latencyTarget(rs) * overloadRetryPercent / 100
	return mean - mean*overloadJitterPercent/200 + rand.N(max(mean*overloadJitterPercent/100, 1))
}

// admission returns what the gates decide by for the next attempt.
func (r *Router) admission(rs *requestState) (a pick.Admission) {
	typical := r.Picker.TypicalServiceTime(rs.rule.Name)
	a.StartWithin, _ = r.queueLimits(rs, typical)
	a.Class = pick.RequestClass{
		Rule: rs.rule.Name, Account: rs.record.Account, Priority: rs.priority, Overdue: r.isOverdue(rs, typical),
	}
	return a
}

// noUpstreamResponse returns the response to a request for which the picker found no
// upstream, or no further one.
func (r *Router) noUpstreamResponse(ctx context.Context, rs *requestState, err error) *front.Response {
	var busy *pick.AllBusyError
	if errors.As(err, &busy) && len(rs.tried) == 0 {
		return r.localResponse(rs, http.StatusServiceUnavailable, ReasonAllBusy, r.retryAfterOverload(rs))
	}
	return r.failureResponse(ctx, rs, nil)
}

// localResponse returns a response that this node generates.
func (r *Router) localResponse(rs *requestState, status int, reason string, retryAfter time.Duration) *front.Response {
	rs.record.Reason, rs.record.RetryAfter = reason, retryAfter
	response := &front.Response{Status: status, Body: []byte(reason + "\n")}
	response.Length = int64(len(response.Body))
	response.Headers = append(response.Headers, &wire.Header{Name: "Content-Type", Value: "text/plain; charset=utf-8"})
	if rs.record.ID != "" {
		name, value := r.Headers.RequestIDHeader(rs.record.ID)
		response.Headers = append(response.Headers, &wire.Header{Name: name, Value: value})
	}
	if retryAfter > 0 {
		response.Headers = append(response.Headers, &wire.Header{
			Name: "Retry-After", Value: strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64),
		})
	}
	return response
}

// newBodyReader returns a reader of the body for one attempt, or nil if the body is
// empty.
func newBodyReader(body *quota.Body) io.Reader {
	if body.Len() == 0 {
		return nil
	}
	return body.NewReader()
}

// recordAttempt appends an attempt to the record of the request.
func (r *Router) recordAttempt(rs *requestState, attempt Attempt, start time.Time, reply *peer.Reply, callErr *peer.CallError) {
	attempt.Duration = time.Since(start)
	switch {
	case callErr != nil:
		attempt.Outcome, attempt.Reason, attempt.LoadPercent = callErr.Outcome.String(), callErr.Reason, callErr.LoadPercent
		if callErr.Err != nil {
			attempt.Reason += ": " + callErr.Err.Error()
		}
	default:
		attempt.Outcome, attempt.Status = "answered", int(reply.Head.GetStatus())
		attempt.LoadPercent = int(reply.Head.GetLoadPercent())
		attempt.ServiceTime, attempt.NodeTime = microseconds(reply.Head.GetServiceMicros()), microseconds(reply.Head.GetNodeMicros())
	}
	rs.record.Attempts = append(rs.record.Attempts, attempt)
}

// RequestRecord describes how a request was processed and how it ended.
type RequestRecord struct {
	ID, Method, Host, Path string
	// Version is the version in force when the request was routed; zero if there was
	// none.
	Version mesh.Version
	// Rule and Service are empty if no rule matched.
	Rule    string
	Service mesh.Service
	Rank    int
	// Account is empty if the request is anonymous.
	Account mesh.Account
	Arrived time.Time
	// Timeout is the time allowed for the request, and Duration the time it took.
	Timeout, Duration time.Duration
	Attempts          []Attempt
	Status            int
	// Reason is empty if the response is that of an upstream.
	Reason     string
	RetryAfter time.Duration
	// Canceled is true if the caller disconnected before the response was sent.
	Canceled bool
}

// Attempt describes one host that a request was sent to.
type Attempt struct {
	Host mesh.HostID
	// Outcome is "answered", "not-run" or "unknown".
	Outcome string
	Reason  string
	Status  int
	// LoadPercent is the load that the host reported, and ExpectedLatency the latency
	// that the picker expected when it chose the host.
	LoadPercent     int
	ExpectedLatency time.Duration
	// Duration is the total time of the attempt. NodeTime is the part spent at the
	// node of the host, and ServiceTime the part spent at its upstream.
	Duration, NodeTime, ServiceTime time.Duration
}
