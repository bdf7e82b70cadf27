package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// inSession is the answering end of one connection.
type inSession struct {
	server *Server
	conn   *conn
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mutex sync.Mutex
	// mux is nil until the handshake is done.
	mux     *yamux.Session
	streams map[*inStream]struct{}
	// calls holds those in progress by their IDs.
	calls map[uint64]*inCall
}

func (in *inSession) run() {
	defer in.server.remove(in)
	defer in.close()
	mux, err := in.handshake()
	if err != nil {
		return
	}
	limit := in.server.MaxStreams
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
		st := &inStream{session: in, mux: stream}
		in.work.Go(st.run)
	}
	in.close()
	in.work.Wait()
}

func (in *inSession) handshake() (mux *yamux.Session, err error) {
	timeout := orDefault(in.server.HandshakeTimeout, DefaultHandshakeTimeout)
	if err = in.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	if err = readPreface(in.conn); err != nil {
		return nil, err
	}
	if _, err = io.WriteString(in.conn.Conn, preface); err != nil {
		return nil, err
	}
	if err = in.conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	mux, err = yamux.Server(in.conn, muxConfig())
	if err != nil {
		return nil, err
	}
	in.mutex.Lock()
	in.mux = mux
	in.mutex.Unlock()
	return mux, nil
}

// close ends the session and the contexts of its calls.
func (in *inSession) close() {
	in.cancel()
	in.mutex.Lock()
	mux := in.mux
	in.mutex.Unlock()
	if mux != nil {
		_ = mux.Close()
	}
	_ = in.conn.Close()
}

// sayGoodbye tells the caller that its streams take no more calls.
func (in *inSession) sayGoodbye() {
	in.mutex.Lock()
	streams := make([]*inStream, 0, len(in.streams))
	for st := range in.streams {
		streams = append(streams, st)
	}
	in.mutex.Unlock()
	for _, st := range streams {
		st.sayGoodbye()
	}
}

// enter counts a call in, unless it must be refused for the reason returned.
func (in *inSession) enter(call *inCall) (refused string) {
	limit := in.server.MaxCalls
	if limit == 0 {
		limit = DefaultMaxCalls
	}
	in.mutex.Lock()
	defer in.mutex.Unlock()
	if len(in.calls) >= limit {
		return ReasonTooManyCalls
	}
	if in.server.CallHandler == nil {
		return ReasonNoHandler
	}
	if !in.server.beginCall() {
		return ReasonDraining
	}
	in.calls[call.id] = call
	return ""
}

func (in *inSession) leave(call *inCall) {
	in.mutex.Lock()
	delete(in.calls, call.id)
	in.mutex.Unlock()
	in.server.calls.Done()
}

// cancelCall ends the context of a call that its caller gave up.
func (in *inSession) cancelCall(id uint64) {
	in.mutex.Lock()
	call := in.calls[id]
	in.mutex.Unlock()
	if call != nil {
		call.cancel()
	}
}
