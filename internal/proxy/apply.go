package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// floors are the shares in percent that each priority keeps at a full gate.
var floors = [mesh.NumPriorities]int{mesh.Low: 5, mesh.Normal: 5, mesh.High: 10}

// published brings the gate and the handler in line with the new snapshot. It
// runs on the control thread.
func (p *Proxy) published(mesh.Version) {
	traffic := p.cells.Snapshot.Load()
	if !p.served && traffic.Plan != nil && traffic.Phase == cells.Serving {
		p.served = true
		close(p.serving)
	}
	own := traffic.LocalUpstream
	if own.Slots > 0 && own.Slots != p.slots {
		p.slots = own.Slots
		p.gate.Configure(gate.Config{Slots: own.Slots, Floors: floors, FixedLimit: true, PredictWait: true})
	}
	target := serve.Target{Instance: own.Instance, Service: own.Service}
	service, _ := traffic.Plan.Service(own.Service)
	target.MaxConnections = service.MaxConnections
	switch own.State {
	case member.Ready, member.Warming:
		target.Address = own.Address
	case member.Draining, member.Left:
		target.Address, target.AdmitUntil = own.Address, traffic.AdmitUntil
	case member.Lost:
	}
	if own.Instance == "" {
		target = serve.Target{}
	}
	p.handler.SetTarget(target)
}

// unreachable tells the control thread that connections to the upstream fail.
func (p *Proxy) unreachable() {
	p.cells.UnreachableInstances.Post(p.cells.Snapshot.Load().LocalUpstream.Instance)
}

// readiness counts the platform's questions whether the proxy is ready.
type readiness struct {
	// missed counts the answers in a row that said no.
	missed atomic.Int64
}

// readyRoutes serves the platform's questions.
func (p *Proxy) readyRoutes(engine *server.Hertz) {
	engine.GET("/ready", func(_ context.Context, c *app.RequestContext) {
		ready := p.cells.Phase.Load() == cells.Serving
		if ready {
			p.ready.missed.Store(0)
		} else {
			p.ready.missed.Add(1)
		}
		c.SetStatusCode(statusOf(ready))
	})
}

// Apply replaces the settings that may change while a proxy runs: the service
// beside it, the bounds on repeats, and how long a stop may take.
func (p *Proxy) Apply(settings conf.Proxy) {
	old := p.settings.Load()
	next := *old
	next.Service, next.RetryLimit, next.Stop = settings.Service, settings.RetryLimit, settings.Stop
	if next == *old {
		return
	}
	p.settings.Store(&next)
	p.steerer.Budget.Configure(allowanceOf(&next))
	p.logger.Info().Str("service", string(next.Service)).Dur("stop", next.Stop).Msg("settingsApplied")
}

// Status describes a proxy to operators.
type Status struct {
	Host       mesh.HostID  `json:"host"`
	Phase      string       `json:"phase"`
	Version    mesh.Version `json:"version"`
	Since      time.Time    `json:"since"`
	From       mesh.HostID  `json:"from,omitempty"`
	Reason     string       `json:"reason,omitempty"`
	Reading    bool         `json:"reading"`
	Reached    bool         `json:"reached"`
	Nodes      int          `json:"nodes"`
	Upstream   string       `json:"upstream,omitempty"`
	State      string       `json:"state,omitempty"`
	Running    int          `json:"running"`
	Waiting    int          `json:"waiting"`
	Slots      int          `json:"slots"`
	Unanswered int          `json:"unanswered"`
}

// Status describes the proxy.
func (p *Proxy) Status() Status {
	held, traffic, load := p.cells.ActiveVersion.Load(), p.cells.Snapshot.Load(), p.gate.Load()
	return Status{
		Host: p.settings.Load().Host, Phase: string(p.cells.Phase.Load()), Version: held.Plan.Version(), Since: held.Since,
		From: held.Source, Reason: held.RefusalReason, Reading: p.cells.ReadsPlatform.Load(), Reached: p.cells.PlatformStatus.Load().Reachable,
		Nodes: traffic.NodeCount, Upstream: traffic.LocalUpstream.Instance, State: traffic.LocalUpstream.State.String(),
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Unanswered: p.front.Busy(),
	}
}

// collect brings the gauges up to date from the counters of traffic threads. It
// runs on the control thread.
func (p *Proxy) collect(time.Time) {
	load, counters, sessions := p.gate.Load(), p.handler.Counters(), p.peers.Stats()
	gauges := []struct {
		name  string
		value float64
	}{
		{"version_in_force", float64(p.cells.ActiveVersion.Load().Plan.Version())},
		{"nodes_known", float64(p.cells.Snapshot.Load().NodeCount)},
		{"gate_running", float64(load.Running)},
		{"gate_waiting", float64(load.Waiting)},
		{"calls_answered", float64(counters.Answered.Load())},
		{"calls_not_run", float64(counters.NotRun.Load())},
		{"calls_unknown", float64(counters.Unknown.Load())},
		{"calls_cut", float64(counters.Truncated.Load())},
		{"sessions_accepted", float64(sessions.Sessions)},
		{"platform_calls", float64(p.store.Calls())},
		{"requests_unanswered", float64(p.front.Busy())},
		{"log_lines_dropped", float64(p.ends.skipped.Load())},
	}
	for _, g := range gauges {
		p.metrics.Scope.Gauge(g.name).Update(g.value)
	}
}
