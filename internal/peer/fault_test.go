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

func outcomeOf(t *testing.T, err error) *CallError {
	t.Helper()
	var failed *CallError
	assert.Assert(t, errors.As(err, &failed), "got %v", err)
	return failed
}

// readAll calls and reads the answer to its end.
func readAll(ctx context.Context, pool *Pool, node netip.AddrPort, call *Call) (body string, err error) {
	reply, err := pool.Call(ctx, node, call)
	if err != nil {
		return "", err
	}
	defer reply.Body.Close()
	data, err := io.ReadAll(reply.Body)
	return string(data), err
}

// lossyConn loses what is sent or what arrives once it is told to.
type lossyConn struct {
	net.Conn
	mutex                  sync.Mutex
	loseSent, loseReceived bool
}

func (l *lossyConn) lose(sent, received bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.loseSent, l.loseReceived = sent, received
}

func (l *lossyConn) Write(data []byte) (int, error) {
	l.mutex.Lock()
	lost := l.loseSent
	l.mutex.Unlock()
	if lost {
		return len(data), nil
	}
	return l.Conn.Write(data)
}

func (l *lossyConn) Read(data []byte) (n int, err error) {
	for {
		n, err = l.Conn.Read(data)
		l.mutex.Lock()
		lost := l.loseReceived
		l.mutex.Unlock()
		if !lost || err != nil {
			return n, err
		}
	}
}

// lossyDialer remembers the connections that it made.
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

func TestSilentSessionIsLeftAndNewWorkDialsAnew(t *testing.T) {
	tests := []struct {
		name           string
		sent, received bool
	}{
		{name: "nothing leaves", sent: true},
		{name: "nothing arrives", received: true},
		{name: "nothing passes", sent: true, received: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			node := start(t, &Server{CallHandler: serveFunc(echo)})
			dialer := &lossyDialer{}
			pool := &Pool{Dialer: dialer, PingAfter: 10 * time.Millisecond, PingTimeout: 30 * time.Millisecond}
			t.Cleanup(pool.Close)
			_, err := readAll(t.Context(), pool, node, &Call{Head: &wire.CallHead{}})
			assert.NilError(t, err)
			dialer.conns[0].lose(tt.sent, tt.received)
			_, err = readAll(t.Context(), pool, node, &Call{Head: &wire.CallHead{Idempotent: true}})
			failed := outcomeOf(t, err)
			assert.Equal(t, failed.Outcome, Unknown)
			assert.Equal(t, failed.Reason, ReasonSessionSilent)
			_, err = readAll(t.Context(), pool, node, &Call{Head: &wire.CallHead{Idempotent: true}})
			assert.NilError(t, err)
			assert.Equal(t, len(dialer.conns), 2)
		})
	}
}

func TestCallThatMustNotBeDoubledAvoidsASilentSession(t *testing.T) {
	node := start(t, &Server{CallHandler: serveFunc(echo)})
	dialer := &lossyDialer{}
	pool := &Pool{Dialer: dialer, PingTimeout: 30 * time.Millisecond, LivenessWindow: time.Nanosecond}
	t.Cleanup(pool.Close)
	_, err := readAll(t.Context(), pool, node, &Call{Head: &wire.CallHead{}})
	assert.NilError(t, err)
	dialer.conns[0].lose(false, true)
	_, err = readAll(t.Context(), pool, node, &Call{Head: &wire.CallHead{}})
	assert.NilError(t, err)
	assert.Equal(t, len(dialer.conns), 2)
}

// startScript serves sessions whose streams are answered by hand.
func startScript(t *testing.T, script func(w *wire.Writer, call uint64)) (node netip.AddrPort) {
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

func TestAnswerThatProvesNothingIsUnknown(t *testing.T) {
	head := &wire.ReplyHead{Status: 200, BodyLength: -1}
	tests := []struct {
		name   string
		script func(w *wire.Writer, call uint64)
		reason string
	}{
		{name: "stream ends before the head", script: func(*wire.Writer, uint64) {}, reason: ReasonSessionLost},
		{name: "answer of another call", reason: ReasonWrongCall, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call+1, head)
		}},
		{name: "body of another call", reason: ReasonWrongCall, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call, head)
			_ = w.Data(call+1, []byte("x"))
		}},
		{name: "end of another call", reason: ReasonWrongCall, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call, head)
			_ = w.Message(wire.TypeEnd, call+1, &wire.BodyEnd{})
		}},
		{name: "body without an end", reason: ReasonTruncated, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call, head)
			_ = w.Data(call, []byte("x"))
		}},
		{name: "body shorter than its end says", reason: ReasonTruncated, script: func(w *wire.Writer, call uint64) {
			_ = w.Message(wire.TypeReply, call, head)
			_ = w.Data(call, []byte("x"))
			_ = w.Message(wire.TypeEnd, call, &wire.BodyEnd{Length: 2})
		}},
		{name: "body that the far end could not finish", reason: ReasonTruncated, script: func(w *wire.Writer, call uint64) {
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
			node := startScript(t, tt.script)
			t.Cleanup(pool.Close)
			_, err := readAll(t.Context(), pool, node, &Call{Head: &wire.CallHead{Idempotent: true}})
			failed := outcomeOf(t, err)
			assert.Equal(t, failed.Outcome, Unknown)
			assert.Equal(t, failed.Reason, tt.reason, "%v", failed)
		})
	}
}

func TestCancelEndsTheCallAtTheFarNode(t *testing.T) {
	tests := []struct {
		name    string
		body    io.Reader
		handler func(call *Call, reply ReplyWriter)
		// answered tells that the head of the answer comes before the cancel.
		answered bool
	}{
		{name: "while the answer is waited for", handler: func(*Call, ReplyWriter) {}},
		{name: "within the answer", answered: true, handler: func(_ *Call, reply ReplyWriter) {
			_ = reply.WriteHead(&wire.ReplyHead{Status: 200, BodyLength: -1})
			_, _ = reply.Write([]byte("half"))
			_ = reply.Flush()
		}},
		{name: "while a long body is sent that nobody reads", body: neverEnding{}, handler: func(*Call, ReplyWriter) {}},
		{name: "while a long body is read", body: neverEnding{}, handler: func(call *Call, _ ReplyWriter) {
			_, _ = io.Copy(io.Discard, call.Body)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entered, ended := make(chan struct{}), make(chan error, 1)
			node := start(t, &Server{CallHandler: serveFunc(func(ctx context.Context, call *Call, reply ReplyWriter) {
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
			failed := outcomeOf(t, err)
			assert.Equal(t, failed.Outcome, Unknown)
			assert.Equal(t, failed.Reason, ReasonCanceled)
			assert.ErrorIs(t, <-ended, context.Canceled)
		})
	}
}

func TestCallThatNeverLeftIsNotRun(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name   string
		ctx    context.Context
		call   *Call
		reason string
	}{
		{name: "canceled before", ctx: canceled, call: &Call{Head: &wire.CallHead{}}, reason: ReasonCanceled},
		{name: "head too large", ctx: context.Background(), call: &Call{Head: &wire.CallHead{Path: strings.Repeat("x", wire.MaxHead)}}, reason: ReasonProtocol},
		{name: "body fails at once", ctx: context.Background(), call: &Call{Head: &wire.CallHead{BodyLength: 3}, Body: brokenBody{}}, reason: ReasonRequestBody},
	}
	node := start(t, &Server{CallHandler: serveFunc(echo)})
	pool := newPool(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := pool.Call(tt.ctx, node, tt.call)
			failed := outcomeOf(t, err)
			assert.Equal(t, failed.Outcome, NotRun)
			assert.Equal(t, failed.Reason, tt.reason)
		})
	}
}

// brokenBody fails at its first read.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrNoProgress }

func TestDeadlineTravelsWithTheCall(t *testing.T) {
	left := make(chan time.Duration, 1)
	node := start(t, &Server{CallHandler: serveFunc(func(ctx context.Context, _ *Call, _ ReplyWriter) {
		deadline, _ := ctx.Deadline()
		left <- time.Until(deadline)
	})})
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	_, err := newPool(t).Call(ctx, node, &Call{Head: &wire.CallHead{}})
	assert.Equal(t, outcomeOf(t, err).Reason, ReasonNoHandler)
	got := <-left
	assert.Assert(t, got > 0 && got < time.Hour)
}
