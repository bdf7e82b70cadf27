package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// serverSession is the server side of one session.
type serverSession struct {
	server     *Server
	conn       *conn
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mutex sync.Mutex
	// mux is nil until the handshake has completed.
	mux     *yamux.Session
	streams map[*serverStream]struct{}
	// calls holds the calls in progress by ID.
	calls map[uint64]*serverCall
}

func (s *serverSession) run() {
	defer s.server.removeSession(s)
	defer s.close()
	mux, err := s.handshake()
	if err != nil {
		return
	}
	limit := s.server.MaxStreams
	if limit == 0 {
		limit = DefaultMaxStreams
	}
	for {
		stream, acceptErr := mux.AcceptStream()
		if acceptErr != nil {
			break
		}
		if mux.NumStreams() > limit {
			_ = stream.Close()
			continue
		}
		st := &serverStream{session: s, mux: stream}
		s.goroutines.Go(st.run)
	}
	s.close()
	s.goroutines.Wait()
}

func (s *serverSession) handshake() (mux *yamux.Session, err error) {
	timeout := orDefault(s.server.HandshakeTimeout, DefaultHandshakeTimeout)
	if err = s.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if err = readPreface(s.conn); err != nil {
		return nil, err
	}
	if _, err = io.WriteString(s.conn.Conn, preface); err != nil {
		return nil, err
	}
	if err = s.conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	mux, err = yamux.Server(s.conn, muxConfig())
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	s.mux = mux
	s.mutex.Unlock()
	return mux, nil
}

// close closes the session and cancels the contexts of its calls.
func (s *serverSession) close() {
	s.cancel()
	s.mutex.Lock()
	mux := s.mux
	s.mutex.Unlock()
	if mux != nil {
		_ = mux.Close()
	}
	_ = s.conn.Close()
}

// sendGoAway tells the client to send no more calls on its streams.
func (s *serverSession) sendGoAway() {
	s.mutex.Lock()
	streams := make([]*serverStream, 0, len(s.streams))
	for st := range s.streams {
		streams = append(streams, st)
	}
	s.mutex.Unlock()
	for _, st := range streams {
		st.sendGoAway()
	}
}

// addCall registers a call. If the call must be refused, addCall returns the
// reason, and otherwise the empty string.
func (s *serverSession) addCall(call *serverCall) (refusalReason string) {
	limit := s.server.MaxCalls
	if limit == 0 {
		limit = DefaultMaxCalls
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.calls) >= limit {
		return ReasonTooManyCalls
	}
	if s.server.CallHandler == nil {
		return ReasonNoHandler
	}
	if !s.server.beginCall() {
		return ReasonDraining
	}
	s.calls[call.id] = call
	return ""
}

func (s *serverSession) removeCall(call *serverCall) {
	s.mutex.Lock()
	delete(s.calls, call.id)
	s.mutex.Unlock()
	s.server.calls.Done()
}

// cancelCall cancels the context of a call that the client has canceled.
func (s *serverSession) cancelCall(id uint64) {
	s.mutex.Lock()
	call := s.calls[id]
	s.mutex.Unlock()
	if call != nil {
		call.cancel()
	}
}
