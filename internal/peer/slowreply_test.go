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

// stuckConn passes what arrives until it is stuck: then a few bytes more, and
// the rest once it is released.
type stuckConn struct {
	net.Conn
	mutex sync.Mutex
	// left is how many bytes still pass, negative while the connection is not stuck.
	left     int
	reached  chan struct{}
	released chan struct{}
}

func (s *stuckConn) stickAfter(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.left = bytes
}

func (s *stuckConn) allowed(want int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.left < 0 {
		return want
	}
	return min(want, s.left)
}

func (s *stuckConn) passed(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.left >= 0 {
		s.left -= bytes
	}
}

// Read implements net.Conn.
func (s *stuckConn) Read(data []byte) (n int, err error) {
	allowed := s.allowed(len(data))
	if allowed == 0 {
		close(s.reached)
		<-s.released
		s.stickAfter(-1)
		allowed = len(data)
	}
	n, err = s.Conn.Read(data[:allowed])
	s.passed(n)
	return n, err
}

// stuckDialer remembers the connection that it made.
type stuckDialer struct{ conn *stuckConn }

func (d *stuckDialer) Dial(ctx context.Context, node netip.AddrPort) (net.Conn, error) {
	raw, err := tcpDialer{}.Dial(ctx, node)
	if err != nil {
		return nil, err
	}
	d.conn = &stuckConn{Conn: raw, left: -1, reached: make(chan struct{}), released: make(chan struct{})}
	return d.conn, nil
}

// TestAnswerThatArrivesAfterTheCallEndedIsNone lets an answer arrive so slowly
// that the call ends within one of its frames.
func TestAnswerThatArrivesAfterTheCallEndedIsNone(t *testing.T) {
	const (
		length = 50 << 10
		// some is within the frame that carries the body, in bytes.
		some = 4 << 10
	)
	tests := []struct {
		name string
		// apart sends the head before the body.
		apart bool
	}{
		{name: "head and body in one frame"},
		{name: "head before the body", apart: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			send := make(chan struct{})
			node := start(t, &Server{CallHandler: serveFunc(func(_ context.Context, _ *Call, reply ReplyWriter) {
				_ = reply.WriteHead(&wire.ReplyHead{Status: 200, BodyLength: length})
				if tt.apart {
					_ = reply.Flush()
				}
				<-send
				_, _ = reply.Write(make([]byte, length))
			})})
			dialer := &stuckDialer{}
			pool := &Pool{Dialer: dialer}
			t.Cleanup(pool.Close)
			assert.NilError(t, pool.Ping(t.Context(), node))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan error, 1)
			headed := make(chan struct{})
			go func() {
				reply, err := pool.Call(ctx, node, &Call{Head: &wire.CallHead{Idempotent: true}})
				if err == nil {
					close(headed)
					_, err = io.ReadAll(reply.Body)
					err = errors.Join(err, reply.Body.Close())
				}
				ended <- err
			}()
			if tt.apart {
				<-headed
			}
			dialer.conn.stickAfter(some)
			close(send)
			<-dialer.conn.reached
			cancel()
			close(dialer.conn.released)
			failed := outcomeOf(t, <-ended)
			assert.Equal(t, failed.Outcome, Unknown)
			assert.Equal(t, failed.Reason, ReasonCanceled)
		})
	}
}
