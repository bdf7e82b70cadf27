package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// preface is the first data that both ends send on every connection, before any
// yamux frame, so that a client of another protocol is detected at once.
const preface = "abs1"

const (
	acceptBacklog = 128
	// writeTimeout limits the time of one write to the connection.
	writeTimeout = 10 * time.Second
	// closeTimeout limits how long a stream stays half-closed.
	closeTimeout = 10 * time.Second
	// defaultMaxIdleStreams is how many streams a session keeps for reuse by
	// default.
	defaultMaxIdleStreams = 64
	// shrinkThreshold is the body length in bytes above which a stream frees its
	// receive buffer after the body.
	shrinkThreshold = 32 << 10
)

// pastDeadline makes all blocked reads or writes of a stream return.
var pastDeadline = time.Unix(1, 0)

func muxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.AcceptBacklog = acceptBacklog
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = 0
	config.StreamCloseTimeout = closeTimeout
	config.LogOutput = io.Discard
	return config
}

// clientSession is the client side of one session with a node.
type clientSession struct {
	pool   *Pool
	remote *remote
	conn   *conn
	mux    *yamux.Session
	// roundTrip is the round-trip time to the node, estimated from the dial.
	roundTrip time.Duration
	// livenessTimer runs checkLiveness while the session is in use. timerArmed
	// is true while a run is scheduled or in progress.
	livenessTimer *time.Timer

	mutex sync.Mutex
	// idle holds the streams without a call, the most recently used last.
	idle []*clientStream
	// calls and controls count the call and control streams in use.
	calls      int
	controls   int
	timerArmed bool
	// retired is set once the session takes no new calls. It is never unset.
	retired bool
	// closeCause is why the session was closed; nil while it is open.
	closeCause error
	// lastUsed is when the last call or control stream ended.
	lastUsed time.Time
	// pendingPing is the ping in progress, if any.
	pendingPing *pendingPing
}

// pendingPing is a ping in progress. Several calls may wait for the same one.
type pendingPing struct {
	done chan struct{}
	// err is valid once done is closed.
	err error
}

// clientStream is the client side of one stream that carries calls.
type clientStream struct {
	session *clientSession
	mux     *yamux.Stream
	writer  *wire.Writer
	// reader is replaced when the stream is reused, since an idle stream has
	// released its buffer.
	reader *wire.Reader
}

func (s *clientSession) usable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.retired && !s.mux.IsClosed()
}

// acquireStream returns an idle stream, or a new one if there is none.
func (s *clientSession) acquireStream() (acquired *clientStream, err error) {
	for {
		s.mutex.Lock()
		if s.retired {
			s.mutex.Unlock()
			return nil, ErrClosed
		}
		last := len(s.idle) - 1
		if last < 0 {
			s.addUse(&s.calls)
			s.mutex.Unlock()
			return s.openStream()
		}
		acquired = s.idle[last]
		s.idle[last] = nil
		s.idle = s.idle[:last]
		s.addUse(&s.calls)
		s.mutex.Unlock()
		if acquired.reusable() {
			acquired.reader = wire.NewReader(acquired.mux)
			return acquired, nil
		}
		s.retire()
		acquired.close()
	}
}

func (s *clientSession) openStream() (opened *clientStream, err error) {
	opened = &clientStream{session: s}
	opened.mux, err = s.mux.OpenStream()
	if err != nil {
		s.removeUse(&s.calls)
		s.retire()
		return nil, err
	}
	opened.writer = wire.NewWriter(opened.mux)
	opened.reader = wire.NewReader(opened.mux)
	return opened, nil
}

// addUse increments the count of streams in use and starts the liveness timer if
// needed. The mutex must be held.
func (s *clientSession) addUse(count *int) {
	*count++
	if s.timerArmed || s.closeCause != nil {
		return
	}
	s.timerArmed = true
	s.livenessTimer.Reset(s.pool.pingAfter())
}

func (s *clientSession) removeUse(count *int) {
	s.mutex.Lock()
	*count--
	s.lastUsed = time.Now()
	unused := s.retired && s.calls == 0 && s.controls == 0
	s.mutex.Unlock()
	if unused {
		s.close(ErrClosed)
	}
}

// releaseStream takes back a stream whose call is complete, and keeps it for
// reuse if possible.
func (s *clientSession) releaseStream(st *clientStream) {
	if st.reader.Buffered() > 0 {
		s.retire()
	}
	s.mutex.Lock()
	keep := !s.retired && len(s.idle) < s.pool.idleStreamLimit()
	if keep {
		st.reader.Release()
		s.idle = append(s.idle, st)
	}
	s.mutex.Unlock()
	if !keep {
		st.close()
		return
	}
	s.removeUse(&s.calls)
}

// retire makes the session take no new calls. Calls and control streams in
// progress continue.
func (s *clientSession) retire() {
	s.mutex.Lock()
	s.retired = true
	unused := s.calls == 0 && s.controls == 0
	s.mutex.Unlock()
	s.remote.clearCurrent(s)
	if unused {
		s.close(ErrClosed)
	}
}

// close closes the session. Everything in progress on it fails.
func (s *clientSession) close(cause error) {
	s.mutex.Lock()
	first := s.closeCause == nil
	if first {
		s.closeCause = cause
	}
	s.retired = true
	s.idle = nil
	s.mutex.Unlock()
	if !first {
		return
	}
	s.livenessTimer.Stop()
	s.remote.clearCurrent(s)
	_ = s.mux.Close()
	s.remote.sessionClosed(s)
}

// sendCancel cancels a call at the remote node over a separate stream. The
// remote node sees the close of the call's own stream only after all body bytes
// sent before it.
func (s *clientSession) sendCancel(id uint64) {
	st, err := s.mux.OpenStream()
	if err != nil {
		return
	}
	defer func() { _ = st.Close() }()
	w := wire.NewWriter(st)
	if w.Empty(wire.TypeCancel, id) == nil {
		_ = w.Flush()
	}
}

// closeCauseOr returns why the session was closed, or err if it is open.
func (s *clientSession) closeCauseOr(err error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closeCause != nil {
		return s.closeCause
	}
	return err
}

// checkLiveness pings the node if the session is in use and has received nothing
// for too long. It reschedules itself while the session is in use.
func (s *clientSession) checkLiveness() {
	s.mutex.Lock()
	silenceLimit := s.pool.pingAfter()
	if s.calls == 0 {
		silenceLimit = s.pool.controlPingAfter()
	}
	waiting := s.calls > 0 || s.controls > 0
	if !waiting || s.closeCause != nil {
		s.timerArmed = false
		s.mutex.Unlock()
		return
	}
	s.mutex.Unlock()
	if time.Since(s.conn.lastReceivedAt()) >= silenceLimit {
		if err := s.ping(context.Background()); err != nil {
			return
		}
	}
	s.livenessTimer.Reset(s.pool.pingAfter())
}

// ping sends a ping, or joins the one in progress, and waits for its result. The
// session is closed if the node does not respond.
func (s *clientSession) ping(ctx context.Context) (err error) {
	s.mutex.Lock()
	current := s.pendingPing
	if current == nil {
		current = &pendingPing{done: make(chan struct{})}
		s.pendingPing = current
		go s.runPing(current)
	}
	s.mutex.Unlock()
	select {
	case <-current.done:
		return current.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *clientSession) runPing(current *pendingPing) {
	start := time.Now()
	result := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		result <- err
	}()
	timer := time.NewTimer(s.pool.pingTimeout())
	defer timer.Stop()
	select {
	case current.err = <-result:
	case <-timer.C:
		if !s.conn.lastReceivedAt().After(start) {
			current.err = ErrPingTimeout
		}
	}
	if current.err != nil {
		s.close(current.err)
	}
	s.mutex.Lock()
	s.pendingPing = nil
	s.mutex.Unlock()
	close(current.done)
}

// idleSince reports whether the session has not been in use since the cutoff.
func (s *clientSession) idleSince(cutoff time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls == 0 && s.controls == 0 && s.lastUsed.Before(cutoff)
}

// reusable reports whether the stream has received nothing since its last call.
// Between calls, the remote node sends nothing but a go-away frame.
func (s *clientStream) reusable() bool {
	if s.session.mux.IsClosed() {
		return false
	}
	_ = s.mux.SetReadDeadline(pastDeadline)
	var one [1]byte
	_, err := s.mux.Read(one[:])
	_ = s.mux.SetDeadline(time.Time{})
	return errors.Is(err, yamux.ErrTimeout)
}

// close closes a stream that is in use.
func (s *clientStream) close() {
	_ = s.mux.Close()
	s.reader.Release()
	s.session.removeUse(&s.session.calls)
}
