package flood_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/fakeup"
	"arbutusstep.example/arbutusstep/internal/faulty"
	"arbutusstep.example/arbutusstep/internal/node"
	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

const (
	customer = "acme"
	// startTime bounds the start of a bed, and any wait for its state.
	startTime = 30 * time.Second
	// stopTime bounds the stop of a node at the end of a bed.
	stopTime = 3 * time.Second
)

// memoryWindow is for how long a key is kept in memory, and for how long after its
// start an owner knows of no key whether it ran.
const memoryWindow = 6 * time.Second

// settings lead to two services: "desk" keeps keys in the platform and "memo"
// in memory. Calls to /plain may not be repeated and have no key that counts.
const settings = `
customers:
  acme:
    settings:
      timeout: 10s
      floors: {low: 5, normal: 10, high: 20, urgent: 0}
      once: {window: 1m}
      routes:
        pages: {path: /pages, methods: [GET], service: desk}
        orders: {path: /orders, methods: POST, service: desk, once: "true"}
        plain: {path: /plain, methods: POST, service: desk}
        notes: {path: /notes, methods: POST, service: memo, once: "true"}
    regions:
      west:
        services:
          desk: {settings: {description: keys in the platform}}
          memo: {settings: {description: keys in memory, once: {store: memory, window: 6s}}}
      east:
        services:
          desk: {settings: {description: keys in the platform}}
          memo: {settings: {description: keys in memory, once: {store: memory, window: 6s}}}
`

// shape is what a bed is made of.
type shape struct {
	// hosts lists the upstream hosts.
	hosts []place
	// slots and serviceTime are those of each upstream.
	slots       int
	serviceTime time.Duration
	// settings replace the bed's own unless empty.
	settings string
	// direct leaves out the links, for measurements.
	direct bool
	// latency is that of the link between regions, each way.
	latency time.Duration
	// rate bounds the link between regions, in bytes a second; zero does not.
	rate int
}

// place is where one host stands and what its upstream serves.
type place struct {
	zone    mesh.Zone
	region  mesh.Region
	service mesh.Service
}

// site is one host: its node and its upstream, with the links to them.
type site struct {
	place    place
	node     *node.Node
	upstream *fakeup.Upstream
	// callers and platform are what stands between the node and its callers
	// and the platform; nil in a direct bed.
	callers, platform *faulty.Link
	// stopped is true once the node was killed or stopped.
	stopped bool
}

// bed is a small mesh in one process, with real sockets.
type bed struct {
	testing.TB
	shape    shape
	platform objapi.Server
	sites    []*site
	// region is shared by the links between regions.
	region faulty.Bandwidth

	mutex sync.Mutex
	// links holds the links between nodes; guarded by mutex.
	links map[hop]*faulty.Link
	// owners names the sites by their nodes' addresses; guarded by mutex.
	owners map[netip.AddrPort]*site
	// dead refuses connections from and to a site; guarded by mutex.
	dead map[*site]bool
}

// hop is the way from one site to another's node.
type hop struct {
	from *site
	to   netip.AddrPort
}

func newBed(t testing.TB, shape shape) *bed {
	t.Helper()
	b := &bed{
		TB: t, shape: shape, links: make(map[hop]*faulty.Link),
		owners: make(map[netip.AddrPort]*site), dead: make(map[*site]bool),
	}
	b.region.SetRate(shape.rate)
	t.Cleanup(b.stop)
	assert.NilError(t, b.platform.Start(loopback()))
	for _, p := range shape.hosts {
		b.add(p)
	}
	b.configure()
	b.ready()
	return b
}

func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// add starts one more host.
func (b *bed) add(p place) *site {
	b.Helper()
	s := &site{place: p}
	c := conf.Default()
	c.Host = mesh.HostID(fmt.Sprintf("%s-%d", p.zone, len(b.sites)))
	c.Region, c.Zone = p.region, p.zone
	c.Listen = conf.Listen{Callers: loopback(), Nodes: loopback(), Admin: loopback()}
	c.Customer, c.Relays = customer, 2
	c.Timing.Heartbeat, c.Timing.Lease = time.Second, 4*time.Second
	c.Limits.PlatformRate, c.Limits.ClaimRate = 50, 100
	c.Limits.LinkRate = 1 << 30
	c.Platform = b.platform.Addr()
	if !b.shape.direct {
		s.platform = b.link(&faulty.Link{Target: c.Platform})
		c.Platform = s.platform.Addr()
	}
	var err error
	s.node, err = node.StartWith(c, zerolog.Nop(), node.Options{Dialer: &dialer{bed: b, from: s}})
	assert.NilError(b, err)
	b.mutex.Lock()
	b.sites = append(b.sites, s)
	b.owners[s.node.NodeAddr()] = s
	b.mutex.Unlock()
	if !b.shape.direct {
		s.callers = b.link(&faulty.Link{Target: s.node.CallerAddr()})
	}
	if p.service != "" {
		s.upstream = fakeup.New(fakeup.Options{
			Customer: customer, Service: p.service, Node: s.node.AdminAddr(),
			Slots: b.shape.slots, ServiceTime: b.shape.serviceTime,
		})
		assert.NilError(b, s.upstream.Start(context.WithoutCancel(b.Context())))
	}
	return s
}

func (b *bed) link(link *faulty.Link) *faulty.Link {
	assert.NilError(b, link.Start())
	b.Cleanup(link.Stop)
	return link
}

// configure accepts the settings and waits until they are in force at every node:
// acceptance alone does not say that, and calls before then are refused.
func (b *bed) configure() {
	b.Helper()
	text := b.shape.settings
	if text == "" {
		text = settings
	}
	document, err := sheet.ParseYAML([]byte(text))
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(b.Context(), startTime)
	defer cancel()
	version, err := b.sites[0].node.Submit(ctx, tree.Change{ID: "first", Author: "test", Edits: document.Edits})
	assert.NilError(b, err)
	b.until(func(s *site) error {
		if held := s.node.Status().Version; held < version {
			return fmt.Errorf("version %d is in force, want %d", held, version)
		}
		return nil
	})
}

// ready waits until every running node knows every running upstream; it may know
// killed ones still.
func (b *bed) ready() {
	b.Helper()
	want := make(map[mesh.Service]int)
	for _, s := range b.sites {
		if !s.stopped && s.place.service != "" {
			want[s.place.service]++
		}
	}
	b.until(func(s *site) error {
		for service, n := range want {
			if known := s.node.KnownUpstreams(mesh.ServiceID{Customer: customer, Service: service}); known < n {
				return fmt.Errorf("%d of %d upstreams of %s known", known, n, service)
			}
		}
		return nil
	})
}

// until waits until the condition holds at every running node.
func (b *bed) until(holds func(s *site) error) {
	b.Helper()
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		for _, s := range b.sites {
			if s.stopped {
				continue
			}
			if err := holds(s); err != nil {
				return poll.Continue("%s: %v", s.node.Status().Host, err)
			}
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(startTime))
}

// addr is where callers reach the site.
func (s *site) addr() netip.AddrPort {
	if s.callers == nil {
		return s.node.CallerAddr()
	}
	return s.callers.Addr()
}

// kill cuts a site's node off from everyone at once, as when its process dies:
// every connection breaks, none is taken, and nobody is told. What the node still
// does by itself comes on top of what a dead process could do.
func (b *bed) kill(s *site) {
	s.stopped = true
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dead[s] = true
	_ = s.callers.Cut(true)
	_ = s.platform.Cut(true)
	for h, l := range b.links {
		if h.from == s || b.owners[h.to] == s {
			_ = l.Cut(true)
		}
	}
}

// revive lets a killed site's node reach the others again, so that it ends in
// good order.
func (b *bed) revive(s *site) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.dead, s)
	_ = s.platform.Cut(false)
	for h, l := range b.links {
		if h.from == s || b.owners[h.to] == s {
			_ = l.Cut(false)
		}
	}
}

// stop ends everything.
func (b *bed) stop() {
	for _, s := range b.sites {
		if s.stopped && b.dead[s] {
			b.revive(s)
		}
	}
	var ending sync.WaitGroup
	for _, s := range b.sites {
		ending.Go(func() {
			if s.upstream != nil {
				s.upstream.Kill()
			}
			ctx, cancel := context.WithTimeout(context.Background(), stopTime)
			defer cancel()
			s.node.Drain()
			_ = s.node.Stopped(ctx)
			_ = s.node.Stop(ctx)
		})
	}
	ending.Wait()
	_ = b.platform.Stop(context.Background())
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, l := range b.links {
		l.Stop()
	}
}

// runs sums how often each key ran, over all upstreams.
func (b *bed) runs() (runs map[string]int) {
	runs = make(map[string]int)
	for _, s := range b.sites {
		if s.upstream == nil {
			continue
		}
		for _, r := range s.upstream.Runs() {
			runs[r.Key] += r.Count
		}
	}
	return runs
}

// dialer connects one site's node to others through links.
type dialer struct {
	bed  *bed
	from *site
}

// Dial implements peer.Dialer.
func (d *dialer) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	link, err := d.bed.between(d.from, to)
	if err != nil {
		return nil, err
	}
	if link != nil {
		to = link.Addr()
	}
	var plain net.Dialer
	return plain.DialContext(ctx, "tcp", to.String())
}

// between returns the link from a site to a node, nil for none.
func (b *bed) between(from *site, to netip.AddrPort) (link *faulty.Link, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	far := b.owners[to]
	if far == nil || b.dead[from] || b.dead[far] {
		return nil, net.ErrClosed
	}
	remote := far.place.region != from.place.region
	if b.shape.direct && !remote {
		return nil, nil
	}
	if link = b.links[hop{from, to}]; link != nil {
		return link, nil
	}
	link = &faulty.Link{Target: to}
	if remote {
		link.Bandwidth = &b.region
		link.SetLatency(b.shape.latency)
	}
	b.links[hop{from, to}] = link
	return link, link.Start()
}
