// Package sock dials and accepts TCP connections that the kernel closes when the
// remote end stops responding, so that no pings at application level are needed.
package sock

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveInterval is the idle time before the first keep-alive probe and between
// later ones.
const keepAliveInterval = time.Second

// maxKeepAliveProbes is how many unanswered keep-alive probes in a row close a
// connection.
const maxKeepAliveProbes = 2

// Transport dials and listens on TCP. The zero Transport uses the default time-outs
// of the kernel.
type Transport struct {
	// UserTimeout is how long sent data may stay unacknowledged before the kernel
	// closes the connection; zero means the kernel's default. If it is set,
	// keep-alive probes are sent every keepAliveInterval.
	UserTimeout time.Duration
	// WriteCounter counts the bytes written to all connections; nil means that
	// they are not counted.
	WriteCounter WriteCounter
}

// WriteCounter counts bytes written to connections. BytesWritten must not block.
type WriteCounter interface {
	BytesWritten(bytes int)
}

// countedConn is a TCP connection whose written bytes are counted.
type countedConn struct {
	*net.TCPConn
	counter WriteCounter
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (n int, err error) {
	n, err = c.TCPConn.Write(data)
	c.counter.BytesWritten(n)
	return n, err
}

// countedListener accepts connections whose written bytes are counted.
type countedListener struct {
	net.Listener
	counter WriteCounter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (conn net.Conn, err error) {
	if conn, err = l.Listener.Accept(); err != nil {
		return nil, err
	}
	return countWrites(conn, l.counter), nil
}

// countWrites wraps the connection so that its written bytes are counted. It
// returns the connection itself if it is not TCP or the counter is nil.
func countWrites(conn net.Conn, counter WriteCounter) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok && counter != nil {
		return &countedConn{TCPConn: tcp, counter: counter}
	}
	return conn
}

// Dial connects to the address.
func (d Transport) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	dialer := net.Dialer{KeepAliveConfig: d.keepAlive()}
	if d.UserTimeout > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, d.UserTimeout) }
	}
	if conn, err = dialer.DialContext(ctx, "tcp", address.String()); err != nil {
		return nil, err
	}
	return countWrites(conn, d.WriteCounter), nil
}

// Listen listens on the address. Accepted connections get the same time-outs.
func (d Transport) Listen(ctx context.Context, address netip.AddrPort) (listener net.Listener, err error) {
	config := net.ListenConfig{KeepAliveConfig: d.keepAlive()}
	if d.UserTimeout > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, d.UserTimeout) }
	}
	if listener, err = config.Listen(ctx, "tcp", address.String()); err != nil || d.WriteCounter == nil {
		return listener, err
	}
	return &countedListener{Listener: listener, counter: d.WriteCounter}, nil
}

func (d Transport) keepAlive() net.KeepAliveConfig {
	if d.UserTimeout == 0 {
		return net.KeepAliveConfig{}
	}
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveProbes}
}

// setUserTimeout sets TCP_USER_TIMEOUT, which accepted connections inherit from
// their listener.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
		}
	}()
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// ListenAddr returns the address of a TCP listener, with IPv4-mapped addresses as
// IPv4.
func ListenAddr(listener net.Listener) (address netip.AddrPort) {
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok {
		address = tcp.AddrPort()
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
