// Package fakeup is a stand-in for a back end (upstream), for tests and the
// demo: an HTTP server on loopback with a number of slots, which announces
// itself to its host's node, proves whose each answer is, counts how often it
// ran each request, and can be told to misbehave. It is no part of the product.
//
// It is served by net/http: it plays the customers' software, and it has to
// close a connection in the middle of an answer and to see at once that a
// caller is gone.
package fakeup

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Defaults of Options.
const (
	DefaultSlots          = 8
	DefaultMaxConnections = 100
)

// Options describes an upstream.
type Options struct {
	Customer mesh.Customer
	Service  mesh.Service
	// Listen is where to serve; the zero AddrPort means a free port on 127.0.0.1.
	Listen netip.AddrPort
	// Node is the node on this host; the zero AddrPort means to announce nothing.
	Node netip.AddrPort
	// Slots bounds the requests that run at once; zero means DefaultSlots.
	Slots int
	// MaxConnections bounds the open connections; zero means DefaultMaxConnections.
	MaxConnections int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// ColdStart is for how long after its start the upstream is slower, at
	// first by coldFactor, then less and less.
	ColdStart time.Duration
	// Seed makes service times random around ServiceTime; zero keeps them fixed.
	Seed uint64
}

// Upstream is one running stand-in. It starts at most once.
type Upstream struct {
	// options has its defaults filled in.
	options Options
	server  http.Server
	clock   serviceClock
	work    work
	runs    runs
	faults  faults
	node    node

	mutex sync.Mutex
	// listener is nil before Start; guarded by mutex.
	listener *listener
	// stopped is true after Stop or Kill; guarded by mutex.
	stopped bool
	// killed is closed by Kill.
	killed chan struct{}
	// group waits for the goroutines of Start.
	group sync.WaitGroup
}

// New returns an upstream that is not started.
func New(options Options) *Upstream {
	if !options.Listen.IsValid() {
		options.Listen = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	if options.Slots == 0 {
		options.Slots = DefaultSlots
	}
	if options.MaxConnections == 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	return &Upstream{
		options: options,
		clock:   serviceClock{mean: options.ServiceTime, cold: options.ColdStart, seed: options.Seed},
		killed:  make(chan struct{}),
	}
}

// Start serves, and announces the upstream to its node until it is drained or
// stopped. The end of the context kills the upstream.
func (u *Upstream) Start(ctx context.Context) (err error) {
	defer annotate(&err, "start upstream")
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.listener != nil || u.stopped {
		return errors.New("started before")
	}
	inner, err := net.Listen("tcp", u.options.Listen.String())
	if err != nil {
		return err
	}
	u.listener = newListener(inner, u.options.MaxConnections)
	u.clock.started = time.Now()
	u.server.Handler = u.handler()
	listener := u.listener
	u.group.Go(func() { _ = u.server.Serve(listener) })
	if u.options.Node.IsValid() {
		u.node.start(&u.group, u.options, listener.address())
	}
	context.AfterFunc(ctx, u.Kill)
	return nil
}

// Addr returns the address that the upstream serves on, the zero AddrPort
// before Start.
func (u *Upstream) Addr() (address netip.AddrPort) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.listener == nil {
		return address
	}
	return u.listener.address()
}

// Drain tells the node that the upstream is leaving, and waits until no
// request runs. The upstream goes on to serve what still comes.
func (u *Upstream) Drain(ctx context.Context) (err error) {
	defer annotate(&err, "drain upstream")
	u.work.drain()
	if u.options.Node.IsValid() {
		u.node.stop()
		if err = u.node.send(ctx, u.options.Node, http.MethodPost, "/v1/upstream/drain", nil); err != nil {
			return err
		}
	}
	return u.work.waitIdle(ctx)
}

// Stop takes back the announcement and ends in good order: what runs is
// finished, unless the context ends first.
func (u *Upstream) Stop(ctx context.Context) (err error) {
	defer annotate(&err, "stop upstream")
	if !u.end() {
		return nil
	}
	u.node.stop()
	if u.options.Node.IsValid() {
		err = u.node.send(ctx, u.options.Node, http.MethodDelete, "/v1/upstream", nil)
	}
	if shutdown := u.server.Shutdown(ctx); shutdown != nil {
		err = errors.Join(err, shutdown, u.server.Close())
	}
	close(u.killed)
	u.group.Wait()
	u.node.close()
	return err
}

// Kill ends abruptly, as when the process dies: every connection is closed,
// and the node is told nothing.
func (u *Upstream) Kill() {
	if !u.end() {
		return
	}
	close(u.killed)
	u.node.stop()
	_ = u.server.Close()
	u.group.Wait()
	u.node.close()
}

// end reports whether the upstream runs and is now to be ended by the caller.
func (u *Upstream) end() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.stopped || u.listener == nil {
		return false
	}
	u.stopped = true
	return true
}

// annotate names the operation in its error.
func annotate(err *error, operation string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", operation, *err)
	}
}
