package serve

import (
	"context"
	"errors"
	"io"
	"time"

	"golang.org/x/time/rate"

	"arbutusstep.example/arbutusstep/internal/peer"
)

const (
	// longAnswer is the length from which an answer is paced, in bytes, and
	// longestHeld that up to which it is read whole first.
	longAnswer  = 16 << 10
	longestHeld = 4 << 20
	// paceStep is how much of a long answer is sent at once, in bytes.
	paceStep = 16 << 10
)

// Pace bounds the bytes a second of long answers, so that short ones do not wait
// behind them in the queue of a slow link. The zero Pace has no bound.
type Pace struct {
	// limiter is nil for no bound.
	limiter *rate.Limiter
}

// SetRate bounds long answers to that many bytes a second; zero means no bound.
// It must be called before the first answer.
func (p *Pace) SetRate(bytesPerSecond int) {
	p.limiter = nil
	if bytesPerSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), 2*paceStep)
	}
}

// paces reports whether an answer of that length is paced.
func (p *Pace) paces(length int64) bool {
	return p.limiter != nil && length > longAnswer && length <= longestHeld
}

// send writes the body at the pace.
func (p *Pace) send(ctx context.Context, body []byte, reply peer.ReplyWriter) (err error) {
	for len(body) > 0 {
		part := body[:min(paceStep, len(body))]
		if err = p.limiter.WaitN(ctx, len(part)); err != nil {
			return err
		}
		if _, err = reply.Write(part); err != nil {
			return err
		}
		if err = reply.Flush(); err != nil {
			return err
		}
		body = body[len(part):]
	}
	return nil
}

// passOnPaced reads a long answer whole, which frees the upstream, and then
// sends it at the pace. It reports whether the answer was whole.
func (h *Handler) passOnPaced(ctx context.Context, response answered, v *visit) (whole bool) {
	defer func() { _ = response.Body.Close() }()
	body := make([]byte, response.ContentLength)
	_, err := io.ReadFull(response.Body, body)
	if err == nil {
		// The end of the body gives the connection back.
		_, err = response.Body.Read(make([]byte, 1))
	}
	if !errors.Is(err, io.EOF) {
		h.counters.Cut.Add(1)
		h.refuse(v.call, v.reply, outcomeUnknown, unknownReason(ctx), 0)
		return false
	}
	v.leave()
	_ = v.reply.WriteHead(h.headOf(response, v))
	if err = h.Pace.send(ctx, body, v.reply); err != nil {
		h.counters.Cut.Add(1)
		v.reply.Fail(ReasonLost)
		return true
	}
	h.counters.Answered.Add(1)
	return true
}

// workedFor returns the time since then in microseconds, at least 1.
func workedFor(since time.Time) int64 {
	return max(1, time.Since(since).Microseconds())
}
