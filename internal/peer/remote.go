package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// remote holds the pool's sessions to one node and its counters.
type remote struct {
	node netip.AddrPort

	mutex sync.Mutex
	// current is the session that takes new calls; nil if there is none.
	current *clientSession
	// open holds every session that is not yet closed, including current.
	open map[*clientSession]struct{}
	// dialing is the dial in progress, if any.
	dialing *dial
	// closedBytes counts all bytes of closed sessions, control and other traffic.
	closedBytes Bytes
	// controlBytes counts the bytes of control streams.
	controlBytes byteCounter
}

// dial is an attempt to connect. Several calls may wait for the same one.
type dial struct {
	done chan struct{}
	// session and err are valid once done is closed.
	session *clientSession
	err     error
}

func (r *remote) clearCurrent(s *clientSession) {
	r.mutex.Lock()
	if r.current == s {
		r.current = nil
	}
	r.mutex.Unlock()
}

func (r *remote) sessionClosed(s *clientSession) {
	r.mutex.Lock()
	delete(r.open, s)
	r.closedBytes.Sent += s.conn.sent.Load()
	r.closedBytes.Received += s.conn.received.Load()
	r.mutex.Unlock()
}

// connect returns a session that takes new calls, and dials if there is none.
func (p *Pool) connect(ctx context.Context, node netip.AddrPort) (found *clientSession, err error) {
	r, err := p.remoteFor(node)
	if err != nil {
		return nil, err
	}
	r.mutex.Lock()
	found = r.current
	if found != nil && found.usable() {
		r.mutex.Unlock()
		return found, nil
	}
	d := r.dialing
	if d == nil {
		d = &dial{done: make(chan struct{})}
		r.dialing = d
		p.goroutines.Go(func() { p.dial(r, d) })
	}
	r.mutex.Unlock()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (p *Pool) dial(r *remote, d *dial) {
	d.session, d.err = p.newSession(r)
	r.mutex.Lock()
	r.dialing = nil
	if d.err == nil {
		r.current = d.session
		r.open[d.session] = struct{}{}
	}
	r.mutex.Unlock()
	close(d.done)
}

func (p *Pool) newSession(r *remote) (s *clientSession, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("dial %s: %w", r.node, err)
		}
	}()
	ctx, cancel := context.WithTimeout(p.baseContext(), p.dialTimeout())
	defer cancel()
	start := time.Now()
	raw, err := p.dialer().Dial(ctx, r.node)
	if err != nil {
		return nil, err
	}
	if err = handshake(ctx, raw); err != nil {
		_ = raw.Close()
		return nil, err
	}
	roundTrip := time.Since(start) / 2
	s = &clientSession{pool: p, remote: r, conn: newConn(raw), roundTrip: roundTrip, lastUsed: time.Now()}
	s.livenessTimer = time.AfterFunc(time.Hour, s.checkLiveness)
	s.livenessTimer.Stop()
	s.mux, err = yamux.Client(s.conn, muxConfig())
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return s, nil
}

func (r *remote) openSessions() (open []*clientSession) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	open = make([]*clientSession, 0, len(r.open))
	for s := range r.open {
		open = append(open, s)
	}
	return open
}

func (r *remote) stats() RemoteStats {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	total := r.closedBytes
	for s := range r.open {
		total.Sent += s.conn.sent.Load()
		total.Received += s.conn.received.Load()
	}
	control := r.controlBytes.load()
	return RemoteStats{
		Node:     r.node,
		Control:  control,
		Traffic:  Bytes{Sent: total.Sent - min(total.Sent, control.Sent), Received: total.Received - min(total.Received, control.Received)},
		Sessions: len(r.open),
	}
}

// handshake exchanges the prefaces. No call is sent before the node's preface
// has arrived, so that no call is lost on a connection that nobody serves.
func handshake(ctx context.Context, raw net.Conn) (err error) {
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(pastDeadline) })
	if _, err = io.WriteString(raw, preface); err == nil {
		err = readPreface(raw)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	return err
}

// readPreface reads and verifies the preface of the other end.
func readPreface(raw net.Conn) (err error) {
	var got [len(preface)]byte
	if _, err = io.ReadFull(raw, got[:]); err != nil {
		return err
	}
	if string(got[:]) != preface {
		return errUnknownPreface
	}
	return nil
}
