// Package node assembles a node: the blackboard with its control thread, the
// drivers that execute the controllers' commands, and the servers that handle
// traffic.
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

// callerShutdownTimeout bounds how long hertz itself waits for the connections
// of callers to close at shutdown.
const callerShutdownTimeout = 10 * time.Second

// platformBurst is the number of calls to the platform that may be made at once.
const platformBurst = 20

// bulkRate is the number of calls per second to the platform that read whole
// trees; bulkBurst is how many of them may be made at once. The burst covers a
// tree, which has at most a few hundred chunks.
const (
	bulkRate  = 40
	bulkBurst = 600
)

// clockSkew is the largest expected difference between the clocks of two hosts.
// It is allowed for where times of other hosts are shown to operators.
const clockSkew = 30 * time.Second

// Node is a running node. It is created by Start.
type Node struct {
	settings conf.Node
	logger   zerolog.Logger

	cells cells.Node
	board board.Board
	// snapshotChanged is notified each time the traffic snapshot is replaced.
	snapshotChanged broadcast

	store *store.Client
	// bulkStore reads whole trees: when a lead relay starts and for operators'
	// changes. It has a rate limit of its own.
	bulkStore *store.Client
	pool      peer.Pool
	server    peer.Server
	links     *links.Driver
	repo      *repo.Driver
	edits     repo.ConfigStore

	gate       gate.Gate
	claimStore *store.Client
	claims     claims.Registry
	handler    serve.Handler
	dispatcher entry.Dispatcher
	burn       burn.Recorder
	metrics    *meter.Meter
	applied    appliedState

	nodeListener   net.Listener
	callerListener *httpd.Listener
	callerServer   *server.Hertz
	admin          *httpd.Server

	// stopControl stops the control thread.
	stopControl context.CancelFunc
	goroutines  sync.WaitGroup
}

// Options replace parts of a node. The zero Options are ready to use.
type Options struct {
	// Dialer connects to other nodes; nil for plain TCP.
	Dialer peer.Dialer
}

// Start starts a node with the settings, which must have been checked. For each
// port that is zero a free one is chosen; the Addr methods return it.
func Start(settings conf.Node, logger zerolog.Logger) (started *Node, err error) {
	return StartWithOptions(settings, logger, Options{})
}

// StartWithOptions is Start with options.
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
	n.createClients()
	n.startControl()
	n.startTraffic()
	if err = n.startAdmin(); err != nil {
		return nil, errors.Join(err, n.Stop(context.Background()))
	}
	return n, nil
}

func (n *Node) listen() (err error) {
	if n.nodeListener, err = net.Listen("tcp", n.settings.Listen.Nodes.String()); err != nil {
		return err
	}
	callers, err := net.Listen("tcp", n.settings.Listen.Callers.String())
	if err != nil {
		return err
	}
	n.callerListener = httpd.NewListener(callers)
	return nil
}

func (n *Node) closeListeners() (err error) {
	if n.nodeListener != nil {
		err = n.nodeListener.Close()
	}
	if n.callerListener != nil {
		err = errors.Join(err, n.callerListener.Close())
	}
	return err
}

// createClients creates the clients of the platform and of other nodes, and
// connects them to the server and to the claim registry.
func (n *Node) createClients() {
	n.metrics = meter.New(map[string]string{"host": string(n.settings.Host), "zone": string(n.settings.Zone)})
	n.store = store.New(store.Options{
		Address:     n.settings.Platform,
		Host:        n.settings.Host,
		RateLimiter: &store.RateLimiter{Rate: n.settings.Limits.PlatformRate, Burst: platformBurst},
	})
	n.bulkStore = store.New(store.Options{
		Address:     n.settings.Platform,
		Host:        n.settings.Host,
		RateLimiter: &store.RateLimiter{Rate: bulkRate, Burst: bulkBurst},
	})
	n.edits = repo.ConfigStore{Objects: n.bulkStore, Cache: chunkLibrary{&n.cells}}
	n.links = links.NewDriver(&n.pool, &n.cells.LinkEvents)
	n.repo = repo.NewDriver(n.store, n.bulkStore, &n.cells.StoreEvents)
	n.claimStore = store.New(store.Options{
		Address:     n.settings.Platform,
		Host:        n.settings.Host,
		RateLimiter: &store.RateLimiter{Rate: n.settings.Limits.ClaimRate, Burst: platformBurst},
	})
	n.claims.Objects, n.claims.Host = n.claimStore, n.settings.Host
	n.handler.Gate, n.handler.Claims = &n.gate, &n.claims
	n.handler.OnUnreachable = n.withdrawUpstream
	n.server.CallHandler, n.server.ControlHandler = &n.handler, n.links
}

// startControl adds the controllers to the board and starts the control thread.
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
	n.cells.SnapshotUpdates.Handle = n.onSnapshot
	n.cells.LogEvents.Handle = n.logEvent
	n.cells.MetricsTicks.Handle = n.updateGauges
	ctrl.AddNode(&n.board, &n.cells, rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ctx, cancel := context.WithCancel(context.Background())
	n.stopControl = cancel
	n.goroutines.Go(func() { n.board.Run(ctx) })
}

// startTraffic starts the servers for other nodes and for callers.
func (n *Node) startTraffic() {
	self := n.cells.Self.Load()
	n.dispatcher = entry.Dispatcher{
		Router:      router{n},
		Upstreams:   candidateSource{n},
		Caller:      &n.pool,
		Local:       &peer.LocalCaller{Handler: &n.handler},
		Host:        self.Host,
		Place:       self.Place,
		Incarnation: self.Incarnation,
	}
	n.dispatcher.Picker.SetLinkBudget(n.settings.Limits.LinkRate)
	front := &entry.Frontend{Dispatcher: &n.dispatcher, DefaultCustomer: n.settings.Customer, Recorder: recorder{n}, Draining: n.draining}
	n.callerServer = front.NewServer(n.callerListener, callerShutdownTimeout)
	n.goroutines.Go(func() { n.logServerError("callers", n.callerServer.Run()) })
	n.goroutines.Go(func() { n.logServerError("nodes", n.server.Serve(n.nodeListener)) })
}

func (n *Node) startAdmin() (err error) {
	api := &admin.API{Configuration: &n.edits, Slots: slotReader{n.store}, Node: adminNode{n}, StaleAfter: 2*n.settings.Timing.Lease + clockSkew}
	n.admin, err = httpd.Start(n.settings.Listen.Admin, api.Routes, server.WithMaxRequestBodySize(admin.MaxBodyBytes))
	return err
}

// logServerError logs the error that ended a server.
func (n *Node) logServerError(server string, err error) {
	if err != nil {
		n.logger.Error().Str("server", server).Err(err).Msg("serverEnded")
	}
}

func (n *Node) place() mesh.Place {
	return mesh.Place{Region: n.settings.Region, Zone: n.settings.Zone}
}

// Drain starts a graceful shutdown: the node tells its peers that it is leaving.
// WaitStopped waits until it has done so.
func (n *Node) Drain() {
	n.cells.LifecycleCommands.Post(cells.Drain)
}

// draining reports whether the node is leaving or has left.
func (n *Node) draining() bool {
	phase := n.cells.Phase.Load()
	return phase == cells.Draining || phase == cells.Stopped
}

// WaitStopped waits until a draining node has told its peers that it is leaving,
// or until the context ends.
func (n *Node) WaitStopped(ctx context.Context) (err error) {
	return n.snapshotChanged.waitFor(ctx, func() bool { return n.cells.Phase.Load() == cells.Stopped })
}

// Stop stops the node. Calls in progress are finished until the context ends.
func (n *Node) Stop(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("stop node %s: %w", n.settings.Host, err)
		}
	}()
	if n.callerServer != nil {
		err = errors.Join(err, httpd.Shutdown(ctx, n.callerServer, n.callerListener), n.server.Shutdown(ctx))
	}
	if n.admin != nil {
		err = errors.Join(err, n.admin.Stop(ctx))
	}
	// The control thread stops before the drivers, to which it sends commands.
	n.stopControl()
	n.goroutines.Wait()
	n.links.Close()
	n.repo.Close()
	n.claims.Close()
	n.pool.Close()
	n.store.Close()
	n.claimStore.Close()
	n.bulkStore.Close()
	return errors.Join(err, n.metrics.Close())
}

// NodeAddr returns the address on which the node accepts other nodes.
func (n *Node) NodeAddr() netip.AddrPort {
	return sock.ListenAddr(n.nodeListener)
}

// CallerAddr returns the address on which the node accepts callers.
func (n *Node) CallerAddr() netip.AddrPort {
	return sock.ListenAddr(n.callerListener)
}

// AdminAddr returns the address of the admin API, which the local upstream and
// operators use.
func (n *Node) AdminAddr() netip.AddrPort {
	return n.admin.Addr()
}

// logEvent logs a change of state.
func (n *Node) logEvent(change cells.LogEvent) {
	event := n.logger.Info()
	for _, f := range change.Fields {
		event = event.Interface(f.Name, f.Value)
	}
	event.Msg(change.Name)
}

// WriteMetrics writes the metrics as text.
func (n *Node) WriteMetrics(w io.Writer) (err error) {
	return n.metrics.Write(w)
}
