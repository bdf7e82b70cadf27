// Package faulty is a TCP proxy that simulates network faults, for tests and the
// demo. It sits between two nodes, or between a node and the platform, and can
// add latency, limit the bandwidth, cut connections or stall them. Latency applies
// to data but not to connection setup. The package is not part of the product.
package faulty

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a direction of data through a link.
type Direction int

// Directions, as seen from the client that connects to the link.
const (
	ToTarget Direction = iota
	FromTarget
)

const numDirections = 2

// dialTimeout limits the time to connect to the target.
const dialTimeout = 5 * time.Second

// Link forwards connections to its target. A Link needs only a target to be
// started. The setters may be called before and after Start.
type Link struct {
	// Target is the address to which connections are forwarded.
	Target netip.AddrPort
	// Bandwidth limits the rate over all links that share it; nil means no
	// limit. SetRate limits this link in addition.
	Bandwidth *Bandwidth

	// ownBandwidth limits the rate of this link alone.
	ownBandwidth Bandwidth
	bytes        [numDirections]atomic.Int64

	mutex sync.Mutex
	// latency and all below are guarded by mutex.
	latency time.Duration
	stalled [numDirections]bool
	// changed is closed when a stall begins or ends; nil while nobody waits.
	changed chan struct{}
	// address is zero before Start.
	address netip.AddrPort
	// listener is nil before Start, after Stop, and while the link is cut.
	listener net.Listener
	// conns contains the open connections.
	conns map[*proxiedConn]struct{}
	// ctx and cancel are nil before Start; cancel is also nil after Stop.
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// Start listens on a free port of 127.0.0.1.
func (l *Link) Start() (err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cancel != nil {
		return errors.New("link is already started")
	}
	l.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.conns = make(map[*proxiedConn]struct{})
	if err = l.listen(); err != nil {
		l.cancel()
		l.cancel = nil
	}
	return err
}

// Stop closes the link and every connection through it.
func (l *Link) Stop() {
	l.mutex.Lock()
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
	l.close()
	l.mutex.Unlock()
	l.group.Wait()
}

// Addr returns the link's listen address, the zero AddrPort before Start. Clients
// connect to it instead of the target.
func (l *Link) Addr() netip.AddrPort {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.address
}

// SetLatency sets the delay in each direction of data sent from now on.
func (l *Link) SetLatency(latency time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.latency = latency
}

// SetRate limits the rate in each direction, over all connections of this link;
// zero means no limit.
func (l *Link) SetRate(bytesPerSecond int) {
	l.ownBandwidth.SetRate(bytesPerSecond)
}

// Stall starts or ends a stall of one direction. During a stall, connections stay
// open and new ones are accepted, but nothing is forwarded in that direction, not
// even the end of a connection. Queued data is forwarded when the stall ends.
func (l *Link) Stall(direction Direction, stalled bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stalled[direction] = stalled
	l.notifyChanged()
}

// StallOpenConnections permanently stalls both directions of the connections that
// are open now. New connections work. Stalled connections end with Cut or Stop.
func (l *Link) StallOpenConnections() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		c.stalled = true
	}
	l.notifyChanged()
}

// Cut with true resets all connections and refuses new ones. Cut with false
// accepts connections again, at the same address.
func (l *Link) Cut(cut bool) (err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case cut:
		l.close()
		return nil
	case l.cancel == nil:
		return errors.New("link is not started")
	case l.listener != nil:
		return nil
	}
	return l.listen()
}

// Bytes returns the number of bytes forwarded in that direction.
func (l *Link) Bytes(direction Direction) int64 {
	return l.bytes[direction].Load()
}

// Connections returns the number of open connections through the link.
func (l *Link) Connections() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.conns)
}

// listen starts accepting connections. The caller must hold the mutex.
func (l *Link) listen() (err error) {
	listener, err := net.Listen("tcp", l.address.String())
	if err != nil {
		return fmt.Errorf("open link: %w", err)
	}
	l.listener = listener
	if tcp, ok := listener.Addr().(*net.TCPAddr); ok {
		l.address = tcp.AddrPort()
	}
	ctx := l.ctx
	l.group.Go(func() { l.accept(ctx, listener) })
	return nil
}

// close closes the listener and the connections. The caller must hold the mutex.
func (l *Link) close() {
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for c := range l.conns {
		c.cancel()
	}
}

// notifyChanged wakes the goroutines that wait in waitNotStalled. The caller must
// hold the mutex.
func (l *Link) notifyChanged() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

func (l *Link) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.group.Go(func() { l.forward(ctx, listener, conn) })
	}
}

// forward connects to the target and forwards data until the connection ends.
func (l *Link) forward(ctx context.Context, listener net.Listener, client net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", l.Target.String())
	if err != nil {
		closeWithReset(client)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &proxiedConn{link: l, cancel: cancel}
	l.mutex.Lock()
	if l.listener != listener {
		// The link was cut after it accepted the connection.
		cancel()
	}
	l.conns[c] = struct{}{}
	l.mutex.Unlock()
	c.run(ctx, client, target)
	l.mutex.Lock()
	delete(l.conns, c)
	l.mutex.Unlock()
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
