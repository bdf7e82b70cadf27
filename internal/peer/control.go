package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"arbutusstep.example/arbutusstep/internal/wire"
)

const (
	// controlQueueSize is the maximum number of messages waiting to be sent.
	controlQueueSize = 256
	// controlFlushTimeout limits how long a closed stream may take to send its
	// queued messages.
	controlFlushTimeout = time.Second
)

// ControlStream carries control messages in both directions. Both ends use the
// same type.
type ControlStream struct {
	mux    *yamux.Stream
	remote netip.AddrPort
	reader *wire.Reader
	// first is the message that identified the stream as a control stream; nil
	// once Recv has returned it.
	first *wire.Control
	bytes byteCounter
	// total counts the same bytes across all control streams of the remote node
	// or the server.
	total     *byteCounter
	sendQueue chan *wire.Control
	closed    chan struct{}
	closeOnce sync.Once
	// done is closed once the writing goroutine has ended.
	done chan struct{}
	// onEnd is called once, when the stream has ended.
	onEnd func()
}

// OpenControl opens a control stream to the node. The remote node learns of the
// stream from its first message. The stream must be closed.
func (p *Pool) OpenControl(ctx context.Context, node netip.AddrPort) (opened *ControlStream, err error) {
	s, err := p.connect(ctx, node)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	s.addUse(&s.controls)
	s.mutex.Unlock()
	mux, err := s.mux.OpenStream()
	if err != nil {
		s.removeUse(&s.controls)
		s.retire()
		return nil, err
	}
	opened = newControl(mux, node, &s.remote.controlBytes, func() { s.removeUse(&s.controls) })
	opened.reader = wire.NewReader(opened)
	return opened, nil
}

func newControl(mux *yamux.Stream, remote netip.AddrPort, total *byteCounter, onEnd func()) *ControlStream {
	c := &ControlStream{
		mux:       mux,
		remote:    remote,
		total:     total,
		sendQueue: make(chan *wire.Control, controlQueueSize),
		closed:    make(chan struct{}),
		done:      make(chan struct{}),
		onEnd:     onEnd,
	}
	go c.write()
	return c
}

// RemoteAddr returns the address of the remote end: the node's listening address
// if this end opened the stream, otherwise the source address of its connection.
func (c *ControlStream) RemoteAddr() netip.AddrPort {
	return c.remote
}

// Bytes returns the bytes sent and received, including frame headers.
func (c *ControlStream) Bytes() Bytes {
	return c.bytes.load()
}

// TrySend queues the message and returns false if the queue is full or the
// stream is closed. It never blocks. The message must not be modified afterwards.
func (c *ControlStream) TrySend(message *wire.Control) (queued bool) {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.sendQueue <- message:
		return true
	default:
		return false
	}
}

// Send queues the message. It returns ErrQueueFull if the queue is full and
// ErrClosed if the stream is closed. It never blocks.
func (c *ControlStream) Send(message *wire.Control) (err error) {
	if c.TrySend(message) {
		return nil
	}
	select {
	case <-c.closed:
		return ErrClosed
	default:
		return ErrQueueFull
	}
}

// Recv waits for the next message. It returns io.EOF if the remote end has
// closed the stream. It must not be called concurrently.
func (c *ControlStream) Recv() (message *wire.Control, err error) {
	if c.first != nil {
		message, c.first = c.first, nil
		return message, nil
	}
	header, err := c.reader.Next()
	if err != nil {
		if c.isClosed() && !errors.Is(err, io.EOF) {
			return nil, ErrClosed
		}
		return nil, err
	}
	if header.Type != wire.TypeControl {
		return nil, wire.ErrUnexpected
	}
	return c.reader.Control(header)
}

// Close closes the stream. Queued messages are still sent, and a blocked Recv
// returns.
func (c *ControlStream) Close() {
	c.closeOnce.Do(func() {
		_ = c.mux.SetWriteDeadline(time.Now().Add(controlFlushTimeout))
		close(c.closed)
		_ = c.mux.SetReadDeadline(pastDeadline)
	})
}

// Done returns a channel that is closed once the stream has ended and all queued
// messages have been sent or dropped.
func (c *ControlStream) Done() <-chan struct{} {
	return c.done
}

func (c *ControlStream) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// write sends queued messages until the stream is closed or fails.
func (c *ControlStream) write() {
	defer func() {
		c.Close()
		_ = c.mux.Close()
		c.onEnd()
		close(c.done)
	}()
	w := wire.NewWriter(countedWriter{control: c})
	for {
		select {
		case message := <-c.sendQueue:
			if err := c.writeBatch(w, message); err != nil {
				return
			}
		case <-c.closed:
			c.writeRest(w)
			return
		}
	}
}

// writeBatch sends the message together with all others already queued.
func (c *ControlStream) writeBatch(w *wire.Writer, message *wire.Control) (err error) {
	for {
		if err = w.Control(message); err != nil {
			return err
		}
		select {
		case message = <-c.sendQueue:
		default:
			return w.Flush()
		}
	}
}

func (c *ControlStream) writeRest(w *wire.Writer) {
	select {
	case message := <-c.sendQueue:
		_ = c.writeBatch(w, message)
	default:
	}
}

// Read implements io.Reader over the stream's bytes, for the frame reader.
func (c *ControlStream) Read(data []byte) (n int, err error) {
	n, err = c.mux.Read(data)
	c.bytes.received.Add(uint64(n))
	c.total.received.Add(uint64(n))
	return n, err
}

// countedWriter writes to a control stream and counts the bytes.
type countedWriter struct{ control *ControlStream }

// Write implements io.Writer.
func (w countedWriter) Write(data []byte) (n int, err error) {
	n, err = w.control.mux.Write(data)
	w.control.bytes.sent.Add(uint64(n))
	w.control.total.sent.Add(uint64(n))
	return n, err
}

// addrOf returns the IP address and port of a TCP address, and the zero AddrPort
// for any other address.
func addrOf(address net.Addr) (addr netip.AddrPort) {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}
