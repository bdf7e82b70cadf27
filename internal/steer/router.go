// Package steer routes the requests of callers to upstreams. According to the version
// in force, it finds the matching rule, picks an upstream, retries where that is
// allowed, and generates a response if no upstream responds. Such a response states
// that the request did not run only if that is certain.
package steer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/pkg/intake"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/retry"
)

// SnapshotSource provides the snapshot by which requests are routed.
type SnapshotSource interface {
	Snapshot() cells.ProxySnapshot
	// Ready returns a channel that is closed once the snapshot is complete enough to
	// serve requests.
	Ready() <-chan struct{}
	// LastConfirmed returns the time at which the version in force was last known to be
	// the newest; zero if it never was.
	LastConfirmed(now time.Time) time.Time
}

// RemoteCaller sends calls to other nodes. Its errors are of type *peer.CallError.
type RemoteCaller interface {
	Call(ctx context.Context, node netip.AddrPort, call *peer.Call) (*peer.Reply, error)
}

// LocalCaller sends calls to the upstream of this node. Its errors are of type
// *peer.CallError.
type LocalCaller interface {
	Call(ctx context.Context, call *peer.Call) (*peer.Reply, error)
}

// HeaderCodec reads and writes the headers with which callers and the mesh mark
// requests.
type HeaderCodec interface {
	// RequestID returns the ID of the caller's attempt; empty if there is none.
	RequestID(header func(name string) string) string
	// Timeout returns how long the caller waits; zero if unspecified.
	Timeout(header func(name string) string) (time.Duration, error)
	// IsReserved reports whether the mesh sets the header. The value that a caller
	// sent is then discarded.
	IsReserved(name string) bool
	// OriginHeader returns the header that tells an upstream which service sent the
	// request.
	OriginHeader(service mesh.Service) (name, value string)
	// RequestIDHeader returns the response header with the ID of the caller's attempt.
	RequestIDHeader(id string) (name, value string)
	// Keys returns the keys of client accounts that the caller sent.
	Keys(values func(name string) []string) []string
	// IdentifiesAccount reports whether the header identifies a client account. It is
	// not forwarded if the version in force identifies callers, or if KeyGuard is set.
	IdentifiesAccount(name string) bool
	// AccountHeader returns the header that tells an upstream the account of the caller.
	AccountHeader(account mesh.Account) (name, value string)
}

// Recorder receives the record of each finished request. It must not block.
type Recorder interface {
	Record(record RequestRecord)
}

// Router routes requests. The fields before Picker must be set except where noted, and
// no field may change after the first request.
type Router struct {
	Snapshots SnapshotSource
	Remote    RemoteCaller
	Local     LocalCaller
	Headers   HeaderCodec
	Recorder  Recorder
	// Pinger detects when an unreachable node responds again. If nil, requests are
	// sent to such nodes as to any other.
	Pinger Pinger
	// Host and Place are those of this node.
	Host  mesh.HostID
	Place mesh.Place
	// Service returns the service of the upstream of this node.
	Service func() mesh.Service

	// Nested tells the calls of this node's upstream from requests of callers; nil means
	// that all are requests of callers.
	Nested NestedCalls

	// FinishBy returns the time by which a request must be finished to be taken, as the
	// process ends then; zero means no limit. It may be nil and must not block.
	FinishBy func() time.Time

	// GiveUpSilent allows upstreams' hosts to give up one attempt of each request that may
	// be repeated, if the upstream sends no byte of a response while it answers others.
	GiveUpSilent bool

	// OnPanic is called with the value and the stack of a panic while a request is
	// processed. It may be nil and must not block.
	OnPanic func(value any, stack []byte)

	// KeyGuard limits the use of revoked keys. If nil, there is no limit.
	KeyGuard KeyGuard

	// Quotas decides whether requests of accounts may run; nil admits all.
	Quotas Quotas

	// Memory is the memory for response bodies. It must be set.
	Memory *quota.Memory

	Picker   pick.Picker
	Budget   retry.SharedBudget
	Intake   intake.Limiter
	Outcomes OutcomeTally
	timeouts timeoutTracker

	attemptCount atomic.Uint64
}

// requestState is the state of one request while it is processed.
type requestState struct {
	request *front.Request
	record  RequestRecord
	rule    *plan.Rule
	// account is the client account of the request; nil if it is anonymous.
	account *plan.Account
	// keysAdmitted is true if the request may be served with a key of snapshot.
	keysAdmitted bool
	// priority is that of the rule and the account, or for a nested call that of the
	// request it is made for.
	priority mesh.Priority
	nested   bool
	service  mesh.Service
	snapshot cells.ProxySnapshot
	// admission is what the gates decide by for the next attempt.
	admission pick.Admission
	// tried lists the hosts of the attempts so far.
	tried []mesh.HostID
	// inTrial is true if the current attempt is part of the trial of a release, and
	// noTrial if none may be.
	inTrial, noTrial bool
	// upstreamAttempts counts the attempts that may have reached an upstream.
	upstreamAttempts int
	deadline         time.Time
	// elapsedBefore is the time that the caller spent on earlier attempts at the same
	// request.
	elapsedBefore time.Duration
	// mayHaveRun is true if an attempt failed in a way that leaves open whether the
	// request ran.
	mayHaveRun bool
	// sawSilence is true if an attempt was given up because its upstream was silent.
	sawSilence bool
	// lastFailure is the error of the last failed attempt; nil if there was none.
	lastFailure *peer.CallError
	// fallback is an error response of an upstream, which is returned if no retry
	// succeeds.
	fallback *front.Response
}

// setFallback replaces the fallback and releases the former one.
func (rs *requestState) setFallback(response *front.Response) {
	if rs.fallback != nil {
		rs.fallback.Release()
	}
	rs.fallback = response
}

// Handle implements front.Handler.
func (r *Router) Handle(ctx context.Context, request *front.Request) *front.Response {
	rs := &requestState{request: request}
	rs.record = RequestRecord{ID: r.Headers.RequestID(request.HeaderValue), Method: request.Method, Host: request.Host, Path: request.Path, Arrived: request.Arrived}
	response := r.routeOrRecover(ctx, rs)
	response.SendBy = rs.deadline
	rs.record.Status, rs.record.Duration = response.Status, time.Since(request.Arrived)
	rs.record.Canceled = ctx.Err() != nil
	r.Recorder.Record(rs.record)
	return response
}

// routeOrRecover routes a request. A panic ends this request alone: the process holds
// the requests of other callers.
func (r *Router) routeOrRecover(ctx context.Context, rs *requestState) (response *front.Response) {
	defer func() {
		if value := recover(); value != nil {
			if r.OnPanic != nil {
				r.OnPanic(value, debug.Stack())
			}
			response = r.localResponse(rs, http.StatusBadGateway, ReasonInternalError, 0)
		}
	}()
	return r.route(ctx, rs)
}

// HandleMalformed implements front.Handler.
func (r *Router) HandleMalformed(status int, reason string) *front.Response {
	rs := &requestState{record: RequestRecord{Arrived: time.Now(), Status: status}}
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = noUpstreamRetryAfter
	}
	response := r.localResponse(rs, status, reason, retryAfter)
	r.Recorder.Record(rs.record)
	return response
}

func (r *Router) route(ctx context.Context, rs *requestState) *front.Response {
	timeout, err := r.Headers.Timeout(rs.request.HeaderValue)
	if err != nil {
		return r.localResponse(rs, http.StatusBadRequest, ReasonBadHeader, 0)
	}
	r.waitForSnapshot(ctx, timeout)
	rs.keysAdmitted = r.admitsKeys()
	rs.snapshot = r.Snapshots.Snapshot()
	rs.record.Version = rs.snapshot.Plan.Version()
	if rs.snapshot.Plan == nil {
		return r.localResponse(rs, http.StatusServiceUnavailable, ReasonNoVersion, noVersionRetryAfter)
	}
	rule, found := rs.snapshot.Plan.Match(rs.request.Host, rs.request.Path)
	if !found {
		return r.noRuleResponse(rs)
	}
	rs.rule, rs.record.Rule, rs.record.Rank = rule, rule.Name, rule.Rank
	if response := r.identify(rs); response != nil {
		return response
	}
	if rs.snapshot.Plan.IdentifiesCallers() {
		end, admitted := r.Intake.Begin(rs.record.Account)
		if !admitted {
			return r.localResponse(rs, http.StatusServiceUnavailable, ReasonAccountPending, r.retryAfterOverload(rs))
		}
		defer end()
	}
	r.classify(rs)
	if rs.service, found = rule.ChooseService(rand.Float64()); !found {
		return r.localResponse(rs, http.StatusServiceUnavailable, ReasonNoService, noVersionRetryAfter)
	}
	rs.record.Service = rs.service
	rs.elapsedBefore = r.timeouts.elapsed(rule.Name, timeout)
	if timeout == 0 || timeout > rule.Timeout {
		timeout = rule.Timeout
	}
	rs.deadline = rs.request.Arrived.Add(timeout)
	rs.record.Timeout = timeout
	if r.FinishBy != nil && serve.EndsTooLate(r.FinishBy(), rs.deadline) {
		return r.localResponse(rs, http.StatusServiceUnavailable, ReasonStopping, noUpstreamRetryAfter)
	}
	ctx, cancel := context.WithDeadline(ctx, rs.deadline)
	defer cancel()
	return r.runWithToken(ctx, rs)
}

// noRuleResponse returns the response to a request that no rule of the version in force
// matches. While that may not be the newest version, the rule may exist, so the caller is
// told to come back.
func (r *Router) noRuleResponse(rs *requestState) *front.Response {
	if !r.isConfirmed() {
		return r.localResponse(rs, http.StatusServiceUnavailable, ReasonVersionUnconfirmed, noVersionRetryAfter)
	}
	return r.localResponse(rs, http.StatusNotFound, ReasonNoRule, 0)
}

// isConfirmed reports whether the version in force was recently known to be the newest.
func (r *Router) isConfirmed() bool {
	now := time.Now()
	return now.Sub(r.Snapshots.LastConfirmed(now)) <= maxVersionAge
}

// waitForSnapshot waits for the first version after the start of the node, but no
// longer than a part of the caller's timeout.
func (r *Router) waitForSnapshot(ctx context.Context, timeout time.Duration) {
	if timeout == 0 {
		timeout = defaultTimeout
	}
	select {
	case <-r.Snapshots.Ready():
		return
	default:
	}
	timer := time.NewTimer(timeout * snapshotWaitPercent / 100)
	defer timer.Stop()
	select {
	case <-r.Snapshots.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// runAttempts makes attempts until one is answered or no further one is allowed.
func (r *Router) runAttempts(ctx context.Context, rs *requestState) *front.Response {
	for {
		rs.admission = r.admission(rs)
		candidate, expected, err := r.Picker.PickCheapest(time.Now(), pick.CostRequest{
			Set: r.candidateSet(rs), From: r.Place, FromHost: r.Host, Tried: rs.tried, Class: rs.rule.Name, DistanceCosts: r.distanceCosts(rs),
			LargeResponse: rs.rule.Kind == plan.Download, CallerNodes: rs.snapshot.NodeCount, Admission: rs.admission,
		})
		if err != nil && rs.inTrial {
			// The upstreams of the trial are few. If they refuse all, those that serve take
			// the request.
			rs.noTrial = true
			continue
		}
		if err != nil {
			return r.noUpstreamResponse(ctx, rs, err)
		}
		if len(rs.tried) > 0 && (time.Until(rs.deadline) < expected/2 || r.tooFarForRetry(rs, candidate, expected)) {
			return r.failureResponse(ctx, rs, nil)
		}
		response, callErr := r.attempt(ctx, rs, candidate, expected)
		if callErr == nil {
			if !r.shouldRetryResponse(rs, candidate.Host, response.Status) {
				rs.setFallback(nil)
				return r.replaceUnsafeStatus(rs, response)
			}
			rs.setFallback(response)
			continue
		}
		if !r.shouldTryAnother(ctx, rs, callErr) {
			return r.failureResponse(ctx, rs, callErr)
		}
	}
}

// shouldRetryResponse reports whether an idempotent request is retried at another
// upstream after an error response of this host, which must fail clearly more often
// than the others. If so, it withdraws the retry from the budget.
func (r *Router) shouldRetryResponse(rs *requestState, host mesh.HostID, status int) bool {
	if status < http.StatusInternalServerError || !rs.rule.Kind.IsIdempotent() {
		return false
	}
	return (rs.inTrial || r.Picker.IsOutlier(rs.snapshot.CandidateSets[rs.service], host)) && r.tryWithdrawRetry(rs)
}

// attempt calls one upstream and reads its response completely.
func (r *Router) attempt(
	ctx context.Context, rs *requestState, candidate pick.Candidate, expected time.Duration,
) (response *front.Response, callErr *peer.CallError) {
	rs.tried = append(rs.tried, candidate.Host)
	start := time.Now()
	large := rs.rule.Kind == plan.Download
	pending := r.Picker.BeginWithExpectedLatency(start, candidate.Host, expected, large)
	var outcome pick.Outcome
	observer := r.observeAttempt(rs, candidate)
	reply, body, err := r.fetch(ctx, r.addressCall(rs, r.newCall(rs), candidate), candidate)
	now := time.Now()
	if err != nil {
		callErr = toCallError(err)
		outcome = failedOutcome(ctx, callErr, rs)
		if isUnreachable(callErr) {
			r.probeUntilReachable(candidate)
		}
	} else {
		outcome = pick.Outcome{
			Latency: now.Sub(start), LoadPercent: int(reply.Head.GetLoadPercent()),
			Failed:        reply.Head.GetStatus() >= http.StatusInternalServerError,
			LargeResponse: large, HasLinkWait: true, LinkWait: microseconds(reply.Head.GetLinkMicros()),
			Timings: pick.Timings{
				Class: rs.rule.Name, ServiceTime: microseconds(reply.Head.GetServiceMicros()), NodeTime: microseconds(reply.Head.GetNodeMicros()),
			},
		}
	}
	pending.End(now, outcome)
	observer.end(ctx, reply, callErr)
	if reply != nil {
		r.Budget.RecordFanOut(now, rs.service, float64(reply.Head.GetCallsPercent())/100)
		r.reportOrigin(now, rs, reply.Head)
	}
	r.recordAttempt(rs, Attempt{Host: candidate.Host, ExpectedLatency: expected}, start, reply, callErr)
	if callErr != nil {
		return nil, callErr
	}
	rs.upstreamAttempts++
	return &front.Response{
		Status: int(reply.Head.GetStatus()), Headers: reply.Head.GetHeaders(), Body: body.Bytes(), Length: reply.Head.GetBodyLength(), Release: body.Release,
	}, nil
}
