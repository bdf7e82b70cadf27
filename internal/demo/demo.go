// Package demo runs a small deployment in one process, with real sockets on the
// loopback interface. Under load it applies a change, submits an invalid one, drains
// an upstream and cuts off the platform, and reports how the calls ended.
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

// Timeouts of the demo's steps.
const (
	startTimeout       = 15 * time.Second
	convergenceTimeout = 10 * time.Second
	stopTimeout        = 10 * time.Second
	// steadyTime is how long calls are sent between two steps.
	steadyTime = 1500 * time.Millisecond
)

// ErrUnknownDeployment means that there is no deployment of that name.
var ErrUnknownDeployment = errors.New("unknown deployment, want trauerhaus or kylvoelehti")

// Options configures a demo.
type Options struct {
	// Deployment is the name of the deployment to run.
	Deployment string
	// Progress gets a line for each step; nil for none.
	Progress io.Writer
	// Logger gets the nodes' logs.
	Logger zerolog.Logger
}

// host is a running host: its node and its upstream.
type host struct {
	node     *node.Node
	upstream *fakeup.Upstream
	service  mesh.Service
	zone     mesh.Zone
}

// demo is a running demo.
type demo struct {
	options    Options
	deployment deployment
	platform   objapi.Server
	hosts      []*host
	load       *load
	result     Result
}

// Run runs the demo to its end. Guarantees that did not hold are listed in the
// result and are no error.
func Run(ctx context.Context, options Options) (result Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("demo: %w", err)
		}
	}()
	chosen, ok := deployments[options.Deployment]
	if !ok {
		return result, fmt.Errorf("%q: %w", options.Deployment, ErrUnknownDeployment)
	}
	d := &demo{options: options, deployment: chosen}
	d.result.Deployment = options.Deployment
	defer func() { err = errors.Join(err, d.stop()) }()
	steps := []struct {
		title string
		run   func(ctx context.Context) error
	}{
		{title: "start a stand-in for the platform, the nodes and the upstreams", run: d.start},
		{title: "submit the initial settings", run: d.applyInitialSettings},
		{title: "send calls of every priority", run: d.startLoad},
		{title: "submit a change and wait until it is in force at every node", run: d.applyChange},
		{title: "submit an invalid change, which must be refused as a whole", run: d.refuseChange},
		{title: "drain an upstream under load", run: d.drainUpstream},
		{title: "cut off the platform under load", run: d.cutPlatform},
		{title: "stop the calls and collect the results", run: d.collectResults},
	}
	for _, step := range steps {
		if options.Progress != nil {
			_, _ = fmt.Fprintf(options.Progress, "%s\n", step.title)
		}
		if err = step.run(ctx); err != nil {
			return d.result, fmt.Errorf("%s: %w", step.title, err)
		}
	}
	return d.result, nil
}

func (d *demo) start(ctx context.Context) (err error) {
	if err = d.platform.Start(loopback()); err != nil {
		return err
	}
	for i, place := range d.deployment.places() {
		for _, svc := range d.deployment.services {
			for range svc.perZone[i] {
				if err = d.startHost(ctx, place, svc); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// startHost starts a node and its upstream.
func (d *demo) startHost(ctx context.Context, place mesh.Place, svc service) (err error) {
	settings := conf.Default()
	settings.Host = mesh.HostID(fmt.Sprintf("%s-%d", place.Zone, len(d.hosts)))
	settings.Region, settings.Zone = place.Region, place.Zone
	settings.Listen = conf.Listen{Callers: loopback(), Nodes: loopback(), Admin: loopback()}
	settings.Platform = d.platform.Addr()
	settings.PlatformRegion = d.deployment.regions[0].name
	settings.Customer = d.deployment.customer
	settings.Relays = 2
	n, err := node.Start(settings, d.options.Logger.With().Str("host", string(settings.Host)).Logger())
	if err != nil {
		return err
	}
	started := &host{node: n, service: svc.name, zone: place.Zone}
	d.hosts = append(d.hosts, started)
	started.upstream = fakeup.New(fakeup.Options{
		Customer: d.deployment.customer, Service: svc.name, Node: n.AdminAddr(),
		Slots: d.deployment.slots, Connections: d.deployment.connections, ServiceTime: svc.serviceTime,
	})
	return started.upstream.Start(context.WithoutCancel(ctx))
}

// stop stops the load, the hosts and the platform.
func (d *demo) stop() (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if d.load != nil {
		d.load.stop()
	}
	done := make(chan error, len(d.hosts))
	for _, h := range d.hosts {
		go func() {
			var upstreamErr error
			if h.upstream != nil {
				upstreamErr = h.upstream.Stop(ctx)
			}
			done <- errors.Join(upstreamErr, h.node.Stop(ctx))
		}()
	}
	for range d.hosts {
		err = errors.Join(err, <-done)
	}
	return errors.Join(err, d.platform.Stop(ctx))
}

// waitAll waits until the condition is met at every node.
func (d *demo) waitAll(ctx context.Context, timeout time.Duration, condition string, met func(h *host) bool) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		missing := 0
		for _, h := range d.hosts {
			if !met(h) {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: not met at %d of %d nodes within %s", condition, missing, len(d.hosts), timeout)
		case <-ticker.C:
		}
	}
}
