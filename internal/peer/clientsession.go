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

// preface opens every connection, from both ends and before yamux, so that a
// stray client is recognised at once.
const preface = "abs1"

const (
	acceptBacklog = 128
	// writeTimeout bounds one write to the connection.
	writeTimeout = 10 * time.Second
	// closeTimeout bounds how long a stream stays half closed.
	closeTimeout = 10 * time.Second
	// maxIdleStreams bounds the streams that a session keeps for reuse.
	maxIdleStreams = 64
	// shrinkAbove is the body length in bytes after which a stream gives its
	// receive buffer back.
	shrinkAbove = 32 << 10
)

// past is a deadline that ends whatever waits on a stream.
var past = time.Unix(1, 0)

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

// session is the calling end of one connection to a node.
type session struct {
	pool   *Pool
	remote *remote
	conn   *conn
	mux    *yamux.Session
	// roundTrip estimates the time to the node and back, from the dial.
	roundTrip time.Duration
	// watcher runs watch while anything waits; armed says whether it will.
	watcher *time.Timer

	mutex sync.Mutex
	// idle holds the streams without a call, the latest used last.
	idle []*stream
	// calls and controls count the streams in use.
	calls    int
	controls int
	armed    bool
	// aside is set once the session takes no new work; it never goes back.
	aside bool
	// cause says why the session was closed, nil while it is open.
	cause error
	// used is when the last call or control stream ended.
	used time.Time
	// probe is the ping under way, if any.
	probe *probe
}

// probe is one ping that several calls may wait for.
type probe struct {
	done chan struct{}
	// err is valid once done is closed.
	err error
}

// stream is the calling end of one stream that carries calls.
type stream struct {
	session *session
	mux     *yamux.Stream
	writer  *wire.Writer
	// reader has given its buffer back while the stream is idle.
	reader *wire.Reader
}

func (s *session) usable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.aside && !s.mux.IsClosed()
}

// take returns a stream without a call, kept or new.
func (s *session) take() (taken *stream, err error) {
	for {
		s.mutex.Lock()
		if s.aside {
			s.mutex.Unlock()
			return nil, ErrClosed
		}
		last := len(s.idle) - 1
		if last < 0 {
			s.begin(&s.calls)
			s.mutex.Unlock()
			return s.open()
		}
		taken = s.idle[last]
		s.idle[last] = nil
		s.idle = s.idle[:last]
		s.begin(&s.calls)
		s.mutex.Unlock()
		if taken.quiet() {
			taken.reader = wire.NewReader(taken.mux)
			return taken, nil
		}
		s.setAside()
		taken.close()
	}
}

func (s *session) open() (opened *stream, err error) {
	opened = &stream{session: s}
	opened.mux, err = s.mux.OpenStream()
	if err != nil {
		s.end(&s.calls)
		s.setAside()
		return nil, err
	}
	opened.writer = wire.NewWriter(opened.mux)
	opened.reader = wire.NewReader(opened.mux)
	return opened, nil
}

// begin counts a stream in use and makes sure that silence will be noticed.
// The mutex is held.
func (s *session) begin(count *int) {
	*count++
	if s.armed || s.cause != nil {
		return
	}
	s.armed = true
	s.watcher.Reset(s.pool.quiet())
}

func (s *session) end(count *int) {
	s.mutex.Lock()
	*count--
	s.used = time.Now()
	drained := s.aside && s.calls == 0 && s.controls == 0
	s.mutex.Unlock()
	if drained {
		s.close(ErrClosed)
	}
}

// put takes back a stream whose call has ended whole.
func (s *session) put(returned *stream) {
	if returned.reader.Buffered() > 0 {
		s.setAside()
	}
	s.mutex.Lock()
	keep := !s.aside && len(s.idle) < s.pool.keepStreams()
	if keep {
		returned.reader.Release()
		s.idle = append(s.idle, returned)
	}
	s.mutex.Unlock()
	if !keep {
		returned.close()
		return
	}
	s.end(&s.calls)
}

// setAside takes the session out of use; what runs on it goes on.
func (s *session) setAside() {
	s.mutex.Lock()
	s.aside = true
	drained := s.calls == 0 && s.controls == 0
	s.mutex.Unlock()
	s.remote.forget(s)
	if drained {
		s.close(ErrClosed)
	}
}

// close ends the session and everything that waits on it.
func (s *session) close(cause error) {
	s.mutex.Lock()
	first := s.cause == nil
	if first {
		s.cause = cause
	}
	s.aside = true
	s.idle = nil
	s.mutex.Unlock()
	if !first {
		return
	}
	s.watcher.Stop()
	s.remote.forget(s)
	_ = s.mux.Close()
	s.remote.settle(s)
}

// cancel ends a call at the node by a stream of its own: the end of the call's
// stream is seen there only after the body bytes before it.
func (s *session) cancel(id uint64) {
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

// lost returns why the session was closed, or the error itself when it is open.
func (s *session) lost(err error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cause != nil {
		return s.cause
	}
	return err
}

// watch notices silence while something waits, and arms itself again.
func (s *session) watch() {
	s.mutex.Lock()
	patience := s.pool.quiet()
	if s.calls == 0 {
		patience = s.pool.controlQuiet()
	}
	waiting := s.calls > 0 || s.controls > 0
	if !waiting || s.cause != nil {
		s.armed = false
		s.mutex.Unlock()
		return
	}
	s.mutex.Unlock()
	if time.Since(s.conn.heardAt()) >= patience {
		if err := s.check(context.Background()); err != nil {
			return
		}
	}
	s.watcher.Reset(s.pool.quiet())
}

// check pings the node, once for all who ask meanwhile, and closes the session
// when no answer comes.
func (s *session) check(ctx context.Context) (err error) {
	s.mutex.Lock()
	current := s.probe
	if current == nil {
		current = &probe{done: make(chan struct{})}
		s.probe = current
		go s.ping(current)
	}
	s.mutex.Unlock()
	select {
	case <-current.done:
		return current.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *session) ping(current *probe) {
	start := time.Now()
	answered := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		answered <- err
	}()
	timer := time.NewTimer(s.pool.pingTimeout())
	defer timer.Stop()
	select {
	case current.err = <-answered:
	case <-timer.C:
		if !s.conn.heardAt().After(start) {
			current.err = ErrPingTimeout
		}
	}
	if current.err != nil {
		s.close(current.err)
	}
	s.mutex.Lock()
	s.probe = nil
	s.mutex.Unlock()
	close(current.done)
}

// idleSince reports whether the session has been without work since then.
func (s *session) idleSince(then time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls == 0 && s.controls == 0 && s.used.Before(then)
}

// quiet reports whether nothing came on the stream since its last call. The far
// end sends nothing between calls, unless it takes no more.
func (s *stream) quiet() bool {
	if s.session.mux.IsClosed() {
		return false
	}
	_ = s.mux.SetReadDeadline(past)
	var one [1]byte
	_, err := s.mux.Read(one[:])
	_ = s.mux.SetDeadline(time.Time{})
	return errors.Is(err, yamux.ErrTimeout)
}

// close ends a stream in use.
func (s *stream) close() {
	_ = s.mux.Close()
	s.reader.Release()
	s.session.end(&s.session.calls)
}
