package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/wire"
)

func TestShutdownFinishesRunningCallsAndRefusesNewOnes(t *testing.T) {
	entered, finish := make(chan struct{}), make(chan struct{})
	server := &Server{Linger: time.Millisecond, CallHandler: serveFunc(func(ctx context.Context, call *Call, reply ReplyWriter) {
		if call.Head.GetPath() == "/slow" {
			close(entered)
			<-finish
		}
		echo(ctx, call, reply)
	})}
	node := startServer(t, server)
	pool, idle := newPool(t), newPool(t)
	_, err := callAndRead(t.Context(), idle, node, &Call{Head: &wire.CallHead{}})
	assert.NilError(t, err)

	slow := make(chan string, 1)
	go func() {
		body, slowErr := callAndRead(t.Context(), pool, node, &Call{Head: &wire.CallHead{Path: "/slow", BodyLength: 5}, Body: strings.NewReader("whole")})
		slow <- body
		slow <- errorText(slowErr)
	}()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	for !server.stopping() {
		time.Sleep(time.Millisecond)
	}
	for _, p := range []*Pool{pool, idle} {
		_, err = p.Call(t.Context(), node, &Call{Head: &wire.CallHead{}})
		assert.Equal(t, asCallError(t, err).Outcome, NotRun, "%v", err)
	}
	close(finish)
	assert.Equal(t, <-slow, "whole")
	assert.Equal(t, <-slow, "")
	assert.NilError(t, <-stopped)
	_, err = pool.Call(t.Context(), node, &Call{Head: &wire.CallHead{}})
	assert.Equal(t, asCallError(t, err).Outcome, NotRun, "%v", err)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestShutdownReturnsWhenContextEnds(t *testing.T) {
	entered := make(chan struct{})
	server := &Server{CallHandler: serveFunc(func(ctx context.Context, _ *Call, _ ReplyWriter) {
		close(entered)
		<-ctx.Done()
	})}
	node := startServer(t, server)
	pool := newPool(t)
	result := make(chan error, 1)
	go func() {
		_, err := pool.Call(t.Context(), node, &Call{Head: &wire.CallHead{}})
		result <- err
	}()
	<-entered
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, server.Shutdown(ctx), context.Canceled)
	assert.Equal(t, asCallError(t, <-result).Outcome, Unknown)
}

func TestServerRefusesCallsOverLimits(t *testing.T) {
	hold := serveFunc(func(ctx context.Context, _ *Call, reply ReplyWriter) {
		_ = reply.WriteHead(&wire.ReplyHead{Status: 200, BodyLength: -1})
		_ = reply.Flush()
		<-ctx.Done()
	})
	tests := []struct {
		name   string
		server *Server
		reason string
		shared bool
	}{
		{name: "too many calls on a session", server: &Server{CallHandler: hold, MaxCalls: 1}, reason: ReasonTooManyCalls, shared: true},
		{name: "too many sessions", server: &Server{CallHandler: hold, MaxSessions: 1}, reason: ReasonDialFailed},
		{name: "no handler", server: &Server{}, reason: ReasonNoHandler},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			node := startServer(t, tt.server)
			first, second := newPool(t), newPool(t)
			if tt.shared {
				second = first
			}
			reply, err := first.Call(t.Context(), node, &Call{Head: &wire.CallHead{}})
			if tt.server.CallHandler != nil {
				assert.NilError(t, err)
				defer reply.Body.Close()
			}
			_, err = second.Call(t.Context(), node, &Call{Head: &wire.CallHead{}})
			callErr := asCallError(t, err)
			assert.Equal(t, callErr.Outcome, NotRun)
			assert.Equal(t, callErr.Reason, tt.reason)
		})
	}
}

func TestServerClosesStreamOnProtocolViolation(t *testing.T) {
	frame := func(write func(w *wire.Writer)) []byte {
		var data bytes.Buffer
		w := wire.NewWriter(&data)
		write(w)
		_ = w.Flush()
		return data.Bytes()
	}
	tests := []struct {
		name string
		data []byte
	}{
		{name: "not a frame", data: []byte("GET / HTTP/1.1\r\n")},
		{name: "oversized head", data: []byte{1, 1, 0xff, 0xff, 0xff, 0x7f}},
		{name: "body without a call", data: frame(func(w *wire.Writer) { _ = w.Data(1, []byte("x")) })},
		{name: "body of another call", data: frame(func(w *wire.Writer) {
			_ = w.Message(wire.TypeHead, 1, &wire.CallHead{BodyLength: -1})
			_ = w.Data(2, []byte("x"))
		})},
		{name: "undecodable head", data: []byte{1, 1, 2, 0xff, 0xff}},
	}
	node := startServer(t, &Server{CallHandler: serveFunc(echo)})
	raw, err := net.Dial("tcp", node.String())
	assert.NilError(t, err)
	assert.NilError(t, handshake(t.Context(), raw))
	mux, err := yamux.Client(raw, muxConfig())
	assert.NilError(t, err)
	defer mux.Close()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stream, openErr := mux.OpenStream()
			assert.NilError(t, openErr)
			_, openErr = stream.Write(tt.data)
			assert.NilError(t, openErr)
			_, openErr = io.Copy(io.Discard, stream)
			assert.NilError(t, openErr)
			assert.NilError(t, stream.Close())
		})
	}
	_, err = mux.Ping()
	assert.NilError(t, err)
}

func TestServerClosesConnectionsWithoutPreface(t *testing.T) {
	tests := []struct {
		name string
		data string
	}{
		{name: "another protocol", data: "GET / HTTP/1.1\r\n\r\n"},
		{name: "handshake timeout", data: ""},
		{name: "incomplete preface", data: preface[:2]},
	}
	node := startServer(t, &Server{HandshakeTimeout: 10 * time.Millisecond})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw, err := net.Dial("tcp", node.String())
			assert.NilError(t, err)
			defer raw.Close()
			_, err = io.WriteString(raw, tt.data)
			assert.NilError(t, err)
			got, _ := io.ReadAll(raw)
			assert.Equal(t, len(got), 0)
		})
	}
}

func TestControlStreamCloseSendsQueuedMessages(t *testing.T) {
	got := make(chan string, controlQueueSize)
	node := startServer(t, &Server{ControlHandler: controlFunc(func(c *ControlStream) {
		for {
			message, err := c.Recv()
			if err != nil {
				close(got)
				return
			}
			got <- message.GetHello().GetHost()
		}
	})})
	control, err := newPool(t).OpenControl(t.Context(), node)
	assert.NilError(t, err)
	for _, host := range []string{"a", "b", "c"} {
		assert.NilError(t, control.Send(&wire.Control{Body: &wire.Control_Hello{Hello: &wire.Hello{Host: host}}}))
	}
	control.Close()
	var hosts []string
	for host := range got {
		hosts = append(hosts, host)
	}
	assert.DeepEqual(t, hosts, []string{"a", "b", "c"})
}

func TestControlStreamSendNeverBlocks(t *testing.T) {
	control := &ControlStream{sendQueue: make(chan *wire.Control, 1), closed: make(chan struct{})}
	assert.Assert(t, control.TrySend(&wire.Control{}))
	assert.Assert(t, !control.TrySend(&wire.Control{}))
	assert.ErrorIs(t, control.Send(&wire.Control{}), ErrQueueFull)
}

func TestPipeBlocksWriterWhileFull(t *testing.T) {
	tests := []struct {
		name string
		// unblock lets the blocked writer return.
		unblock func(p *pipe)
		want    error
	}{
		{name: "until the reader reads", unblock: func(p *pipe) { _, _ = p.Read(make([]byte, 1)) }},
		{name: "until the reader closes the pipe", unblock: func(p *pipe) { _ = p.Close() }, want: io.ErrClosedPipe},
		{name: "until the call has ended", unblock: func(p *pipe) { p.end(io.ErrUnexpectedEOF) }, want: io.ErrClosedPipe},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var p pipe
				_, err := p.Write(make([]byte, pipeLimit))
				assert.NilError(t, err)
				var done bool
				var written error
				var work sync.WaitGroup
				work.Go(func() {
					_, written = p.Write([]byte("x"))
					done = true
				})
				synctest.Wait()
				assert.Assert(t, !done)
				tt.unblock(&p)
				work.Wait()
				assert.Equal(t, written, tt.want)
			})
		})
	}
}
