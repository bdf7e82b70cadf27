package proxy

import (
	"context"
	"slices"
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

// floors is the percentage of the gate's slots that is reserved for each priority
// under full load.
var floors = [mesh.NumPriorities]int{mesh.Low: 5, mesh.Normal: 5, mesh.High: 10}

// applySnapshot configures the gate and the call handler by the new snapshot. It runs
// on the control thread.
func (p *Proxy) applySnapshot(mesh.Version) {
	snapshot := p.cells.Snapshot.Load()
	if !p.snapshotReadyClosed && snapshot.Plan != nil && snapshot.Phase == cells.Serving {
		p.snapshotReadyClosed = true
		close(p.snapshotReady)
	}
	upstream := snapshot.LocalUpstream
	if upstream.Slots > 0 && upstream.Slots != p.gateSlots {
		p.gateSlots = upstream.Slots
		p.gate.Configure(gate.Config{Slots: upstream.Slots, Floors: floors, FixedLimit: true, PredictWait: true})
	}
	target := serve.Target{Instance: upstream.Instance, Service: upstream.Service}
	service, _ := snapshot.Plan.Service(upstream.Service)
	target.MaxConnections = service.MaxConnections
	switch upstream.State {
	case member.Ready, member.Warming:
		target.Address = upstream.Address
	case member.Draining, member.Left:
		target.Address, target.AdmitUntil = upstream.Address, snapshot.AdmitUntil
	case member.Lost:
	}
	if upstream.Instance == "" {
		target = serve.Target{}
	}
	p.handler.SetTarget(target)
	p.quotas.Apply(snapshot)
}

// reportUnreachable tells the control thread that connections to the upstream fail.
func (p *Proxy) reportUnreachable() {
	p.cells.UnreachableInstances.Post(p.cells.Snapshot.Load().LocalUpstream.Instance)
}

// readiness tracks the readiness checks of the platform.
type readiness struct {
	// failures is the number of consecutive checks that were answered with not ready.
	failures atomic.Int64
}

// addReadyRoutes adds the route for readiness checks.
func (p *Proxy) addReadyRoutes(engine *server.Hertz) {
	engine.GET("/ready", func(_ context.Context, c *app.RequestContext) {
		ready := p.cells.Phase.Load() == cells.Serving
		if ready {
			p.readiness.failures.Store(0)
		} else {
			p.readiness.failures.Add(1)
		}
		c.SetStatusCode(httpStatus(ready))
	})
}

// ApplySettings replaces the settings that may change at run time: the service of this
// host, the retry limits, and the duration of a stop.
func (p *Proxy) ApplySettings(settings conf.Proxy) {
	old := p.settings.Load()
	next := *old
	next.Service, next.RetryLimit, next.Stop = settings.Service, settings.RetryLimit, settings.Stop
	if next == *old {
		return
	}
	p.settings.Store(&next)
	p.router.Budget.Configure(retryLimit(&next))
	p.logger.Info().Str("service", string(next.Service)).Dur("stop", next.Stop).Msg("settingsApplied")
}

// Status is the state of a proxy as shown to operators.
type Status struct {
	Host              mesh.HostID  `json:"host"`
	Phase             string       `json:"phase"`
	Version           mesh.Version `json:"version"`
	Since             time.Time    `json:"since"`
	Source            mesh.HostID  `json:"from,omitempty"`
	Reason            string       `json:"reason,omitempty"`
	RefusedVersion    mesh.Version `json:"refused,omitempty"`
	ReadsPlatform     bool         `json:"reading"`
	PlatformReachable bool         `json:"reached"`
	Nodes             int          `json:"nodes"`
	Upstream          string       `json:"upstream,omitempty"`
	State             string       `json:"state,omitempty"`
	Running           int          `json:"running"`
	Waiting           int          `json:"waiting"`
	Slots             int          `json:"slots"`
	Unanswered        int          `json:"unanswered"`
}

// Status returns the current state.
func (p *Proxy) Status() Status {
	active, snapshot, load := p.cells.ActiveVersion.Load(), p.cells.Snapshot.Load(), p.gate.Load()
	return Status{
		Host: p.settings.Load().Host, Phase: string(p.cells.Phase.Load()), Version: active.Plan.Version(), Since: active.Since,
		Source: active.Source, Reason: active.RefusalReason, RefusedVersion: active.RefusedVersion, ReadsPlatform: p.cells.ReadsPlatform.Load(), PlatformReachable: p.cells.PlatformStatus.Load().Reachable,
		Nodes: snapshot.NodeCount, Upstream: snapshot.LocalUpstream.Instance, State: snapshot.LocalUpstream.State.String(),
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Unanswered: p.front.PendingRequests(),
	}
}

// gauge is a metric that is updated once a second.
type gauge struct {
	name  string
	value float64
}

// updateGauges updates the gauges from the counters of traffic threads. It runs on the
// control thread.
func (p *Proxy) updateGauges(now time.Time) {
	p.updateVerifiedAge(now)
	load, counters, sessions := p.gate.Load(), p.handler.Counters(), p.peers.Stats()
	gauges := []gauge{
		{"version_in_force", float64(p.cells.ActiveVersion.Load().Plan.Version())},
		{"version_refused", asNumber(p.cells.ActiveVersion.Load().RefusalReason != "")},
		{"store_era", float64(p.cells.StoreEra.Load())},
		{"store_behind", asNumber(p.cells.Freshness.Load().Behind)},
		{"nodes_known", float64(p.cells.Snapshot.Load().NodeCount)},
		{"gate_running", float64(load.Running)},
		{"gate_waiting", float64(load.Waiting)},
		{"calls_answered", float64(counters.Answered.Load())},
		{"calls_not_run", float64(counters.NotRun.Load())},
		{"calls_unknown", float64(counters.Unknown.Load())},
		{"calls_cut", float64(counters.Truncated.Load())},
		{"body_bytes", float64(p.bodyMemory.Used())},
		{"link_stalls", float64(p.egressLink.Stalls())},
		{"sessions_accepted", float64(sessions.Sessions)},
		{"platform_calls", float64(p.store.Calls())},
		{"requests_unverified", float64(p.requestLog.unverified.Load())},
		{"requests_unanswered", float64(p.front.PendingRequests())},
		{"log_lines_dropped", float64(p.requestLog.droppedLines.Load())},
	}
	for _, g := range slices.Concat(gauges, p.quotaGauges()) {
		p.metrics.Scope.Gauge(g.name).Update(g.value)
	}
}

// asNumber returns 1 for true and 0 for false.
func asNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
