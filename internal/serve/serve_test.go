package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeClaims returns the same result for each claim and records what becomes of it.
type fakeClaims struct {
	result    ClaimResult
	err       error
	completed *Response
	released  bool
}

func (f *fakeClaims) Claim(context.Context, *peer.Call) (ClaimResult, error) { return f.result, f.err }

func (f *fakeClaims) Complete(_ *peer.Call, response Response) { f.completed = &response }
func (f *fakeClaims) Release(*peer.Call)                       { f.released = true }

// newHandler returns a handler whose upstream runs the given function.
func newHandler(t *testing.T, upstream http.HandlerFunc) *Handler {
	t.Helper()
	backend := httptest.NewServer(upstream)
	t.Cleanup(backend.Close)
	h := &Handler{Gate: newGate(4)}
	h.SetUpstream(netip.MustParseAddrPort(backend.Listener.Addr().String()), 4)
	t.Cleanup(func() { h.SetUpstream(netip.AddrPort{}, 0) })
	return h
}

func newGate(slots int) *gate.Gate {
	g := &gate.Gate{}
	g.Configure(gate.Config{Slots: slots})
	return g
}

// callHead returns the head of a call that is not idempotent.
func callHead(body string) *wire.CallHead {
	return &wire.CallHead{Method: "POST", Path: "/entries?page=2", Attempt: "a-1", BodyLength: int64(len(body)), Priority: uint32(mesh.High)}
}

// do calls the handler directly, without a session between nodes.
func do(ctx context.Context, h *Handler, head *wire.CallHead, body string) (reply *peer.Reply, responseBody string, err error) {
	local := &peer.LocalCaller{Handler: h}
	reply, err = local.Call(ctx, &peer.Call{Head: head, Body: strings.NewReader(body)})
	if err != nil {
		return nil, "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return reply, string(data), err
}

func echoHandler(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "Private")
	w.Header().Set("Private", "x")
	w.Header().Set("Got", fmt.Sprint(r.Method, " ", r.URL, " ", r.Host, " ", r.Header.Get(HeaderPriority), " ",
		r.Header.Get(HeaderAttempt), " ", r.Header.Get(HeaderIdempotencyKey), " ", r.Header.Get(HeaderTimeout) != ""))
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

func abortHandler(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func notRunHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderOutcome, "not-run")
	w.Header().Set(HeaderRetryAfter, "2")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestCallIsForwardedAndResponseIsComplete(t *testing.T) {
	tests := []struct {
		name string
		body string
	}{
		{name: "no body"},
		{name: "body", body: "in memory of"},
		{name: "long body", body: strings.Repeat("seed paper ", 50_000)},
	}
	h := newHandler(t, echoHandler)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			head := callHead(tt.body)
			head.Key = "key-1"
			head.Headers = []*wire.Header{{Name: "Host", Value: "notices.example"}}
			reply, got, err := do(ctx, h, head, tt.body)
			assert.NilError(t, err)
			assert.Equal(t, len(got), len(tt.body))
			assert.Equal(t, got, tt.body)
			headers := make(http.Header)
			for _, hd := range reply.Head.GetHeaders() {
				headers.Add(hd.GetName(), hd.GetValue())
			}
			assert.Equal(t, headers.Get("Got"), "POST /entries?page=2 notices.example high a-1 key-1 true")
			assert.Equal(t, headers.Get("Private"), "")
		})
	}
}

func TestFailuresReportCorrectOutcome(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refusedAddress := netip.MustParseAddrPort(closed.Addr().String())
	assert.NilError(t, closed.Close())
	drained := newGate(1)
	assert.NilError(t, drained.Drain(t.Context()))
	_, err = drained.Acquire(t.Context(), mesh.High, time.Time{})
	var draining *gate.RejectedError
	assert.Assert(t, errors.As(err, &draining))
	tests := []struct {
		name    string
		prepare func(h *Handler, head *wire.CallHead)
		run     http.HandlerFunc
		outcome peer.Outcome
		reason  string
		after   time.Duration
	}{
		{name: "no upstream", run: echoHandler, outcome: peer.NotRun, reason: ReasonNoUpstream, prepare: func(h *Handler, _ *wire.CallHead) { h.SetUpstream(netip.AddrPort{}, 0) }},
		{name: "connection refused", run: echoHandler, outcome: peer.NotRun, reason: ReasonUnreachable, prepare: func(h *Handler, _ *wire.CallHead) { h.SetUpstream(refusedAddress, 4) }},
		{name: "invalid priority", run: echoHandler, outcome: peer.NotRun, reason: ReasonBadCall, prepare: func(_ *Handler, head *wire.CallHead) { head.Priority = mesh.NumPriorities }},
		{name: "invalid path", run: echoHandler, outcome: peer.NotRun, reason: ReasonTarget, prepare: func(_ *Handler, head *wire.CallHead) { head.Path = "\x00" }},
		{name: "gate is draining", run: echoHandler, outcome: peer.NotRun, reason: "gate-" + gate.Draining.String(), after: draining.RetryAfter, prepare: func(h *Handler, _ *wire.CallHead) { h.Gate = drained }},
		{name: "upstream reports not run", run: notRunHandler, outcome: peer.NotRun, reason: ReasonRefused, after: 2 * time.Second},
		{name: "connection closed before the response", run: abortHandler, outcome: peer.Unknown, reason: ReasonLost},
		{name: "key, but no claims", run: echoHandler, outcome: peer.NotRun, reason: ReasonClaimFailed, prepare: func(_ *Handler, head *wire.CallHead) { head.Key, head.KeyWindowMicros = "k", 1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, head := newHandler(t, tt.run), callHead("x")
			if tt.prepare != nil {
				tt.prepare(h, head)
			}
			_, _, err := do(t.Context(), h, head, "x")
			var callErr *peer.CallError
			assert.Assert(t, errors.As(err, &callErr), "%v", err)
			assert.Equal(t, callErr.Outcome, tt.outcome)
			assert.Equal(t, callErr.Reason, tt.reason)
			assert.Equal(t, callErr.RetryAfter, tt.after)
			assert.Equal(t, h.Gate.Load().Running, 0)
		})
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	h := newHandler(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	_, _, err := do(t.Context(), h, callHead(""), "")
	var callErr *peer.CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Equal(t, callErr.Outcome, peer.Unknown)
	assert.Equal(t, callErr.Reason, peer.ReasonTruncated)
	assert.Equal(t, h.Counters().Truncated.Load(), uint64(1))
}

func TestCanceledCallIsCanceledAtUpstream(t *testing.T) {
	entered, ended := make(chan struct{}), make(chan struct{})
	h := newHandler(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(entered)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	_, _, err := do(ctx, h, callHead("x"), "x")
	var callErr *peer.CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Equal(t, callErr.Outcome, peer.Unknown)
	assert.Equal(t, callErr.Reason, peer.ReasonCanceled)
	<-ended
}

func TestRequestIsNotResentWhenReusedConnectionFails(t *testing.T) {
	tests := []struct {
		name string
		edit func(head *wire.CallHead)
	}{
		{name: "with a body", edit: func(*wire.CallHead) {}},
		{name: "without a body", edit: func(head *wire.CallHead) { head.BodyLength = 0 }},
		{name: "with a key", edit: func(head *wire.CallHead) { head.BodyLength, head.Key = 0, "k" }},
		{name: "GET that is not idempotent", edit: func(head *wire.CallHead) { head.BodyLength, head.Method = 0, "GET" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var requests atomic.Int32
			h := newHandler(t, func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) == 1 {
					echoHandler(w, r)
					return
				}
				abortHandler(w, r)
			})
			_, _, err := do(t.Context(), h, callHead("x"), "x")
			assert.NilError(t, err)
			head := callHead("x")
			tt.edit(head)
			_, _, err = do(t.Context(), h, head, strings.Repeat("x", int(head.GetBodyLength())))
			var callErr *peer.CallError
			assert.Assert(t, errors.As(err, &callErr))
			assert.Equal(t, callErr.Outcome, peer.Unknown)
			assert.Equal(t, requests.Load(), int32(2))
		})
	}
}

func TestCallWithKeyFollowsClaimResult(t *testing.T) {
	stored := Response{Head: &wire.ReplyHead{Status: 201}, Body: []byte("stored"), Complete: true}
	tests := []struct {
		name      string
		claims    *fakeClaims
		run       http.HandlerFunc
		outcome   peer.Outcome
		reason    string
		body      string
		replayed  bool
		runs      int32
		completed string
		released  bool
	}{
		{name: "run", claims: &fakeClaims{}, run: echoHandler, body: "x", runs: 1, completed: "x"},
		{name: "replay", claims: &fakeClaims{result: ClaimResult{Action: Replay, Response: stored}}, run: echoHandler, body: "stored", replayed: true},
		{name: "in doubt", claims: &fakeClaims{result: ClaimResult{Action: InDoubt}}, run: echoHandler, outcome: peer.Unknown, reason: ReasonInDoubt},
		{name: "claim failed", claims: &fakeClaims{err: errors.New("store is down")}, run: echoHandler, outcome: peer.NotRun, reason: ReasonClaimFailed},
		{name: "claim expired", claims: &fakeClaims{result: ClaimResult{SendBy: time.Unix(1, 0)}}, run: echoHandler, outcome: peer.NotRun, reason: claimedPrefix + ReasonClaimExpired, released: true},
		{name: "upstream reports not run", claims: &fakeClaims{}, run: notRunHandler, outcome: peer.NotRun, reason: claimedPrefix + ReasonRefused, runs: 1, released: true},
		{name: "connection closed before the response", claims: &fakeClaims{}, run: abortHandler, outcome: peer.Unknown, reason: ReasonLost, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var runs atomic.Int32
			h := newHandler(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				tt.run(w, r)
			})
			h.Claims = tt.claims
			head := callHead("x")
			head.Key, head.KeyWindowMicros = "k", time.Hour.Microseconds()
			reply, body, err := do(t.Context(), h, head, "x")
			if tt.outcome != 0 {
				var callErr *peer.CallError
				assert.Assert(t, errors.As(err, &callErr))
				assert.Equal(t, callErr.Outcome, tt.outcome)
				assert.Equal(t, callErr.Reason, tt.reason)
			} else {
				assert.NilError(t, err)
				assert.Equal(t, body, tt.body)
				assert.Equal(t, reply.Head.GetReplayed(), tt.replayed)
			}
			assert.Equal(t, runs.Load(), tt.runs)
			assert.Equal(t, tt.claims.released, tt.released)
			if tt.completed != "" {
				assert.Equal(t, string(tt.claims.completed.Body), tt.completed)
				assert.Assert(t, tt.claims.completed.Complete)
			} else {
				assert.Assert(t, tt.claims.completed == nil)
			}
		})
	}
}

func TestTruncatedRequestBodyNeverLooksComplete(t *testing.T) {
	tests := []struct {
		name    string
		length  int64
		outcome peer.Outcome
		reason  string
		reached bool
	}{
		{name: "short body", length: 100, outcome: peer.NotRun, reason: peer.ReasonRequestBody},
		{name: "long body", length: 2 * copyBufferSize, outcome: peer.Unknown, reason: ReasonLost, reached: true},
		{name: "body of unknown length", length: -1, outcome: peer.Unknown, reason: ReasonLost, reached: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			read := make(chan error, 1)
			h := newHandler(t, func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				read <- err
			})
			head := callHead("")
			head.BodyLength = tt.length
			local := &peer.LocalCaller{Handler: h}
			_, err := local.Call(t.Context(), &peer.Call{Head: head, Body: io.MultiReader(strings.NewReader("part"), brokenBody{})})
			var callErr *peer.CallError
			assert.Assert(t, errors.As(err, &callErr))
			assert.Equal(t, callErr.Outcome, tt.outcome)
			assert.Equal(t, callErr.Reason, tt.reason)
			if tt.reached {
				assert.Assert(t, <-read != nil)
			}
		})
	}
}

// brokenBody fails on every read.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// panickingGate panics for the first call.
type panickingGate struct {
	Gate
	panicked atomic.Bool
}

func (p *panickingGate) AcquireFor(ctx context.Context, request gate.Request) (*gate.Permit, error) {
	if !p.panicked.Swap(true) {
		panic("broken invariant")
	}
	return p.Gate.AcquireFor(ctx, request)
}

// TestPanicEndsOneCallAlone guards against one faulty call that ends the process with all
// others.
func TestPanicEndsOneCallAlone(t *testing.T) {
	h := newHandler(t, echoHandler)
	h.Gate = &panickingGate{Gate: h.Gate}
	var value any
	h.OnPanic = func(v any, stack []byte) {
		value = v
		assert.Assert(t, len(stack) > 0)
	}
	_, _, err := do(t.Context(), h, callHead(""), "")
	var callErr *peer.CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Equal(t, callErr.Outcome, peer.Unknown)
	assert.Equal(t, callErr.Reason, ReasonInternalError)
	assert.Equal(t, value, "broken invariant")
	_, _, err = do(t.Context(), h, callHead(""), "")
	assert.NilError(t, err)
}
