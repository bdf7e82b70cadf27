package serve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// connectTimeout bounds a connection to the upstream, which is local.
	connectTimeout = time.Second
	// idleConnection is how long a connection without a call is kept.
	idleConnection = 30 * time.Second
	// keptShare is the part of the time for which the upstream keeps an idle
	// connection that is used, in percent.
	keptShare = 80
	// bufferSize is that of a connection, in bytes, each way.
	bufferSize = 4 << 10
	// maxReplyHead bounds the header section of an answer, in bytes.
	maxReplyHead = 256 << 10
)

var (
	errClosed   = errors.New("upstream replaced")
	errLongHead = errors.New("header section too long")
	past        = time.Unix(1, 0)
)

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// left is how many bytes may still be read; it bounds header sections.
	left int64
	// written is set once a byte of the present request may have left.
	written bool
	// used is when the last call ended.
	used time.Time
	// keep is how long the upstream keeps the connection without a call; zero
	// when it did not say.
	keep time.Duration
}

// keepFor takes in how long the upstream keeps an idle connection, less a
// margin for what is on its way when it closes it.
func (c *conn) keepFor(header http.Header) {
	c.keep = 0
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n > 0 {
			c.keep = time.Duration(n) * time.Second * keptShare / 100
		}
	}
}

// stale reports whether the connection has been idle for too long.
func (c *conn) stale() bool {
	idle := time.Since(c.used)
	return idle > idleConnection || c.keep > 0 && idle > c.keep
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, left: math.MaxInt64}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)
	return c
}

// Read implements io.Reader.
func (c *conn) Read(data []byte) (n int, err error) {
	if c.left <= 0 {
		return 0, errLongHead
	}
	n, err = c.Conn.Read(data[:min(int64(len(data)), c.left)])
	c.left -= int64(n)
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(data []byte) (n int, err error) {
	c.written = true
	return c.Conn.Write(data)
}

// alive reports whether the upstream has neither closed the idle connection
// nor sent anything on it.
func (c *conn) alive() (alive bool) {
	if c.reader.Buffered() > 0 || c.stale() {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return alive && err == nil
}

// conns keeps the connections to one upstream.
type conns struct {
	address string
	// slots bounds the open connections; nil means no bound.
	slots chan struct{}

	mutex sync.Mutex
	// idle holds the connections without a call, the latest used last.
	idle   []*conn
	closed bool
	// sweeper closes connections that stay idle; nil until one is kept.
	sweeper *time.Timer
}

// take returns a connection, kept or new, for one call.
func (p *conns) take(ctx context.Context) (taken *conn, err error) {
	if p.slots != nil {
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	for {
		if taken, err = p.pop(); err != nil || taken == nil {
			break
		}
		if taken.alive() {
			taken.written = false
			return taken, nil
		}
		_ = taken.Close()
	}
	if err == nil {
		dialer := net.Dialer{Timeout: connectTimeout}
		var raw net.Conn
		if raw, err = dialer.DialContext(ctx, "tcp", p.address); err == nil {
			return newConn(raw), nil
		}
	}
	p.free()
	return nil, err
}

func (p *conns) pop() (popped *conn, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, errClosed
	}
	last := len(p.idle) - 1
	if last < 0 {
		return nil, nil
	}
	popped = p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return popped, nil
}

// put takes back a connection whose call has ended whole.
func (p *conns) put(c *conn) {
	defer p.free()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	c.used = time.Now()
	p.idle = append(p.idle, c)
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(idleConnection, p.sweep)
	}
}

// drop closes a connection whose call was cut.
func (p *conns) drop(c *conn) {
	_ = c.Close()
	p.free()
}

func (p *conns) free() {
	if p.slots != nil {
		<-p.slots
	}
}

// sweep closes the connections that have been idle for long.
func (p *conns) sweep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := 0
	for _, c := range p.idle {
		if c.stale() {
			_ = c.Close()
			continue
		}
		p.idle[kept] = c
		kept++
	}
	clear(p.idle[kept:])
	p.idle = p.idle[:kept]
	p.sweeper = nil
	if kept > 0 && !p.closed {
		p.sweeper = time.AfterFunc(idleConnection, p.sweep)
	}
}

// close closes the idle connections; the others close after their calls.
func (p *conns) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// responseBody gives the connection back once it was read to its end, or else
// closes it, which ends the request at the upstream.
type responseBody struct {
	io.ReadCloser
	exchange *exchange
	// whole is set once the body was read to its end.
	whole bool
}

// Read implements io.Reader.
func (b *responseBody) Read(data []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(data)
	b.whole = b.whole || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer. Only the first call counts.
func (b *responseBody) Close() error {
	b.exchange.finish(b.whole)
	return nil
}
