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
	// maxBufferedResponse is the length in bytes up to which a large response is read
	// completely before it is sent.
	maxBufferedResponse = 4 << 20
	// lengthSmoothing is the weight of a new sample in the moving average of the
	// response lengths of a route.
	lengthSmoothing = 0.2
	// maxLengths is the maximum number of routes with an average.
	maxLengths = 4096
)

// responseLengths estimates the length of the responses of each route. It is safe
// for concurrent use.
type responseLengths struct {
	mutex sync.Mutex
	// means holds the moving averages in bytes; guarded by mutex.
	means map[string]float64
}

func (l *responseLengths) record(route string, bytes int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	mean, known := l.means[route]
	switch {
	case known:
		l.means[route] = mean + lengthSmoothing*(float64(bytes)-mean)
	case len(l.means) >= maxLengths:
	default:
		if l.means == nil {
			l.means = make(map[string]float64)
		}
		l.means[route] = float64(bytes)
	}
}

// expected returns the expected length of a response of the route, zero if it is
// short or unknown.
func (l *responseLengths) expected(route string) int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if mean := int64(l.means[route]); mean > egress.LargeMessageBytes {
		return mean
	}
	return 0
}

// reserveLink reserves the network link of the host if a large response is
// expected. fits is false if the response would be sent too late.
func (h *Handler) reserveLink(state *callState) (transfer *egress.Transfer, fits bool) {
	if h.Link == nil {
		return nil, true
	}
	expected := h.lengths.expected(state.call.Head.GetRoute())
	if expected == 0 {
		return nil, true
	}
	within := time.Duration(state.call.Head.GetStartWithinMicros()) * time.Microsecond
	if within == 0 {
		return h.Link.Reserve(), true
	}
	return h.Link.TryReserve(expected, within)
}

// shouldBuffer reports whether a response of that length is read completely and
// then scheduled on the network link.
func (h *Handler) shouldBuffer(length int64) bool {
	return h.Link != nil && length > egress.LargeMessageBytes && length <= maxBufferedResponse
}

// sendLargeResponse reads a large response completely, which frees the slot of the
// upstream, and sends it when the network link has capacity. It reports whether
// the response of the upstream was complete.
func (h *Handler) sendLargeResponse(ctx context.Context, response upstreamResponse, state *callState) (complete bool) {
	defer func() { _ = response.Body.Close() }()
	body := make([]byte, response.ContentLength)
	_, err := io.ReadFull(response.Body, body)
	if err == nil {
		// Only a body that was read to EOF returns its connection to the pool.
		_, err = response.Body.Read(make([]byte, 1))
	}
	if !errors.Is(err, io.EOF) {
		h.counters.Truncated.Add(1)
		h.reject(state.call, state.reply, rejection{unknown: true, reason: unknownReason(ctx)})
		return false
	}
	state.releaseSlot()
	_ = state.reply.WriteHead(h.newReplyHead(response, state))
	if err = h.writeLarge(ctx, body, state); err != nil {
		h.counters.Truncated.Add(1)
		state.reply.Fail(ReasonLost)
		return true
	}
	h.counters.Answered.Add(1)
	return true
}

func (h *Handler) writeLarge(ctx context.Context, body []byte, state *callState) (err error) {
	if state.call.Local {
		_, err = state.reply.Write(body)
		return err
	}
	transfer := state.transfer
	if transfer == nil {
		transfer = h.Link.Reserve()
	}
	return transfer.Send(ctx, body, func(part []byte) error {
		if _, writeErr := state.reply.Write(part); writeErr != nil {
			return writeErr
		}
		return state.reply.Flush()
	})
}
