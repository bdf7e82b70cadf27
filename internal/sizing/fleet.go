package sizing

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutusstep.example/arbutusstep/internal/fakeup"
	"arbutusstep.example/arbutusstep/internal/faulty"
	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

const (
	// startTimeout bounds the start of a fleet.
	startTimeout = 90 * time.Second
	// convergenceTimeout bounds the time until a change is in force at every node.
	convergenceTimeout = 30 * time.Second
	// settleDelay is how long a fleet runs before it is measured, so that relays and
	// leads no longer change.
	settleDelay = 20 * time.Second
	// pollInterval is the polling interval of a node's status.
	pollInterval = 10 * time.Millisecond
)

// The ports of the processes are below the kernel's ephemeral range, so that no
// client connection takes the port of a process while it restarts.
const (
	firstPort = 21000
	lastPort  = 32000
)

// nextPort is the offset from firstPort of the port to try next.
var nextPort atomic.Uint32

var errNoPort = errors.New("no free port")

// fleetShape is the size of a fleet and how it is divided.
type fleetShape struct {
	nodes, zones, regions int
	// relays is the number of relay slots in each zone.
	relays int
	// services is the number of services; they are assigned to the nodes in turn.
	services int
}

// host is a host: the process of its node, and its upstream, which runs in this
// process.
type host struct {
	id       mesh.HostID
	place    mesh.Place
	service  mesh.ServiceID
	platform netip.AddrPort
	relays   int

	callerAddr, nodeAddr, adminAddr netip.AddrPort
	settingsFile, logFile           string

	process  *process
	upstream *fakeup.Upstream
	// status is the node's last reported status.
	status forms.Status
}

// fleet is a running platform with its nodes.
type fleet struct {
	fleetShape
	options  Options
	api      *api
	platform netip.AddrPort
	server   *process
	// lastRegionLink carries the connections between the nodes of the last region and
	// the platform, to count their bytes.
	lastRegionLink faulty.Link
	hosts          []*host
	// version is the newest accepted version.
	version mesh.Version
	// submitted counts the submitted changes.
	submitted int
}

// freePort returns a free address of the loopback interface.
func freePort() (address netip.AddrPort, err error) {
	for range lastPort - firstPort {
		port := firstPort + (nextPort.Add(1)-1)%(lastPort-firstPort)
		address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return address, errNoPort
}

// newFleet starts the platform and prepares the hosts without starting them.
func newFleet(ctx context.Context, options Options, size fleetShape) (f *fleet, err error) {
	f = &fleet{fleetShape: size, options: options, api: newAPI()}
	if f.platform, err = freePort(); err != nil {
		return nil, err
	}
	log := filepath.Join(options.Directory, "platform.log")
	if f.server, err = startProcess(options.Binary, log, "platform", "--listen", f.platform.String()); err != nil {
		return nil, err
	}
	f.lastRegionLink.Target = f.platform
	if err = errors.Join(f.lastRegionLink.Start(), f.prepareHosts()); err != nil {
		f.stop()
		return nil, err
	}
	err = f.waitFor(ctx, startTimeout, "the platform answers", func(ctx context.Context) bool {
		_, statsErr := f.api.stats(ctx, f.platform)
		return statsErr == nil
	})
	if err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) prepareHosts() (err error) {
	for i := range f.nodes {
		record := upstreamRecord(i, f.services, f.regions, f.zones)
		h := &host{id: record.Host, place: record.Place, service: record.ID, relays: f.relays, platform: f.platform}
		if f.regions > 1 && record.Place.Region == regionOf(f.regions-1) {
			h.platform = f.lastRegionLink.Addr()
		}
		if err = h.prepare(f.options.Directory); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return nil
}

// prepare chooses the ports and writes the settings file of the node.
func (h *host) prepare(directory string) (err error) {
	for _, a := range []*netip.AddrPort{&h.callerAddr, &h.nodeAddr, &h.adminAddr} {
		if *a, err = freePort(); err != nil {
			return err
		}
	}
	h.settingsFile = filepath.Join(directory, string(h.id)+".yaml")
	h.logFile = filepath.Join(directory, string(h.id)+".log")
	text := fmt.Sprintf(`host: %s
region: %s
zone: %s
listen: {callers: %q, nodes: %q, admin: %q}
platform: %q
customer: %s
relays: %d
`, h.id, h.place.Region, h.place.Zone, h.callerAddr, h.nodeAddr, h.adminAddr, h.platform, h.service.Customer, h.relays)
	return os.WriteFile(h.settingsFile, []byte(text), 0o600)
}

// start starts the node, and the upstream unless it runs already.
func (h *host) start(binary string) (err error) {
	if h.process, err = startProcess(binary, h.logFile, "node", "--config", h.settingsFile); err != nil {
		return err
	}
	if h.upstream != nil {
		return nil
	}
	h.upstream = fakeup.New(fakeup.Options{
		Customer: h.service.Customer, Service: h.service.Service, Node: h.adminAddr, Slots: 9, MaxConnections: 110,
	})
	return h.upstream.Start(context.Background())
}

// start starts all hosts at once, submits the generated settings and waits until
// they are in force.
func (f *fleet) start(ctx context.Context) (err error) {
	for _, h := range f.hosts {
		if err = h.start(f.options.Binary); err != nil {
			return err
		}
	}
	if err = f.waitAll(ctx, startTimeout, "nodes ready", func(s forms.Status) bool { return s.UpstreamState == "ready" }); err != nil {
		return err
	}
	for i, edits := range generateChanges(f.services, f.regions) {
		operator, err := f.anyRelay(ctx, i)
		if err != nil {
			return err
		}
		if err = f.submit(ctx, operator, edits); err != nil {
			return err
		}
		// The next change is based on this one, so the relay must have it in force.
		if _, err = f.timeUntil(ctx, startTimeout, "settings in force", []*host{operator}, f.upToDate); err != nil {
			return err
		}
	}
	return f.waitAll(ctx, startTimeout, "generated settings in force", f.upToDate)
}

// anyRelay waits for a relay and returns it. It starts looking at another host in
// each turn.
func (f *fleet) anyRelay(ctx context.Context, turn int) (relay *host, err error) {
	err = f.waitFor(ctx, startTimeout, "a node is a relay", func(ctx context.Context) bool {
		for i := range f.hosts {
			h := f.hosts[(turn+i)%len(f.hosts)]
			status, statusErr := f.api.status(ctx, h.adminAddr)
			if statusErr == nil && status.Relay {
				relay = h
				return true
			}
		}
		return false
	})
	return relay, err
}

// upToDate reports whether a node has the newest version in force and its upstream
// is ready.
func (f *fleet) upToDate(s forms.Status) bool {
	return s.Version >= f.version && s.UpstreamState == "ready"
}

// submit submits a change at the host's node.
func (f *fleet) submit(ctx context.Context, h *host, edits []tree.Edit) (err error) {
	f.submitted++
	change := newChange(fmt.Sprintf("change-%d", f.submitted), f.version, edits)
	version, err := f.api.submit(ctx, h.adminAddr, change)
	if err != nil {
		return err
	}
	f.version = version
	return nil
}

// waitAll waits until the condition holds at every node.
func (f *fleet) waitAll(ctx context.Context, timeout time.Duration, description string, condition func(s forms.Status) bool) (err error) {
	_, err = f.timeUntil(ctx, timeout, description, f.hosts, condition)
	return err
}

// timeUntil returns how long it took until the condition held at each of the hosts.
func (f *fleet) timeUntil(
	ctx context.Context, timeout time.Duration, description string, hosts []*host, condition func(s forms.Status) bool,
) (durations []time.Duration, err error) {
	start := time.Now()
	durations = make([]time.Duration, len(hosts))
	var group errgroup.Group
	for i, h := range hosts {
		group.Go(func() error {
			err := f.waitFor(ctx, timeout, fmt.Sprintf("%s at %s", description, h.id), func(ctx context.Context) bool {
				status, err := f.api.status(ctx, h.adminAddr)
				h.status = status
				return err == nil && condition(status)
			})
			durations[i] = time.Since(start)
			return err
		})
	}
	return durations, group.Wait()
}

// waitFor waits until the condition holds. It fails after the timeout.
func (f *fleet) waitFor(ctx context.Context, timeout time.Duration, description string, condition func(ctx context.Context) bool) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("timeout after %s: %s", timeout, description)
		case <-ticker.C:
		}
	}
	return nil
}

// stop stops the hosts, the platform and the link.
func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, h := range f.hosts {
		group.Go(func() {
			if h.upstream != nil {
				_ = h.upstream.Stop(ctx)
			}
			if h.process != nil {
				h.process.kill()
			}
		})
	}
	group.Wait()
	f.lastRegionLink.Stop()
	f.server.stop(ctx)
	f.api.close()
}
