// Package demo runs a small deployment in one process, on loopback and with
// real sockets, puts it through a change, a refusal, a leaving upstream and an
// outage of the platform under load, and reports what its users got.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/fakeup"
	"arbutusstep.example/arbutusstep/internal/node"
	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Bounds of the demo's phases.
const (
	startTime    = 15 * time.Second
	convergeTime = 10 * time.Second
	stopTime     = 10 * time.Second
	// calmTime is how long calls go on between two events.
	calmTime = 1500 * time.Millisecond
)

// ErrUnknownDeployment means that there is no deployment of that name.
var ErrUnknownDeployment = errors.New("unknown deployment, want trauerhaus or kylvoelehti")

// Options says what to run.
type Options struct {
	// Deployment is the name of a deployment.
	Deployment string
	// Progress gets a line for each phase; nil for none.
	Progress io.Writer
	// Logger gets the nodes' logs.
	Logger zerolog.Logger
}

// site is one running upstream host.
type site struct {
	node     *node.Node
	upstream *fakeup.Upstream
	service  mesh.Service
	zone     mesh.Zone
}

// run is one demo underway.
type run struct {
	options  Options
	shape    deployment
	platform objapi.Server
	sites    []*site
	load     *load
	result   Result
}

// Run runs the demo to its end. A promise that broke is told in the result.
func Run(ctx context.Context, options Options) (result Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("demo: %w", err)
		}
	}()
	shape, ok := deployments[options.Deployment]
	if !ok {
		return result, fmt.Errorf("%q: %w", options.Deployment, ErrUnknownDeployment)
	}
	r := &run{options: options, shape: shape}
	r.result.Deployment = options.Deployment
	defer func() { err = errors.Join(err, r.stop()) }()
	steps := []struct {
		title string
		do    func(ctx context.Context) error
	}{
		{title: "start the platform's stand-in, the nodes and the upstreams", do: r.start},
		{title: "accept the first settings", do: r.firstSettings},
		{title: "send calls of every priority", do: r.startLoad},
		{title: "accept a change and wait until it is in force everywhere", do: r.goodChange},
		{title: "offer a bad change, which must be refused whole", do: r.badChange},
		{title: "drain an upstream under load", do: r.drainUpstream},
		{title: "cut the platform under load", do: r.cutPlatform},
		{title: "stop the calls and count", do: r.count},
	}
	for _, s := range steps {
		if options.Progress != nil {
			_, _ = fmt.Fprintf(options.Progress, "%s\n", s.title)
		}
		if err = s.do(ctx); err != nil {
			return r.result, fmt.Errorf("%s: %w", s.title, err)
		}
	}
	return r.result, nil
}

func (r *run) start(ctx context.Context) (err error) {
	if err = r.platform.Start(loopback()); err != nil {
		return err
	}
	for i, place := range r.shape.places() {
		for _, s := range r.shape.services {
			for range s.perZone[i] {
				if err = r.startSite(ctx, place, s); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// startSite starts one host: its node and its upstream.
func (r *run) startSite(ctx context.Context, place mesh.Place, s service) (err error) {
	settings := conf.Default()
	settings.Host = mesh.HostID(fmt.Sprintf("%s-%d", place.Zone, len(r.sites)))
	settings.Region, settings.Zone = place.Region, place.Zone
	settings.Listen = conf.Listen{Callers: loopback(), Nodes: loopback(), Admin: loopback()}
	settings.Platform = r.platform.Addr()
	settings.PlatformRegion = r.shape.regions[0].name
	settings.Customer = r.shape.customer
	settings.Relays = 2
	n, err := node.Start(settings, r.options.Logger.With().Str("host", string(settings.Host)).Logger())
	if err != nil {
		return err
	}
	t := &site{node: n, service: s.name, zone: place.Zone}
	r.sites = append(r.sites, t)
	t.upstream = fakeup.New(fakeup.Options{
		Customer: r.shape.customer, Service: s.name, Node: n.AdminAddr(),
		Slots: r.shape.slots, MaxConnections: r.shape.connections, ServiceTime: s.serviceTime,
	})
	return t.upstream.Start(context.WithoutCancel(ctx))
}

// stop ends everything that was started.
func (r *run) stop() (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	if r.load != nil {
		r.load.stop()
	}
	done := make(chan error, len(r.sites))
	for _, s := range r.sites {
		go func() {
			var upstreamErr error
			if s.upstream != nil {
				upstreamErr = s.upstream.Stop(ctx)
			}
			done <- errors.Join(upstreamErr, s.node.Stop(ctx))
		}()
	}
	for range r.sites {
		err = errors.Join(err, <-done)
	}
	return errors.Join(err, r.platform.Stop(ctx))
}

// until waits until the condition holds at every node.
func (r *run) until(ctx context.Context, bound time.Duration, what string, holds func(s *site) bool) (err error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		missing := 0
		for _, s := range r.sites {
			if !holds(s) {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: not at %d of %d nodes within %s", what, missing, len(r.sites), bound)
		case <-ticker.C:
		}
	}
}
