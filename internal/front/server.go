// Package front serves callers over HTTP/1.1. Pipelined requests of a connection run
// concurrently and are answered in order, and the requests of a caller that
// disconnects are canceled. The hertz library manages the connections and parses the
// requests.
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
	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/internal/wire"
)

const (
	// defaultMaxHeaderBytes limits the header section if the version in force does
	// not.
	defaultMaxHeaderBytes = 64 << 10
	// defaultMaxBodyBytes limits the body if the version in force does not.
	defaultMaxBodyBytes = 8 << 20
	// defaultHeaderTimeout limits the time to read a header section, and
	// defaultIdleTimeout the time that a connection may be idle.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// bodyTimeout limits the time to read a body.
	bodyTimeout = 30 * time.Second
	// writeTimeout limits the time to write a response, or one part of a large
	// response.
	writeTimeout = 10 * time.Second
	// maxPipelined limits the number of concurrent requests of one connection.
	maxPipelined = 32
	// readBufferSize is the size of the read buffer of a connection.
	readBufferSize = 4 << 10
	// lingerTimeout limits the wait for a caller to read the last response before its
	// connection is closed.
	lingerTimeout = 300 * time.Millisecond
)

func init() {
	hlog.SetOutput(io.Discard)
}

// Limits holds the limits for requests. Zero fields select the defaults of this
// package.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// withDefaults returns the limits with zero fields replaced by the defaults.
func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Request is a request of a caller with its whole body.
type Request struct {
	Method string
	// Host is the Host header as sent by the caller.
	Host string
	// Path is the path without the query, and Target the path with the query, both as
	// sent by the caller.
	Path, Target string
	// Headers holds the headers that are forwarded.
	Headers []*wire.Header
	// HeaderValue returns the first value of a header, even if the header is not
	// forwarded.
	HeaderValue func(name string) string
	// HeaderValues returns all values of a header, even if the header is not forwarded.
	HeaderValues func(name string) []string
	// Body is released once the request is handled; nil if it is empty.
	Body *quota.Body
	// Arrived is the time at which the header section was complete.
	Arrived time.Time
}

// Response is a response to a caller with its whole body.
type Response struct {
	Status  int
	Headers []*wire.Header
	Body    []byte
	// Length is the Content-Length of the response to a HEAD request; -1 if unknown.
	Length int64
	// SendBy is when the response stops waiting for the large responses of others; zero
	// means never.
	SendBy time.Time
	// Release is called once the body is not used any more; nil if nothing is to be
	// done then.
	Release func()
}

// Handler handles requests. The context is canceled when the caller disconnects.
type Handler interface {
	Handle(ctx context.Context, request *Request) *Response
	// HandleMalformed returns the response to data that could not be parsed as a
	// request.
	HandleMalformed(status int, reason string) *Response
}

// Server serves callers. Its fields must not change while it serves.
type Server struct {
	Handler Handler
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
	// Draining reports whether callers should close their connections after the
	// current request; nil means never.
	Draining func() bool
	// Memory is the memory for request bodies; nil means one of its own. A request whose
	// body exceeds it is rejected.
	Memory *quota.Memory
	// Link schedules large responses; nil means that they are sent immediately.
	Link *egress.Link

	// ownMemory is used if Memory is nil.
	ownMemory quota.Memory

	mutex sync.Mutex
	// connections holds the open connections; guarded by mutex.
	connections map[*connection]struct{}
	// stopping is true once no further requests are read; guarded by mutex.
	stopping bool
}

// NewHTTPServer returns a hertz server that accepts connections on the listener and
// passes them to s. Its Run method blocks until Shutdown or Close is called.
func (s *Server) NewHTTPServer(listener net.Listener) *server.Hertz {
	h := server.New(
		server.WithListener(&lingeringListener{Listener: listener}),
		server.WithTransport(standard.NewTransporter),
		server.WithReadBufferSize(readBufferSize),
		server.WithDisableDefaultDate(true),
		server.WithDisablePrintRoute(true),
	)
	h.AddProtocol(suite.HTTP1, protocolFactory{s})
	return h
}

// protocolFactory makes hertz use a Server for HTTP/1.1 connections.
type protocolFactory struct{ server *Server }

// New implements suite.ServerFactory.
func (f protocolFactory) New(suite.Core) (protocol.Server, error) {
	return f.server, nil
}

// Serve implements protocol.Server. It serves one connection.
func (s *Server) Serve(ctx context.Context, conn network.Conn) error {
	c := &connection{server: s, conn: conn}
	c.ctx, c.cancel = context.WithCancel(ctx)
	s.addConnection(c)
	defer s.removeConnection(c)
	c.serve()
	return nil
}

func (s *Server) addConnection(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.connections == nil {
		s.connections = make(map[*connection]struct{})
	}
	s.connections[c] = struct{}{}
}

func (s *Server) removeConnection(c *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, c)
}

// PendingRequests returns the number of requests that were read but not answered yet.
func (s *Server) PendingRequests() (requests int) {
	for _, c := range s.openConnections() {
		requests += c.pendingRequests()
	}
	return requests
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	return len(s.openConnections())
}

// StopReading stops reading requests. Each connection is closed once the requests read
// on it are answered.
func (s *Server) StopReading() {
	s.mutex.Lock()
	s.stopping = true
	s.mutex.Unlock()
	for _, c := range s.openConnections() {
		c.stopReading()
	}
}

func (s *Server) openConnections() (connections []*connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	connections = make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		connections = append(connections, c)
	}
	return connections
}

func (s *Server) limits() Limits {
	if s.Limits == nil {
		return Limits{}.withDefaults()
	}
	return s.Limits().withDefaults()
}

// shouldClose reports whether a connection is closed after its next response.
func (s *Server) shouldClose() bool {
	return s.isStopping() || s.Draining != nil && s.Draining()
}

func (s *Server) isStopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopping
}

// lingeringListener wraps accepted connections so that the last response is delivered.
type lingeringListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *lingeringListener) Accept() (conn net.Conn, err error) {
	if conn, err = l.Listener.Accept(); err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: conn}, nil
}

// lingeringConn is a connection whose Close lets the peer read all sent data first.
// Closing it with unread received data would reset the connection and discard the
// response.
type lingeringConn struct{ net.Conn }

// Close implements net.Conn.
func (l *lingeringConn) Close() error {
	if writeCloser, ok := l.Conn.(interface{ CloseWrite() error }); ok && writeCloser.CloseWrite() == nil {
		_ = l.SetReadDeadline(time.Now().Add(lingerTimeout))
		// The caller may still send data that will not be answered. It is discarded
		// until the caller closes the connection or the deadline expires.
		_, _ = io.Copy(io.Discard, l.Conn)
	}
	return l.Conn.Close()
}
