// Package sock dials and tunes TCP connections so that one whose far end fell
// silent is given up by the kernel, without a message of our own.
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

// probeInterval is the time between two keep-alive probes on an idle connection.
const probeInterval = time.Second

// probeCount is how many probes in a row may stay unanswered.
const probeCount = 2

// Transport dials TCP. The zero Transport leaves silent connections to the kernel's
// defaults.
type Transport struct {
	// UserTimeout is for how long what was sent may stay unacknowledged before the
	// connection ends; zero means the kernel's default.
	UserTimeout time.Duration
	// WriteCounter is told what is written; nil means nobody is.
	WriteCounter WriteCounter
}

// WriteCounter counts what is written to connections. It must not block.
type WriteCounter interface {
	BytesWritten(bytes int)
}

// metered is a connection whose written bytes are counted.
type metered struct {
	*net.TCPConn
	meter WriteCounter
}

// Write implements net.Conn.
func (m *metered) Write(data []byte) (n int, err error) {
	n, err = m.TCPConn.Write(data)
	m.meter.BytesWritten(n)
	return n, err
}

// metering accepts connections whose written bytes are counted.
type metering struct {
	net.Listener
	meter WriteCounter
}

// Accept implements net.Listener.
func (m *metering) Accept() (conn net.Conn, err error) {
	if conn, err = m.Listener.Accept(); err != nil {
		return nil, err
	}
	return count(conn, m.meter), nil
}

// count returns the connection with its written bytes counted.
func count(conn net.Conn, meter WriteCounter) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok && meter != nil {
		return &metered{TCPConn: tcp, meter: meter}
	}
	return conn
}

// Dial connects to the address.
func (d Transport) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	dialer := net.Dialer{KeepAliveConfig: d.keepAlive()}
	if d.UserTimeout > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error { return bound(raw, d.UserTimeout) }
	}
	if conn, err = dialer.DialContext(ctx, "tcp", address.String()); err != nil {
		return nil, err
	}
	return count(conn, d.WriteCounter), nil
}

// Listen listens on the address; accepted connections get the same bound on silence.
func (d Transport) Listen(ctx context.Context, address netip.AddrPort) (listener net.Listener, err error) {
	config := net.ListenConfig{KeepAliveConfig: d.keepAlive()}
	if d.UserTimeout > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error { return bound(raw, d.UserTimeout) }
	}
	if listener, err = config.Listen(ctx, "tcp", address.String()); err != nil || d.WriteCounter == nil {
		return listener, err
	}
	return &metering{Listener: listener, meter: d.WriteCounter}, nil
}

func (d Transport) keepAlive() net.KeepAliveConfig {
	if d.UserTimeout == 0 {
		return net.KeepAliveConfig{}
	}
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}
}

// bound sets TCP_USER_TIMEOUT, which accepted connections take from their listener.
func bound(raw syscall.RawConn, silence time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("bound silence of a connection: %w", err)
		}
	}()
	var set error
	err = raw.Control(func(descriptor uintptr) {
		set = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// ListenAddr returns the address that a TCP listener listens on.
func ListenAddr(listener net.Listener) (address netip.AddrPort) {
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok {
		address = tcp.AddrPort()
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
