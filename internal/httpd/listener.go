package httpd

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener tracks the connections that it accepted, and which of them are idle,
// so that a server can shut down without interrupting a request.
type Listener struct {
	net.Listener
	// accepting is closed when the server first waits for a connection.
	accepting chan struct{}
	once      sync.Once

	mutex sync.Mutex
	// conns and closed are guarded by mutex.
	conns  map[*connection]struct{}
	closed bool
}

// connection removes itself from its listener when it is closed.
type connection struct {
	net.Conn
	listener *Listener
	// reading is true while a call of Read is in progress.
	reading atomic.Bool
	// received is true from the first byte of a request to the first byte of its
	// response.
	received atomic.Bool
}

// NewListener returns a listener that accepts connections from inner.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, accepting: make(chan struct{}), conns: make(map[*connection]struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (conn net.Conn, err error) {
	l.once.Do(func() { close(l.accepting) })
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: inner, listener: l}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns[c] = struct{}{}
	if l.closed {
		_ = inner.Close()
	}
	return c, nil
}

// CloseIdle closes the connections that wait for a request.
func (l *Listener) CloseIdle() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		if c.reading.Load() && !c.received.Load() {
			_ = c.Conn.Close()
		}
	}
}

// CloseConns closes all connections, including those that are accepted later.
func (l *Listener) CloseConns() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for c := range l.conns {
		_ = c.Conn.Close()
	}
}

// Read reads from the connection and tracks whether it waits for a request.
func (c *connection) Read(data []byte) (n int, err error) {
	c.reading.Store(true)
	n, err = c.Conn.Read(data)
	if n > 0 {
		c.received.Store(true)
	}
	c.reading.Store(false)
	return n, err
}

// Write writes to the connection and records that the response has begun.
func (c *connection) Write(data []byte) (n int, err error) {
	c.received.Store(false)
	return c.Conn.Write(data)
}

// Close closes the connection and removes it from the listener.
func (c *connection) Close() (err error) {
	c.listener.mutex.Lock()
	delete(c.listener.conns, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}
