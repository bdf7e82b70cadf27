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
	"arbutusstep.example/arbutusstep/internal/wire"
)

// sized answers with a body of the length that the request's body names.
func sized(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	var length int
	_, _ = fmt.Sscan(string(data), &length)
	w.Header().Set("Content-Length", fmt.Sprint(length))
	_, _ = io.WriteString(w, strings.Repeat("x", length))
}

// remote makes the calls of a test those of another node.
type remote struct{ handler *Handler }

// ServeCall implements peer.CallHandler.
func (r remote) ServeCall(ctx context.Context, call *peer.Call, reply peer.ReplyWriter) {
	call.Local = false
	r.handler.ServeCall(ctx, call, reply)
}

// doRemote is do for a call of another node.
func doRemote(ctx context.Context, h *Handler, head *wire.CallHead, body string) (reply *peer.Reply, answer string, err error) {
	local := &peer.LocalCaller{Handler: remote{h}}
	reply, err = local.Call(ctx, &peer.Call{Head: head, Body: strings.NewReader(body)})
	if err != nil {
		return nil, "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return reply, string(data), err
}

// newLink returns a link of that many bytes a second whose writes are counted by
// the test.
func newLink(rate float64) *egress.Link {
	l := &egress.Link{}
	l.SetRate(rate)
	return l
}

func TestLongAnswersAreWhole(t *testing.T) {
	tests := []struct {
		name   string
		length int
	}{
		{name: "short", length: 10},
		{name: "as long as takes no turn", length: egress.LargeMessageBytes},
		{name: "taking turns", length: egress.LargeMessageBytes + 1},
		{name: "many steps", length: 20*egress.LargeMessageBytes + 7},
		{name: "too long to be held", length: longestHeld + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHandler(t, sized)
			h.Link = newLink(64 << 20)
			body := fmt.Sprint(tt.length)
			_, got, err := doRemote(t.Context(), h, callHead(body), body)
			assert.NilError(t, err)
			assert.Equal(t, len(got), tt.length)
			assert.Equal(t, h.Gate.Load().Running, 0)
		})
	}
}

func TestLongAnswerHoldsNoSlot(t *testing.T) {
	h := newHandler(t, sized)
	h.Gate = newGate(1)
	// What is counted keeps the link busy for hours.
	h.Link = newLink(1)
	h.Link.BytesWritten(1 << 20)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	reply, err := (&peer.LocalCaller{Handler: remote{h}}).Call(ctx, &peer.Call{Head: callHead("200000"), Body: strings.NewReader("200000")})
	assert.NilError(t, err)
	go func() {
		_, copyErr := io.Copy(io.Discard, reply.Body)
		ended <- copyErr
	}()
	_, got, err := doRemote(t.Context(), h, callHead("10"), "10")
	assert.NilError(t, err)
	assert.Equal(t, len(got), 10)
	cancel()
	assert.Assert(t, <-ended != nil, "an answer that was cut must not look whole")
}

func TestCutLongAnswerIsUnknown(t *testing.T) {
	h := newHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write([]byte("half"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	h.Link = newLink(64 << 20)
	_, _, err := doRemote(t.Context(), h, callHead(""), "")
	var failed *peer.CallError
	assert.Assert(t, errors.As(err, &failed))
	assert.Equal(t, failed.Outcome, peer.Unknown)
}

func TestLongAnswerThatWouldComeTooLateIsRefused(t *testing.T) {
	tests := []struct {
		name string
		// learned is the length of the answer before; queued is what waits for the link
		// then, both in bytes.
		learned, queued int
		within          time.Duration
		want            string
	}{
		{name: "short answers", learned: 10, queued: 1 << 20, within: time.Millisecond},
		{name: "nothing waits", learned: 200_000, within: time.Millisecond},
		{name: "in time", learned: 200_000, queued: 200_000, within: time.Second},
		{name: "too late", learned: 200_000, queued: 200_000, within: 300 * time.Millisecond, want: ReasonLink},
		{name: "no bound", learned: 200_000, queued: 200_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ran := 0
			h := newHandler(t, func(w http.ResponseWriter, r *http.Request) {
				ran++
				sized(w, r)
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
			var failed *peer.CallError
			assert.Assert(t, errors.As(err, &failed))
			assert.Equal(t, failed.Outcome, peer.NotRun)
			assert.Equal(t, failed.Reason, tt.want)
			assert.Assert(t, failed.RetryAfter > 0 && failed.LinkDelay > 0)
			assert.Equal(t, ran, 1, "a refused call must not reach the upstream")
		})
	}
}
