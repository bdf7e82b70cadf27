package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// Limits that a Server uses where its fields are zero.
const (
	DefaultMaxSessions      = 4096
	DefaultMaxStreams       = 1024
	DefaultMaxCalls         = 512
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultLinger           = 250 * time.Millisecond
)

// CallHandler answers calls.
type CallHandler interface {
	// ServeCall answers one call. The context ends at the call's deadline, and
	// when the caller gives up. The reply is whole once ServeCall returns.
	ServeCall(ctx context.Context, call *Call, reply ReplyWriter)
}

// ControlHandler takes the control streams that other nodes open.
type ControlHandler interface {
	// ServeControl runs until the stream ends, and closes it.
	ServeControl(control *ControlStream)
}

// ReplyWriter sends the answer to one call.
type ReplyWriter interface {
	// WriteHead opens the answer. It must come first, and once.
	WriteHead(head *wire.ReplyHead) error
	// Write sends a part of the body.
	io.Writer
	// Flush sends what was collected so far.
	Flush() error
	// Fail ends the body as cut, for that reason.
	Fail(reason string)
}

// Server answers the sessions of other nodes. The zero Server refuses every
// call; its fields must not change once it serves.
type Server struct {
	CallHandler    CallHandler
	ControlHandler ControlHandler
	// MaxSessions bounds the sessions; further connections are closed.
	MaxSessions int
	// MaxStreams bounds the streams of one session; further ones are closed.
	MaxStreams int
	// MaxCalls bounds the calls in progress on one session; further ones are
	// refused as not run.
	MaxCalls int
	// HandshakeTimeout bounds how long a connection may take to say what it is.
	HandshakeTimeout time.Duration
	// Linger is how long a stopping server still refuses calls that crossed
	// its notice, so that their callers know that they did not run.
	Linger time.Duration

	control counter
	work    sync.WaitGroup
	calls   sync.WaitGroup

	mutex sync.Mutex
	// ctx ends when the server is closed; nil until it serves.
	ctx      context.Context
	cancel   context.CancelFunc
	sessions map[*inSession]struct{}
	listener net.Listener
	// settled counts the bytes of closed sessions.
	settled  Bytes
	draining bool
}

// ServerStats counts what a Server has seen.
type ServerStats struct {
	Control  Bytes
	Traffic  Bytes
	Sessions int
}

// Serve accepts sessions until the server is stopped or the listener fails.
// It returns nil after Shutdown or Close.
func (s *Server) Serve(listener net.Listener) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("serve sessions: %w", err)
		}
	}()
	if err = s.start(listener); err != nil {
		_ = listener.Close()
		return err
	}
	for {
		raw, acceptErr := listener.Accept()
		if acceptErr != nil {
			if s.stopping() {
				return nil
			}
			return acceptErr
		}
		if !s.admit(raw) {
			_ = raw.Close()
		}
	}
}

// Stats returns the server's counters.
func (s *Server) Stats() (stats ServerStats) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := s.settled
	for in := range s.sessions {
		total.Sent += in.conn.sent.Load()
		total.Received += in.conn.received.Load()
	}
	stats.Control = s.control.load()
	stats.Traffic.Sent = total.Sent - min(total.Sent, stats.Control.Sent)
	stats.Traffic.Received = total.Received - min(total.Received, stats.Control.Received)
	stats.Sessions = len(s.sessions)
	return stats
}

// Shutdown takes no new sessions, refuses new calls as not run, lets the ones
// in progress finish, and then closes. When the context ends first, it closes
// at once and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	s.mutex.Lock()
	s.draining = true
	listener := s.listener
	s.mutex.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, in := range s.all() {
		s.work.Go(in.sayGoodbye)
	}
	finished := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(finished)
	}()
	linger := time.NewTimer(orDefault(s.Linger, DefaultLinger))
	defer linger.Stop()
	for range 2 {
		select {
		case <-finished:
			finished = nil
		case <-linger.C:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	s.Close()
	return err
}

// Close closes every session and waits for the handlers to return.
func (s *Server) Close() {
	s.mutex.Lock()
	s.draining = true
	listener, cancel := s.listener, s.cancel
	s.mutex.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	if cancel != nil {
		cancel()
	}
	for _, in := range s.all() {
		in.close()
	}
	s.work.Wait()
}

func (s *Server) start(listener net.Listener) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return ErrClosed
	}
	if s.ctx == nil {
		s.ctx, s.cancel = context.WithCancel(context.Background())
		s.sessions = make(map[*inSession]struct{})
	}
	s.listener = listener
	return nil
}

func (s *Server) stopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining
}

// admit starts a session on the connection unless there are too many.
func (s *Server) admit(raw net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := s.MaxSessions
	if limit == 0 {
		limit = DefaultMaxSessions
	}
	if s.draining || len(s.sessions) >= limit {
		return false
	}
	in := &inSession{server: s, conn: newConn(raw), streams: make(map[*inStream]struct{}), calls: make(map[uint64]*inCall)}
	in.ctx, in.cancel = context.WithCancel(s.ctx)
	s.sessions[in] = struct{}{}
	s.work.Go(in.run)
	return true
}

func (s *Server) all() (sessions []*inSession) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sessions = make([]*inSession, 0, len(s.sessions))
	for in := range s.sessions {
		sessions = append(sessions, in)
	}
	return sessions
}

func (s *Server) remove(in *inSession) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, in)
	s.settled.Sent += in.conn.sent.Load()
	s.settled.Received += in.conn.received.Load()
}

// beginCall counts a call in unless the server is stopping.
func (s *Server) beginCall() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return false
	}
	s.calls.Add(1)
	return true
}
