// Package proxy joins the parts of one proxy: the blackboard with its control
// thread, the drivers that carry out its commands, and the threads of traffic.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/rs/zerolog"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/ctrl"
	"arbutusstep.example/arbutusstep/internal/delta"
	"arbutusstep.example/arbutusstep/internal/depot"
	"arbutusstep.example/arbutusstep/internal/egress"
	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/httpd"
	"arbutusstep.example/arbutusstep/internal/links"
	"arbutusstep.example/arbutusstep/internal/meter"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/internal/sock"
	"arbutusstep.example/arbutusstep/internal/steer"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/retry"
)

const (
	// silence is for how long a connection may leave what was sent unacknowledged.
	silence = 1500 * time.Millisecond
	// platformTimeout bounds one call to the platform other than a watch.
	platformTimeout = 1500 * time.Millisecond
	// watchWait is how long the platform may hold a watch without news, and
	// watchGrace how much later its answer may come. A watch that the platform has
	// dropped shows only by that.
	watchWait  = 1200 * time.Millisecond
	watchGrace = 600 * time.Millisecond
	// platformBurst is how many calls to the platform may be made at once.
	platformBurst = 40
	// linkShare is the part of the host's link that is planned with, in percent;
	// the headers of packets take the rest.
	linkShare = 93
	// bytesPerMegabit converts the rate of a link.
	bytesPerMegabit = 1e6 / 8
	// dialTimeout bounds a dial to another proxy.
	dialTimeout = 500 * time.Millisecond
	// queuedBytes is how much may wait before a ping in the queue of the host's
	// link; a slow link takes its time for it.
	queuedBytes = 512 << 10
)

// Headers is how requests and answers are marked on both sides of the mesh.
type Headers interface {
	steer.HeaderCodec
	serve.HeaderCodec
}

// Words is how the upstream beside a proxy speaks of itself.
type Words interface {
	// Path begins the paths on which it speaks; the name of the lifetime follows.
	Path() string
	Announcement(instance string, data []byte) (fleet.Report, error)
	Farewell(instance string, data []byte) (fleet.Report, error)
	// Serves reads the answer to the question whether it serves, and returns its
	// lifetime, empty when it does not.
	Serves(status int, header http.Header) (instance string)
}

// Platform is how a proxy speaks with the platform that it runs on.
type Platform struct {
	Objects store.Form
	// Versions and Records are the kinds of objects that hold the operator's
	// document and the nodes' records.
	Versions, Records string
	ReadPlan          func(data []byte) (*plan.Plan, error)
	Headers           Headers
	Words             Words
}

// Proxy is one running proxy. It is made by Start.
type Proxy struct {
	// settings may be replaced while it runs.
	settings atomic.Pointer[conf.Proxy]
	platform Platform
	logger   zerolog.Logger
	started  time.Time

	cells cells.Proxy
	board board.Board

	store *store.Client
	depot *depot.Driver
	trip  trips
	pool  peer.Pool
	peers peer.Server
	links *links.Driver

	link    egress.Link
	gate    gate.Gate
	handler serve.Handler
	steerer steer.Router
	front   front.Front
	metrics *meter.Meter
	ends    recorder
	words   words
	ready   readiness
	// serving is closed once there is a snapshot that requests can be served by;
	// the control thread closes it.
	serving chan struct{}
	served  bool
	// asks asks the upstream, on a connection of its own each time, whether it serves.
	asks http.Client
	// slots is what the gate was last configured for; control thread only.
	slots int

	nodes   net.Listener
	callers net.Listener
	entry   *server.Hertz
	admin   *httpd.Server
	asked   *httpd.Server

	stopControl context.CancelFunc
	running     sync.WaitGroup
}

// Start starts a proxy by its settings, which must be checked. Ports that are
// zero are chosen, and told by the address methods.
func Start(settings conf.Proxy, platform Platform, logger zerolog.Logger) (started *Proxy, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start proxy %s: %w", settings.Host, err)
		}
	}()
	p := &Proxy{platform: platform, logger: logger, started: time.Now(), serving: make(chan struct{})}
	p.settings.Store(&settings)
	if err = p.listen(); err != nil {
		return nil, errors.Join(err, p.closeListeners())
	}
	p.connect()
	p.startControl()
	p.startTraffic()
	if err = p.startServers(); err != nil {
		return nil, errors.Join(err, p.Stop(context.Background()))
	}
	return p, nil
}

// pingTimeout returns how long another proxy may take to answer a ping, behind
// what a link of that many megabits a second has queued.
func pingTimeout(link float64) time.Duration {
	if link == 0 {
		return peer.DefaultPingTimeout
	}
	return peer.DefaultPingTimeout + time.Duration(queuedBytes/(link*bytesPerMegabit)*float64(time.Second))
}

func (p *Proxy) listen() (err error) {
	listen := p.settings.Load().Listen
	dialer := sock.Transport{UserTimeout: silence, WriteCounter: &p.link}
	if p.nodes, err = dialer.Listen(context.Background(), listen.Nodes); err != nil {
		return err
	}
	p.callers, err = dialer.Listen(context.Background(), listen.Callers)
	return err
}

func (p *Proxy) closeListeners() (err error) {
	for _, l := range []net.Listener{p.nodes, p.callers} {
		if l != nil {
			err = errors.Join(err, l.Close())
		}
	}
	return err
}

// connect makes the parts that reach the platform and other proxies.
func (p *Proxy) connect() {
	settings := p.settings.Load()
	p.metrics = meter.New(map[string]string{"host": string(settings.Host), "zone": string(settings.Zone)})
	p.ends.start(p.logger, p.metrics.Scope)
	p.trip.dialer = sock.Transport{UserTimeout: silence, WriteCounter: &p.link}
	p.store = store.New(store.Options{
		Address: settings.Platform, Host: settings.Host, Form: p.platform.Objects, Dialer: &p.trip,
		Timeout: platformTimeout, Wait: watchWait, Grace: watchGrace,
		Budget: &store.Budget{Rate: settings.Limits.PlatformRate, Burst: platformBurst},
	})
	kinds := depot.Kinds{Versions: p.platform.Versions, Records: p.platform.Records}
	p.depot = depot.New(p.store, &p.cells.ObjectEvents, kinds, p.trip.shortest)
	p.pool.Dialer = sock.Transport{UserTimeout: silence, WriteCounter: &p.link}
	p.pool.DialTimeout, p.pool.PingTimeout = dialTimeout, pingTimeout(settings.Limits.Link)
	p.links = links.NewDriver(&p.pool, &p.cells.LinkEvents)
	p.link.SetRate(settings.Limits.Link * bytesPerMegabit * linkShare / 100)
	p.asks.Transport = &http.Transport{DisableKeepAlives: true}
	p.asks.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	p.handler.Link, p.front.Link = &p.link, &p.link
	p.handler.Gate, p.handler.Headers = &p.gate, p.platform.Headers
	p.handler.OnUnreachable, p.handler.OnUnanswered = p.unreachable, p.ends.unanswered
	p.handler.OnForward = func() { p.steerer.Budget.RecordRun(time.Now()) }
	p.handler.ServiceShare = func() float64 { return p.cells.Snapshot.Load().ServiceShare }
	p.handler.FanOut = func() float64 { return p.steerer.Budget.MaxFanOut(time.Now(), p.settings.Load().Service) }
	p.peers.CallHandler, p.peers.ControlHandler = &p.handler, p.links
}

// startControl puts the controllers on the board and starts the control thread.
func (p *Proxy) startControl() {
	settings := p.settings.Load()
	p.cells.Self.Set(cells.ProxySelf{
		Host: settings.Host, Place: p.place(), Address: p.announced(),
		LinkRate: int64(settings.Limits.Link * bytesPerMegabit), StartedAt: p.started, Heartbeat: settings.Heartbeat,
	})
	p.cells.LinkCommands.Handle = p.links.Execute
	p.cells.ObjectCommands.Handle = p.depot.Handle
	p.cells.ReportAcks.Handle = p.words.acked
	p.cells.HealthChecks.Handle = p.check
	p.cells.SnapshotUpdates.Handle = p.published
	p.cells.LogEvents.Handle = p.noted
	p.cells.MetricsTicks.Handle = p.collect
	ctrl.AddProxy(&p.board, &p.cells, codec{p.platform.ReadPlan}, rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ctx, cancel := context.WithCancel(context.Background())
	p.stopControl = cancel
	p.running.Go(func() { p.board.Run(ctx) })
}

// startTraffic serves other proxies and callers.
func (p *Proxy) startTraffic() {
	settings := p.settings.Load()
	p.steerer.Snapshots, p.steerer.Remote, p.steerer.Local = view{&p.cells, p.serving}, &p.pool, &peer.LocalCaller{Handler: &p.handler}
	p.steerer.Pinger = &p.pool
	p.steerer.Headers, p.steerer.Recorder = p.platform.Headers, &p.ends
	p.steerer.Host, p.steerer.Place = settings.Host, p.place()
	p.steerer.Service = func() mesh.Service { return p.settings.Load().Service }
	p.steerer.Budget.Configure(allowanceOf(settings))
	p.front.Handler, p.front.Leaving = &p.steerer, p.leaving
	p.front.Limits = func() front.Limits {
		l := p.cells.Snapshot.Load().Plan.Limits()
		return front.Limits{Header: l.MaxHeaderBytes, Body: l.MaxBodyBytes, HeaderTime: l.HeaderTimeout, IdleTime: l.IdleTimeout}
	}
	p.entry = p.front.NewServer(p.callers)
	p.running.Go(func() { p.report("callers", p.entry.Run()) })
	p.running.Go(func() { p.report("nodes", p.peers.Serve(p.nodes)) })
}

func allowanceOf(settings *conf.Proxy) retry.SharedLimit {
	return retry.SharedLimit{Window: settings.RetryLimit.Window, Ratio: settings.RetryLimit.Ratio, Slack: settings.RetryLimit.Slack}
}

func (p *Proxy) startServers() (err error) {
	listen := p.settings.Load().Listen
	p.words.post, p.words.form, p.words.logger, p.words.known = p.cells.UpstreamReports.Post, p.platform.Words, p.logger, p.knows
	if p.admin, err = httpd.Start(listen.Admin, p.adminRoutes, server.WithMaxRequestBodySize(maxWord)); err != nil {
		return err
	}
	p.asked, err = httpd.Start(listen.Ready, p.readyRoutes)
	return err
}

// report logs an error that ended a server.
func (p *Proxy) report(name string, err error) {
	if err != nil {
		p.logger.Error().Str("server", name).Err(err).Msg("serverEnded")
	}
}

func (p *Proxy) place() mesh.Place {
	settings := p.settings.Load()
	return mesh.Place{Region: settings.Region, Zone: settings.Zone}
}

// announced returns the address that other proxies are told.
func (p *Proxy) announced() netip.AddrPort {
	if announce := p.settings.Load().Listen.Announce; announce.IsValid() {
		return announce
	}
	return sock.ListenAddr(p.nodes)
}

// leaving reports whether the proxy tells everyone that it leaves.
func (p *Proxy) leaving() bool {
	phase := p.cells.Phase.Load()
	return phase == cells.Draining || phase == cells.Withdrawn || phase == cells.Stopped
}

// Addresses are those that the proxy listens on.
type Addresses struct {
	Callers, Nodes, Admin, Ready netip.AddrPort
}

// Addresses returns where the proxy listens.
func (p *Proxy) Addresses() Addresses {
	return Addresses{Callers: sock.ListenAddr(p.callers), Nodes: sock.ListenAddr(p.nodes), Admin: p.admin.Addr(), Ready: p.asked.Addr()}
}

// noted logs a change of state.
func (p *Proxy) noted(note cells.LogEvent) {
	event := p.logger.Info()
	for _, f := range note.Fields {
		switch v := f.Value.(type) {
		case time.Time:
			event = event.Time(f.Name, v)
		case time.Duration:
			event = event.Dur(f.Name, v)
		default:
			event = event.Interface(f.Name, v)
		}
	}
	event.Msg(note.Name)
}

// WriteMetrics writes the metrics as text.
func (p *Proxy) WriteMetrics(w io.Writer) error {
	return p.metrics.Write(w)
}

// view gives traffic threads the snapshot of the board.
type view struct {
	cells   *cells.Proxy
	serving <-chan struct{}
}

// Ready implements steer.SnapshotSource.
func (v view) Ready() <-chan struct{} { return v.serving }

// Snapshot implements steer.SnapshotSource.
func (v view) Snapshot() cells.ProxySnapshot {
	return v.cells.Snapshot.Load()
}

// codec encodes and decodes documents and records.
type codec struct {
	readPlan func(data []byte) (*plan.Plan, error)
}

// DecodePlan implements ctrl.Codec.
func (f codec) DecodePlan(data []byte) (*plan.Plan, error) { return f.readPlan(data) }

// DecodeNode implements ctrl.Codec.
func (f codec) DecodeNode(data []byte) (fleet.Node, error) { return sheet.DecodeNode(data) }

// Compress implements ctrl.Codec.
func (f codec) Compress(data, base []byte) ([]byte, error) { return delta.Compress(data, base) }

// Decompress implements ctrl.Codec.
func (f codec) Decompress(packed, base []byte) ([]byte, error) { return delta.Decompress(packed, base) }

// trips dials the platform and keeps the shortest time that it took.
type trips struct {
	dialer sock.Transport
	// least is in nanoseconds, zero before the first.
	least atomic.Int64
}

// Dial implements store.Dialer.
func (t *trips) Dial(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error) {
	start := time.Now()
	if conn, err = t.dialer.Dial(ctx, address); err != nil {
		return nil, err
	}
	took := int64(time.Since(start))
	if least := t.least.Load(); least == 0 || took < least {
		t.least.Store(took)
	}
	return conn, nil
}

func (t *trips) shortest() time.Duration {
	return time.Duration(t.least.Load())
}

// statusOf returns the status that tells whether something holds.
func statusOf(holds bool) int {
	if holds {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
