package serve

import (
	"context"
	"errors"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// rejection describes why a call gets no response of the upstream.
type rejection struct {
	// unknown is true if the upstream may have run the call.
	unknown bool
	reason  string
	// retryAfter is how long the caller's node should wait before it retries, and
	// expectedServiceTime the expected service time of the call; zero if unknown.
	retryAfter, expectedServiceTime time.Duration
}

// rejectNotRun rejects a call that the upstream did not run, and releases its
// claim. The reason then tells the caller's node not to retry on another host,
// where the key would be in doubt until the claim has been removed.
func (h *Handler) rejectNotRun(state *callState, reason string, retryAfter time.Duration) {
	if state.claims != nil {
		state.claims.Release(state.call)
		reason, retryAfter = claimedPrefix+reason, max(retryAfter, claimedRetryAfter)
	}
	h.reject(state.call, state.reply, rejection{reason: reason, retryAfter: retryAfter, expectedServiceTime: state.expectedServiceTime})
}

// reject replies that there is no response of the upstream.
func (h *Handler) reject(call *peer.Call, reply peer.ReplyWriter, r rejection) {
	outcome := wire.Outcome_OUTCOME_NOT_RUN
	if r.unknown {
		outcome = wire.Outcome_OUTCOME_UNKNOWN
		h.counters.Unknown.Add(1)
	} else {
		h.counters.NotRun.Add(1)
	}
	if h.OnUnanswered != nil {
		h.OnUnanswered(call.Head, outcome, r.reason, h.Gate.Load())
	}
	_ = reply.WriteHead(&wire.ReplyHead{
		Outcome:          outcome,
		Reason:           r.reason,
		LoadPercent:      h.loadPercent(),
		LinkMicros:       h.linkWait().Microseconds(),
		RetryAfterMicros: r.retryAfter.Microseconds(),
		NeedMicros:       r.expectedServiceTime.Microseconds(),
	})
}

func (h *Handler) loadPercent() uint32 {
	return uint32(max(0, h.Gate.Load().Percent()))
}

func (h *Handler) fanOutPercent() uint32 {
	if h.FanOut == nil {
		return 0
	}
	return uint32(h.FanOut() * 100)
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

// linkWait returns how long a large response that arrives now would wait for the
// network link.
func (h *Handler) linkWait() time.Duration {
	if h.Link == nil {
		return 0
	}
	return h.Link.ExpectedWait()
}

// elapsedMicros returns the time since then in microseconds, at least 1, because a
// service time of 0 means that the call did not run.
func elapsedMicros(since time.Time) int64 {
	return max(1, time.Since(since).Microseconds())
}
