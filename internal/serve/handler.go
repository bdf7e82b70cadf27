package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/internal/egress"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Reasons of calls that were not answered.
const (
	ReasonNoUpstream = "no-upstream"
	ReasonRefused    = "upstream-refused"
	ReasonConnect    = "upstream-unreachable"
	ReasonLost       = "upstream-lost"
	ReasonClaim      = "claim-failed"
	ReasonInDoubt    = "in-doubt"
	ReasonBadCall    = "bad-call"
	ReasonExpired    = "claim-expired"
	ReasonLeaving    = "upstream-leaving"
	ReasonMoved      = "upstream-moved"
	ReasonUnsealed   = "answer-unsealed"
	// ReasonFailing means that the upstream fails nearly all that it runs.
	ReasonFailing = "upstream-failing"
	// ReasonLink means that the answer would have waited too long for the host's link.
	ReasonLink = "link-late"
)

// gatePrefix starts the reasons that the gate gives.
const gatePrefix = "gate-"

// claimedPrefix starts the reasons of calls whose key was claimed and given back.
const claimedPrefix = "claimed-"

// claimedRetry is how long a caller should wait until such a claim is dropped.
const claimedRetry = time.Second

// Claimed reports whether the reason of a call that was not run says that its
// key was claimed at that host.
func Claimed(reason string) bool {
	return strings.HasPrefix(reason, claimedPrefix)
}

// Unreached reports whether the reason says that no upstream was reached.
func Unreached(reason string) bool {
	return reason == ReasonConnect || reason == ReasonNoUpstream || reason == ReasonLeaving
}

// Busy reports whether the reason of a call that was not run says that the
// upstream is well but takes no more now.
func Busy(reason string) bool {
	reason = strings.TrimPrefix(reason, claimedPrefix)
	if reason == ReasonRefused || reason == ReasonLink {
		return true
	}
	return strings.HasPrefix(reason, gatePrefix) && reason != gatePrefix+gate.Draining.String()
}

// Gate decides when a call gets a slot of the upstream.
type Gate interface {
	// AcquireFor waits for a slot for the request, which must be new.
	AcquireFor(ctx context.Context, work gate.Request) (*gate.Permit, error)
	Load() gate.Load
}

// Handler answers calls from the upstream of this host. The zero Handler
// refuses every call until SetUpstream is called; Gate must be set.
type Handler struct {
	Gate Gate
	// Claims is asked for calls with a key and a window; nil means that such
	// calls are refused as not run.
	Claims Claims

	// Unreachable is told that the upstream could not be connected to; nil means
	// nobody is. It must not block.
	Unreachable func()

	// Link carries the answers to other nodes; nil has no bound. Long ones take
	// turns on it, and are refused when their turn would come too late.
	Link *egress.Link

	// Unanswered is told of each call without an answer, and of the gate's load
	// then; nil means nobody is. It must not block.
	Unanswered func(head *wire.CallHead, outcome wire.Outcome, reason string, load gate.Load)

	// Handed is told of each call that is handed to the upstream, and Calls tells how
	// many calls to another service one run makes at most; nil for neither. They must
	// not block.
	Handed func()
	Calls  func() float64
	// Share tells which part of all hosts stands beside the upstream's service; nil
	// for none. It must not block.
	Share func() float64

	// Form is how requests to the upstream are marked; nil means that of
	// docs/INTERFACE.md. It must not change once SetTarget was called.
	Form Form

	// upstream is nil while there is none.
	upstream atomic.Pointer[upstream]
	counters Counters
	lengths  lengths
	origins  origins
}

// Counters counts the calls by their end.
type Counters struct {
	Answered atomic.Uint64
	Replayed atomic.Uint64
	NotRun   atomic.Uint64
	Unknown  atomic.Uint64
	// Cut counts answers whose body broke off.
	Cut atomic.Uint64
}

// Counters returns the live counters.
func (h *Handler) Counters() *Counters {
	return &h.counters
}

// ServeCall implements peer.CallHandler.
func (h *Handler) ServeCall(ctx context.Context, call *peer.Call, reply peer.ReplyWriter) {
	up := h.upstream.Load()
	if up == nil || !up.takes(call.Head.GetService()) {
		h.refuse(call, reply, refusal{reason: ReasonNoUpstream})
		return
	}
	if up.closed(time.Now()) {
		h.refuse(call, reply, refusal{reason: ReasonLeaving})
		return
	}
	if int(call.Head.GetPriority()) >= mesh.NumPriorities {
		h.refuse(call, reply, refusal{reason: ReasonBadCall})
		return
	}
	if keyed(call.Head) {
		h.serveKeyed(ctx, up, call, reply)
		return
	}
	h.run(ctx, &visit{up: up, call: call, reply: reply})
}

// keyed reports whether the call must run at most once for its key.
func keyed(head *wire.CallHead) bool {
	return head.GetKey() != "" && head.GetKeyWindowMicros() > 0
}

// serveKeyed asks for the key's verdict before the call waits at the gate, so
// that no slot is held while a claim is written.
func (h *Handler) serveKeyed(ctx context.Context, up *upstream, call *peer.Call, reply peer.ReplyWriter) {
	if h.Claims == nil {
		h.refuse(call, reply, refusal{reason: ReasonClaim})
		return
	}
	verdict, err := h.Claims.Claim(ctx, call)
	switch {
	case err != nil:
		h.refuse(call, reply, refusal{reason: ReasonClaim})
	case verdict.Action == Replay:
		h.replay(reply, verdict.Answer)
	case verdict.Action == InDoubt:
		reason := verdict.Reason
		if reason == "" {
			reason = ReasonInDoubt
		}
		h.refuse(call, reply, refusal{unknown: true, reason: reason})
	default:
		h.run(ctx, &visit{up: up, call: call, reply: reply, claims: h.Claims, until: verdict.Until})
	}
}

// visit is one call at this node.
type visit struct {
	up    *upstream
	call  *peer.Call
	reply peer.ReplyWriter
	// claims is nil for a call without a key.
	claims Claims
	// until is when a claimed call must have been handed over; zero for no bound.
	until time.Time
	// leave gives the slot back early, once the upstream is done with the call.
	leave func()
	// arrived is when the call came, and handed when it went to the upstream.
	arrived, handed time.Time
	// turn is the answer's use of the link; nil for one that is expected to be short.
	turn *egress.Transfer
	// need is how long the upstream would have worked on a call that the gate
	// refused; zero when that is not known.
	need time.Duration
}

// run waits at the gate and hands the call over.
func (h *Handler) run(ctx context.Context, v *visit) {
	v.arrived = time.Now()
	if !v.up.breaker.Allow(v.arrived, v.call.Head.GetRoute(), v.call.Head.GetIdempotent()) {
		h.giveBack(v, ReasonFailing, gate.ProbeInterval)
		return
	}
	turn, fits := h.book(v)
	if !fits {
		h.giveBack(v, ReasonLink, h.linkWait())
		return
	}
	defer turn.End()
	v.turn = turn
	ticket, err := h.Gate.AcquireFor(ctx, h.workOf(ctx, v))
	if err != nil {
		var refused *gate.RejectedError
		if !errors.As(err, &refused) {
			refused = &gate.RejectedError{}
		}
		v.need = refused.ServiceTime
		h.giveBack(v, gatePrefix+refused.Reason.String(), refused.RetryAfter)
		return
	}
	result := gate.Result{Failed: true}
	defer func() { ticket.Release(result) }()
	v.leave = func() { ticket.Release(gate.Result{}) }
	if ctx.Err() != nil {
		// The slot may have come when the call had just ended.
		result = gate.Result{NotRun: true}
		h.giveBack(v, gatePrefix+gate.Cancelled.String(), 0)
		return
	}
	if v.up.closed(time.Now()) || v.up != h.upstream.Load() {
		result = gate.Result{NotRun: true}
		h.giveBack(v, ReasonLeaving, 0)
		return
	}
	result = h.handOver(ctx, v)
}

// workOf returns what the gate is told of a call. One that an upstream makes may
// wait longer and goes before the others of its priority: with it the request
// would be lost that the upstream runs.
func (h *Handler) workOf(ctx context.Context, v *visit) (work gate.Request) {
	head := v.call.Head
	work = gate.Request{
		Priority: mesh.Priority(head.GetPriority()), Class: head.GetRoute(),
		TypicalServiceTime: time.Duration(head.GetTypicalMicros()) * time.Microsecond,
	}
	work.Deadline, _ = ctx.Deadline()
	within := head.GetStartWithinMicros()
	if h.Share != nil && h.origins.note(head.GetRoute(), mesh.Service(head.GetCallerService()), v.up.service, h.Share()) {
		within = max(within, head.GetPatientMicros())
		work.Priority = min(work.Priority+1, mesh.Urgent)
	}
	if within > 0 {
		work.StartBy = v.arrived.Add(time.Duration(within) * time.Microsecond)
	}
	return work
}

// handOver gives the call to the upstream and passes the answer back.
func (h *Handler) handOver(ctx context.Context, v *visit) (result gate.Result) {
	v.handed = time.Now()
	if h.Handed != nil {
		h.Handed()
	}
	response, started, err := v.up.send(ctx, v.call, v.until)
	switch {
	case err == nil && response.said.NotRun:
		return h.shed(v, response)
	case err != nil && !started:
		return h.notHandedOver(ctx, v, err)
	case err != nil:
		reason := unknownReason(ctx)
		if errors.Is(err, errUnsealed) {
			reason = ReasonUnsealed
		}
		if ctx.Err() == nil {
			v.up.breaker.Record(time.Now(), v.call.Head.GetRoute(), true)
		}
		h.refuse(v.call, v.reply, refusal{unknown: true, reason: reason})
		return gate.Result{Failed: true}
	}
	// An answer that says that time ran out tells of a slow upstream, not of a failing one.
	if response.StatusCode != http.StatusGatewayTimeout {
		v.up.breaker.Record(time.Now(), v.call.Head.GetRoute(), response.StatusCode >= http.StatusInternalServerError)
	}
	if response.ContentLength >= 0 && response.StatusCode < http.StatusMultipleChoices {
		h.lengths.learn(v.call.Head.GetRoute(), response.ContentLength)
	}
	if v.claims == nil && h.holds(response.ContentLength) {
		return gate.Result{Failed: !h.passOnLong(ctx, response, v)}
	}
	return gate.Result{Failed: !h.passOn(response, v)}
}

// shed passes on that the upstream did not run the call. The gate learns from
// an upstream that sheds, but not from one that is another by now.
func (h *Handler) shed(v *visit, response answered) gate.Result {
	_, _ = io.CopyN(io.Discard, response.Body, copySize)
	_ = response.Body.Close()
	if response.said.Moved {
		h.tellUnreachable()
		h.giveBack(v, ReasonMoved, 0)
		return gate.Result{NotRun: true, Failed: true}
	}
	h.giveBack(v, ReasonRefused, retryAfter(response.Header))
	return gate.Result{Shed: true}
}

// notHandedOver passes on that no byte of the call reached the upstream.
func (h *Handler) notHandedOver(ctx context.Context, v *visit, err error) (result gate.Result) {
	result = gate.Result{NotRun: true, Failed: !errors.Is(err, errBody) && !errors.Is(err, errExpired)}
	if result.Failed && ctx.Err() == nil {
		h.tellUnreachable()
	}
	reason := ReasonConnect
	switch {
	case errors.Is(err, errBody):
		reason = peer.ReasonRequestBody
	case errors.Is(err, errExpired):
		reason = ReasonExpired
	}
	h.giveBack(v, reason, 0)
	return result
}

func (h *Handler) tellUnreachable() {
	if h.Unreachable != nil {
		h.Unreachable()
	}
}

// passOn sends the answer back and reports whether it was whole.
func (h *Handler) passOn(response answered, v *visit) (whole bool) {
	defer func() { _ = response.Body.Close() }()
	head := h.headOf(response, v)
	var kept *keeper
	var sink io.Writer = v.reply
	if v.claims != nil {
		kept = &keeper{next: v.reply}
		sink = kept
	}
	_ = v.reply.WriteHead(head)
	err := copyBody(sink, v.reply, response)
	if v.claims != nil && err == nil {
		v.claims.Answered(v.call, kept.answer(head))
	}
	if err != nil {
		h.counters.Cut.Add(1)
		v.reply.Fail(ReasonLost)
		return false
	}
	h.counters.Answered.Add(1)
	return true
}

// headOf returns the head that passes the answer on.
func (h *Handler) headOf(response answered, v *visit) *wire.ReplyHead {
	return &wire.ReplyHead{
		Status:        uint32(response.StatusCode),
		Headers:       replyHeaders(response.Header),
		BodyLength:    response.ContentLength,
		LoadPercent:   h.load(),
		ServiceMicros: workedFor(v.handed),
		NodeMicros:    workedFor(v.arrived),
		LinkMicros:    h.linkWait().Microseconds(),
		CallsPercent:  h.callsPercent(),
	}
}

func (h *Handler) replay(reply peer.ReplyWriter, answer Answer) {
	h.counters.Replayed.Add(1)
	head := &wire.ReplyHead{
		Status:      answer.Head.GetStatus(),
		Headers:     answer.Head.GetHeaders(),
		BodyLength:  int64(len(answer.Body)),
		LoadPercent: h.load(),
		Replayed:    true,
	}
	_ = reply.WriteHead(head)
	_, _ = reply.Write(answer.Body)
}
