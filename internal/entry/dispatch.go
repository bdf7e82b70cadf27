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

// Dispatcher brings requests to upstreams. The interfaces must be set; the rest
// may be zero. The fields must not change once it is used.
type Dispatcher struct {
	Router    Router
	Upstreams Upstreams
	Caller    Caller
	// Local takes the calls to this node's own upstream; nil sends them to
	// Caller like any other.
	Local LocalCaller
	// Host and Place are this node's.
	Host  mesh.HostID
	Place mesh.Place
	// Incarnation makes the names of attempts unique over restarts.
	Incarnation uint64

	Picker pick.Picker
	Budget retry.Budget

	attempts atomic.Uint64
}

// Response is an upstream's answer to a request.
type Response struct {
	Head *wire.ReplyHead
	// Body must be closed; it ends with io.EOF only when it is whole.
	Body     io.ReadCloser
	Upstream mesh.HostID
	Service  mesh.ServiceID
	Priority mesh.Priority
	Attempts int
}

// job is one request on its way.
type job struct {
	request  *Request
	target   route.Target
	priority mesh.Priority
	set      *pick.CandidateSet
	// body is the whole body when it is held for retries.
	body []byte
	// stream is what a longer body consists of; nil when body holds it all.
	stream io.Reader
	length int64
	// tried lists the hosts of the attempts so far.
	tried    []mesh.HostID
	deadline time.Time
	// earlier is set once an attempt may have run.
	earlier bool
}

// Dispatch finds the upstream for the request and returns its answer. Any
// error is a *Failure. The context must live until the answer's body is closed.
func (d *Dispatcher) Dispatch(ctx context.Context, request *Request) (answer *Response, err error) {
	j, err := d.prepare(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	answer, err = d.run(ctx, j)
	if err != nil {
		cancel()
		return nil, j.describe(err)
	}
	answer.Body = &answerBody{ReadCloser: answer.Body, cancel: cancel}
	answer.Service, answer.Priority, answer.Attempts = j.target.Service, j.priority, len(j.tried)
	return answer, nil
}

// describe says in a failure which request it ended.
func (j *job) describe(err error) *Failure {
	failure := asFailure(err)
	failure.Service, failure.Priority, failure.Attempts = j.target.Service, j.priority, len(j.tried)
	return failure
}

// prepare matches the request and takes in its body.
func (d *Dispatcher) prepare(request *Request) (j *job, err error) {
	target, err := d.Router.Match(request.Customer, request.Method, request.Path)
	if err != nil {
		return nil, noTarget(err)
	}
	j = &job{request: request, target: target, priority: target.Priority, length: request.Length}
	if request.HasPriority {
		j.priority = request.Priority
	}
	timeout := target.Timeout
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}
	j.deadline = time.Now().Add(timeout)
	if err = j.takeBody(); err != nil {
		return nil, err
	}
	return j, nil
}

func noTarget(err error) *Failure {
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

// takeBody holds a short body for retries and leaves a long one to be streamed.
func (j *job) takeBody() (err error) {
	limit := j.target.Settings.MaxBodyBytes
	tooLarge := &Failure{Outcome: NotRun, Reason: ReasonBodyTooLarge, Status: http.StatusRequestEntityTooLarge}
	if j.request.Body == nil || j.length == 0 {
		j.length = 0
		j.held()
		return nil
	}
	if j.length > limit {
		return tooLarge
	}
	size := int64(MaxBufferedBody + 1)
	if j.length > 0 && j.length <= MaxBufferedBody {
		size = j.length
	}
	data, err := readUpTo(j.request.Body, size)
	switch {
	case err != nil:
		return &Failure{Outcome: NotRun, Reason: ReasonRequestBody, Status: http.StatusBadRequest, Err: err}
	case j.length > 0 && int64(len(data)) < min(j.length, size):
		return &Failure{Outcome: NotRun, Reason: ReasonRequestBody, Status: http.StatusBadRequest, Err: io.ErrUnexpectedEOF}
	case int64(len(data)) > limit:
		return tooLarge
	}
	j.body = data
	if int64(len(data)) <= MaxBufferedBody {
		j.length = int64(len(data))
		return j.hold()
	}
	j.stream = &limitedBody{source: j.request.Body, left: limit - int64(len(data)), ended: j.held}
	return nil
}

// hold makes sure that the held body is all there is, and says so.
func (j *job) hold() (err error) {
	var one [1]byte
	n, err := j.request.Body.Read(one[:])
	if n > 0 || err != nil && !errors.Is(err, io.EOF) {
		return &Failure{Outcome: NotRun, Reason: ReasonRequestBody, Status: http.StatusBadRequest, Err: err}
	}
	j.held()
	return nil
}

func (j *job) held() {
	if j.request.OnBodyRead != nil {
		j.request.OnBodyRead()
	}
}

// run makes attempts until one is answered or no further one is allowed.
func (d *Dispatcher) run(ctx context.Context, j *job) (answer *Response, err error) {
	j.set, err = d.Upstreams.Upstreams(ctx, j.target.Service)
	if err != nil {
		return nil, &Failure{Outcome: NotRun, Reason: ReasonLookupFailed, Status: http.StatusServiceUnavailable, Err: err}
	}
	policy := policyOf(j.target.Settings)
	d.Budget.Deposit(time.Now(), j.target.Service, policy)
	for {
		candidate, pickErr := d.choose(j)
		if pickErr != nil {
			return nil, &Failure{Outcome: NotRun, Reason: ReasonNoUpstreams, Status: http.StatusServiceUnavailable, Err: pickErr}
		}
		answer, failed := d.attempt(ctx, j, candidate)
		if failed == nil {
			return answer, nil
		}
		decision := d.decide(j, failed, policy)
		if !decision.Retry || pause.For(ctx, decision.Delay) != nil {
			return nil, j.failure(candidate.Host, failed)
		}
	}
}

// attempt calls one upstream once.
func (d *Dispatcher) attempt(ctx context.Context, j *job, candidate pick.Candidate) (answer *Response, failed *peer.CallError) {
	j.tried = append(j.tried, candidate.Host)
	start := time.Now()
	flight := d.Picker.Begin(start, candidate.Host)
	call := d.call(j)
	var reply *peer.Reply
	var err error
	if d.Local != nil && candidate.Host == d.Host {
		reply, err = d.Local.Call(ctx, call)
	} else {
		reply, err = d.Caller.Call(ctx, candidate.Node, call)
	}
	now := time.Now()
	if err != nil {
		if !errors.As(err, &failed) {
			failed = &peer.CallError{Outcome: peer.Unknown, Reason: peer.ReasonProtocol, Err: err}
		}
		flight.End(now, pick.Outcome{
			Failed:      !gaveUp(ctx, failed),
			NotRun:      failed.Outcome == peer.NotRun,
			Busy:        serve.Busy(failed.Reason),
			LoadPercent: failed.LoadPercent,
			RetryAfter:  failed.RetryAfter,
		})
		return nil, failed
	}
	body := &flightBody{ReadCloser: reply.Body, flight: flight, outcome: pick.Outcome{
		Latency: now.Sub(start), LoadPercent: int(reply.Head.GetLoadPercent()),
	}}
	if candidate.Place.Region != d.Place.Region {
		body.picker = &d.Picker
		d.Picker.SpendLinkBudget(int(max(0, j.length)))
	}
	answer = &Response{Head: reply.Head, Body: body, Upstream: candidate.Host}
	if j.target.Idempotent && j.request.Method != http.MethodHead {
		if err = answer.hold(); err != nil {
			return nil, &peer.CallError{Outcome: peer.Unknown, Reason: reasonCut, Err: err}
		}
		// A session's read can outlast the deadline while a frame arrives slowly.
		if err = ctx.Err(); err != nil {
			return nil, &peer.CallError{Outcome: peer.Unknown, Reason: peer.ReasonDeadline, Err: err}
		}
	}
	return answer, nil
}

// gaveUp reports whether the caller, and not the upstream, ended the call.
func gaveUp(ctx context.Context, failed *peer.CallError) bool {
	return errors.Is(ctx.Err(), context.Canceled) || failed.Reason == peer.ReasonRequestBody
}

// call builds the message to the upstream's node.
func (d *Dispatcher) call(j *job) *peer.Call {
	head := &wire.CallHead{
		Customer:     string(j.target.Service.Customer),
		Service:      string(j.target.Service.Service),
		Method:       j.request.Method,
		Path:         j.request.Target,
		Headers:      j.request.Headers,
		Priority:     uint32(j.priority),
		Idempotent:   j.target.Idempotent,
		Key:          j.request.Key,
		Attempt:      d.attemptName(),
		BodyLength:   j.length,
		CallerRegion: string(d.Place.Region),
		Route:        j.target.Route,
	}
	if j.target.AtMostOnce && j.request.Key != "" {
		head.KeyWindowMicros = j.target.Settings.IdempotencyWindow.Microseconds()
		head.KeyStore = uint32(j.target.Settings.IdempotencyStore)
	}
	// A repeat must not wait on one more session that fell silent.
	call := &peer.Call{Head: head, CheckLiveness: len(j.tried) > 1}
	if j.length != 0 {
		call.Body = newBody(j.body, j.stream)
	}
	return call
}

// attemptName is unique for each attempt of any node.
func (d *Dispatcher) attemptName() string {
	name := make([]byte, 0, len(d.Host)+34)
	name = append(name, d.Host...)
	name = append(name, '-')
	name = strconv.AppendUint(name, d.Incarnation, 36)
	name = append(name, '-')
	return string(strconv.AppendUint(name, d.attempts.Add(1), 36))
}

func (d *Dispatcher) decide(j *job, failed *peer.CallError, policy retry.Policy) retry.Decision {
	outcome := retry.Unknown
	if failed.Outcome == peer.NotRun {
		outcome = retry.NotRun
	}
	if j.stream != nil || failed.Reason == peer.ReasonRequestBody || serve.Claimed(failed.Reason) {
		return retry.Decision{Reason: retry.Exhausted}
	}
	decision := retry.Decide(retry.Attempt{
		Now:               time.Now(),
		Deadline:          j.deadline,
		Number:            len(j.tried),
		Outcome:           outcome,
		Unreached:         failed.Reason == peer.ReasonDialFailed || serve.Unreached(failed.Reason),
		EarlierMayHaveRun: j.earlier,
		Idempotent:        j.target.Idempotent,
		SameHost:          d.exhausted(j),
		RetryAfter:        failed.RetryAfter,
		Service:           j.target.Service,
		Policy:            policy,
		Budget:            &d.Budget,
		Random:            rand.Float64,
	})
	j.earlier = j.earlier || outcome == retry.Unknown
	return decision
}

// failure returns the end of a request after its last attempt.
func (j *job) failure(host mesh.HostID, failed *peer.CallError) *Failure {
	failure := &Failure{
		Outcome: NotRun, Reason: failed.Reason, Status: http.StatusServiceUnavailable,
		RetryAfter: failed.RetryAfter, Upstream: host, Err: failed.Err,
	}
	var tooLarge *bodyLimitError
	switch {
	case failed.Outcome == peer.Unknown || j.earlier:
		failure.Outcome, failure.Status = Unknown, http.StatusBadGateway
	case failed.Reason == peer.ReasonRequestBody:
		failure.Status = http.StatusBadRequest
	}
	if errors.As(failed.Err, &tooLarge) {
		failure.Reason, failure.Status = ReasonBodyTooLarge, http.StatusRequestEntityTooLarge
	}
	return failure
}

func policyOf(settings *tree.Settings) retry.Policy {
	return retry.Policy{MaxAttempts: settings.MaxAttempts, BudgetPercent: settings.RetryBudgetPercent}
}
