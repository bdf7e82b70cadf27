package proxy

import (
	"context"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// predecessorLinger is how long after the start of the process the requests of its
// predecessor may run at the upstream.
const predecessorLinger = 2 * time.Second

// floors is the percentage of a gate's slots that is reserved for each priority under
// full load.
var floors = [mesh.NumPriorities]int{mesh.Low: 5, mesh.Normal: 5, mesh.High: 10}

// servedUpstream serves calls to one upstream of the host.
type servedUpstream struct {
	gate    gate.Gate
	handler serve.Handler
	// gateSlots is the number of slots that the gate was last configured with; control
	// thread only.
	gateSlots int
}

// initHandlers sets up the handlers of calls to the upstreams of this host.
func (p *Proxy) initHandlers() {
	p.router.Nested, p.router.GiveUpSilent = &p.nestedCalls, p.settings.Load().SilentUpstreams
	p.initHandler(&p.local.handler, &p.local.gate)
	p.initHandler(&p.beside.handler, &p.beside.gate)
	p.initHandler(&p.noUpstream, &p.local.gate)
	p.local.handler.OnUnreachable = func() { p.reportUnreachable(p.cells.Snapshot.Load().LocalUpstream) }
	p.beside.handler.OnUnreachable = func() { p.reportUnreachable(p.cells.Snapshot.Load().BesideUpstream) }
}

func (p *Proxy) initHandler(h *serve.Handler, g *gate.Gate) {
	h.Gate, h.Link, h.Memory, h.Headers = g, &p.egressLink, &p.bodyMemory, p.platform.Headers
	h.OnUnanswered, h.FinishBy, h.OnPanic, h.OnLimited = p.requestLog.logUnanswered, p.finishBy, p.logPanic, p.logLimited
	h.OnForward = func() { p.router.Budget.RecordRun(time.Now()) }
	h.AccountWeight, h.Runs = p.accountWeight, &p.nestedCalls
	h.ServiceShare = func() float64 { return p.cells.Snapshot.Load().ServiceShare }
	h.FanOut = func() float64 { return p.router.Budget.MaxFanOut(time.Now(), p.settings.Load().Service) }
}

// reportUnreachable tells the control thread that connections to the upstream fail.
func (p *Proxy) reportUnreachable(upstream fleet.Upstream) {
	p.cells.UnreachableInstances.Post(upstream.Instance)
}

// applyUpstreams configures the gates and the handlers by the snapshot. It runs on the
// control thread.
func (p *Proxy) applyUpstreams(snapshot *cells.ProxySnapshot) {
	p.local.configureGate(snapshot.LocalUpstream)
	p.beside.configureGate(snapshot.BesideUpstream)
	p.local.handler.SetTarget(p.targetOf(snapshot, snapshot.LocalUpstream, snapshot.AdmitUntil))
	p.beside.handler.SetTarget(p.targetOf(snapshot, snapshot.BesideUpstream, snapshot.BesideAdmitUntil))
}

func (u *servedUpstream) configureGate(upstream fleet.Upstream) {
	if upstream.Slots > 0 && upstream.Slots != u.gateSlots {
		u.gateSlots = upstream.Slots
		u.gate.Configure(gate.Config{Slots: upstream.Slots, Floors: floors, FixedLimit: true, PredictWait: true})
	}
}

// targetOf returns the target of calls to an upstream.
func (p *Proxy) targetOf(snapshot *cells.ProxySnapshot, upstream fleet.Upstream, admitUntil time.Time) serve.Target {
	if upstream.Instance == "" {
		return serve.Target{}
	}
	target := serve.Target{Instance: upstream.Instance, Service: upstream.Service}
	service, _ := snapshot.Plan.Service(upstream.Service)
	target.MaxConnections = service.MaxConnections
	switch upstream.State {
	case member.Ready, member.Warming:
		target.Address = upstream.Address
	case member.Draining, member.Left:
		target.Address, target.AdmitUntil = upstream.Address, admitUntil
	case member.Lost:
	}
	if p.settings.Load().SilentUpstreams && target.Address.IsValid() {
		target.Slots = upstream.Slots
		if upstream.StartedAt.Before(p.startedAt) {
			target.InheritedUntil = p.startedAt.Add(predecessorLinger)
		}
	}
	return target
}

// logLimited logs that an upstream begins or ceases to get fewer requests.
func (p *Proxy) logLimited(limited bool, limit int) {
	p.logger.Info().Bool("limited", limited).Int("limit", limit).Msg("upstreamLimited")
}

// upstreamDispatcher passes each call to the upstream that it is for.
type upstreamDispatcher struct{ proxy *Proxy }

// ServeCall implements peer.CallHandler.
func (d upstreamDispatcher) ServeCall(ctx context.Context, call *peer.Call, reply peer.ReplyWriter) {
	d.proxy.handlerFor(call).ServeCall(ctx, call, reply)
}

// handlerFor returns the handler for a call. A call to a release that is not on this host
// is served by another one if the service has no order that forbids it: the caller may not
// know yet that the upstream was replaced.
func (p *Proxy) handlerFor(call *peer.Call) *serve.Handler {
	if call.Head.Release == nil {
		return &p.local.handler
	}
	snapshot, rollouts := p.cells.Snapshot.Load(), p.cells.Rollouts.Load()
	release := mesh.Release(call.Head.GetRelease())
	upstreams := []struct {
		fleet.Upstream
		handler *serve.Handler
	}{{snapshot.LocalUpstream, &p.local.handler}, {snapshot.BesideUpstream, &p.beside.handler}}
	service := mesh.Service(call.Head.GetService())
	view := rollouts.Views[service]
	if release == view.Status.Target && view.RoleOf(release) == shift.Barred && !snapshot.LastResort[service] {
		return &p.noUpstream
	}
	for _, u := range upstreams {
		if u.Instance != "" && u.Release == release {
			return u.handler
		}
	}
	for _, u := range upstreams {
		if u.Instance != "" && rollouts.RoleOf(u.Service, u.Release) == shift.Serving {
			return u.handler
		}
	}
	return &p.noUpstream
}

// collectOutcomes passes the outcomes that the traffic threads counted to the control
// thread. It runs on the control thread.
func (p *Proxy) collectOutcomes(time.Time) {
	outcomes := p.router.Outcomes.Take()
	if len(outcomes) == 0 {
		return
	}
	for service, counts := range outcomes {
		for key, c := range counts {
			scope := p.metrics.Scope.Tagged(map[string]string{"service": string(service), "release": string(key.Release)})
			scope.Counter("rollout_responses").Inc(int64(c.Responses))
			scope.Counter("rollout_failures").Inc(int64(c.Failures))
			scope.Counter("rollout_late").Inc(int64(c.Late))
		}
	}
	p.cells.Outcomes.Post(outcomes)
}

// updateRolloutGauges updates the gauges of the orders in force. It runs on the control
// thread.
func (p *Proxy) updateRolloutGauges() {
	rollouts, lastResort := p.cells.Rollouts.Load(), p.cells.Snapshot.Load().LastResort
	for service, view := range rollouts.Views {
		scope := p.metrics.Scope.Tagged(map[string]string{"service": string(service), "release": string(view.Status.Target)})
		scope.Gauge("rollout_share").Update(rollouts.Trials[service].Share)
		scope.Gauge("rollout_phase").Update(float64(view.Status.Phase))
		scope.Gauge("rollout_halted").Update(asNumber(view.Halted))
		scope.Gauge("rollout_last_resort").Update(asNumber(lastResort[service]))
	}
	p.metrics.Scope.Gauge("beside_running").Update(float64(p.beside.gate.Load().Running))
}
