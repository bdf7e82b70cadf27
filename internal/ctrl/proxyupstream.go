package ctrl

import (
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
)

const (
	// maxMissedReports is the number of heartbeat intervals without a report after
	// which an upstream counts as lost.
	maxMissedReports = 3
	// admitAfterDrain is how long requests are still admitted after the upstream
	// reported that it drains or leaves, so that the callers' nodes learn of it first.
	admitAfterDrain = time.Second
	// recordTimeout is how long the acknowledgement of a report waits for the record
	// to be stored in the platform. After that it is sent although nothing is stored.
	recordTimeout = 700 * time.Millisecond
	// maxHealthChecks is the maximum number of health checks of an unconfirmed
	// upstream, and healthCheckInterval the time between them. The limit is low
	// because the upstream reports by itself after some time.
	maxHealthChecks     = 4
	healthCheckInterval = 200 * time.Millisecond
)

// proxyUpstream tracks the state of the local upstreams and acknowledges their reports.
// The acknowledgement of a report that the upstream drains or leaves waits until that
// is stored in the platform, so that the proxy knows of it after a restart.
type proxyUpstream struct {
	*cells.Proxy
	alarm board.Alarm
	pair  fleet.UpstreamPair
	// restored is true once the record of an earlier process was restored.
	restored bool
	// pendingAcks are the acknowledgements that wait for the record, in order.
	pendingAcks []pendingAck
	checks      [2]healthChecks
}

// healthChecks is the state of the health checks of one upstream.
type healthChecks struct {
	// checking is true while a health check of address is in progress. count is the number
	// of health checks so far, and next the earliest time of the next one.
	checking bool
	address  netip.AddrPort
	count    int
	next     time.Time
}

// pendingAck is the delayed acknowledgement of a report.
type pendingAck struct {
	id uint64
	// place is the place of the upstream, 0 or 1.
	place    int
	result   fleet.ReportResult
	deadline time.Time
}

func newProxyUpstream(proxy *cells.Proxy) board.Controller {
	u := &proxyUpstream{Proxy: proxy}
	return board.Controller{
		Name:   "proxyUpstream",
		Reads:  []board.Ref{&proxy.UpstreamReports, &proxy.UnreachableInstances, &proxy.StoredRecord, &proxy.HealthResults, &proxy.ActiveVersion, &u.alarm},
		Uses:   []board.Ref{&proxy.Self},
		Writes: []board.Ref{&proxy.LocalUpstream, &proxy.BesideUpstream, &proxy.ReportAcks, &proxy.HealthChecks, &proxy.LogEvents, &u.alarm},
		Step:   u.step,
	}
}

func (u *proxyUpstream) step(now time.Time) {
	for i := range u.pair.Trackers {
		u.pair.Trackers[i].ProcessStart = u.Self.Get().StartedAt
	}
	u.restore()
	for _, r := range u.UpstreamReports.Events() {
		u.handleReport(r, now)
	}
	for _, instance := range u.UnreachableInstances.Events() {
		for i := range u.pair.Trackers {
			if instance == u.pair.Trackers[i].Upstream().Instance {
				u.pair.Trackers[i].MarkUnreachable()
			}
		}
	}
	u.handleHealthResults(now)
	timeout := maxMissedReports * u.Self.Get().Heartbeat
	for i := range u.pair.Trackers {
		u.checkHealth(i, now)
		u.pair.Trackers[i].Expire(now, timeout)
		if expiry := u.pair.Trackers[i].ExpiresAt(timeout); !expiry.IsZero() {
			u.alarm.SetIfEarlier(expiry)
		}
	}
	u.publish(&u.LocalUpstream, 0, now)
	u.publish(&u.BesideUpstream, 1, now)
	u.acknowledge(now)
}

// restore restores, once, the state that an earlier process of this proxy stored.
func (u *proxyUpstream) restore() {
	recorded := u.StoredRecord.Get()
	if u.restored || !recorded.Loaded {
		return
	}
	u.restored = true
	u.pair.Restore(recorded.Node.Upstream, recorded.Node.Beside)
}

// handleHealthResults takes the results of health checks. A result without an address is
// about the first check in progress.
func (u *proxyUpstream) handleHealthResults(now time.Time) {
	for _, result := range u.HealthResults.Events() {
		place := 0
		if c := u.checks[1]; c.checking && (c.address == result.Address || !u.checks[0].checking) {
			place = 1
		}
		c, tracker := &u.checks[place], &u.pair.Trackers[place]
		c.checking, c.next = false, now.Add(healthCheckInterval)
		confirmed := tracker.Confirm(now, result.Instance)
		u.LogEvents.Send(cells.LogEvent{Name: "upstreamChecked", Fields: []cells.LogField{
			{Name: "instance", Value: tracker.Upstream().Instance},
			{Name: "found", Value: confirmed},
			{Name: "answered", Value: result.Instance},
			{Name: "reason", Value: result.Reason},
			{Name: "checks", Value: c.count},
		}})
	}
}

// checkHealth sends health checks to an unconfirmed upstream, so that it receives
// requests again before its next report.
func (u *proxyUpstream) checkHealth(place int, now time.Time) {
	c := &u.checks[place]
	upstream, unconfirmed := u.pair.Trackers[place].Unconfirmed()
	service, _ := u.ActiveVersion.Get().Plan.Service(upstream.Service)
	if !unconfirmed || c.checking || c.count == maxHealthChecks || service.HealthPath == "" {
		return
	}
	if now.Before(c.next) {
		u.alarm.SetIfEarlier(c.next)
		return
	}
	c.checking, c.address = true, upstream.Address
	c.count++
	u.HealthChecks.Send(cells.HealthCheck{Address: upstream.Address, Path: service.HealthPath})
}

func (u *proxyUpstream) handleReport(r cells.PendingReport, now time.Time) {
	place := u.pair.Place(r.Report)
	result := u.pair.Trackers[place].HandleReport(now, r.Report)
	upstream := u.pair.Trackers[place].Upstream()
	if result != fleet.Renewed {
		u.LogEvents.Send(cells.LogEvent{Name: "upstreamWord", Fields: []cells.LogField{
			{Name: "verdict", Value: result.String()},
			{Name: "instance", Value: r.Report.Instance},
			{Name: "born", Value: r.Report.StartedAt},
			{Name: "sequence", Value: r.Report.Sequence},
			{Name: "said", Value: r.Report.State.String()},
			{Name: "farewell", Value: r.Report.Deregister},
			{Name: "knownInstance", Value: upstream.Instance},
			{Name: "knownSequence", Value: upstream.Sequence},
			{Name: "state", Value: upstream.State.String()},
			{Name: "service", Value: string(upstream.Service)},
			{Name: "release", Value: string(upstream.Release)},
		}})
	}
	if result == fleet.Stale || !isLeaving(upstream.State) {
		u.ReportAcks.Send(cells.ReportAck{ID: r.ID, Result: result, Recorded: true})
		return
	}
	u.pendingAcks = append(u.pendingAcks, pendingAck{id: r.ID, place: place, result: result, deadline: now.Add(recordTimeout)})
}

// isLeaving reports whether an upstream in the state accepts no new requests for the
// rest of its life.
func isLeaving(state member.State) bool {
	return state == member.Draining || state == member.Left
}

// publish updates the cell of an upstream.
func (u *proxyUpstream) publish(cell *board.Cell[cells.LocalUpstream], place int, now time.Time) {
	tracker, c := &u.pair.Trackers[place], u.checks[place]
	_, unconfirmed := tracker.Unconfirmed()
	old, next := cell.Get(), cells.LocalUpstream{Upstream: tracker.Upstream(), Unconfirmed: unconfirmed && (c.checking || c.count < maxHealthChecks)}
	if isLeaving(next.State) {
		next.AdmitUntil = old.AdmitUntil
		if next.AdmitUntil.IsZero() || old.Instance != next.Instance || !old.StartedAt.Equal(next.StartedAt) {
			next.AdmitUntil = now.Add(admitAfterDrain)
		}
	}
	if next != old {
		cell.Set(next)
	}
}

// acknowledge acknowledges the reports whose state is stored or whose deadline has
// passed.
func (u *proxyUpstream) acknowledge(now time.Time) {
	stored := u.StoredRecord.Get()
	remaining := u.pendingAcks[:0]
	for _, p := range u.pendingAcks {
		recorded, upstream := [2]fleet.Upstream{stored.Node.Upstream, stored.Node.Beside}[p.place], u.pair.Trackers[p.place].Upstream()
		isRecorded := !stored.Outdated && recorded.Instance == upstream.Instance && recorded.StartedAt.Equal(upstream.StartedAt) && recorded.State == upstream.State
		if !isRecorded && now.Before(p.deadline) {
			remaining = append(remaining, p)
			u.alarm.SetIfEarlier(p.deadline)
			continue
		}
		u.ReportAcks.Send(cells.ReportAck{ID: p.id, Result: p.result, Recorded: isRecorded})
	}
	u.pendingAcks = remaining
}
