package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults for Pool fields that are zero.
const (
	DefaultDialTimeout      = time.Second
	DefaultIdleTimeout      = 30 * time.Second
	DefaultPingAfter        = 250 * time.Millisecond
	DefaultControlPingAfter = 3 * time.Second
	DefaultPingTimeout      = 650 * time.Millisecond
	DefaultLivenessWindow   = time.Second
)

// Dialer connects to a node.
type Dialer interface {
	Dial(ctx context.Context, node netip.AddrPort) (net.Conn, error)
}

// Pool maintains one session to each node that is called. The zero Pool is ready
// to use. Its fields must not be changed after first use.
type Pool struct {
	// Dialer connects to nodes; nil means plain TCP.
	Dialer Dialer
	// DialTimeout limits the time of connecting, including the handshake.
	DialTimeout time.Duration
	// IdleTimeout is how long a session with neither calls nor control streams
	// is kept open.
	IdleTimeout time.Duration
	// PingAfter is how long a session with calls in progress may receive nothing
	// before it is pinged. ControlPingAfter is the same for a session with control
	// streams only.
	PingAfter        time.Duration
	ControlPingAfter time.Duration
	// PingTimeout is how long to wait for the response to a ping before the
	// session is closed.
	PingTimeout time.Duration
	// LivenessWindow is how recently a session must have received data to carry a
	// call that is not idempotent. Otherwise the session is pinged first.
	LivenessWindow time.Duration

	// maxIdleStreams limits the streams that a session keeps for reuse; zero
	// means defaultMaxIdleStreams and a negative value means none.
	maxIdleStreams int

	lastCallID atomic.Uint64
	goroutines sync.WaitGroup

	mutex   sync.Mutex
	remotes map[netip.AddrPort]*remote
	// ctx is canceled when the pool is closed; nil until first use.
	ctx        context.Context
	cancel     context.CancelFunc
	closed     bool
	sweepTimer *time.Timer
}

// Bytes holds numbers of bytes sent and received.
type Bytes struct {
	Sent     uint64
	Received uint64
}

// RemoteStats holds the counters of the connections to one node.
type RemoteStats struct {
	Node netip.AddrPort
	// Control counts the frames of control streams. Traffic counts all other
	// bytes, including the overhead of the sessions.
	Control Bytes
	Traffic Bytes
	// Sessions is the number of open sessions.
	Sessions int
}

// byteCounter counts bytes and is safe for concurrent use.
type byteCounter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

func (c *byteCounter) load() Bytes {
	return Bytes{Sent: c.sent.Load(), Received: c.received.Load()}
}

// tcpDialer is the default Dialer.
type tcpDialer struct{}

// Dial implements Dialer.
func (tcpDialer) Dial(ctx context.Context, node netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", node.String())
}

// Close closes every session. Calls in progress end with the outcome Unknown.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	if p.cancel != nil {
		p.cancel()
		p.sweepTimer.Stop()
	}
	p.mutex.Unlock()
	p.goroutines.Wait()
	for _, r := range p.remoteList() {
		for _, s := range r.openSessions() {
			s.close(ErrClosed)
		}
	}
}

// Stats returns the counters of every node that was called.
func (p *Pool) Stats() (stats []RemoteStats) {
	for _, r := range p.remoteList() {
		stats = append(stats, r.stats())
	}
	return stats
}

func (p *Pool) remoteList() (remotes []*remote) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	remotes = make([]*remote, 0, len(p.remotes))
	for _, r := range p.remotes {
		remotes = append(remotes, r)
	}
	return remotes
}

func (p *Pool) remoteFor(node netip.AddrPort) (r *remote, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if p.ctx == nil {
		p.ctx, p.cancel = context.WithCancel(context.Background())
		p.remotes = make(map[netip.AddrPort]*remote)
		p.sweepTimer = time.AfterFunc(p.idleTimeout()/2, p.sweep)
	}
	r = p.remotes[node]
	if r == nil {
		r = &remote{node: node, open: make(map[*clientSession]struct{})}
		p.remotes[node] = r
	}
	return r, nil
}

// sweep retires closed sessions and those that have exceeded the idle timeout.
func (p *Pool) sweep() {
	cutoff := time.Now().Add(-p.idleTimeout())
	for _, r := range p.remoteList() {
		for _, s := range r.openSessions() {
			if s.idleSince(cutoff) || s.mux.IsClosed() {
				s.retire()
			}
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.closed {
		p.sweepTimer.Reset(p.idleTimeout() / 2)
	}
}

func (p *Pool) baseContext() context.Context {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ctx
}

func (p *Pool) dialer() Dialer {
	if p.Dialer == nil {
		return tcpDialer{}
	}
	return p.Dialer
}

func (p *Pool) dialTimeout() time.Duration { return orDefault(p.DialTimeout, DefaultDialTimeout) }
func (p *Pool) idleTimeout() time.Duration { return orDefault(p.IdleTimeout, DefaultIdleTimeout) }
func (p *Pool) pingAfter() time.Duration   { return orDefault(p.PingAfter, DefaultPingAfter) }
func (p *Pool) controlPingAfter() time.Duration {
	return orDefault(p.ControlPingAfter, DefaultControlPingAfter)
}
func (p *Pool) pingTimeout() time.Duration { return orDefault(p.PingTimeout, DefaultPingTimeout) }
func (p *Pool) livenessWindow() time.Duration {
	return orDefault(p.LivenessWindow, DefaultLivenessWindow)
}

// idleStreamLimit returns how many streams a session keeps for reuse.
func (p *Pool) idleStreamLimit() int {
	if p.maxIdleStreams == 0 {
		return defaultMaxIdleStreams
	}
	return p.maxIdleStreams
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
