// Package front serves callers by HTTP/1.1. It reads requests ahead while
// earlier ones of a connection run, runs them together, answers them in order,
// and ends those of a caller that went away. hertz carries the connections and
// reads the requests.
package front

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"arbutusstep.example/arbutusstep/internal/egress"
	"arbutusstep.example/arbutusstep/internal/wire"
)

const (
	// defaultHeader bounds a header section where no version tells a bound, in bytes.
	defaultHeader = 64 << 10
	// defaultBody bounds a body where no version tells a bound, in bytes.
	defaultBody = 8 << 20
	// defaultHeaderTime bounds the time for a header section, and defaultIdleTime
	// that of a connection without a request.
	defaultHeaderTime = 10 * time.Second
	defaultIdleTime   = 60 * time.Second
	// bodyTime bounds the time for a body.
	bodyTime = 30 * time.Second
	// writeTime bounds the time in which a caller takes an answer.
	writeTime = 10 * time.Second
	// maxAhead bounds the requests of one connection that run together.
	maxAhead = 32
	// readBuffer is that of a connection, in bytes.
	readBuffer = 4 << 10
	// lingerTime bounds the wait for a caller to take the last answer before its
	// connection is closed.
	lingerTime = 300 * time.Millisecond
)

func init() {
	hlog.SetOutput(io.Discard)
}

// Limits bound what a caller may send. Zero fields mean the front's own bounds.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are in bytes.
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// withDefaults fills in the front's own bounds.
func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = defaultHeader
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = defaultBody
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTime
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTime
	}
	return l
}

// Request is a whole request of a caller.
type Request struct {
	Method string
	// Host is as the caller sent it.
	Host string
	// Path is without the query, and Target with it; both as the caller sent them.
	Path, Target string
	// Headers are those that are passed on.
	Headers []*wire.Header
	// HeaderValue returns the first value of a header, also of one that isn't passed on.
	HeaderValue func(name string) string
	Body        []byte
	// Arrived is when the header section was read.
	Arrived time.Time
}

// Response is a whole answer to a caller.
type Response struct {
	Status  int
	Headers []*wire.Header
	Body    []byte
	// Length is the length that a HEAD request's answer tells, -1 for none.
	Length int64
}

// Handler answers requests. The context ends when the caller goes away.
type Handler interface {
	Handle(ctx context.Context, request *Request) *Response
	// HandleMalformed is told of what could not be read as a request, and gives the answer.
	HandleMalformed(status int, reason string) *Response
}

// Server serves callers. Its fields must not change once it serves.
type Server struct {
	Handler Handler
	// Limits gives the bounds in force; nil means the front's own.
	Limits func() Limits
	// Draining reports whether callers should go elsewhere after their request;
	// nil means never.
	Draining func() bool
	// Link carries the answers; nil has no bound.
	Link *egress.Link

	mutex sync.Mutex
	// lanes holds the open connections; guarded by mutex.
	lanes map[*lane]struct{}
	// stopping keeps further requests from being read; guarded by mutex.
	stopping bool
}

// NewHTTPServer returns an HTTP server on the listener that leaves every connection
// to the front. Its Run serves until its Shutdown or Close.
func (f *Server) NewHTTPServer(listener net.Listener) *server.Hertz {
	h := server.New(
		server.WithListener(&listening{Listener: listener}),
		server.WithTransport(standard.NewTransporter),
		server.WithReadBufferSize(readBuffer),
		server.WithDisableDefaultDate(true),
		server.WithDisablePrintRoute(true),
	)
	h.AddProtocol(suite.HTTP1, factory{f})
	return h
}

// factory makes hertz serve HTTP/1.1 by a front.
type factory struct{ front *Server }

// New implements suite.ServerFactory.
func (f factory) New(suite.Core) (protocol.Server, error) {
	return f.front, nil
}

// Serve implements protocol.Server for one connection.
func (f *Server) Serve(ctx context.Context, conn network.Conn) error {
	l := &lane{front: f, conn: conn}
	l.ctx, l.cancel = context.WithCancel(ctx)
	f.enter(l)
	defer f.leave(l)
	l.run()
	return nil
}

func (f *Server) enter(l *lane) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.lanes == nil {
		f.lanes = make(map[*lane]struct{})
	}
	f.lanes[l] = struct{}{}
}

func (f *Server) leave(l *lane) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.lanes, l)
}

// PendingRequests returns how many requests are read and not answered.
func (f *Server) PendingRequests() (requests int) {
	for _, l := range f.all() {
		requests += l.waiting()
	}
	return requests
}

// OpenConnections returns how many connections are open.
func (f *Server) OpenConnections() int {
	return len(f.all())
}

// StopReading takes in no further request: connections end once what was read
// on them is answered.
func (f *Server) StopReading() {
	f.mutex.Lock()
	f.stopping = true
	f.mutex.Unlock()
	for _, l := range f.all() {
		l.stopReading()
	}
}

func (f *Server) all() (lanes []*lane) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	lanes = make([]*lane, 0, len(f.lanes))
	for l := range f.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}

func (f *Server) limits() Limits {
	if f.Limits == nil {
		return Limits{}.withDefaults()
	}
	return f.Limits().withDefaults()
}

// leaving reports whether the next answer is a connection's last.
func (f *Server) leaving() bool {
	return f.isStopping() || f.Draining != nil && f.Draining()
}

func (f *Server) isStopping() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.stopping
}

// listening closes accepted connections so that the last answer arrives.
type listening struct{ net.Listener }

// Accept implements net.Listener.
func (l *listening) Accept() (conn net.Conn, err error) {
	if conn, err = l.Listener.Accept(); err != nil {
		return nil, err
	}
	return &lingering{Conn: conn}, nil
}

// lingering is a connection whose Close lets the far end read what was sent: to
// close it with unread bytes would reset it.
type lingering struct{ net.Conn }

// Close implements net.Conn.
func (l *lingering) Close() error {
	if half, ok := l.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = l.SetReadDeadline(time.Now().Add(lingerTime))
		// The caller may send what will not be answered; it ends with its close or
		// the deadline.
		_, _ = io.Copy(io.Discard, l.Conn)
	}
	return l.Conn.Close()
}
