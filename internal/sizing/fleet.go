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
	// startTime bounds the start of a fleet.
	startTime = 90 * time.Second
	// convergeTime bounds a change's way to every node.
	convergeTime = 30 * time.Second
	// settleTime lets the roles of a fleet come to rest.
	settleTime = 20 * time.Second
	// pollTime is the time between two looks at a node while a change spreads.
	pollTime = 10 * time.Millisecond
)

// Ports of the processes lie below those that the kernel gives to clients, so
// that a restarted process finds its own free.
const (
	firstPort = 21000
	lastPort  = 32000
)

// nextPort is the port tried next.
var nextPort atomic.Uint32

var errNoPort = errors.New("no free port")

// shape is the shape of a fleet.
type shape struct {
	nodes, zones, regions int
	// relays is the count of relay slots in each zone.
	relays int
	// services is the count of services, spread over the nodes in turn.
	services int
}

// site is one host: its node's process and its upstream, which this process plays.
type site struct {
	host     mesh.HostID
	place    mesh.Place
	service  mesh.ServiceID
	platform netip.AddrPort
	relays   int

	callers, nodes, admin netip.AddrPort
	settings, log         string

	process  *process
	upstream *fakeup.Upstream
	// status is what the node last said of itself.
	status forms.Status
}

// fleet is a running platform with its nodes.
type fleet struct {
	shape
	options  Options
	api      *api
	platform netip.AddrPort
	server   *process
	// far carries what the last region's nodes exchange with the platform.
	far   faulty.Link
	sites []*site
	// version is the newest accepted one.
	version mesh.Version
	// submitted counts the changes.
	submitted int
}

// freePort returns an address of loopback that is free.
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

// newFleet starts the platform and prepares the sites, which are not started.
func newFleet(ctx context.Context, options Options, s shape) (f *fleet, err error) {
	f = &fleet{shape: s, options: options, api: newAPI()}
	if f.platform, err = freePort(); err != nil {
		return nil, err
	}
	log := filepath.Join(options.Directory, "platform.log")
	if f.server, err = startProcess(options.Binary, log, "platform", "--listen", f.platform.String()); err != nil {
		return nil, err
	}
	f.far.Target = f.platform
	if err = errors.Join(f.far.Start(), f.prepareSites()); err != nil {
		f.stop()
		return nil, err
	}
	err = f.until(ctx, startTime, "the platform answers", func(ctx context.Context) bool {
		_, statsErr := f.api.stats(ctx, f.platform)
		return statsErr == nil
	})
	if err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) prepareSites() (err error) {
	for i := range f.nodes {
		r := recordOf(i, f.services, f.regions, f.zones)
		t := &site{host: r.Host, place: r.Place, service: r.ID, relays: f.relays, platform: f.platform}
		if f.regions > 1 && r.Place.Region == regionOf(f.regions-1) {
			t.platform = f.far.Addr()
		}
		if err = t.prepare(f.options.Directory); err != nil {
			return err
		}
		f.sites = append(f.sites, t)
	}
	return nil
}

// prepare chooses the ports and writes the settings of the node.
func (t *site) prepare(directory string) (err error) {
	for _, a := range []*netip.AddrPort{&t.callers, &t.nodes, &t.admin} {
		if *a, err = freePort(); err != nil {
			return err
		}
	}
	t.settings = filepath.Join(directory, string(t.host)+".yaml")
	t.log = filepath.Join(directory, string(t.host)+".log")
	text := fmt.Sprintf(`host: %s
region: %s
zone: %s
listen: {callers: %q, nodes: %q, admin: %q}
platform: %q
customer: %s
relays: %d
`, t.host, t.place.Region, t.place.Zone, t.callers, t.nodes, t.admin, t.platform, t.service.Customer, t.relays)
	return os.WriteFile(t.settings, []byte(text), 0o600)
}

// start starts the node, and the upstream when that does not run yet.
func (t *site) start(binary string) (err error) {
	if t.process, err = startProcess(binary, t.log, "node", "--config", t.settings); err != nil {
		return err
	}
	if t.upstream != nil {
		return nil
	}
	t.upstream = fakeup.New(fakeup.Options{
		Customer: t.service.Customer, Service: t.service.Service, Node: t.admin, Slots: 9, MaxConnections: 110,
	})
	return t.upstream.Start(context.Background())
}

// start starts every site at once and brings the first settings in force.
func (f *fleet) start(ctx context.Context) (err error) {
	for _, t := range f.sites {
		if err = t.start(f.options.Binary); err != nil {
			return err
		}
	}
	if err = f.untilAll(ctx, startTime, "nodes serve", func(s forms.Status) bool { return s.UpstreamState == "ready" }); err != nil {
		return err
	}
	for i, edits := range changes(f.services, f.regions) {
		operator, err := f.anyRelay(ctx, i)
		if err != nil {
			return err
		}
		if err = f.submit(ctx, operator, edits); err != nil {
			return err
		}
		// The next change builds on what the relay holds by then.
		if _, err = f.times(ctx, startTime, "settings in force", []*site{operator}, f.current); err != nil {
			return err
		}
	}
	return f.untilAll(ctx, startTime, "first settings in force", f.current)
}

// anyRelay waits for a relay and returns it, another one in each turn if there
// are several.
func (f *fleet) anyRelay(ctx context.Context, turn int) (relay *site, err error) {
	err = f.until(ctx, startTime, "a node is a relay", func(ctx context.Context) bool {
		for i := range f.sites {
			t := f.sites[(turn+i)%len(f.sites)]
			status, statusErr := f.api.status(ctx, t.admin)
			if statusErr == nil && status.Relay {
				relay = t
				return true
			}
		}
		return false
	})
	return relay, err
}

// current reports whether a node has the newest version in force.
func (f *fleet) current(s forms.Status) bool {
	return s.Version >= f.version && s.UpstreamState == "ready"
}

// submit submits a change at the site's node.
func (f *fleet) submit(ctx context.Context, at *site, edits []tree.Edit) (err error) {
	f.submitted++
	change := changeOf(fmt.Sprintf("change-%d", f.submitted), f.version, edits)
	version, err := f.api.submit(ctx, at.admin, change)
	if err != nil {
		return err
	}
	f.version = version
	return nil
}

// untilAll waits until the condition holds at every site's node.
func (f *fleet) untilAll(ctx context.Context, bound time.Duration, what string, holds func(s forms.Status) bool) (err error) {
	_, err = f.times(ctx, bound, what, f.sites, holds)
	return err
}

// times returns how long it took until the condition held at each of the sites.
func (f *fleet) times(
	ctx context.Context, bound time.Duration, what string, sites []*site, holds func(s forms.Status) bool,
) (taken []time.Duration, err error) {
	start := time.Now()
	taken = make([]time.Duration, len(sites))
	var group errgroup.Group
	for i, t := range sites {
		group.Go(func() error {
			err := f.until(ctx, bound, fmt.Sprintf("%s at %s", what, t.host), func(ctx context.Context) bool {
				status, err := f.api.status(ctx, t.admin)
				t.status = status
				return err == nil && holds(status)
			})
			taken[i] = time.Since(start)
			return err
		})
	}
	return taken, group.Wait()
}

// until waits until the condition holds, at most for the bound.
func (f *fleet) until(ctx context.Context, bound time.Duration, what string, holds func(ctx context.Context) bool) (err error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(pollTime)
	defer ticker.Stop()
	for !holds(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("not within %s: %s", bound, what)
		case <-ticker.C:
		}
	}
	return nil
}

// stop ends everything.
func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	var group sync.WaitGroup
	for _, t := range f.sites {
		group.Go(func() {
			if t.upstream != nil {
				_ = t.upstream.Stop(ctx)
			}
			if t.process != nil {
				t.process.kill()
			}
		})
	}
	group.Wait()
	f.far.Stop()
	f.server.stop(ctx)
	f.api.close()
}
