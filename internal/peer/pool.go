package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// The times that a Pool uses where its fields are zero.
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

// Pool keeps one session to each node that is called. The zero Pool is ready
// to use; its fields must not change once it is used.
type Pool struct {
	// Dialer connects to nodes; nil means plain TCP.
	Dialer Dialer
	// DialTimeout bounds one dial.
	DialTimeout time.Duration
	// IdleTimeout is how long a session without work is kept.
	IdleTimeout time.Duration
	// PingAfter is how long a session on which calls wait may be silent before it
	// is pinged; ControlPingAfter is the same for one with control streams only.
	PingAfter        time.Duration
	ControlPingAfter time.Duration
	// PingTimeout is how long an answer to a ping may take.
	PingTimeout time.Duration
	// LivenessWindow is how long ago a session must have been heard from to carry
	// a call that is not idempotent without a ping first.
	LivenessWindow time.Duration

	// streams bounds those that a session keeps; zero means maxIdleStreams and
	// less means none.
	streams int

	calls atomic.Uint64
	work  sync.WaitGroup

	mutex   sync.Mutex
	remotes map[netip.AddrPort]*remote
	// ctx ends when the pool is closed; nil until first use.
	ctx     context.Context
	cancel  context.CancelFunc
	closed  bool
	sweeper *time.Timer
}

// Bytes counts what was sent and received.
type Bytes struct {
	Sent     uint64
	Received uint64
}

// RemoteStats counts the bytes between this node and another.
type RemoteStats struct {
	Node netip.AddrPort
	// Control counts the frames of control streams; Traffic counts the rest,
	// with the overhead of the sessions.
	Control Bytes
	Traffic Bytes
	// Sessions counts the open ones.
	Sessions int
}

// counter is Bytes for concurrent use.
type counter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

func (c *counter) load() Bytes {
	return Bytes{Sent: c.sent.Load(), Received: c.received.Load()}
}

// tcpDialer dials plain TCP.
type tcpDialer struct{}

// Dial implements Dialer.
func (tcpDialer) Dial(ctx context.Context, node netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", node.String())
}

// Close closes every session; calls that wait end as unknown.
func (p *Pool) Close() {
	p.mutex.Lock()
	p.closed = true
	if p.cancel != nil {
		p.cancel()
		p.sweeper.Stop()
	}
	p.mutex.Unlock()
	p.work.Wait()
	for _, r := range p.all() {
		for _, s := range r.sessions() {
			s.close(ErrClosed)
		}
	}
}

// Stats returns the counters of every node that was called.
func (p *Pool) Stats() (stats []RemoteStats) {
	for _, r := range p.all() {
		stats = append(stats, r.stats())
	}
	return stats
}

func (p *Pool) all() (remotes []*remote) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	remotes = make([]*remote, 0, len(p.remotes))
	for _, r := range p.remotes {
		remotes = append(remotes, r)
	}
	return remotes
}

func (p *Pool) remoteOf(node netip.AddrPort) (r *remote, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if p.ctx == nil {
		p.ctx, p.cancel = context.WithCancel(context.Background())
		p.remotes = make(map[netip.AddrPort]*remote)
		p.sweeper = time.AfterFunc(p.idleAfter()/2, p.sweep)
	}
	r = p.remotes[node]
	if r == nil {
		r = &remote{node: node, open: make(map[*session]struct{})}
		p.remotes[node] = r
	}
	return r, nil
}

// sweep closes the sessions that have had no work for long.
func (p *Pool) sweep() {
	then := time.Now().Add(-p.idleAfter())
	for _, r := range p.all() {
		for _, s := range r.sessions() {
			if s.idleSince(then) || s.mux.IsClosed() {
				s.setAside()
			}
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.closed {
		p.sweeper.Reset(p.idleAfter() / 2)
	}
}

func (p *Pool) base() context.Context {
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
func (p *Pool) idleAfter() time.Duration   { return orDefault(p.IdleTimeout, DefaultIdleTimeout) }
func (p *Pool) quiet() time.Duration       { return orDefault(p.PingAfter, DefaultPingAfter) }
func (p *Pool) controlQuiet() time.Duration {
	return orDefault(p.ControlPingAfter, DefaultControlPingAfter)
}
func (p *Pool) pingTimeout() time.Duration { return orDefault(p.PingTimeout, DefaultPingTimeout) }
func (p *Pool) freshFor() time.Duration    { return orDefault(p.LivenessWindow, DefaultLivenessWindow) }

// keepStreams returns how many streams a session keeps for reuse.
func (p *Pool) keepStreams() int {
	if p.streams == 0 {
		return maxIdleStreams
	}
	return p.streams
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}
