package fakeup

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// listener closes the connections over its limit as soon as they come.
type listener struct {
	net.Listener
	// limit bounds open.
	limit int64
	// open counts the connections that are served.
	open atomic.Int64
	// refused counts the connections over the limit.
	refused atomic.Int64
}

// connection counts its end once.
type connection struct {
	net.Conn
	listener *listener
	once     sync.Once
}

func newListener(inner net.Listener, limit int) *listener {
	return &listener{Listener: inner, limit: int64(limit)}
}

// Accept waits for the next connection within the limit.
func (l *listener) Accept() (conn net.Conn, err error) {
	for {
		if conn, err = l.Listener.Accept(); err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &connection{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = conn.Close()
	}
}

func (l *listener) address() (address netip.AddrPort) {
	if tcp, ok := l.Addr().(*net.TCPAddr); ok {
		address = tcp.AddrPort()
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Close closes the connection.
func (c *connection) Close() (err error) {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
