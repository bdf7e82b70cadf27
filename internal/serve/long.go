package serve

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/egress"
)

const (
	// longestHeld is the length up to which a long answer is read whole before it
	// is sent, in bytes.
	longestHeld = 4 << 20
	// lengthGain is the weight of a new sample in the mean length of a route's answers.
	lengthGain = 0.2
	// maxLengths bounds the routes whose lengths are kept.
	maxLengths = 4096
)

// lengths learns how long the answers on each route are. It is safe for
// concurrent use.
type lengths struct {
	mutex sync.Mutex
	// means are in bytes; guarded by mutex.
	means map[string]float64
}

func (l *lengths) learn(route string, bytes int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	mean, known := l.means[route]
	switch {
	case known:
		l.means[route] = mean + lengthGain*(float64(bytes)-mean)
	case len(l.means) >= maxLengths:
	default:
		if l.means == nil {
			l.means = make(map[string]float64)
		}
		l.means[route] = float64(bytes)
	}
}

// long returns the expected length of a route's answers, zero when they are
// short or unknown.
func (l *lengths) long(route string) int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if mean := int64(l.means[route]); mean > egress.LargeMessageBytes {
		return mean
	}
	return 0
}

// book announces the answer to the host's link when it is likely to be a long
// one. It returns false when the answer would come too late.
func (h *Handler) book(v *visit) (booked *egress.Transfer, fits bool) {
	if h.Link == nil {
		return nil, true
	}
	expected := h.lengths.long(v.call.Head.GetRoute())
	if expected == 0 {
		return nil, true
	}
	within := time.Duration(v.call.Head.GetStartWithinMicros()) * time.Microsecond
	if within == 0 {
		return h.Link.Reserve(), true
	}
	return h.Link.TryReserve(expected, within)
}

// holds reports whether an answer of that length is read whole and then takes
// its turn on the link.
func (h *Handler) holds(length int64) bool {
	return h.Link != nil && length > egress.LargeMessageBytes && length <= longestHeld
}

// passOnLong reads a long answer whole, which frees the upstream, and then sends
// it when the link has room. It reports whether the answer was whole.
func (h *Handler) passOnLong(ctx context.Context, response answered, v *visit) (whole bool) {
	defer func() { _ = response.Body.Close() }()
	body := make([]byte, response.ContentLength)
	_, err := io.ReadFull(response.Body, body)
	if err == nil {
		// The end of the body gives the connection back.
		_, err = response.Body.Read(make([]byte, 1))
	}
	if !errors.Is(err, io.EOF) {
		h.counters.Cut.Add(1)
		h.refuse(v.call, v.reply, refusal{unknown: true, reason: unknownReason(ctx)})
		return false
	}
	v.leave()
	_ = v.reply.WriteHead(h.headOf(response, v))
	if err = h.sendLong(ctx, body, v); err != nil {
		h.counters.Cut.Add(1)
		v.reply.Fail(ReasonLost)
		return true
	}
	h.counters.Answered.Add(1)
	return true
}

func (h *Handler) sendLong(ctx context.Context, body []byte, v *visit) (err error) {
	if v.call.Local {
		_, err = v.reply.Write(body)
		return err
	}
	turn := v.turn
	if turn == nil {
		turn = h.Link.Reserve()
	}
	return turn.Send(ctx, body, func(part []byte) error {
		if _, writeErr := v.reply.Write(part); writeErr != nil {
			return writeErr
		}
		return v.reply.Flush()
	})
}
