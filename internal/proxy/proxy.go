// Package proxy assembles one proxy: the blackboard with its control thread, the
// drivers that execute the commands of the controllers, and the servers and clients
// that carry traffic on other threads.
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
	"arbutusstep.example/arbutusstep/internal/clock"
	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/ctrl"
	"arbutusstep.example/arbutusstep/internal/depot"
	"arbutusstep.example/arbutusstep/internal/egress"
	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/grants"
	"arbutusstep.example/arbutusstep/internal/httpd"
	"arbutusstep.example/arbutusstep/internal/links"
	"arbutusstep.example/arbutusstep/internal/meter"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/sock"
	"arbutusstep.example/arbutusstep/internal/steer"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/nested"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/retry"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

const (
	// tcpUserTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	tcpUserTimeout = 1500 * time.Millisecond
	// platformTimeout limits one call to the platform other than a watch.
	platformTimeout = 1500 * time.Millisecond
	// watchWait is how long the platform may hold a watch without changes, and
	// watchGracePeriod how much later its response may arrive. A missing response is
	// the only sign that the platform has dropped a watch.
	watchWait        = 1200 * time.Millisecond
	watchGracePeriod = 600 * time.Millisecond
	// platformBurst is the number of calls to the platform that may be made at once.
	platformBurst = 40
	// linkSharePercent is the usable part of the link rate of the host, in percent.
	// The rest is taken by packet headers.
	linkSharePercent = 93
	bytesPerMegabit  = 1e6 / 8
	// dialTimeout limits one dial to another proxy.
	dialTimeout = 500 * time.Millisecond
	// maxQueuedBytes is how much data may be queued on the network link of the host
	// before a ping. A slow link takes a considerable time to send it.
	maxQueuedBytes = 512 << 10
)

// HeaderCodec reads and writes the headers of requests and responses, both at the
// caller and at the upstream.
type HeaderCodec interface {
	steer.HeaderCodec
	serve.HeaderCodec
}

// RegistrationCodec decodes the messages with which the upstream of a proxy registers
// itself.
type RegistrationCodec interface {
	// PathPrefix is the prefix of the registration paths; the ID of the instance
	// follows it.
	PathPrefix() string
	DecodeRegistration(instance string, data []byte) (fleet.Report, error)
	DecodeDeregistration(instance string, data []byte) (fleet.Report, error)
	// ServingInstance returns the ID of the instance that passed a health check with
	// that response; empty if the check failed.
	ServingInstance(status int, header http.Header) (instance string)
}

// Platform holds the data formats of the platform that a proxy runs on.
type Platform struct {
	Objects store.Codec
	// VersionKind and RecordKind are the kinds of the objects that hold the operator's
	// document and the records of the nodes.
	VersionKind, RecordKind string
	Rollouts                Rollouts
	DecodePlan              func(data []byte) (*plan.Plan, error)
	// RedactPlan returns the operator's document without keys of accounts, for pages
	// that show it; nil if documents contain no secrets.
	RedactPlan    func(data []byte) ([]byte, error)
	Headers       HeaderCodec
	Registrations RegistrationCodec
}

// Proxy is a running proxy. It is created by Start.
type Proxy struct {
	// pendingSettings are the keys of changed settings that need a restart; nil before the
	// first change.
	pendingSettings atomic.Pointer[[]string]
	// settings is replaced by ApplySettings.
	settings  atomic.Pointer[conf.Proxy]
	platform  Platform
	logger    zerolog.Logger
	startedAt time.Time

	cells cells.Proxy
	board board.Board

	store          *store.Client
	objects        *depot.Driver
	platformDialer rttDialer
	pool           peer.Pool
	peers          peer.Server
	links          *links.Driver

	// local and beside serve calls to the upstreams of this host, and noUpstream rejects calls
	// to a release that is not on it.
	local, beside servedUpstream
	noUpstream    serve.Handler

	egressLink    egress.Link
	bodyMemory    quota.Memory
	quotas        grants.Quotas
	nestedCalls   nested.Tracker
	router        steer.Router
	front         front.Server
	metrics       *meter.Meter
	requestLog    requestLog
	registrations registrationHandler
	readiness     readiness
	// snapshotReady is closed by the control thread once there is a snapshot that
	// requests can be served by.
	snapshotReady       chan struct{}
	snapshotReadyClosed bool
	// healthClient sends health checks to the upstream, each on a new connection.
	healthClient http.Client
	// queuedWhileFree is the moving share of time in which requests wait here while
	// another host of the service has a free slot; control thread only.
	queuedWhileFree float64

	nodeListener   net.Listener
	callerListener net.Listener
	callerServer   *server.Hertz
	adminServer    *httpd.Server
	readyServer    *httpd.Server

	// stopStart is when the planned stop began; nil before it.
	stopStart   atomic.Pointer[time.Time]
	stopControl context.CancelFunc
	goroutines  sync.WaitGroup
}

// Start starts a proxy with valid settings. A port of zero is replaced by a free one,
// which Addresses returns.
func Start(settings conf.Proxy, platform Platform, logger zerolog.Logger) (proxy *Proxy, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start proxy %s: %w", settings.Host, err)
		}
	}()
	p := &Proxy{platform: platform, logger: logger, startedAt: time.Now(), snapshotReady: make(chan struct{})}
	p.settings.Store(&settings)
	if err = p.listen(); err != nil {
		return nil, errors.Join(err, p.closeListeners())
	}
	p.initClients()
	p.startControl()
	p.startTraffic()
	if err = p.startServers(); err != nil {
		return nil, errors.Join(err, p.Stop(context.Background()))
	}
	return p, nil
}

// pingTimeout returns how long another proxy may take to answer a ping that is sent
// after the maximum amount of queued data on a link of that rate. A rate of zero means
// that it is unknown.
func pingTimeout(linkMbps float64) time.Duration {
	if linkMbps == 0 {
		return peer.DefaultPingTimeout
	}
	return peer.DefaultPingTimeout + time.Duration(maxQueuedBytes/(linkMbps*bytesPerMegabit)*float64(time.Second))
}

func (p *Proxy) listen() (err error) {
	listen := p.settings.Load().Listen
	dialer := sock.Transport{UserTimeout: tcpUserTimeout, WriteCounter: &p.egressLink}
	if p.nodeListener, err = dialer.Listen(context.Background(), listen.Nodes); err != nil {
		return err
	}
	p.callerListener, err = dialer.Listen(context.Background(), listen.Callers)
	return err
}

func (p *Proxy) closeListeners() (err error) {
	for _, l := range []net.Listener{p.nodeListener, p.callerListener} {
		if l != nil {
			err = errors.Join(err, l.Close())
		}
	}
	return err
}

// initClients sets up the clients of the platform and of other proxies, and the call
// handler that uses them.
func (p *Proxy) initClients() {
	settings := p.settings.Load()
	p.metrics = meter.New(map[string]string{"host": string(settings.Host), "zone": string(settings.Zone)})
	p.requestLog.init(p.logger, p.metrics.Scope)
	p.platformDialer.dialer = sock.Transport{UserTimeout: tcpUserTimeout, WriteCounter: &p.egressLink}
	p.store = store.New(store.Options{
		Address: settings.Platform, Host: settings.Host, Codec: p.platform.Objects, Dialer: &p.platformDialer,
		Timeout: platformTimeout, WatchWait: verify.WatchWait(settings.Revocation, watchWait), WatchGrace: watchGracePeriod,
		RateLimiter: &store.RateLimiter{Rate: settings.Limits.PlatformRate, Burst: platformBurst},
	})
	kinds := depot.Kinds{Versions: p.platform.VersionKind, Records: p.platform.RecordKind, Rollouts: p.platform.Rollouts.Kind, EncodeStatus: p.platform.Rollouts.EncodeStatus}
	p.objects = depot.New(p.store, &p.cells.ObjectEvents, kinds, p.platformDialer.lowestRTT, clock.Boot{})
	p.pool.Dialer = sock.Transport{UserTimeout: tcpUserTimeout, WriteCounter: &p.egressLink}
	p.pool.DialTimeout, p.pool.PingTimeout = dialTimeout, pingTimeout(settings.Limits.Link)
	p.links = links.NewDriver(&p.pool, &p.cells.LinkEvents)
	p.egressLink.SetRate(settings.Limits.Link * bytesPerMegabit * linkSharePercent / 100)
	p.healthClient.Transport = &http.Transport{DisableKeepAlives: true}
	p.healthClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	p.front.Link, p.router.FinishBy, p.router.OnPanic = &p.egressLink, p.finishBy, p.logPanic
	p.initHandlers()
	p.peers.CallHandler, p.peers.ControlHandler = p.startQuotas(), p.links
}

// startControl adds the controllers to the board and starts the control thread.
func (p *Proxy) startControl() {
	settings := p.settings.Load()
	p.cells.Self.Set(cells.ProxySelf{
		Host: settings.Host, Place: p.place(), Address: p.announcedAddr(),
		LinkRate: int64(settings.Limits.Link * bytesPerMegabit), StartedAt: p.startedAt, Heartbeat: settings.Heartbeat,
		Revocation: settings.Revocation, EnforceQuotas: settings.Quota.Window > 0, DirectRollouts: p.platform.Rollouts.Kind != "",
	})
	p.cells.LinkCommands.Handle = p.links.Execute
	p.cells.ObjectCommands.Handle = p.objects.Handle
	p.cells.ReportAcks.Handle = p.registrations.acknowledge
	p.cells.HealthChecks.Handle = p.startHealthCheck
	p.cells.SnapshotUpdates.Handle = p.applySnapshot
	p.cells.LogEvents.Handle = p.logEvent
	p.cells.MetricsTicks.Handle = p.updateGauges
	p.cells.CollectOutcomes.Handle = p.collectOutcomes
	ctrl.AddProxy(&p.board, &p.cells, codec{p.platform.DecodePlan, p.platform.Rollouts.Decode}, clock.Boot{}, rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ctx, cancel := context.WithCancel(context.Background())
	p.stopControl = cancel
	p.goroutines.Go(func() { p.board.Run(ctx) })
}

// startTraffic starts to serve other proxies and callers.
func (p *Proxy) startTraffic() {
	settings := p.settings.Load()
	p.router.Snapshots, p.router.Remote, p.router.Local = snapshotSource{&p.cells, p.snapshotReady}, &p.pool, &peer.LocalCaller{Handler: upstreamDispatcher{p}}
	p.router.Pinger, p.router.Quotas = &p.pool, &p.quotas
	if settings.Revocation > 0 {
		p.router.KeyGuard = keyGuard{cells: &p.cells, maxAge: verify.MaxAge(settings.Revocation)}
	}
	p.router.Headers, p.router.Recorder = p.platform.Headers, &p.requestLog
	p.router.Host, p.router.Place = settings.Host, p.place()
	p.router.Service = func() mesh.Service { return p.settings.Load().Service }
	p.bodyMemory.SetLimit(settings.Limits.BodyBytes())
	p.router.Memory, p.front.Memory = &p.bodyMemory, &p.bodyMemory
	p.router.Budget.Configure(retryLimit(settings))
	p.front.Handler, p.front.Draining = &p.router, p.isDraining
	p.front.Limits = func() front.Limits {
		l := p.cells.Snapshot.Load().Plan.Limits()
		return front.Limits{MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
	}
	p.callerServer = p.front.NewHTTPServer(p.callerListener)
	p.goroutines.Go(func() { p.logServerError("callers", p.callerServer.Run()) })
	p.goroutines.Go(func() { p.logServerError("nodes", p.peers.Serve(p.nodeListener)) })
}

func retryLimit(settings *conf.Proxy) retry.SharedLimit {
	return retry.SharedLimit{Window: settings.RetryLimit.Window, Ratio: settings.RetryLimit.Ratio, Slack: settings.RetryLimit.Slack}
}

func (p *Proxy) startServers() (err error) {
	listen := p.settings.Load().Listen
	p.registrations.post, p.registrations.codec, p.registrations.logger, p.registrations.isKnownService = p.cells.UpstreamReports.Post, p.platform.Registrations, p.logger, p.isKnownService
	if p.adminServer, err = httpd.Start(listen.Admin, p.addAdminRoutes, server.WithMaxRequestBodySize(maxRegistrationBytes)); err != nil {
		return err
	}
	p.readyServer, err = httpd.Start(listen.Ready, p.addReadyRoutes)
	return err
}

// logServerError logs the error that ended a server.
func (p *Proxy) logServerError(name string, err error) {
	if err != nil {
		p.logger.Error().Str("server", name).Err(err).Msg("serverEnded")
	}
}

// logPanic logs a panic that ended one request.
func (p *Proxy) logPanic(value any, stack []byte) {
	p.logger.Error().Interface("panic", value).Bytes("stack", stack).Msg("requestPanicked")
}

func (p *Proxy) place() mesh.Place {
	settings := p.settings.Load()
	return mesh.Place{Region: settings.Region, Zone: settings.Zone}
}

// announcedAddr returns the address at which other proxies reach this one.
func (p *Proxy) announcedAddr() netip.AddrPort {
	if announce := p.settings.Load().Listen.Announce; announce.IsValid() {
		return announce
	}
	return sock.ListenAddr(p.nodeListener)
}

// isDraining reports whether the proxy tells callers and other proxies that it is
// leaving.
func (p *Proxy) isDraining() bool {
	phase := p.cells.Phase.Load()
	return phase == cells.Draining || phase == cells.Withdrawn || phase == cells.Stopped
}

// Addresses holds the listener addresses of a proxy.
type Addresses struct {
	Callers, Nodes, Admin, Ready netip.AddrPort
}

// Addresses returns the addresses that the proxy listens on.
func (p *Proxy) Addresses() Addresses {
	return Addresses{Callers: sock.ListenAddr(p.callerListener), Nodes: sock.ListenAddr(p.nodeListener), Admin: p.adminServer.Addr(), Ready: p.readyServer.Addr()}
}

// logEvent logs an event that a controller reports.
func (p *Proxy) logEvent(entry cells.LogEvent) {
	event := p.logger.Info()
	for _, f := range entry.Fields {
		switch v := f.Value.(type) {
		case time.Time:
			event = event.Time(f.Name, v)
		case time.Duration:
			event = event.Dur(f.Name, v)
		default:
			event = event.Interface(f.Name, v)
		}
	}
	event.Msg(entry.Name)
}

// WriteMetrics writes the metrics in text format.
func (p *Proxy) WriteMetrics(w io.Writer) error {
	return p.metrics.Write(w)
}

// snapshotSource provides traffic threads with the snapshot on the board.
type snapshotSource struct {
	cells *cells.Proxy
	ready <-chan struct{}
}

// Ready implements steer.SnapshotSource.
func (s snapshotSource) Ready() <-chan struct{} { return s.ready }

// Snapshot implements steer.SnapshotSource.
func (s snapshotSource) Snapshot() cells.ProxySnapshot {
	return s.cells.Snapshot.Load()
}

// LastConfirmed implements steer.SnapshotSource.
func (s snapshotSource) LastConfirmed(now time.Time) time.Time {
	return s.cells.Freshness.Load().LastConfirmed(now)
}

// httpStatus returns the status code of a readiness check.
func httpStatus(ready bool) int {
	if ready {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
