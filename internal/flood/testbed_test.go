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
	// startTimeout bounds the start of a testbed and any wait for a condition.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the stop of a node at the end of a test.
	stopTimeout = 3 * time.Second
)

// memoryWindow is how long a key is kept in memory, and how long after its start
// the owner of a key can't tell whether it ran before.
const memoryWindow = 6 * time.Second

// settings define two services: "desk" stores idempotency keys in the platform and
// "memo" in memory. Calls to /plain must not be repeated, and their keys are ignored.
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

// testbedConfig describes a testbed.
type testbedConfig struct {
	hosts []hostSpec
	// slots and serviceTime apply to each upstream.
	slots       int
	serviceTime time.Duration
	// settings replace the default settings unless empty.
	settings string
	// direct leaves out the links within a region and to callers and the platform,
	// for measurements.
	direct bool
	// regionLatency is the one-way latency between regions.
	regionLatency time.Duration
	// regionRate bounds the link between regions, in bytes a second; zero means no
	// bound.
	regionRate int
}

// hostSpec is the location of a host and the service of its upstream; an empty
// service means no upstream.
type hostSpec struct {
	zone    mesh.Zone
	region  mesh.Region
	service mesh.Service
}

// host is a running host: its node and upstream, with the links to them.
type host struct {
	spec     hostSpec
	node     *node.Node
	upstream *fakeup.Upstream
	// callerLink carries connections from callers to the node, and platformLink
	// those from the node to the platform; nil in a direct testbed.
	callerLink, platformLink *faulty.Link
	// stopped is true after the node was killed or stopped.
	stopped bool
}

// testbed is a small mesh that runs in the test's process, with real sockets.
type testbed struct {
	testing.TB
	config   testbedConfig
	platform objapi.Server
	hosts    []*host
	// regionBandwidth is shared by the links between regions.
	regionBandwidth faulty.Bandwidth

	mutex sync.Mutex
	// links holds the links between nodes; guarded by mutex.
	links map[linkKey]*faulty.Link
	// hostsByAddr is keyed by the nodes' addresses; guarded by mutex.
	hostsByAddr map[netip.AddrPort]*host
	// killed holds hosts that get no connections to or from others; guarded by
	// mutex.
	killed map[*host]bool
}

// linkKey identifies the link from a host to another host's node.
type linkKey struct {
	from *host
	to   netip.AddrPort
}

func newTestbed(t testing.TB, config testbedConfig) *testbed {
	t.Helper()
	tb := &testbed{
		TB: t, config: config, links: make(map[linkKey]*faulty.Link),
		hostsByAddr: make(map[netip.AddrPort]*host), killed: make(map[*host]bool),
	}
	tb.regionBandwidth.SetRate(config.regionRate)
	t.Cleanup(tb.stop)
	assert.NilError(t, tb.platform.Start(loopback()))
	for _, spec := range config.hosts {
		tb.addHost(spec)
	}
	tb.applySettings()
	tb.waitUpstreamsKnown()
	return tb
}

func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// addHost starts another host.
func (b *testbed) addHost(spec hostSpec) *host {
	b.Helper()
	h := &host{spec: spec}
	settings := conf.Default()
	settings.Host = mesh.HostID(fmt.Sprintf("%s-%d", spec.zone, len(b.hosts)))
	settings.Region, settings.Zone = spec.region, spec.zone
	settings.Listen = conf.Listen{Callers: loopback(), Nodes: loopback(), Admin: loopback()}
	settings.Customer, settings.Relays = customer, 2
	settings.Timing.Heartbeat, settings.Timing.Lease = time.Second, 4*time.Second
	settings.Limits.PlatformRate, settings.Limits.ClaimRate = 50, 100
	settings.Limits.LinkRate = 1 << 30
	settings.Platform = b.platform.Addr()
	if !b.config.direct {
		h.platformLink = b.startLink(&faulty.Link{Target: settings.Platform})
		settings.Platform = h.platformLink.Addr()
	}
	var err error
	h.node, err = node.StartWithOptions(settings, zerolog.Nop(), node.Options{Dialer: &dialer{testbed: b, from: h}})
	assert.NilError(b, err)
	b.mutex.Lock()
	b.hosts = append(b.hosts, h)
	b.hostsByAddr[h.node.NodeAddr()] = h
	b.mutex.Unlock()
	if !b.config.direct {
		h.callerLink = b.startLink(&faulty.Link{Target: h.node.CallerAddr()})
	}
	if spec.service != "" {
		h.upstream = fakeup.New(fakeup.Options{
			Customer: customer, Service: spec.service, Node: h.node.AdminAddr(),
			Slots: b.config.slots, ServiceTime: b.config.serviceTime,
		})
		assert.NilError(b, h.upstream.Start(context.WithoutCancel(b.Context())))
	}
	return h
}

func (b *testbed) startLink(link *faulty.Link) *faulty.Link {
	assert.NilError(b, link.Start())
	b.Cleanup(link.Stop)
	return link
}

// applySettings submits the settings and waits until they are in force at every
// node. Acceptance alone is not enough: calls before then are refused.
func (b *testbed) applySettings() {
	b.Helper()
	text := b.config.settings
	if text == "" {
		text = settings
	}
	document, err := sheet.ParseYAML([]byte(text))
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(b.Context(), startTimeout)
	defer cancel()
	version, err := b.hosts[0].node.Submit(ctx, tree.Change{ID: "first", Author: "test", Edits: document.Edits})
	assert.NilError(b, err)
	b.waitAll(func(h *host) error {
		if held := h.node.Status().Version; held < version {
			return fmt.Errorf("version %d is in force, want %d", held, version)
		}
		return nil
	})
}

// waitUpstreamsKnown waits until every running node knows all running upstreams; it
// may still know killed ones.
func (b *testbed) waitUpstreamsKnown() {
	b.Helper()
	running := make(map[mesh.Service]int)
	for _, h := range b.hosts {
		if !h.stopped && h.spec.service != "" {
			running[h.spec.service]++
		}
	}
	b.waitAll(func(h *host) error {
		for service, want := range running {
			if known := h.node.CandidateCount(mesh.ServiceID{Customer: customer, Service: service}); known < want {
				return fmt.Errorf("%d of %d upstreams of %s known", known, want, service)
			}
		}
		return nil
	})
}

// waitAll waits until the condition holds at every running node.
func (b *testbed) waitAll(condition func(h *host) error) {
	b.Helper()
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		for _, h := range b.hosts {
			if h.stopped {
				continue
			}
			if err := condition(h); err != nil {
				return poll.Continue("%s: %v", h.node.Status().Host, err)
			}
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(startTimeout))
}

// callerAddr returns the address that callers connect to.
func (h *host) callerAddr() netip.AddrPort {
	if h.callerLink == nil {
		return h.node.CallerAddr()
	}
	return h.callerLink.Addr()
}

// kill isolates a host's node as if its process had died: it breaks every connection,
// refuses new ones and notifies nobody. The node itself goes on running in this
// process, so it may do more than a dead one could.
func (b *testbed) kill(h *host) {
	h.stopped = true
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.killed[h] = true
	_ = h.callerLink.Cut(true)
	_ = h.platformLink.Cut(true)
	for key, l := range b.links {
		if key.from == h || b.hostsByAddr[key.to] == h {
			_ = l.Cut(true)
		}
	}
}

// reconnect lets a killed host's node reach the others again, so that it can stop
// gracefully.
func (b *testbed) reconnect(h *host) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.killed, h)
	_ = h.platformLink.Cut(false)
	for key, l := range b.links {
		if key.from == h || b.hostsByAddr[key.to] == h {
			_ = l.Cut(false)
		}
	}
}

// stop stops all nodes, upstreams and links, and the platform.
func (b *testbed) stop() {
	for _, h := range b.hosts {
		if h.stopped && b.killed[h] {
			b.reconnect(h)
		}
	}
	var stopping sync.WaitGroup
	for _, h := range b.hosts {
		stopping.Go(func() {
			if h.upstream != nil {
				h.upstream.Kill()
			}
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			h.node.Drain()
			_ = h.node.WaitStopped(ctx)
			_ = h.node.Stop(ctx)
		})
	}
	stopping.Wait()
	_ = b.platform.Stop(context.Background())
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, l := range b.links {
		l.Stop()
	}
}

// runs returns how often each key ran, over all upstreams.
func (b *testbed) runs() (runs map[string]int) {
	runs = make(map[string]int)
	for _, h := range b.hosts {
		if h.upstream == nil {
			continue
		}
		for _, run := range h.upstream.Runs() {
			runs[run.Key] += run.Count
		}
	}
	return runs
}

// dialer connects a host's node to others through links.
type dialer struct {
	testbed *testbed
	from    *host
}

// Dial implements peer.Dialer.
func (d *dialer) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	link, err := d.testbed.linkTo(d.from, to)
	if err != nil {
		return nil, err
	}
	if link != nil {
		to = link.Addr()
	}
	var plain net.Dialer
	return plain.DialContext(ctx, "tcp", to.String())
}

// linkTo returns the link from a host to another host's node, nil for a direct
// connection.
func (b *testbed) linkTo(from *host, to netip.AddrPort) (link *faulty.Link, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	target := b.hostsByAddr[to]
	if target == nil || b.killed[from] || b.killed[target] {
		return nil, net.ErrClosed
	}
	remote := target.spec.region != from.spec.region
	if b.config.direct && !remote {
		return nil, nil
	}
	if link = b.links[linkKey{from, to}]; link != nil {
		return link, nil
	}
	link = &faulty.Link{Target: to}
	if remote {
		link.Bandwidth = &b.regionBandwidth
		link.SetLatency(b.config.regionLatency)
	}
	b.links[linkKey{from, to}] = link
	return link, link.Start()
}
