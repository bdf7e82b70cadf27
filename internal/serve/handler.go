package serve

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/internal/egress"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Gate admits calls to the slots of the upstream.
type Gate interface {
	// AcquireFor waits until the request gets a slot. The state of the request must
	// be gate.New.
	AcquireFor(ctx context.Context, request gate.Request) (*gate.Permit, error)
	Load() gate.Load
	// Hold keeps that many slots from being granted.
	Hold(slots int)
}

// Handler handles calls to the upstream of this host. Gate must be set. All calls
// are rejected until SetUpstream or SetTarget is called.
type Handler struct {
	Gate Gate
	// Claims claims the keys of calls that have a key and a window. If it is nil,
	// such calls are rejected as not run.
	Claims Claims

	// FinishBy returns the time by which a call must be finished to be taken, as the process
	// ends then; zero means no limit. It may be nil and must not block.
	FinishBy func() time.Time

	// OnUnreachable is called when the upstream can't be reached or another upstream
	// has its address. It may be nil and must not block.
	OnUnreachable func()

	// Link schedules the responses to other nodes on the network link of the host;
	// nil means no limit. Large responses are sent one after the other, and a call
	// is rejected if its response would be sent too late.
	Link *egress.Link

	// Memory is the memory for large responses; nil means one of its own. A response that
	// exceeds it is sent as it arrives.
	Memory *quota.Memory

	// OnUnanswered is called for each call that gets no response, with the load of
	// the gate at that time. It may be nil and must not block.
	OnUnanswered func(head *wire.CallHead, outcome wire.Outcome, reason string, load gate.Load)

	// OnLimited is called when the upstream begins or ceases to get fewer requests than it
	// has slots, because it did not answer, with the number that it gets at once. It may be
	// nil and must not block.
	OnLimited func(limited bool, limit int)

	// OnPanic is called with the value and the stack of a panic while a call is handled.
	// It may be nil and must not block.
	OnPanic func(value any, stack []byte)

	// AccountWeight returns the configured share of an account relative to others; zero
	// if there is none. It may be nil and must not block.
	AccountWeight func(account mesh.Account) float64

	// OnForward is called for each call that is forwarded to the upstream. FanOut
	// returns the maximum number of calls to another service that the upstream makes
	// for one request. Both may be nil and must not block.
	OnForward func()
	FanOut    func() float64
	// ServiceShare returns the share of all hosts that run an upstream of the same
	// service. It may be nil, which turns off the detection of routes that only
	// upstreams call. It must not block.
	ServiceShare func() float64
	// Runs records the calls that the upstream runs; nil means that nobody asks for them.
	Runs Runs

	// Headers encodes and decodes the headers that are exchanged with the upstream;
	// nil means those of docs/INTERFACE.md. It must not be changed after the first
	// call of SetUpstream or SetTarget.
	Headers HeaderCodec

	// upstream is nil while the host has no upstream.
	upstream  atomic.Pointer[upstream]
	counters  Counters
	lengths   responseLengths
	origins   originTracker
	occupancy occupancy
	// dial opens a connection to an upstream; nil means that of net.Dialer.
	dial func(ctx context.Context, address string) (net.Conn, error)
	// ownMemory is used if Memory is nil.
	ownMemory quota.Memory
}

// ServeCall implements peer.CallHandler.
func (h *Handler) ServeCall(ctx context.Context, call *peer.Call, reply peer.ReplyWriter) {
	defer func() {
		// A panic ends this call alone: the process holds other calls.
		if value := recover(); value != nil {
			if h.OnPanic != nil {
				h.OnPanic(value, debug.Stack())
			}
			h.reject(call, reply, rejection{unknown: true, reason: ReasonInternalError})
			reply.Fail(ReasonInternalError)
		}
	}()
	h.serveCall(ctx, call, reply)
}

func (h *Handler) serveCall(ctx context.Context, call *peer.Call, reply peer.ReplyWriter) {
	up := h.upstream.Load()
	if up == nil || !up.accepts(call.Head.GetService()) {
		h.reject(call, reply, rejection{reason: ReasonNoUpstream})
		return
	}
	if up.admissionClosed(time.Now()) || h.endsTooLate(ctx) {
		h.reject(call, reply, rejection{reason: ReasonLeaving})
		return
	}
	if int(call.Head.GetPriority()) >= mesh.NumPriorities {
		h.reject(call, reply, rejection{reason: ReasonBadCall})
		return
	}
	if atMostOnce(call.Head) {
		h.serveWithKey(ctx, up, call, reply)
		return
	}
	h.admit(ctx, &callState{upstream: up, call: call, reply: reply})
}

// endsTooLate reports whether the process may end before the call.
func (h *Handler) endsTooLate(ctx context.Context) bool {
	if h.FinishBy == nil {
		return false
	}
	deadline, _ := ctx.Deadline()
	return EndsTooLate(h.FinishBy(), deadline)
}

// EndsTooLate reports whether a request with the deadline may end after finishBy. A zero
// deadline means that it may take any time, and a zero finishBy that there is no limit.
func EndsTooLate(finishBy, deadline time.Time) bool {
	return !finishBy.IsZero() && (deadline.IsZero() || deadline.After(finishBy))
}

// atMostOnce reports whether calls with the same key must run at most once.
func atMostOnce(head *wire.CallHead) bool {
	return head.GetKey() != "" && head.GetKeyWindowMicros() > 0
}

// serveWithKey claims the key of the call before it waits at the gate, so that no
// slot is held while the claim is written.
func (h *Handler) serveWithKey(ctx context.Context, up *upstream, call *peer.Call, reply peer.ReplyWriter) {
	if h.Claims == nil {
		h.reject(call, reply, rejection{reason: ReasonClaimFailed})
		return
	}
	result, err := h.Claims.Claim(ctx, call)
	switch {
	case err != nil:
		h.reject(call, reply, rejection{reason: ReasonClaimFailed})
	case result.Action == Replay:
		h.replay(reply, result.Response)
	case result.Action == InDoubt:
		reason := result.Reason
		if reason == "" {
			reason = ReasonInDoubt
		}
		h.reject(call, reply, rejection{unknown: true, reason: reason})
	default:
		h.admit(ctx, &callState{upstream: up, call: call, reply: reply, claims: h.Claims, sendBy: result.SendBy})
	}
}

// callState is the state of a call at this node.
type callState struct {
	upstream *upstream
	call     *peer.Call
	reply    peer.ReplyWriter
	// claims is nil for a call without a key.
	claims Claims
	// sendBy is the time after which a call with a claim must not be sent to the
	// upstream; zero means no limit.
	sendBy time.Time
	// releaseSlot frees the slot before forward returns, when the upstream has
	// finished the call.
	releaseSlot func()
	// arrivedAt is when the call arrived, and forwardedAt when it was forwarded to
	// the upstream.
	arrivedAt, forwardedAt time.Time
	// transfer is the reservation of the network link for the response; nil if the
	// response is expected to be short.
	transfer *egress.Transfer
	// onlyUpstreams is true if only upstreams make calls of the route, and callersKnown
	// if callers do, too.
	onlyUpstreams, callersKnown bool
	// expectedServiceTime is the expected service time of a call that the gate
	// rejected; zero if unknown.
	expectedServiceTime time.Duration
}

// admit waits until the gate admits the call and then forwards it.
func (h *Handler) admit(ctx context.Context, state *callState) {
	state.arrivedAt = time.Now()
	if !state.upstream.breaker.Allow(state.arrivedAt, state.call.Head.GetRoute(), state.call.Head.GetIdempotent()) {
		h.rejectNotRun(state, ReasonFailing, gate.ProbeInterval)
		return
	}
	transfer, fits := h.reserveLink(state)
	if !fits {
		h.rejectNotRun(state, ReasonLinkLate, h.linkWait())
		return
	}
	defer transfer.End()
	state.transfer = transfer
	request := h.gateRequest(ctx, state)
	permit, err := h.Gate.AcquireFor(ctx, request)
	if err != nil {
		var rejected *gate.RejectedError
		if !errors.As(err, &rejected) {
			rejected = &gate.RejectedError{}
		}
		state.expectedServiceTime = rejected.ExpectedServiceTime
		h.rejectNotRun(state, gatePrefix+rejected.Reason.String(), rejected.RetryAfter)
		return
	}
	result := gate.Result{Failed: true}
	end := h.beginRun(request.Priority)
	defer func() { end(); permit.Release(result) }()
	state.releaseSlot = func() { end(); permit.Release(gate.Result{}) }
	if ctx.Err() != nil {
		// The slot may have been granted just when the call was canceled.
		result = gate.Result{NotRun: true}
		h.rejectNotRun(state, gatePrefix+gate.Canceled.String(), 0)
		return
	}
	if state.upstream.admissionClosed(time.Now()) || state.upstream != h.upstream.Load() {
		result = gate.Result{NotRun: true}
		h.rejectNotRun(state, ReasonLeaving, 0)
		return
	}
	result = h.forward(ctx, state)
}

// forward sends the call to the upstream and the response back to the caller's
// node.
func (h *Handler) forward(ctx context.Context, state *callState) (result gate.Result) {
	state.forwardedAt = time.Now()
	if h.OnForward != nil {
		h.OnForward()
	}
	response, sent, err := state.upstream.send(ctx, state.call, state.sendBy)
	switch {
	case err == nil && response.info.NotRun:
		return h.handleNotRun(state, response)
	case err != nil && !sent:
		return h.handleNotSent(ctx, state, err)
	case err != nil:
		reason := unknownReason(ctx)
		switch {
		case errors.Is(err, errUnauthenticated):
			reason = ReasonUnauthenticated
		case errors.Is(err, errUnattributed):
			reason = ReasonUnattributed
		case errors.Is(err, errInvalid):
			reason = ReasonInvalidResponse
		case errors.Is(err, errSilent):
			reason = ReasonSilent
		}
		if ctx.Err() == nil {
			state.upstream.breaker.Record(time.Now(), state.call.Head.GetRoute(), true)
		}
		h.reject(state.call, state.reply, rejection{unknown: true, reason: reason})
		return gate.Result{Failed: true}
	}
	// A gateway timeout indicates a slow upstream rather than a failing one.
	if response.StatusCode != http.StatusGatewayTimeout {
		state.upstream.breaker.Record(time.Now(), state.call.Head.GetRoute(), response.StatusCode >= http.StatusInternalServerError)
	}
	if response.ContentLength >= 0 && response.StatusCode < http.StatusMultipleChoices {
		h.lengths.record(state.call.Head.GetRoute(), response.ContentLength)
	}
	if state.claims == nil && h.shouldBuffer(response.ContentLength) {
		body := cmp.Or(h.Memory, &h.ownMemory).Hold()
		defer body.Release()
		if body.Reserve(response.ContentLength) == nil {
			return gate.Result{Failed: !h.sendLargeResponse(ctx, response, state)}
		}
	}
	return gate.Result{Failed: !h.sendResponse(response, state)}
}

// handleNotRun rejects a call that the upstream refused to run. The gate reduces
// its limit if the upstream sheds load, but not if another upstream has the
// address by now.
func (h *Handler) handleNotRun(state *callState, response upstreamResponse) gate.Result {
	_, _ = io.CopyN(io.Discard, response.Body, copyBufferSize)
	_ = response.Body.Close()
	if response.info.Misdirected {
		h.notifyUnreachable()
		h.rejectNotRun(state, ReasonMisdirected, 0)
		return gate.Result{NotRun: true, Failed: true}
	}
	h.rejectNotRun(state, ReasonRefused, retryAfter(response.Header))
	return gate.Result{Shed: true}
}

// handleNotSent rejects a call of which no byte was sent to the upstream.
func (h *Handler) handleNotSent(ctx context.Context, state *callState, err error) (result gate.Result) {
	result = gate.Result{NotRun: true}
	reason := ReasonUnreachable
	switch {
	case errors.Is(err, errUpstreamReplaced):
		reason = ReasonLeaving
	case errors.Is(err, errRequestBody):
		reason = peer.ReasonRequestBody
	case errors.Is(err, errClaimExpired):
		reason = ReasonClaimExpired
	case errors.Is(err, errTarget):
		reason = ReasonTarget
	default:
		result.Failed = true
	}
	if result.Failed && ctx.Err() == nil {
		h.notifyUnreachable()
	}
	h.rejectNotRun(state, reason, 0)
	return result
}

func (h *Handler) notifyUnreachable() {
	if h.OnUnreachable != nil {
		h.OnUnreachable()
	}
}

// sendResponse sends the response to the caller's node and reports whether it was
// complete.
func (h *Handler) sendResponse(response upstreamResponse, state *callState) (complete bool) {
	defer func() { _ = response.Body.Close() }()
	head := h.newReplyHead(response, state)
	var recorder *bodyRecorder
	var sink io.Writer = state.reply
	if state.claims != nil {
		recorder = &bodyRecorder{next: state.reply}
		sink = recorder
	}
	_ = state.reply.WriteHead(head)
	err := copyBody(sink, state.reply, response)
	if state.claims != nil && err == nil {
		state.claims.Complete(state.call, recorder.response(head))
	}
	if err != nil {
		h.counters.Truncated.Add(1)
		state.reply.Fail(ReasonLost)
		return false
	}
	h.counters.Answered.Add(1)
	return true
}

// newReplyHead returns the reply head for the response.
func (h *Handler) newReplyHead(response upstreamResponse, state *callState) *wire.ReplyHead {
	return &wire.ReplyHead{
		Status:        uint32(response.StatusCode),
		Headers:       replyHeaders(response.Header),
		BodyLength:    response.ContentLength,
		LoadPercent:   h.loadPercent(),
		ServiceMicros: elapsedMicros(state.forwardedAt),
		NodeMicros:    elapsedMicros(state.arrivedAt),
		LinkMicros:    h.linkWait().Microseconds(),
		CallsPercent:  h.fanOutPercent(),
		OnlyUpstreams: state.onlyUpstreams,
		CallersKnown:  state.callersKnown,
	}
}

func (h *Handler) replay(reply peer.ReplyWriter, response Response) {
	h.counters.Replayed.Add(1)
	head := &wire.ReplyHead{
		Status:      response.Head.GetStatus(),
		Headers:     response.Head.GetHeaders(),
		BodyLength:  int64(len(response.Body)),
		LoadPercent: h.loadPercent(),
		Replayed:    true,
	}
	_ = reply.WriteHead(head)
	_, _ = reply.Write(response.Body)
}
