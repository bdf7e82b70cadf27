package serve

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// connectTimeout is short because the upstream runs on the same host.
	connectTimeout = time.Second
	// maxIdle is how long an idle connection is kept.
	maxIdle = 30 * time.Second
	// keepAlivePercent is the percentage of the upstream's keep-alive timeout after
	// which an idle connection is no longer used.
	keepAlivePercent = 80
	// bufferSize is the size in bytes of the read buffer and of the write buffer of a
	// connection.
	bufferSize = 4 << 10
	// maxResponseHeader is the maximum size of the header section of a response in
	// bytes.
	maxResponseHeader = 256 << 10
)

var (
	errUpstreamReplaced = errors.New("upstream replaced")
	errHeaderTooLarge   = errors.New("response header section too large")
	// pastDeadline makes all reads and writes of a connection fail at once.
	pastDeadline = time.Unix(1, 0)
)

// conn is one connection to the upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// readLimit is how many bytes may still be read. It limits the size of header
	// sections.
	readLimit int64
	// scanner checks the header section that is being read.
	scanner headScanner
	// written is true if a byte of the current request may have been sent.
	written bool
	// received is true if a byte was received since the current request began.
	received atomic.Bool
	// answered is true once a response was read, and identified once one with the ID of
	// its request was.
	answered, identified bool
	// writeMutex is held during a write, and writeErr is the first error of one.
	writeMutex sync.Mutex
	writeErr   error
	// lastUsed is when the last call ended.
	lastUsed time.Time
	// keepAlive is how long the connection may be idle according to the upstream's
	// Keep-Alive header; zero if there was none.
	keepAlive time.Duration
}

// setKeepAlive reads the keep-alive timeout of the upstream and subtracts a margin,
// so that no request is sent while the upstream closes the connection.
func (c *conn) setKeepAlive(header http.Header) {
	c.keepAlive = 0
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n > 0 {
			c.keepAlive = time.Duration(n) * time.Second * keepAlivePercent / 100
		}
	}
}

// stale reports whether the connection has been idle for too long.
func (c *conn) stale() bool {
	idle := time.Since(c.lastUsed)
	return idle > maxIdle || c.keepAlive > 0 && idle > c.keepAlive
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, readLimit: math.MaxInt64}
	c.reader = bufio.NewReaderSize(c, bufferSize)
	c.writer = bufio.NewWriterSize(c, bufferSize)
	return c
}

// Read implements io.Reader.
func (c *conn) Read(data []byte) (n int, err error) {
	if c.readLimit <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err = c.Conn.Read(data[:min(int64(len(data)), c.readLimit)])
	c.readLimit -= int64(n)
	c.scanner.scan(data[:n])
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// beginScan begins to scan a header section, of which a part may have been received.
func (c *conn) beginScan() {
	c.scanner = headScanner{}
	received, _ := c.reader.Peek(c.reader.Buffered())
	c.scanner.scan(received)
}

// Write implements io.Writer.
func (c *conn) Write(data []byte) (n int, err error) {
	c.written = true
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	n, err = c.Conn.Write(data)
	c.writeErr = cmp.Or(c.writeErr, err)
	return n, err
}

// usable reports whether the idle connection can be used for another request: it
// is not stale, and the upstream has neither closed it nor sent data on it.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 || c.stale() {
		return false
	}
	var one [1]byte
	_, err := c.peekSocket(one[:])
	return errors.Is(err, syscall.EAGAIN)
}

// peekSocket copies what was received but not read from the socket, without waiting. The
// error is syscall.EAGAIN if nothing was received and the connection is open.
func (c *conn) peekSocket(data []byte) (n int, err error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, err
	}
	readErr := raw.Read(func(descriptor uintptr) bool {
		n, _, err = syscall.Recvfrom(int(descriptor), data, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return n, errors.Join(err, readErr)
}

// endedByReset reports whether a read returned io.EOF because of a reset. The error of a
// reset is returned only once, by a read or by a write: if a write gets it, reads return the
// same io.EOF as for a connection that the upstream has ended. The error of a reset that
// follows such an end is another one.
func (c *conn) endedByReset() bool {
	if c.hasPeer() {
		return false
	}
	// A write to a connection that was reset returns at once.
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	return errors.Is(c.writeErr, syscall.ECONNRESET)
}

// hasPeer reports whether the connection is open at this end and was not reset.
func (c *conn) hasPeer() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var peerErr error
	err = raw.Control(func(descriptor uintptr) { _, peerErr = syscall.Getpeername(int(descriptor)) })
	return errors.Join(err, peerErr) == nil
}

// connPool is a pool of connections to one upstream.
type connPool struct {
	address string
	// dial opens a connection; nil means that of net.Dialer.
	dial func(ctx context.Context, address string) (net.Conn, error)
	// identifiesRefusals is true once the upstream has refused a request with its ID.
	identifiesRefusals atomic.Bool
	// slots limits the number of connections in use; nil means no limit.
	slots chan struct{}

	mutex sync.Mutex
	// idle holds the idle connections, the most recently used one last.
	idle   []*conn
	closed bool
	// sweepTimer runs sweep; nil while none is scheduled.
	sweepTimer *time.Timer
}

// get returns an idle connection or a new one.
func (p *connPool) get(ctx context.Context) (c *conn, err error) {
	if p.slots != nil {
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	for {
		if c, err = p.popIdle(); err != nil || c == nil {
			break
		}
		if c.usable() {
			c.written = false
			c.received.Store(false)
			return c, nil
		}
		_ = c.Close()
	}
	if err == nil {
		var raw net.Conn
		if raw, err = p.connect(ctx); err == nil {
			return newConn(raw), nil
		}
	}
	p.releaseSlot()
	return nil, err
}

func (p *connPool) connect(ctx context.Context) (net.Conn, error) {
	if p.dial != nil {
		return p.dial(ctx, p.address)
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	return dialer.DialContext(ctx, "tcp", p.address)
}

func (p *connPool) popIdle() (c *conn, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, errUpstreamReplaced
	}
	last := len(p.idle) - 1
	if last < 0 {
		return nil, nil
	}
	c = p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c, nil
}

// put returns a connection whose exchange is complete to the pool.
func (p *connPool) put(c *conn) {
	defer p.releaseSlot()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	c.lastUsed = time.Now()
	p.idle = append(p.idle, c)
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(maxIdle, p.sweep)
	}
}

// discard closes a connection whose exchange is incomplete.
func (p *connPool) discard(c *conn) {
	_ = c.Close()
	p.releaseSlot()
}

func (p *connPool) releaseSlot() {
	if p.slots != nil {
		<-p.slots
	}
}

// sweep closes the connections that have been idle for too long.
func (p *connPool) sweep() {
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
	p.sweepTimer = nil
	if kept > 0 && !p.closed {
		p.sweepTimer = time.AfterFunc(maxIdle, p.sweep)
	}
}

// close closes the idle connections. Each other connection is closed when its call
// ends.
func (p *connPool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// responseBody returns the connection to the pool when it is closed after it was
// read completely. Otherwise it closes the connection, which cancels the request at
// the upstream.
type responseBody struct {
	io.ReadCloser
	exchange *exchange
	// untilClose is true if the body has no length and ends with the connection.
	untilClose bool
	// complete is true once the body was read completely.
	complete bool
}

// Read implements io.Reader. A body that ends with the connection while the request is being
// sent is incomplete if a reset ended it.
func (b *responseBody) Read(data []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) && b.untilClose && !b.exchange.requestSent() && b.exchange.conn.endedByReset() {
		err = io.ErrUnexpectedEOF
	}
	b.complete = b.complete || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer. Only the first call has an effect.
func (b *responseBody) Close() error {
	b.exchange.finish(b.complete)
	return nil
}
