package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// serveFunc implements CallHandler with a function.
type serveFunc func(ctx context.Context, call *Call, reply ReplyWriter)

func (f serveFunc) ServeCall(ctx context.Context, call *Call, reply ReplyWriter) { f(ctx, call, reply) }

// echo replies with the request body.
func echo(_ context.Context, call *Call, reply ReplyWriter) {
	_ = reply.WriteHead(&wire.ReplyHead{Status: 200, BodyLength: -1})
	_, _ = io.Copy(reply, call.Body)
}

// startServer serves on a loopback address until the test ends.
func startServer(t testing.TB, server *Server) (node netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		assert.NilError(t, <-ended)
	})
	return addrOf(listener.Addr())
}

func newPool(t testing.TB) *Pool {
	pool := &Pool{}
	t.Cleanup(pool.Close)
	return pool
}

func TestCallTransfersBodiesBothWays(t *testing.T) {
	tests := []struct {
		name string
		body string
	}{
		{name: "no body"},
		{name: "small body", body: "condolence"},
		{name: "body of several frames", body: strings.Repeat("seed", 10_000)},
		{name: "body larger than the flow-control windows", body: strings.Repeat("paper", 400_000)},
	}
	node := startServer(t, &Server{CallHandler: serveFunc(echo)})
	pool := newPool(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			call := &Call{Head: &wire.CallHead{Method: "POST", BodyLength: -1}, Body: strings.NewReader(tt.body)}
			reply, err := pool.Call(t.Context(), node, call)
			assert.NilError(t, err)
			got, err := io.ReadAll(reply.Body)
			assert.NilError(t, err)
			assert.NilError(t, reply.Body.Close())
			assert.Assert(t, bytes.Equal(got, []byte(tt.body)), "got %d bytes, want %d", len(got), len(tt.body))
		})
	}
	assert.Equal(t, pool.Stats()[0].Sessions, 1)
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	node := addrOf(listener.Addr())
	assert.NilError(t, listener.Close())
	_, err = newPool(t).Call(t.Context(), node, &Call{Head: &wire.CallHead{}})
	var callErr *CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Equal(t, callErr.Outcome, NotRun)
	assert.Equal(t, callErr.Reason, ReasonDialFailed)
}

// controlFunc implements ControlHandler with a function.
type controlFunc func(control *ControlStream)

func (f controlFunc) ServeControl(control *ControlStream) { f(control) }

func TestControlStreamTransfersMessagesBothWays(t *testing.T) {
	node := startServer(t, &Server{ControlHandler: controlFunc(func(c *ControlStream) {
		for {
			message, err := c.Recv()
			if err != nil {
				return
			}
			_ = c.Send(message)
		}
	})})
	pool := newPool(t)
	control, err := pool.OpenControl(t.Context(), node)
	assert.NilError(t, err)
	for _, host := range []string{"a", strings.Repeat("compressible", 1000)} {
		sent := &wire.Control{Body: &wire.Control_Hello{Hello: &wire.Hello{Host: host}}}
		assert.Assert(t, control.TrySend(sent))
		got, recvErr := control.Recv()
		assert.NilError(t, recvErr)
		assert.Equal(t, got.GetHello().GetHost(), host)
	}
	control.Close()
	<-control.Done()
	assert.ErrorIs(t, control.Send(&wire.Control{}), ErrClosed)
	counted := control.Bytes()
	assert.Assert(t, counted.Sent > 0 && counted.Sent == counted.Received && counted.Sent < 1000)
}
