package proxy

import (
	"arbutusstep.example/arbutusstep/internal/grants"
	"arbutusstep.example/arbutusstep/internal/peer"
)

// startQuotas begins to enforce quotas if the settings say so. It returns the handler of
// the calls of other proxies, which answers those for tokens.
func (p *Proxy) startQuotas() peer.CallHandler {
	p.quotas.Caller = &p.pool
	if settings := p.settings.Load(); settings.Quota.Window > 0 {
		p.quotas.Start(settings.Host)
	}
	return &grants.Handler{Quotas: &p.quotas, Next: upstreamDispatcher{p}}
}

// quotaGauges returns the gauges of quotas; none if they are not enforced.
func (p *Proxy) quotaGauges() []gauge {
	if p.settings.Load().Quota.Window == 0 {
		return nil
	}
	source, counters := p.cells.TokenSource.Load(), p.quotas.Counters()
	return []gauge{
		{"quota_owner", asNumber(source.Owner)},
		{"quota_share", source.Share},
		{"quota_nodes", float64(source.Nodes)},
		{"quota_granted", float64(counters.Granted.Load())},
		{"quota_waited", float64(counters.Waited.Load())},
		{"quota_refused", float64(counters.Refused.Load())},
		{"quota_refunded", float64(counters.Refunded.Load())},
		{"quota_local_admitted", float64(counters.LocalAdmitted.Load())},
		{"quota_local_refused", float64(counters.LocalRefused.Load())},
		{"quota_calls", float64(counters.Calls.Load())},
		{"quota_calls_failed", float64(counters.FailedCalls.Load())},
		{"quota_served", float64(counters.Served.Load())},
	}
}
