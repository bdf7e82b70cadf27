// Package node joins the parts of one node: the blackboard with its control
// thread, the drivers that carry out its commands, and the threads of traffic.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/rs/zerolog"

	"arbutusstep.example/arbutusstep/internal/admin"
	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/claims"
	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/ctrl"
	"arbutusstep.example/arbutusstep/internal/entry"
	"arbutusstep.example/arbutusstep/internal/httpd"
	"arbutusstep.example/arbutusstep/internal/links"
	"arbutusstep.example/arbutusstep/internal/meter"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/repo"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/sock"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// frontExit bounds hertz's own wait for callers' connections at a stop.
const frontExit = 10 * time.Second

// platformBurst is how many calls to the platform may be made at once.
const platformBurst = 20

// bulkRate is the calls a second to the platform for whole trees, and bulkBurst
// how many may be made at once: a tree has at most a few hundred chunks.
const (
	bulkRate  = 40
	bulkBurst = 600
)

// clockSkew is by how much the clocks of two hosts may differ where times are
// shown to operators.
const clockSkew = 30 * time.Second

// Node is one running node. It is made by Start.
type Node struct {
	settings conf.Node
	logger   zerolog.Logger

	cells cells.Set
	board board.Board
	// changed is told each time the traffic's snapshot is replaced.
	changed signal

	store *store.Client
	// bulk reads whole trees: for a lead's start and for operators' changes.
	bulk   *store.Client
	pool   peer.Pool
	server peer.Server
	links  *links.Driver
	repo   *repo.Driver
	edits  repo.Edits

	gate       gate.Gate
	claimStore *store.Client
	claims     claims.Registry
	handler    serve.Handler
	dispatcher entry.Dispatcher
	burn       burn.Recorder
	metrics    *meter.Meter
	applied    applied

	nodes   net.Listener
	callers *httpd.Listener
	front   *server.Hertz
	admin   *httpd.Server

	// stopControl ends the control thread.
	stopControl context.CancelFunc
	running     sync.WaitGroup
}

// Options hold what a node uses in place of the usual. The zero Options are ready
// to use.
type Options struct {
	// Dialer connects to other nodes; nil means plain TCP.
	Dialer peer.Dialer
}

// Start starts a node by its settings, which must be checked. Ports that are
// zero are chosen, and told by the address methods.
func Start(settings conf.Node, logger zerolog.Logger) (started *Node, err error) {
	return StartWithOptions(settings, logger, Options{})
}

// StartWithOptions starts a node like Start.
func StartWithOptions(settings conf.Node, logger zerolog.Logger, options Options) (started *Node, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start node %s: %w", settings.Host, err)
		}
	}()
	n := &Node{settings: settings, logger: logger}
	n.pool.Dialer = options.Dialer
	if err = n.listen(); err != nil {
		return nil, errors.Join(err, n.closeListeners())
	}
	n.connect()
	n.startControl()
	n.startTraffic()
	if err = n.startAdmin(); err != nil {
		return nil, errors.Join(err, n.Stop(context.Background()))
	}
	return n, nil
}

func (n *Node) listen() (err error) {
	if n.nodes, err = net.Listen("tcp", n.settings.Listen.Nodes.String()); err != nil {
		return err
	}
	callers, err := net.Listen("tcp", n.settings.Listen.Callers.String())
	if err != nil {
		return err
	}
	n.callers = httpd.NewListener(callers)
	return nil
}

func (n *Node) closeListeners() (err error) {
	if n.nodes != nil {
		err = n.nodes.Close()
	}
	if n.callers != nil {
		err = errors.Join(err, n.callers.Close())
	}
	return err
}

// connect makes the parts that reach the platform and other nodes.
func (n *Node) connect() {
	n.metrics = meter.New(map[string]string{"host": string(n.settings.Host), "zone": string(n.settings.Zone)})
	n.store = store.New(store.Options{
		Address: n.settings.Platform,
		Host:    n.settings.Host,
		Budget:  &store.Budget{Rate: n.settings.Limits.PlatformRate, Burst: platformBurst},
	})
	n.bulk = store.New(store.Options{
		Address: n.settings.Platform,
		Host:    n.settings.Host,
		Budget:  &store.Budget{Rate: bulkRate, Burst: bulkBurst},
	})
	n.edits = repo.Edits{Objects: n.bulk, Held: heldChunks{&n.cells}}
	n.links = links.NewDriver(&n.pool, &n.cells.LinkEvents)
	n.repo = repo.NewDriver(n.store, n.bulk, &n.cells.StoreEvents)
	n.claimStore = store.New(store.Options{
		Address: n.settings.Platform,
		Host:    n.settings.Host,
		Budget:  &store.Budget{Rate: n.settings.Limits.ClaimRate, Burst: platformBurst},
	})
	n.claims.Objects, n.claims.Host = n.claimStore, n.settings.Host
	n.handler.Gate, n.handler.Claims = &n.gate, &n.claims
	n.handler.OnUnreachable = n.upstreamUnreachable
	n.server.CallHandler, n.server.ControlHandler = &n.handler, n.links
}

// startControl puts the controllers on the board and starts the control thread.
func (n *Node) startControl() {
	now := time.Now()
	n.cells.Self.Set(cells.Self{
		Host:           n.settings.Host,
		Place:          n.place(),
		Address:        n.NodeAddr(),
		Incarnation:    uint64(now.UnixNano()),
		PlatformRegion: n.settings.PlatformRegion,
		Customer:       n.settings.Customer,
		Seeds:          n.settings.Peers,
		RelaysPerZone:  n.settings.Relays,
		Heartbeat:      n.settings.Timing.Heartbeat,
		LeaseTTL:       n.settings.Timing.Lease,
	})
	n.cells.LinkCommands.Handle = n.links.Execute
	n.cells.StoreCommands.Handle = n.repo.Handle
	n.cells.SnapshotUpdates.Handle = n.published
	n.cells.LogEvents.Handle = n.noted
	n.cells.MetricsTicks.Handle = n.collect
	ctrl.AddNode(&n.board, &n.cells, rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ctx, cancel := context.WithCancel(context.Background())
	n.stopControl = cancel
	n.running.Go(func() { n.board.Run(ctx) })
}

// startTraffic serves other nodes and callers.
func (n *Node) startTraffic() {
	self := n.cells.Self.Load()
	n.dispatcher = entry.Dispatcher{
		Router:      router{n},
		Upstreams:   lookup{n},
		Caller:      &n.pool,
		Local:       &peer.LocalCaller{Handler: &n.handler},
		Host:        self.Host,
		Place:       self.Place,
		Incarnation: self.Incarnation,
	}
	n.dispatcher.Picker.SetLinkBudget(n.settings.Limits.LinkRate)
	front := &entry.Frontend{Dispatcher: &n.dispatcher, DefaultCustomer: n.settings.Customer, Recorder: recorder{n}, Draining: n.leaving}
	n.front = front.NewServer(n.callers, frontExit)
	n.running.Go(func() { n.report("callers", n.front.Run()) })
	n.running.Go(func() { n.report("nodes", n.server.Serve(n.nodes)) })
}

func (n *Node) startAdmin() (err error) {
	api := &admin.API{Configuration: &n.edits, Slots: slotReader{n.store}, Host: host{n}, StaleAfter: 2*n.settings.Timing.Lease + clockSkew}
	n.admin, err = httpd.Start(n.settings.Listen.Admin, api.Routes, server.WithMaxRequestBodySize(admin.MaxBodyBytes))
	return err
}

// report logs an error that ended a server.
func (n *Node) report(server string, err error) {
	if err != nil {
		n.logger.Error().Str("server", server).Err(err).Msg("serverEnded")
	}
}

func (n *Node) place() mesh.Place {
	return mesh.Place{Region: n.settings.Region, Zone: n.settings.Zone}
}

// Drain starts a graceful shutdown: the node announces to its peers that it is
// leaving. WaitStopped waits until they know.
func (n *Node) Drain() {
	n.cells.LifecycleCommands.Post(cells.Drain)
}

// leaving reports whether the node tells everyone that it leaves.
func (n *Node) leaving() bool {
	phase := n.cells.Phase.Load()
	return phase == cells.Draining || phase == cells.Stopped
}

// WaitStopped waits until a draining node has told everyone, or the context ends.
func (n *Node) WaitStopped(ctx context.Context) (err error) {
	return n.changed.until(ctx, func() bool { return n.cells.Phase.Load() == cells.Stopped })
}

// Stop ends the node: calls that run are finished until the context ends.
func (n *Node) Stop(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("stop node %s: %w", n.settings.Host, err)
		}
	}()
	if n.front != nil {
		err = errors.Join(err, httpd.Shutdown(ctx, n.front, n.callers), n.server.Shutdown(ctx))
	}
	if n.admin != nil {
		err = errors.Join(err, n.admin.Stop(ctx))
	}
	// The control thread ends before the drivers that it hands commands to.
	n.stopControl()
	n.running.Wait()
	n.links.Close()
	n.repo.Close()
	n.claims.Close()
	n.pool.Close()
	n.store.Close()
	n.claimStore.Close()
	n.bulk.Close()
	return errors.Join(err, n.metrics.Close())
}

// NodeAddr is where other nodes connect.
func (n *Node) NodeAddr() netip.AddrPort {
	return sock.ListenAddr(n.nodes)
}

// CallerAddr is where callers connect.
func (n *Node) CallerAddr() netip.AddrPort {
	return sock.ListenAddr(n.callers)
}

// AdminAddr is where the host's upstream and operators connect.
func (n *Node) AdminAddr() netip.AddrPort {
	return n.admin.Addr()
}

// noted logs a change of state.
func (n *Node) noted(note cells.LogEvent) {
	event := n.logger.Info()
	for _, f := range note.Fields {
		event = event.Interface(f.Name, f.Value)
	}
	event.Msg(note.Name)
}

// WriteMetrics writes the metrics as text.
func (n *Node) WriteMetrics(w io.Writer) (err error) {
	return n.metrics.Write(w)
}
