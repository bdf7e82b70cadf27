// Package faulty is a TCP forwarder with faults, for tests and the demo: it
// stands between two nodes, or between a node and the platform, and can be
// slow, narrow, cut or silent. Connections are set up without delay; what is
// sent on them is delayed. It is no part of the product.
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

// Direction is one of the two ways through a link.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
)

const numDirections = 2

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// Link forwards connections to its target. A Link with only a target is ready
// to start; the setters may be called before and after.
type Link struct {
	// Target is where connections are forwarded to.
	Target netip.AddrPort
	// Bandwidth bounds the rate together with other links that share it; nil
	// for none. SetRate bounds this link besides.
	Bandwidth *Bandwidth

	// own bounds the rate of this link alone.
	own   Bandwidth
	bytes [numDirections]atomic.Int64

	mutex sync.Mutex
	// latency and all below are guarded by mutex.
	latency time.Duration
	silent  [numDirections]bool
	// changed is closed and replaced when silent changes; nil while none waits.
	changed chan struct{}
	// address is zero before Start.
	address netip.AddrPort
	// listener is nil while the link is not started, cut or stopped.
	listener net.Listener
	// pairs holds the open connections.
	pairs map[*pair]struct{}
	// ctx and cancel are nil unless the link is started.
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
	l.pairs = make(map[*pair]struct{})
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

// Addr returns the address to connect to in place of the target, the zero
// AddrPort before Start.
func (l *Link) Addr() netip.AddrPort {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.address
}

// SetLatency delays what is sent from now on by that time in each direction.
func (l *Link) SetLatency(latency time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.latency = latency
}

// SetRate bounds each direction of this link, over all its connections; zero
// means no bound.
func (l *Link) SetRate(bytesPerSecond int) {
	l.own.SetRate(bytesPerSecond)
}

// Stall keeps connections open, and takes new ones, but passes nothing in
// that direction, not even the end of a connection. What waits is passed when
// the silence ends.
func (l *Link) Stall(direction Direction, silent bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent[direction] = silent
	l.wake()
}

// StallOpenConnections makes the present connections silent for good, in both directions,
// while new ones work. They end with Cut or Stop.
func (l *Link) StallOpenConnections() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for p := range l.pairs {
		p.forgotten = true
	}
	l.wake()
}

// Cut breaks every connection and refuses new ones, or takes them again at the
// same address.
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

// Bytes returns how many bytes were passed on in that direction.
func (l *Link) Bytes(direction Direction) int64 {
	return l.bytes[direction].Load()
}

// Connections returns how many connections are open through the link.
func (l *Link) Connections() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.pairs)
}

// listen takes connections; the caller holds the mutex.
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

// close closes the listener and the connections; the caller holds the mutex.
func (l *Link) close() {
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for p := range l.pairs {
		p.cancel()
	}
}

// wake lets whatever waits look at the silence again; the caller holds the mutex.
func (l *Link) wake() {
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

// forward carries one connection to its end.
func (l *Link) forward(ctx context.Context, listener net.Listener, client net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", l.Target.String())
	if err != nil {
		abort(client)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &pair{link: l, cancel: cancel}
	l.mutex.Lock()
	if l.listener != listener {
		// The link was cut since the connection came.
		cancel()
	}
	l.pairs[p] = struct{}{}
	l.mutex.Unlock()
	p.carry(ctx, client, target)
	l.mutex.Lock()
	delete(l.pairs, p)
	l.mutex.Unlock()
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
