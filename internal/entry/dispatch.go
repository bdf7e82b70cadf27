package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/internal/pause"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/retry"
	"arbutusstep.example/arbutusstep/pkg/route"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// Dispatcher sends requests to upstreams. The interfaces other than Local must
// be set; the other fields may be zero. The fields must not be changed after
// first use.
type Dispatcher struct {
	Router    Router
	Upstreams Upstreams
	Caller    Caller
	// Local handles the calls to this node's own upstream; if nil, Caller sends
	// them like any others.
	Local LocalCaller
	// Host and Place are the host and location of this node.
	Host  mesh.HostID
	Place mesh.Place
	// Incarnation makes the IDs of attempts unique across restarts.
	Incarnation uint64

	Picker pick.Picker
	Budget retry.Budget

	attemptCounter atomic.Uint64
}

// Response is the response of an upstream.
type Response struct {
	Head *wire.ReplyHead
	// Body must be closed. It ends with io.EOF only if it is complete.
	Body     io.ReadCloser
	Upstream mesh.HostID
	Service  mesh.ServiceID
	Priority mesh.Priority
	Attempts int
}

// requestState is the state of a request that is being dispatched.
type requestState struct {
	request   *Request
	target    route.Target
	priority  mesh.Priority
	upstreams *pick.CandidateSet
	// body is the body, or the part of it that was read to find out that it is too
	// long to be buffered for retries.
	body []byte
	// bodyRest is the rest of a long body; nil if body is all of it.
	bodyRest io.Reader
	// bodyLength is the length of the whole body in bytes, -1 if unknown.
	bodyLength int64
	// tried lists the hosts of all attempts so far.
	tried    []mesh.HostID
	deadline time.Time
	// mayHaveRun is true if an earlier attempt may have run.
	mayHaveRun bool
}

// Dispatch sends the request to an upstream and returns its response. Every error
// is a *Failure. The context must not end before the response body is closed.
func (d *Dispatcher) Dispatch(ctx context.Context, request *Request) (response *Response, err error) {
	s, err := d.prepare(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	response, err = d.run(ctx, s)
	if err != nil {
		cancel()
		return nil, s.annotate(err)
	}
	response.Body = &contextBody{ReadCloser: response.Body, cancel: cancel}
	response.Service, response.Priority, response.Attempts = s.target.Service, s.priority, len(s.tried)
	return response, nil
}

// annotate converts the error to a Failure and adds the details of the request.
func (s *requestState) annotate(err error) *Failure {
	failure := asFailure(err)
	failure.Service, failure.Priority, failure.Attempts = s.target.Service, s.priority, len(s.tried)
	return failure
}

// prepare finds the route of the request and reads its body.
func (d *Dispatcher) prepare(request *Request) (s *requestState, err error) {
	target, err := d.Router.Match(request.Customer, request.Method, request.Path)
	if err != nil {
		return nil, routeFailure(err)
	}
	s = &requestState{request: request, target: target, priority: target.Priority, bodyLength: request.Length}
	if request.HasPriority {
		s.priority = request.Priority
	}
	timeout := target.Timeout
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}
	s.deadline = time.Now().Add(timeout)
	if err = s.readBody(); err != nil {
		return nil, err
	}
	return s, nil
}

func routeFailure(err error) *Failure {
	failure := &Failure{Outcome: NotRun, Reason: ReasonNoConfiguration, Status: http.StatusServiceUnavailable, Err: err}
	var (
		unknown *route.UnknownCustomerError
		noRoute *route.NoRouteError
	)
	switch {
	case errors.As(err, &unknown):
		failure.Reason, failure.Status = ReasonUnknownCustomer, http.StatusNotFound
	case errors.As(err, &noRoute):
		failure.Reason, failure.Status = ReasonNoRoute, http.StatusNotFound
	}
	return failure
}

// readBody buffers a short body, so that it can be sent again in a retry. A long
// body is streamed and can be sent only once.
func (s *requestState) readBody() (err error) {
	limit := s.target.Settings.MaxBodyBytes
	tooLarge := &Failure{Outcome: NotRun, Reason: ReasonBodyTooLarge, Status: http.StatusRequestEntityTooLarge}
	if s.request.Body == nil || s.bodyLength == 0 {
		s.bodyLength = 0
		s.notifyBodyRead()
		return nil
	}
	if s.bodyLength > limit {
		return tooLarge
	}
	size := int64(MaxBufferedBody + 1)
	if s.bodyLength > 0 && s.bodyLength <= MaxBufferedBody {
		size = s.bodyLength
	}
	data, err := readUpTo(s.request.Body, size)
	switch {
	case err != nil:
		return &Failure{Outcome: NotRun, Reason: ReasonRequestBody, Status: http.StatusBadRequest, Err: err}
	case s.bodyLength > 0 && int64(len(data)) < min(s.bodyLength, size):
		return &Failure{Outcome: NotRun, Reason: ReasonRequestBody, Status: http.StatusBadRequest, Err: io.ErrUnexpectedEOF}
	case int64(len(data)) > limit:
		return tooLarge
	}
	s.body = data
	if int64(len(data)) <= MaxBufferedBody {
		s.bodyLength = int64(len(data))
		return s.expectEOF()
	}
	s.bodyRest = &limitedBody{source: s.request.Body, remaining: limit - int64(len(data)), onEOF: s.notifyBodyRead}
	return nil
}

// expectEOF checks that the body ends where the buffered part does, and calls
// OnBodyRead.
func (s *requestState) expectEOF() (err error) {
	var extra [1]byte
	n, err := s.request.Body.Read(extra[:])
	if n > 0 || err != nil && !errors.Is(err, io.EOF) {
		return &Failure{Outcome: NotRun, Reason: ReasonRequestBody, Status: http.StatusBadRequest, Err: err}
	}
	s.notifyBodyRead()
	return nil
}

func (s *requestState) notifyBodyRead() {
	if s.request.OnBodyRead != nil {
		s.request.OnBodyRead()
	}
}

// run makes attempts until one gets a response or no further one is allowed.
func (d *Dispatcher) run(ctx context.Context, s *requestState) (response *Response, err error) {
	s.upstreams, err = d.Upstreams.Upstreams(ctx, s.target.Service)
	if err != nil {
		return nil, &Failure{Outcome: NotRun, Reason: ReasonLookupFailed, Status: http.StatusServiceUnavailable, Err: err}
	}
	policy := retryPolicy(s.target.Settings)
	d.Budget.Deposit(time.Now(), s.target.Service, policy)
	for {
		candidate, pickErr := d.choose(s)
		if pickErr != nil {
			return nil, &Failure{Outcome: NotRun, Reason: ReasonNoUpstreams, Status: http.StatusServiceUnavailable, Err: pickErr}
		}
		response, callErr := d.attempt(ctx, s, candidate)
		if callErr == nil {
			return response, nil
		}
		decision := d.decideRetry(s, callErr, policy)
		if !decision.Retry || pause.For(ctx, decision.Delay) != nil {
			return nil, s.newFailure(candidate.Host, callErr)
		}
	}
}

// attempt calls one upstream once.
func (d *Dispatcher) attempt(ctx context.Context, s *requestState, candidate pick.Candidate) (response *Response, callErr *peer.CallError) {
	s.tried = append(s.tried, candidate.Host)
	start := time.Now()
	attempt := d.Picker.Begin(start, candidate.Host)
	call := d.newCall(s)
	reply, err := d.call(ctx, candidate, call)
	now := time.Now()
	if err != nil {
		if !errors.As(err, &callErr) {
			callErr = &peer.CallError{Outcome: peer.Unknown, Reason: peer.ReasonProtocol, Err: err}
		}
		attempt.End(now, pick.Outcome{
			Failed:      !endedByCaller(ctx, callErr),
			NotRun:      callErr.Outcome == peer.NotRun,
			Busy:        serve.Busy(callErr.Reason),
			LoadPercent: callErr.LoadPercent,
			RetryAfter:  callErr.RetryAfter,
		})
		return nil, callErr
	}
	body := &trackedBody{ReadCloser: reply.Body, attempt: attempt, outcome: pick.Outcome{
		Latency: now.Sub(start), LoadPercent: int(reply.Head.GetLoadPercent()),
	}}
	if candidate.Place.Region != d.Place.Region {
		body.picker = &d.Picker
		d.Picker.SpendLinkBudget(int(max(0, s.bodyLength)))
	}
	response = &Response{Head: reply.Head, Body: body, Upstream: candidate.Host}
	if s.target.Idempotent && s.request.Method != http.MethodHead {
		if err = response.buffer(); err != nil {
			return nil, &peer.CallError{Outcome: peer.Unknown, Reason: reasonTruncated, Err: err}
		}
		// While a frame arrives slowly, a read from the session can return after the
		// deadline.
		if err = ctx.Err(); err != nil {
			return nil, &peer.CallError{Outcome: peer.Unknown, Reason: peer.ReasonDeadline, Err: err}
		}
	}
	return response, nil
}

// call sends the call to the node of the candidate.
func (d *Dispatcher) call(ctx context.Context, candidate pick.Candidate, call *peer.Call) (reply *peer.Reply, err error) {
	if d.Local != nil && candidate.Host == d.Host {
		reply, err = d.Local.Call(ctx, call)
	} else {
		reply, err = d.Caller.Call(ctx, candidate.Node, call)
	}
	if err != nil {
		return nil, err
	}
	if err = reply.Check(); err != nil {
		return nil, err
	}
	return reply, nil
}

// endedByCaller reports whether the call failed because of the caller and not of
// the upstream.
func endedByCaller(ctx context.Context, callErr *peer.CallError) bool {
	return errors.Is(ctx.Err(), context.Canceled) || callErr.Reason == peer.ReasonRequestBody
}

// newCall returns the call for the next attempt.
func (d *Dispatcher) newCall(s *requestState) *peer.Call {
	head := &wire.CallHead{
		Customer:     string(s.target.Service.Customer),
		Service:      string(s.target.Service.Service),
		Method:       s.request.Method,
		Path:         s.request.Target,
		Headers:      s.request.Headers,
		Priority:     uint32(s.priority),
		Idempotent:   s.target.Idempotent,
		Key:          s.request.Key,
		Attempt:      d.newAttemptID(),
		BodyLength:   s.bodyLength,
		CallerRegion: string(d.Place.Region),
		Route:        s.target.Route,
	}
	if s.target.AtMostOnce && s.request.Key != "" {
		head.KeyWindowMicros = s.target.Settings.IdempotencyWindow.Microseconds()
		head.KeyStore = uint32(s.target.Settings.IdempotencyStore)
	}
	// A retry must not wait on another dead session.
	call := &peer.Call{Head: head, CheckLiveness: len(s.tried) > 1}
	if s.bodyLength != 0 {
		call.Body = newAttemptBody(s.body, s.bodyRest)
	}
	return call
}

// newAttemptID returns an ID that is unique among the attempts of all nodes.
func (d *Dispatcher) newAttemptID() string {
	id := make([]byte, 0, len(d.Host)+34)
	id = append(id, d.Host...)
	id = append(id, '-')
	id = strconv.AppendUint(id, d.Incarnation, 36)
	id = append(id, '-')
	return string(strconv.AppendUint(id, d.attemptCounter.Add(1), 36))
}

func (d *Dispatcher) decideRetry(s *requestState, callErr *peer.CallError, policy retry.Policy) retry.Decision {
	outcome := retry.Unknown
	if callErr.Outcome == peer.NotRun {
		outcome = retry.NotRun
	}
	if s.bodyRest != nil || callErr.Reason == peer.ReasonRequestBody || serve.Claimed(callErr.Reason) {
		return retry.Decision{Reason: retry.Exhausted}
	}
	decision := retry.Decide(retry.Attempt{
		Now:               time.Now(),
		Deadline:          s.deadline,
		Number:            len(s.tried),
		Outcome:           outcome,
		Unreached:         callErr.Reason == peer.ReasonDialFailed || serve.Unreached(callErr.Reason),
		EarlierMayHaveRun: s.mayHaveRun,
		Idempotent:        s.target.Idempotent,
		SameHost:          d.allTried(s),
		RetryAfter:        callErr.RetryAfter,
		Service:           s.target.Service,
		Policy:            policy,
		Budget:            &d.Budget,
		Random:            rand.Float64,
	})
	s.mayHaveRun = s.mayHaveRun || outcome == retry.Unknown
	return decision
}

// newFailure returns the failure of the request after its last attempt.
func (s *requestState) newFailure(host mesh.HostID, callErr *peer.CallError) *Failure {
	failure := &Failure{
		Outcome: NotRun, Reason: callErr.Reason, Status: http.StatusServiceUnavailable,
		RetryAfter: callErr.RetryAfter, Upstream: host, Err: callErr.Err,
	}
	var tooLarge *bodyTooLargeError
	switch {
	case callErr.Outcome == peer.Unknown || s.mayHaveRun:
		failure.Outcome, failure.Status = Unknown, http.StatusBadGateway
	case callErr.Reason == peer.ReasonRequestBody:
		failure.Status = http.StatusBadRequest
	}
	if errors.As(callErr.Err, &tooLarge) {
		failure.Reason, failure.Status = ReasonBodyTooLarge, http.StatusRequestEntityTooLarge
	}
	return failure
}

func retryPolicy(settings *tree.Settings) retry.Policy {
	return retry.Policy{MaxAttempts: settings.MaxAttempts, BudgetPercent: settings.RetryBudgetPercent}
}
