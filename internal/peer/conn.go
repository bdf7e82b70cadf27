package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// muxHeaderSize is the size of a yamux header in bytes.
	muxHeaderSize = 12
	// unsentLimit is the maximum number of unsent bytes in the kernel's socket
	// buffer, so that control messages do not queue behind large bodies.
	unsentLimit = 64 << 10
	// tcpNotSentLowat is the Linux socket option TCP_NOTSENT_LOWAT.
	tcpNotSentLowat = 25
)

// conn wraps a connection. It counts bytes, records when data was last received,
// and writes each yamux header together with the payload that follows it.
type conn struct {
	net.Conn
	// created is when the connection was wrapped, including a monotonic clock
	// reading.
	created time.Time
	// lastReceived is when data last arrived, in nanoseconds since created, so
	// that changes of the wall clock have no effect.
	lastReceived atomic.Int64
	sent         atomic.Uint64
	received     atomic.Uint64
	// pendingHeader is a yamux header whose payload has not been written yet. Only
	// the sending goroutine uses it.
	pendingHeader []byte
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c, created: time.Now()}
	limitUnsent(c)
	return wrapped
}

// lastReceivedAt returns when data last arrived.
func (c *conn) lastReceivedAt() time.Time {
	return c.created.Add(time.Duration(c.lastReceived.Load()))
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (n int, err error) {
	n, err = c.Conn.Read(data)
	if n > 0 {
		c.lastReceived.Store(int64(time.Since(c.created)))
		c.received.Add(uint64(n))
	}
	return n, err
}

// Write implements net.Conn. yamux writes a header and its payload separately,
// and always writes the payload directly after a data header that announces one.
func (c *conn) Write(data []byte) (n int, err error) {
	if len(c.pendingHeader) == 0 && announcesPayload(data) {
		c.pendingHeader = append(c.pendingHeader, data...)
		return len(data), nil
	}
	if len(c.pendingHeader) == 0 {
		n, err = c.Conn.Write(data)
		c.sent.Add(uint64(n))
		return n, err
	}
	c.pendingHeader = append(c.pendingHeader, data...)
	n, err = c.Conn.Write(c.pendingHeader)
	c.sent.Add(uint64(n))
	c.pendingHeader = c.pendingHeader[:0]
	if cap(c.pendingHeader) > unsentLimit {
		c.pendingHeader = nil
	}
	return max(0, n-muxHeaderSize), err
}

// announcesPayload reports whether data is the yamux header of a data frame with
// a payload.
func announcesPayload(data []byte) bool {
	return len(data) == muxHeaderSize && data[0] == 0 && data[1] == 0 && binary.BigEndian.Uint32(data[8:]) > 0
}

// limitUnsent limits the unsent bytes that the kernel buffers to unsentLimit.
// It has no effect on connections other than TCP.
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
