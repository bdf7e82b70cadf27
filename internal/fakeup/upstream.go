// Package fakeup is a fake upstream (back end) for tests and the demo. It is an
// HTTP server with a limited number of slots, which announces itself to its
// host's node. Its responses identify the request that they answer, it counts
// how often each request was run, and it supports fault injection. It is not
// part of the product.
//
// The package uses net/http because it stands for the customers' software, and
// because it must be able to close a connection in the middle of a response and
// to notice immediately that a caller has disconnected.
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

// Options configures an Upstream.
type Options struct {
	Customer mesh.Customer
	Service  mesh.Service
	// Listen is the listen address; the zero AddrPort means a free port on
	// 127.0.0.1.
	Listen netip.AddrPort
	// Node is the address of the host's node; the zero AddrPort disables
	// announcements.
	Node netip.AddrPort
	// Slots is the maximum number of concurrent requests; zero means DefaultSlots.
	Slots int
	// MaxConnections is the maximum number of open connections; zero means
	// DefaultMaxConnections.
	MaxConnections int
	// ServiceTime is the mean duration of a request.
	ServiceTime time.Duration
	// ColdStart is how long the upstream is slower after its start. The factor
	// decreases linearly from coldStartFactor to one.
	ColdStart time.Duration
	// Seed makes service times random with a mean of about ServiceTime; with zero they
	// are constant.
	Seed uint64
}

// Upstream is a fake upstream. It can be started only once.
type Upstream struct {
	// options has its defaults applied.
	options      Options
	server       http.Server
	serviceTimes serviceTimes
	slots        slotPool
	runs         runCounter
	faults       faultState
	node         nodeClient

	mutex sync.Mutex
	// listener is nil before Start; guarded by mutex.
	listener *limitedListener
	// stopped is true after Stop or Kill; guarded by mutex.
	stopped bool
	// killed is closed by Kill.
	killed chan struct{}
	// group tracks the goroutines of Start.
	group sync.WaitGroup
}

// New returns an upstream without starting it.
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
		options:      options,
		serviceTimes: serviceTimes{mean: options.ServiceTime, coldStart: options.ColdStart, seed: options.Seed},
		killed:       make(chan struct{}),
	}
}

// Start serves requests, and announces the upstream to its node until it is
// drained or stopped. Cancelling the context kills the upstream.
func (u *Upstream) Start(ctx context.Context) (err error) {
	defer annotate(&err, "start upstream")
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.listener != nil || u.stopped {
		return errors.New("upstream was already started or stopped")
	}
	inner, err := net.Listen("tcp", u.options.Listen.String())
	if err != nil {
		return err
	}
	u.listener = newLimitedListener(inner, u.options.MaxConnections)
	u.serviceTimes.started = time.Now()
	u.server.Handler = u.handler()
	listener := u.listener
	u.group.Go(func() { _ = u.server.Serve(listener) })
	if u.options.Node.IsValid() {
		u.node.startAnnouncing(&u.group, u.options, listener.address())
	}
	context.AfterFunc(ctx, u.Kill)
	return nil
}

// Addr returns the listen address, the zero AddrPort before Start.
func (u *Upstream) Addr() (address netip.AddrPort) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.listener == nil {
		return address
	}
	return u.listener.address()
}

// Drain notifies the node that the upstream is leaving and waits until no request
// is running. The upstream still serves requests that arrive afterwards.
func (u *Upstream) Drain(ctx context.Context) (err error) {
	defer annotate(&err, "drain upstream")
	u.slots.markDraining()
	if u.options.Node.IsValid() {
		u.node.stopAnnouncing()
		if err = u.node.send(ctx, u.options.Node, http.MethodPost, "/v1/upstream/drain", nil); err != nil {
			return err
		}
	}
	return u.slots.waitIdle(ctx)
}

// Stop withdraws the announcement and shuts down gracefully: it waits for running
// requests until the context ends.
func (u *Upstream) Stop(ctx context.Context) (err error) {
	defer annotate(&err, "stop upstream")
	if !u.markStopped() {
		return nil
	}
	u.node.stopAnnouncing()
	if u.options.Node.IsValid() {
		err = u.node.send(ctx, u.options.Node, http.MethodDelete, "/v1/upstream", nil)
	}
	if shutdown := u.server.Shutdown(ctx); shutdown != nil {
		err = errors.Join(err, shutdown, u.server.Close())
	}
	close(u.killed)
	u.group.Wait()
	u.node.closeIdle()
	return err
}

// Kill stops abruptly, as if the process had crashed: it closes all connections
// and does not notify the node.
func (u *Upstream) Kill() {
	if !u.markStopped() {
		return
	}
	close(u.killed)
	u.node.stopAnnouncing()
	_ = u.server.Close()
	u.group.Wait()
	u.node.closeIdle()
}

// markStopped marks a running upstream as stopped and returns true; the caller
// must then shut it down. It returns false when the upstream is not running.
func (u *Upstream) markStopped() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.stopped || u.listener == nil {
		return false
	}
	u.stopped = true
	return true
}

// annotate prefixes a non-nil error with the operation.
func annotate(err *error, operation string) {
	if *err != nil {
		*err = fmt.Errorf("%s: %w", operation, *err)
	}
}
