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

// Dialer dials TCP. The zero Dialer leaves silent connections to the kernel's
// defaults.
type Dialer struct {
	// Silence is for how long what was sent may stay unacknowledged before the
	// connection ends; zero means the kernel's default.
	Silence time.Duration
}

// Dial connects to the address.
func (d Dialer) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	dialer := net.Dialer{KeepAliveConfig: d.keepAlive()}
	if d.Silence > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error { return bound(raw, d.Silence) }
	}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// Listen listens on the address; accepted connections get the same bound on silence.
func (d Dialer) Listen(ctx context.Context, address netip.AddrPort) (listener net.Listener, err error) {
	config := net.ListenConfig{KeepAliveConfig: d.keepAlive()}
	if d.Silence > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error { return bound(raw, d.Silence) }
	}
	return config.Listen(ctx, "tcp", address.String())
}

func (d Dialer) keepAlive() net.KeepAliveConfig {
	if d.Silence == 0 {
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

// AddressOf returns the address that a TCP listener listens on.
func AddressOf(listener net.Listener) (address netip.AddrPort) {
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok {
		address = tcp.AddrPort()
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
