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

// Defaults for Server fields that are zero.
const (
	DefaultMaxSessions      = 4096
	DefaultMaxStreams       = 1024
	DefaultMaxCalls         = 512
	DefaultHandshakeTimeout = 2 * time.Second
	DefaultLinger           = 250 * time.Millisecond
)

// CallHandler handles calls.
type CallHandler interface {
	// ServeCall handles one call. The context ends at the call's deadline or when
	// the client cancels the call. The reply is complete once ServeCall returns.
	ServeCall(ctx context.Context, call *Call, reply ReplyWriter)
}

// ControlHandler handles the control streams that other nodes open.
type ControlHandler interface {
	// ServeControl runs until the stream ends, and closes the stream.
	ServeControl(control *ControlStream)
}

// ReplyWriter sends the reply to one call.
type ReplyWriter interface {
	// WriteHead starts the reply. It must be called first, and only once.
	WriteHead(head *wire.ReplyHead) error
	// Writer's Write appends to the body.
	io.Writer
	// Flush sends buffered data.
	Flush() error
	// Fail marks the body as truncated for the given reason.
	Fail(reason string)
}

// Server accepts sessions from other nodes. The zero Server refuses every call.
// Its fields must not be changed once it serves.
type Server struct {
	CallHandler    CallHandler
	ControlHandler ControlHandler
	// MaxSessions limits the sessions. Further connections are closed.
	MaxSessions int
	// MaxStreams limits the streams of one session. Further streams are closed.
	MaxStreams int
	// MaxCalls limits the calls in progress on one session. Further calls are
	// refused with the outcome NotRun.
	MaxCalls int
	// HandshakeTimeout limits how long a new connection may take to send its
	// preface.
	HandshakeTimeout time.Duration
	// Linger is how long Shutdown keeps sessions open at least. Calls sent before
	// the client has seen the go-away frame are refused in that time, so that the
	// client knows that they did not run.
	Linger time.Duration

	controlBytes byteCounter
	goroutines   sync.WaitGroup
	calls        sync.WaitGroup

	mutex sync.Mutex
	// ctx is canceled when the server is closed; nil until it serves.
	ctx      context.Context
	cancel   context.CancelFunc
	sessions map[*serverSession]struct{}
	listener net.Listener
	// closedBytes counts the bytes of closed sessions.
	closedBytes Bytes
	draining    bool
}

// ServerStats holds the counters of a Server.
type ServerStats struct {
	Control  Bytes
	Traffic  Bytes
	Sessions int
}

// Serve accepts sessions on the listener until the server is shut down or the
// listener fails. It returns nil after Shutdown or Close.
func (s *Server) Serve(listener net.Listener) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("serve sessions: %w", err)
		}
	}()
	if err = s.startServing(listener); err != nil {
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
		if !s.startSession(raw) {
			_ = raw.Close()
		}
	}
}

// Stats returns the server's counters.
func (s *Server) Stats() (stats ServerStats) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := s.closedBytes
	for ss := range s.sessions {
		total.Sent += ss.conn.sent.Load()
		total.Received += ss.conn.received.Load()
	}
	stats.Control = s.controlBytes.load()
	stats.Traffic.Sent = total.Sent - min(total.Sent, stats.Control.Sent)
	stats.Traffic.Received = total.Received - min(total.Received, stats.Control.Received)
	stats.Sessions = len(s.sessions)
	return stats
}

// RefuseCalls makes the server refuse new sessions, and new calls with the outcome NotRun.
// Calls in progress go on.
func (s *Server) RefuseCalls() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
}

// Shutdown stops accepting sessions, refuses new calls with the outcome NotRun,
// waits for calls in progress and then closes the server. If the context ends
// first, Shutdown closes the server at once and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	s.RefuseCalls()
	s.mutex.Lock()
	listener := s.listener
	s.mutex.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, ss := range s.sessionList() {
		s.goroutines.Go(ss.sendGoAway)
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
	for _, ss := range s.sessionList() {
		ss.close()
	}
	s.goroutines.Wait()
}

func (s *Server) startServing(listener net.Listener) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return ErrClosed
	}
	if s.ctx == nil {
		s.ctx, s.cancel = context.WithCancel(context.Background())
		s.sessions = make(map[*serverSession]struct{})
	}
	s.listener = listener
	return nil
}

func (s *Server) stopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining
}

// startSession starts a session on the connection. It returns false if the
// server is shutting down or has reached its session limit.
func (s *Server) startSession(raw net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit := s.MaxSessions
	if limit == 0 {
		limit = DefaultMaxSessions
	}
	if s.draining || len(s.sessions) >= limit {
		return false
	}
	ss := &serverSession{server: s, conn: newConn(raw), streams: make(map[*serverStream]struct{}), calls: make(map[uint64]*serverCall)}
	ss.ctx, ss.cancel = context.WithCancel(s.ctx)
	s.sessions[ss] = struct{}{}
	s.goroutines.Go(ss.run)
	return true
}

func (s *Server) sessionList() (sessions []*serverSession) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sessions = make([]*serverSession, 0, len(s.sessions))
	for ss := range s.sessions {
		sessions = append(sessions, ss)
	}
	return sessions
}

func (s *Server) removeSession(ss *serverSession) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, ss)
	s.closedBytes.Sent += ss.conn.sent.Load()
	s.closedBytes.Received += ss.conn.received.Load()
}

// beginCall registers a call. It returns false if the server is shutting down.
func (s *Server) beginCall() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return false
	}
	s.calls.Add(1)
	return true
}
