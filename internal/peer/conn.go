package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// muxHeader is the length of a yamux header in bytes.
	muxHeader = 12
	// unsentLimit bounds the bytes that wait in the kernel, so that control
	// messages do not wait behind a long queue of bodies.
	unsentLimit = 64 << 10
	// tcpNotSentLowat is TCP_NOTSENT_LOWAT of Linux.
	tcpNotSentLowat = 25
)

// conn counts the bytes of a connection, remembers when it was heard from, and
// joins each yamux header with the payload that follows it in one write.
type conn struct {
	net.Conn
	// begun is when the connection was wrapped, with its reading of the steady clock.
	begun time.Time
	// heard is when bytes last arrived, in nanoseconds since begun, so that a step
	// of the time of day does not count.
	heard    atomic.Int64
	sent     atomic.Uint64
	received atomic.Uint64
	// held is a header whose payload has not come yet; sending goroutine only.
	held []byte
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c, begun: time.Now()}
	limitUnsent(c)
	return wrapped
}

// heardAt returns when bytes last arrived.
func (c *conn) heardAt() time.Time {
	return c.begun.Add(time.Duration(c.heard.Load()))
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (n int, err error) {
	n, err = c.Conn.Read(data)
	if n > 0 {
		c.heard.Store(int64(time.Since(c.begun)))
		c.received.Add(uint64(n))
	}
	return n, err
}

// Write implements net.Conn. yamux writes a header and its payload apart, and
// always writes the payload right after a data header that announces one.
func (c *conn) Write(data []byte) (n int, err error) {
	if len(c.held) == 0 && announcesPayload(data) {
		c.held = append(c.held, data...)
		return len(data), nil
	}
	if len(c.held) == 0 {
		n, err = c.Conn.Write(data)
		c.sent.Add(uint64(n))
		return n, err
	}
	c.held = append(c.held, data...)
	n, err = c.Conn.Write(c.held)
	c.sent.Add(uint64(n))
	c.held = c.held[:0]
	if cap(c.held) > unsentLimit {
		c.held = nil
	}
	return max(0, n-muxHeader), err
}

// announcesPayload reports whether the data is a yamux header of a data frame
// with a payload.
func announcesPayload(data []byte) bool {
	return len(data) == muxHeader && data[0] == 0 && data[1] == 0 && binary.BigEndian.Uint32(data[8:]) > 0
}

// limitUnsent asks the kernel to take no more than unsentLimit bytes ahead of
// what it has sent. Connections other than TCP are left as they are.
func limitUnsent(c net.Conn) {
	raw, isTCP := c.(syscall.Conn)
	if !isTCP {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpNotSentLowat, unsentLimit)
	})
}
