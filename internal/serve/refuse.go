package serve

import (
	"context"
	"errors"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// refusal says why a call has no answer of the upstream.
type refusal struct {
	// unknown is true when the upstream may have run it.
	unknown bool
	reason  string
	// after is how long the caller's node should hold back, and need how long the
	// upstream would have worked; zero when not known.
	after, need time.Duration
}

// giveBack refuses a call that was not handed over. One with a claim gives that
// back, and is not to be tried at another host meanwhile, where the claim would
// make it doubtful.
func (h *Handler) giveBack(v *visit, reason string, after time.Duration) {
	if v.claims != nil {
		v.claims.Released(v.call)
		reason, after = claimedPrefix+reason, max(after, claimedRetry)
	}
	h.refuse(v.call, v.reply, refusal{reason: reason, after: after, need: v.need})
}

// refuse answers that there is no answer of the upstream.
func (h *Handler) refuse(call *peer.Call, reply peer.ReplyWriter, r refusal) {
	outcome := wire.Outcome_OUTCOME_NOT_RUN
	if r.unknown {
		outcome = wire.Outcome_OUTCOME_UNKNOWN
		h.counters.Unknown.Add(1)
	} else {
		h.counters.NotRun.Add(1)
	}
	if h.Unanswered != nil {
		h.Unanswered(call.Head, outcome, r.reason, h.Gate.Load())
	}
	_ = reply.WriteHead(&wire.ReplyHead{
		Outcome:          outcome,
		Reason:           r.reason,
		LoadPercent:      h.load(),
		LinkMicros:       h.linkWait().Microseconds(),
		RetryAfterMicros: r.after.Microseconds(),
		NeedMicros:       r.need.Microseconds(),
	})
}

func (h *Handler) load() uint32 {
	return uint32(max(0, h.Gate.Load().Percent()))
}

func (h *Handler) callsPercent() uint32 {
	if h.Calls == nil {
		return 0
	}
	return uint32(h.Calls() * 100)
}

func unknownReason(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return peer.ReasonDeadline
	case ctx.Err() != nil:
		return peer.ReasonCanceled
	default:
		return ReasonLost
	}
}

// linkWait returns how long a long answer that came now would wait for the link.
func (h *Handler) linkWait() time.Duration {
	if h.Link == nil {
		return 0
	}
	return h.Link.ExpectedWait()
}

// workedFor returns the time since then in microseconds, at least 1.
func workedFor(since time.Time) int64 {
	return max(1, time.Since(since).Microseconds())
}
