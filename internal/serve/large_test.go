package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/egress"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// sizedHandler returns a body of the length given in the request body.
func sizedHandler(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	var length int
	_, _ = fmt.Sscan(string(data), &length)
	w.Header().Set("Content-Length", fmt.Sprint(length))
	_, _ = io.WriteString(w, strings.Repeat("x", length))
}

// remoteCaller marks calls as coming from another node.
type remoteCaller struct{ handler *Handler }

// ServeCall implements peer.CallHandler.
func (r remoteCaller) ServeCall(ctx context.Context, call *peer.Call, reply peer.ReplyWriter) {
	call.Local = false
	r.handler.ServeCall(ctx, call, reply)
}

// doRemote is like do for a call from another node.
func doRemote(ctx context.Context, h *Handler, head *wire.CallHead, body string) (reply *peer.Reply, responseBody string, err error) {
	local := &peer.LocalCaller{Handler: remoteCaller{h}}
	reply, err = local.Call(ctx, &peer.Call{Head: head, Body: strings.NewReader(body)})
	if err != nil {
		return nil, "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return reply, string(data), err
}

// newLink returns a link with the rate in bytes per second. Written bytes are not
// counted unless the test does so.
func newLink(rate float64) *egress.Link {
	l := &egress.Link{}
	l.SetRate(rate)
	return l
}

func TestLargeResponseIsComplete(t *testing.T) {
	tests := []struct {
		name   string
		length int
	}{
		{name: "short", length: 10},
		{name: "longest that is not scheduled", length: egress.LargeMessageBytes},
		{name: "scheduled", length: egress.LargeMessageBytes + 1},
		{name: "many parts", length: 20*egress.LargeMessageBytes + 7},
		{name: "too long to be buffered", length: maxBufferedResponse + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHandler(t, sizedHandler)
			h.Link = newLink(64 << 20)
			body := fmt.Sprint(tt.length)
			_, got, err := doRemote(t.Context(), h, callHead(body), body)
			assert.NilError(t, err)
			assert.Equal(t, len(got), tt.length)
			assert.Equal(t, h.Gate.Load().Running, 0)
		})
	}
}

func TestLargeResponseHoldsNoSlotWhileSent(t *testing.T) {
	h := newHandler(t, sizedHandler)
	h.Gate = newGate(1)
	// The counted bytes keep the link busy for hours.
	h.Link = newLink(1)
	h.Link.BytesWritten(1 << 20)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	reply, err := (&peer.LocalCaller{Handler: remoteCaller{h}}).Call(ctx, &peer.Call{Head: callHead("200000"), Body: strings.NewReader("200000")})
	assert.NilError(t, err)
	go func() {
		_, copyErr := io.Copy(io.Discard, reply.Body)
		ended <- copyErr
	}()
	_, got, err := doRemote(t.Context(), h, callHead("10"), "10")
	assert.NilError(t, err)
	assert.Equal(t, len(got), 10)
	cancel()
	assert.Assert(t, <-ended != nil, "a truncated response must not look complete")
}

func TestTruncatedLargeResponseIsUnknown(t *testing.T) {
	h := newHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write([]byte("half"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	h.Link = newLink(64 << 20)
	_, _, err := doRemote(t.Context(), h, callHead(""), "")
	var callErr *peer.CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Equal(t, callErr.Outcome, peer.Unknown)
}

func TestCallIsRejectedIfLargeResponseWouldBeLate(t *testing.T) {
	tests := []struct {
		name string
		// learned is the length of the previous response, and queued the length of a
		// response that waits for the link, both in bytes.
		learned, queued int
		within          time.Duration
		want            string
	}{
		{name: "short responses", learned: 10, queued: 1 << 20, within: time.Millisecond},
		{name: "nothing queued", learned: 200_000, within: time.Millisecond},
		{name: "in time", learned: 200_000, queued: 200_000, within: time.Second},
		{name: "late", learned: 200_000, queued: 200_000, within: 300 * time.Millisecond, want: ReasonLinkLate},
		{name: "no limit", learned: 200_000, queued: 200_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ran := 0
			h := newHandler(t, func(w http.ResponseWriter, r *http.Request) {
				ran++
				sizedHandler(w, r)
			})
			h.Link = newLink(1 << 20)
			body := fmt.Sprint(tt.learned)
			head := callHead(body)
			head.Route = "r"
			_, _, err := doRemote(t.Context(), h, head, body)
			assert.NilError(t, err)
			waiting, fits := h.Link.TryReserve(int64(tt.queued), time.Hour)
			assert.Assert(t, fits)
			defer waiting.End()
			head.StartWithinMicros = tt.within.Microseconds()
			_, _, err = doRemote(t.Context(), h, head, body)
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			var callErr *peer.CallError
			assert.Assert(t, errors.As(err, &callErr))
			assert.Equal(t, callErr.Outcome, peer.NotRun)
			assert.Equal(t, callErr.Reason, tt.want)
			assert.Assert(t, callErr.RetryAfter > 0 && callErr.LinkWait > 0)
			assert.Equal(t, ran, 1, "a rejected call must not reach the upstream")
		})
	}
}

// TestLargeResponsesShareTheirMemory guards against responses that wait for the network
// link and take the process over its memory. One that finds no room is sent as it arrives.
func TestLargeResponsesShareTheirMemory(t *testing.T) {
	const length = 200_000
	tests := []struct {
		name string
		// held is the memory that other bodies use, in bytes.
		held int64
	}{
		{name: "room"},
		{name: "no room", held: 300_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHandler(t, sizedHandler)
			h.Memory = &quota.Memory{}
			h.Memory.SetLimit(300_000)
			h.Link = newLink(64 << 20)
			other := h.Memory.Hold()
			assert.NilError(t, other.Reserve(tt.held))
			body := fmt.Sprint(length)
			_, got, err := doRemote(t.Context(), h, callHead(body), body)
			assert.NilError(t, err)
			assert.Equal(t, len(got), length)
			other.Release()
			assert.Equal(t, h.Memory.Used(), int64(0))
		})
	}
}
