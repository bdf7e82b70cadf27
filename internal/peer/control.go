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
	// controlQueue bounds the messages that wait to be sent.
	controlQueue = 256
	// controlLinger bounds how long a closed stream sends what is queued.
	controlLinger = time.Second
)

// ControlStream is one stream of control messages, the same from either end.
type ControlStream struct {
	mux    *yamux.Stream
	node   netip.AddrPort
	reader *wire.Reader
	// first was read before the stream was known as one of control; nil once
	// it was received.
	first *wire.Control
	bytes counter
	// shared counts the same bytes for the remote or the server.
	shared *counter
	queue  chan *wire.Control
	closed chan struct{}
	once   sync.Once
	// done is closed once the writer has ended.
	done chan struct{}
	// released runs once, when the stream has ended.
	released func()
}

// OpenControl opens a stream of control messages to the node. The far end
// learns of it by the first message. It must be closed.
func (p *Pool) OpenControl(ctx context.Context, node netip.AddrPort) (opened *ControlStream, err error) {
	s, err := p.connect(ctx, node)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	s.begin(&s.controls)
	s.mutex.Unlock()
	mux, err := s.mux.OpenStream()
	if err != nil {
		s.end(&s.controls)
		s.setAside()
		return nil, err
	}
	opened = newControl(mux, node, &s.remote.control, func() { s.end(&s.controls) })
	opened.reader = wire.NewReader(opened)
	return opened, nil
}

func newControl(mux *yamux.Stream, node netip.AddrPort, shared *counter, released func()) *ControlStream {
	c := &ControlStream{
		mux:      mux,
		node:     node,
		shared:   shared,
		queue:    make(chan *wire.Control, controlQueue),
		closed:   make(chan struct{}),
		done:     make(chan struct{}),
		released: released,
	}
	go c.write()
	return c
}

// RemoteAddr returns the address of the far end: the node's when this end opened
// the stream, else the one that it connected from.
func (c *ControlStream) RemoteAddr() netip.AddrPort {
	return c.node
}

// Bytes counts the frames that were sent and received, with their headers.
func (c *ControlStream) Bytes() Bytes {
	return c.bytes.load()
}

// TrySend queues the message and returns false when there is no room or the
// stream is closed. It never waits. The message must not change afterwards.
func (c *ControlStream) TrySend(message *wire.Control) (queued bool) {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.queue <- message:
		return true
	default:
		return false
	}
}

// Send queues the message, and returns ErrQueueFull or ErrClosed when it
// cannot. It never waits.
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

// Recv waits for the next message. It returns io.EOF when the far end closed
// the stream. One goroutine at a time may call it.
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

// Close ends the stream: what is queued is still sent, and Recv returns.
func (c *ControlStream) Close() {
	c.once.Do(func() {
		_ = c.mux.SetWriteDeadline(time.Now().Add(controlLinger))
		close(c.closed)
		_ = c.mux.SetReadDeadline(past)
	})
}

// Done is closed once the stream has ended and everything queued was sent or
// given up.
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

// write sends what is queued, until the stream is closed or broken.
func (c *ControlStream) write() {
	defer func() {
		c.Close()
		_ = c.mux.Close()
		c.released()
		close(c.done)
	}()
	w := wire.NewWriter(countedWriter{control: c})
	for {
		select {
		case message := <-c.queue:
			if err := c.writeBatch(w, message); err != nil {
				return
			}
		case <-c.closed:
			c.writeRest(w)
			return
		}
	}
}

// writeBatch sends the message, with whatever else is queued by then.
func (c *ControlStream) writeBatch(w *wire.Writer, message *wire.Control) (err error) {
	for {
		if err = w.Control(message); err != nil {
			return err
		}
		select {
		case message = <-c.queue:
		default:
			return w.Flush()
		}
	}
}

func (c *ControlStream) writeRest(w *wire.Writer) {
	select {
	case message := <-c.queue:
		_ = c.writeBatch(w, message)
	default:
	}
}

// Read implements io.Reader over the stream's bytes, for the frame decoder.
func (c *ControlStream) Read(data []byte) (n int, err error) {
	n, err = c.mux.Read(data)
	c.bytes.received.Add(uint64(n))
	c.shared.received.Add(uint64(n))
	return n, err
}

// countedWriter writes to a control stream and counts.
type countedWriter struct{ control *ControlStream }

// Write implements io.Writer.
func (w countedWriter) Write(data []byte) (n int, err error) {
	n, err = w.control.mux.Write(data)
	w.control.bytes.sent.Add(uint64(n))
	w.control.shared.sent.Add(uint64(n))
	return n, err
}

// addrOf returns the IP address and port of a network address, or the zero
// AddrPort when it has none.
func addrOf(address net.Addr) (addr netip.AddrPort) {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	return netip.AddrPort{}
}
