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
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

const (
	// waitPercentile is the percentile of the wait for a slot that is a metric.
	waitPercentile = 99
	// queuedShareTicks is the time constant of Proxy.queuedWhileFree, in updates.
	queuedShareTicks = 60
)

// applySnapshot configures the gate and the call handler by the new snapshot. It runs
// on the control thread.
func (p *Proxy) applySnapshot(mesh.Version) {
	snapshot := p.cells.Snapshot.Load()
	if !p.snapshotReadyClosed && snapshot.Plan != nil && snapshot.Phase == cells.Serving {
		p.snapshotReadyClosed = true
		close(p.snapshotReady)
	}
	p.applyUpstreams(&snapshot)
	p.quotas.Apply(snapshot)
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

// ApplySettings replaces the settings that may change at run time. The others are logged and
// shown in the status until the proxy is started with them.
func (p *Proxy) ApplySettings(settings conf.Proxy) {
	old := p.settings.Load()
	next, pending := old.Reload(&settings)
	if last := p.pendingSettings.Swap(&pending); len(pending) > 0 && (last == nil || !slices.Equal(*last, pending)) {
		p.logger.Warn().Strs("settings", pending).Msg("settingsNeedRestart")
	}
	if next == *old {
		return
	}
	p.settings.Store(&next)
	p.router.Budget.Configure(retryLimit(&next))
	p.store.SetAddress(next.Platform)
	p.logger.Info().Str("service", string(next.Service)).Dur("stop", next.Stop).Stringer("platform", next.Platform).Msg("settingsApplied")
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
	Beside            string       `json:"beside,omitempty"`
	BesideState       string       `json:"besideState,omitempty"`
	Running           int          `json:"running"`
	Waiting           int          `json:"waiting"`
	Slots             int          `json:"slots"`
	Unanswered        int          `json:"unanswered"`
	// PendingSettings are the keys of changed settings that need a restart.
	PendingSettings []string `json:"needsRestart,omitempty"`
}

// Status returns the current state.
func (p *Proxy) Status() Status {
	active, snapshot, load := p.cells.ActiveVersion.Load(), p.cells.Snapshot.Load(), p.local.gate.Load()
	beside := snapshot.BesideUpstream
	besideState := ""
	if beside.Instance != "" {
		besideState = beside.State.String()
	}
	var pendingSettings []string
	if pending := p.pendingSettings.Load(); pending != nil {
		pendingSettings = *pending
	}
	return Status{
		PendingSettings: pendingSettings, Beside: beside.Instance, BesideState: besideState,
		Host: p.settings.Load().Host, Phase: string(p.cells.Phase.Load()), Version: active.Plan.Version(), Since: active.Since,
		Source: active.Source, Reason: active.RefusalReason, RefusedVersion: active.RefusedVersion, ReadsPlatform: p.cells.ReadsPlatform.Load(), PlatformReachable: p.cells.PlatformStatus.Load().Reachable,
		Nodes: snapshot.NodeCount, Upstream: snapshot.LocalUpstream.Instance, State: snapshot.LocalUpstream.State.String(),
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Unanswered: p.front.PendingRequests(),
	}
}

// accountWeight returns the rate of an account, by which accounts share an upstream.
func (p *Proxy) accountWeight(name mesh.Account) float64 {
	if account := p.cells.Snapshot.Load().Plan.Account(name); account != nil {
		return account.Rate
	}
	return 0
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
	load, counters, sessions := p.local.gate.Load(), p.local.handler.Counters(), p.peers.Stats()
	sharing, intake := p.local.gate.Sharing(), p.router.Intake.Stats()
	nestedCalls, raised := p.nestedCalls.Stats()
	balance := p.updateBalance(now, load)
	held, limit := p.local.handler.Held()
	gauges := []gauge{
		{"version_in_force", float64(p.cells.ActiveVersion.Load().Plan.Version())},
		{"version_refused", asNumber(p.cells.ActiveVersion.Load().RefusalReason != "")},
		{"store_era", float64(p.cells.StoreEra.Load())},
		{"store_behind", asNumber(p.cells.Freshness.Load().Behind)},
		{"nodes_known", float64(p.cells.Snapshot.Load().NodeCount)},
		{"gate_running", float64(load.Running)},
		{"gate_waiting", float64(load.Waiting)},
		{"gate_wait_p99_seconds", p.local.gate.WaitQuantile(now, waitPercentile).Seconds()},
		{"service_busy_spread", balance.Spread},
		{"queued_while_free_share", p.queuedWhileFree},
		{"gate_accounts_waiting", float64(sharing.Accounts)},
		{"gate_largest_account_percent", float64(sharing.LargestPercent)},
		{"gate_displaced_by_share", float64(sharing.Displaced)},
		{"accounts_pending", float64(intake.Accounts)},
		{"largest_account_pending", float64(intake.Largest)},
		{"requests_account_refused", float64(intake.Refused)},
		{"nested_calls_urgent", float64(nestedCalls[mesh.Urgent])},
		{"nested_calls_high", float64(nestedCalls[mesh.High])},
		{"nested_calls_normal", float64(nestedCalls[mesh.Normal])},
		{"nested_calls_low", float64(nestedCalls[mesh.Low])},
		{"nested_calls_raised", float64(raised)},
		{"gate_held", float64(held)},
		{"upstream_limit", float64(limit)},
		{"calls_silent", float64(counters.Silent.Load())},
		{"calls_reset", float64(counters.Reset.Load())},
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
	p.updateRolloutGauges()
}

// updateBalance returns how evenly the hosts of this proxy's service are loaded, as far as
// it knows, and updates the share of time in which requests wait here while a slot is
// free at another host.
func (p *Proxy) updateBalance(now time.Time, load gate.Load) (balance pick.Balance) {
	settings := p.settings.Load()
	balance = p.router.Picker.Balance(now, mesh.ServiceID{Service: settings.Service}, settings.Host)
	p.queuedWhileFree += (asNumber(load.Waiting > 0 && balance.HasFreeSlot) - p.queuedWhileFree) / queuedShareTicks
	return balance
}

// asNumber returns 1 for true and 0 for false.
func asNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
