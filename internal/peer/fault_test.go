package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func asCallError(t *testing.T, err error) *CallError {
	t.Helper()
	var callErr *CallError
	assert.Assert(t, errors.As(err, &callErr), "got %v", err)
	return callErr
}

// callAndRead makes a call and returns the whole reply body.
func callAndRead(ctx context.Context, pool *Pool, node netip.AddrPort, call *Call) (body string, err error) {
	reply, err := pool.Call(ctx, node, call)
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return string(data), err
}

// lossyConn drops sent or received data after a call of drop.
type lossyConn struct {
	net.Conn
	mutex                  sync.Mutex
	dropSent, dropReceived bool
}

func (l *lossyConn) drop(sent, received bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.dropSent, l.dropReceived = sent, received
}

func (l *lossyConn) Write(data []byte) (int, error) {
	l.mutex.Lock()
	drop := l.dropSent
	l.mutex.Unlock()
	if drop {
		return len(data), nil
	}
	return l.Conn.Write(data)
}

func (l *lossyConn) Read(data []byte) (n int, err error) {
	for {
		n, err = l.Conn.Read(data)
		l.mutex.Lock()
		drop := l.dropReceived
		l.mutex.Unlock()
		if !drop || err != nil {
			return n, err
		}
	}
}

// lossyDialer records the connections that it made.
type lossyDialer struct {
	mutex sync.Mutex
	conns []*lossyConn
}

func (d *lossyDialer) Dial(ctx context.Context, node netip.AddrPort) (net.Conn, error) {
	raw, err := tcpDialer{}.Dial(ctx, node)
	if err != nil {
		return nil, err
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.conns = append(d.conns, &lossyConn{Conn: raw})
	return d.conns[len(d.conns)-1], nil
}

func TestSilentSessionIsReplaced(t *testing.T) {
	tests := []struct {
		name           string
		sent, received bool
	}{
		{name: "sent data dropped", sent: true},
		{name: "received data dropped", received: true},
		{name: "all data dropped", sent: true, received: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			node := startServer(t, &Server{CallHandler: serveFunc(echo)})
			dialer := &lossyDialer{}
			pool := &Pool{Dialer: dialer, PingAfter: 10 * time.Millisecond, PingTimeout: 30 * time.Millisecond}
			t.Cleanup(pool.Close)
			_, err := callAndRead(t.Context(), pool, node, &Call{Head: &wire.CallHead{}})
			assert.NilError(t, err)
			dialer.conns[0].drop(tt.sent, tt.received)
			_, err = callAndRead(t.Context(), pool, node, &Call{Head: &wire.CallHead{Idempotent: true}})
			callErr := asCallError(t, err)
			assert.Equal(t, callErr.Outcome, Unknown)
			assert.Equal(t, callErr.Reason, ReasonSessionSilent)
			_, err = callAndRead(t.Context(), pool, node, &Call{Head: &wire.CallHead{Idempotent: true}})
			assert.NilError(t, err)
			assert.Equal(t, len(dialer.conns), 2)
		})
	}
}

func TestNonIdempotentCallAvoidsSilentSession(t *testing.T) {
	node := startServer(t, &Server{CallHandler: serveFunc(echo)})
	dialer := &lossyDialer{}
	pool := &Pool{Dialer: dialer, PingTimeout: 30 * time.Millisecond, LivenessWindow: time.Nanosecond}
	t.Cleanup(pool.Close)
	_, err := callAndRead(t.Context(), pool, node, &Call{Head: &wire.CallHead{}})
	assert.NilError(t, err)
	dialer.conns[0].drop(false, true)
	_, err = callAndRead(t.Context(), pool, node, &Call{Head: &wire.CallHead{}})
	assert.NilError(t, err)
	assert.Equal(t, len(dialer.conns), 2)
}

// startScriptedNode serves one session. On each stream, it reads the header of the
// first frame and lets the script write the reply.
func startScriptedNode(t *testing.T, script func(w *wire.Writer, call uint64)) (node netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var work sync.WaitGroup
	work.Go(func() {
		raw, acceptErr := listener.Accept()
		if acceptErr != nil || readPreface(raw) != nil {
			return
		}
		_, _ = io.WriteString(raw, preface)
		mux, _ := yamux.Server(raw, muxConfig())
		defer mux.Close()
		for {
			stream, streamErr := mux.AcceptStream()
			if streamErr != nil {
				return
			}
			header, _ := wire.NewReader(stream).Next()
			w := wire.NewWriter(stream)
			script(w, header.Call)
			_ = w.Flush()
			_ = stream.Close()
		}
	})
	t.Cleanup(func() {
		listener.Close()
		work.Wait()
	})
	return addrOf(listener.Addr())
}

func TestInvalidReplyHasUnknownOutcome(t *testing.T) {
	head := &wire.ReplyHead{Status: 200, BodyLength: -1}
	tests := []struct {
		name   string
		script func(w *wire.Writer, call uint64)
		reason string
	}{
		{name: "stream ends before the head", script: func(*wire.Writer, uint64) {}, reason: ReasonSessionLost},
		{name: "reply head of another call", reason: ReasonWrongCall, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call+1, head)
		}},
		{name: "body of another call", reason: ReasonWrongCall, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call, head)
			_ = w.Data(call+1, []byte("x"))
		}},
		{name: "end frame of another call", reason: ReasonWrongCall, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call, head)
			_ = w.Message(wire.TypeEnd, call+1, &wire.BodyEnd{})
		}},
		{name: "body without an end frame", reason: ReasonTruncated, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call, head)
			_ = w.Data(call, []byte("x"))
		}},
		{name: "body shorter than the length in its end frame", reason: ReasonTruncated, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call, head)
			_ = w.Data(call, []byte("x"))
			_ = w.Message(wire.TypeEnd, call, &wire.BodyEnd{Length: 2})
		}},
		{name: "body that the remote node could not complete", reason: ReasonTruncated, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call, head)
			_ = w.Message(wire.TypeEnd, call, &wire.BodyEnd{Error: "lost"})
		}},
		{name: "data before the head", reason: ReasonProtocol, script: func(w *wire.Writer, call uint64) {
			_ = w.Data(call, []byte("x"))
		}},
		{name: "head in a body", reason: ReasonProtocol, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call, head)
			_ = w.Message(wire.TypeReply, call, head)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pool := &Pool{}
			node := startScriptedNode(t, tt.script)
			t.Cleanup(pool.Close)
			_, err := callAndRead(t.Context(), pool, node, &Call{Head: &wire.CallHead{Idempotent: true}})
			callErr := asCallError(t, err)
			assert.Equal(t, callErr.Outcome, Unknown)
			assert.Equal(t, callErr.Reason, tt.reason, "%v", callErr)
		})
	}
}

func TestCancelEndsCallAtRemoteNode(t *testing.T) {
	tests := []struct {
		name    string
		body    io.Reader
		handler func(call *Call, reply ReplyWriter)
		// answered means that the head of the reply arrives before the cancel.
		answered bool
	}{
		{name: "while waiting for the reply", handler: func(*Call, ReplyWriter) {}},
		{name: "during the reply body", answered: true, handler: func(_ *Call, reply ReplyWriter) {
			_ = reply.WriteHead(&wire.ReplyHead{Status: 200, BodyLength: -1})
			_, _ = reply.Write([]byte("half"))
			_ = reply.Flush()
		}},
		{name: "while a long request body is sent that the handler does not read", body: endlessBody{}, handler: func(*Call, ReplyWriter) {}},
		{name: "while the handler reads a long request body", body: endlessBody{}, handler: func(call *Call, _ ReplyWriter) {
			_, _ = io.Copy(io.Discard, call.Body)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entered, ended := make(chan struct{}), make(chan error, 1)
			node := startServer(t, &Server{CallHandler: serveFunc(func(ctx context.Context, call *Call, reply ReplyWriter) {
				close(entered)
				tt.handler(call, reply)
				<-ctx.Done()
				ended <- ctx.Err()
			})})
			pool := newPool(t)
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-entered
				if !tt.answered {
					cancel()
				}
			}()
			reply, err := pool.Call(ctx, node, &Call{Head: &wire.CallHead{BodyLength: -1}, Body: tt.body})
			if tt.answered {
				assert.NilError(t, err)
				cancel()
				_, err = io.ReadAll(reply.Body)
				assert.NilError(t, reply.Body.Close())
			}
			callErr := asCallError(t, err)
			assert.Equal(t, callErr.Outcome, Unknown)
			assert.Equal(t, callErr.Reason, ReasonCanceled)
			assert.ErrorIs(t, <-ended, context.Canceled)
		})
	}
}

func TestUnsentCallIsNotRun(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name   string
		ctx    context.Context
		call   *Call
		reason string
	}{
		{name: "canceled before the call", ctx: canceled, call: &Call{Head: &wire.CallHead{}}, reason: ReasonCanceled},
		{name: "head too large", ctx: context.Background(), call: &Call{Head: &wire.CallHead{Path: strings.Repeat("x", wire.MaxHead)}}, reason: ReasonProtocol},
		{name: "body fails at its first read", ctx: context.Background(), call: &Call{Head: &wire.CallHead{BodyLength: 3}, Body: failingBody{}}, reason: ReasonRequestBody},
	}
	node := startServer(t, &Server{CallHandler: serveFunc(echo)})
	pool := newPool(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := pool.Call(tt.ctx, node, tt.call)
			callErr := asCallError(t, err)
			assert.Equal(t, callErr.Outcome, NotRun)
			assert.Equal(t, callErr.Reason, tt.reason)
		})
	}
}

// failingBody fails at its first read.
type failingBody struct{}

func (failingBody) Read([]byte) (int, error) { return 0, io.ErrNoProgress }

func TestDeadlineIsSentWithCall(t *testing.T) {
	left := make(chan time.Duration, 1)
	node := startServer(t, &Server{CallHandler: serveFunc(func(ctx context.Context, _ *Call, _ ReplyWriter) {
		deadline, _ := ctx.Deadline()
		left <- time.Until(deadline)
	})})
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	_, err := newPool(t).Call(ctx, node, &Call{Head: &wire.CallHead{}})
	assert.Equal(t, asCallError(t, err).Reason, ReasonNoHandler)
	got := <-left
	assert.Assert(t, got > 0 && got < time.Hour)
}
