package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// stallingConn passes received data on. After stallAfter it passes the given
// number of bytes, stalls, and continues once resume is closed.
type stallingConn struct {
	net.Conn
	mutex sync.Mutex
	// remaining is the number of bytes until the stall; negative if no stall is
	// set.
	remaining int
	stalled   chan struct{}
	resume    chan struct{}
}

func (s *stallingConn) stallAfter(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remaining = bytes
}

func (s *stallingConn) allow(want int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.remaining < 0 {
		return want
	}
	return min(want, s.remaining)
}

func (s *stallingConn) consume(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.remaining >= 0 {
		s.remaining -= bytes
	}
}

// Read implements net.Conn.
func (s *stallingConn) Read(data []byte) (n int, err error) {
	limit := s.allow(len(data))
	if limit == 0 {
		close(s.stalled)
		<-s.resume
		s.stallAfter(-1)
		limit = len(data)
	}
	n, err = s.Conn.Read(data[:limit])
	s.consume(n)
	return n, err
}

// stallingDialer records the connection that it made.
type stallingDialer struct{ conn *stallingConn }

func (d *stallingDialer) Dial(ctx context.Context, node netip.AddrPort) (net.Conn, error) {
	raw, err := tcpDialer{}.Dial(ctx, node)
	if err != nil {
		return nil, err
	}
	d.conn = &stallingConn{Conn: raw, remaining: -1, stalled: make(chan struct{}), resume: make(chan struct{})}
	return d.conn, nil
}

// TestReplyAfterCancelIsDiscarded guards against reporting success for a call
// that was canceled while one of the reply's frames was still arriving.
func TestReplyAfterCancelIsDiscarded(t *testing.T) {
	const (
		length = 50 << 10
		// stallOffset is a position inside the frame that carries the body, in
		// bytes.
		stallOffset = 4 << 10
	)
	tests := []struct {
		name string
		// flushHead sends the head before the body.
		flushHead bool
	}{
		{name: "head and body in one frame"},
		{name: "head before the body", flushHead: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			send := make(chan struct{})
			node := startServer(t, &Server{CallHandler: serveFunc(func(_ context.Context, _ *Call, reply ReplyWriter) {
				_ = reply.WriteHead(&wire.ReplyHead{Status: 200, BodyLength: length})
				if tt.flushHead {
					_ = reply.Flush()
				}
				<-send
				_, _ = reply.Write(make([]byte, length))
			})})
			dialer := &stallingDialer{}
			pool := &Pool{Dialer: dialer}
			t.Cleanup(pool.Close)
			assert.NilError(t, pool.Ping(t.Context(), node))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan error, 1)
			headReceived := make(chan struct{})
			go func() {
				reply, err := pool.Call(ctx, node, &Call{Head: &wire.CallHead{Idempotent: true}})
				if err == nil {
					close(headReceived)
					_, err = io.ReadAll(reply.Body)
					err = errors.Join(err, reply.Body.Close())
				}
				ended <- err
			}()
			if tt.flushHead {
				<-headReceived
			}
			dialer.conn.stallAfter(stallOffset)
			close(send)
			<-dialer.conn.stalled
			cancel()
			close(dialer.conn.resume)
			callErr := asCallError(t, <-ended)
			assert.Equal(t, callErr.Outcome, Unknown)
			assert.Equal(t, callErr.Reason, ReasonCanceled)
		})
	}
}
