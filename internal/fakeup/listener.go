package fakeup

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// limitedListener limits the number of open connections. It closes a connection
// over the limit right after accepting it.
type limitedListener struct {
	net.Listener
	// limit is the maximum of open.
	limit int64
	// open is the number of open connections.
	open atomic.Int64
	// refused is the number of connections closed because of the limit.
	refused atomic.Int64
}

// countedConn is a connection that decrements its listener's count when it is
// closed for the first time.
type countedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

func newLimitedListener(inner net.Listener, limit int) *limitedListener {
	return &limitedListener{Listener: inner, limit: int64(limit)}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (conn net.Conn, err error) {
	for {
		if conn, err = l.Listener.Accept(); err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = conn.Close()
	}
}

func (l *limitedListener) address() (address netip.AddrPort) {
	if tcp, ok := l.Addr().(*net.TCPAddr); ok {
		address = tcp.AddrPort()
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Close implements net.Conn.
func (c *countedConn) Close() (err error) {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
