package ctrl

import (
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

// proxyUpstream tracks the state of the local upstream and acknowledges its reports.
// The acknowledgement of a report that the upstream drains or leaves waits until that
// is stored in the platform, so that the proxy knows of it after a restart.
type proxyUpstream struct {
	*cells.Proxy
	alarm   board.Alarm
	tracker fleet.UpstreamTracker
	// restored is true once the record of an earlier process was restored.
	restored bool
	// pendingAcks are the acknowledgements that wait for the record, in order.
	pendingAcks []pendingAck
	// checking is true while a health check is in progress. checkCount is the number of
	// health checks so far, and nextCheck the earliest time of the next one.
	checking   bool
	checkCount int
	nextCheck  time.Time
}

// pendingAck is the delayed acknowledgement of a report.
type pendingAck struct {
	id       uint64
	result   fleet.ReportResult
	deadline time.Time
}

func newProxyUpstream(proxy *cells.Proxy) board.Controller {
	u := &proxyUpstream{Proxy: proxy}
	return board.Controller{
		Name:   "proxyUpstream",
		Reads:  []board.Ref{&proxy.UpstreamReports, &proxy.UnreachableInstances, &proxy.StoredRecord, &proxy.HealthResults, &proxy.ActiveVersion, &u.alarm},
		Uses:   []board.Ref{&proxy.Self},
		Writes: []board.Ref{&proxy.LocalUpstream, &proxy.ReportAcks, &proxy.HealthChecks, &proxy.LogEvents, &u.alarm},
		Step:   u.step,
	}
}

func (u *proxyUpstream) step(now time.Time) {
	u.tracker.ProcessStart = u.Self.Get().StartedAt
	u.restore()
	for _, r := range u.UpstreamReports.Events() {
		u.handleReport(r, now)
	}
	for _, instance := range u.UnreachableInstances.Events() {
		if instance == u.tracker.Upstream().Instance {
			u.tracker.MarkUnreachable()
		}
	}
	u.checkHealth(now)
	timeout := maxMissedReports * u.Self.Get().Heartbeat
	u.tracker.Expire(now, timeout)
	u.publish(now)
	u.acknowledge(now)
	if expiry := u.tracker.ExpiresAt(timeout); !expiry.IsZero() {
		u.alarm.SetIfEarlier(expiry)
	}
}

// restore restores, once, the state that an earlier process of this proxy stored.
func (u *proxyUpstream) restore() {
	recorded := u.StoredRecord.Get()
	if u.restored || !recorded.Loaded {
		return
	}
	u.restored = true
	u.tracker.Restore(recorded.Node.Upstream)
}

// checkHealth sends health checks to an unconfirmed upstream, so that it receives
// requests again before its next report.
func (u *proxyUpstream) checkHealth(now time.Time) {
	for _, result := range u.HealthResults.Events() {
		u.checking, u.nextCheck = false, now.Add(healthCheckInterval)
		confirmed := u.tracker.Confirm(now, result.Instance)
		u.LogEvents.Send(cells.LogEvent{Name: "upstreamChecked", Fields: []cells.LogField{
			{Name: "instance", Value: u.tracker.Upstream().Instance},
			{Name: "found", Value: confirmed},
			{Name: "answered", Value: result.Instance},
			{Name: "reason", Value: result.Reason},
			{Name: "checks", Value: u.checkCount},
		}})
	}
	upstream, unconfirmed := u.tracker.Unconfirmed()
	service, _ := u.ActiveVersion.Get().Plan.Service(upstream.Service)
	if !unconfirmed || u.checking || u.checkCount == maxHealthChecks || service.HealthPath == "" {
		return
	}
	if now.Before(u.nextCheck) {
		u.alarm.SetIfEarlier(u.nextCheck)
		return
	}
	u.checking = true
	u.checkCount++
	u.HealthChecks.Send(cells.HealthCheck{Address: upstream.Address, Path: service.HealthPath})
}

func (u *proxyUpstream) handleReport(r cells.PendingReport, now time.Time) {
	result := u.tracker.HandleReport(now, r.Report)
	upstream := u.tracker.Upstream()
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
		}})
	}
	if result == fleet.Stale || !isLeaving(upstream.State) {
		u.ReportAcks.Send(cells.ReportAck{ID: r.ID, Result: result, Recorded: true})
		return
	}
	u.pendingAcks = append(u.pendingAcks, pendingAck{id: r.ID, result: result, deadline: now.Add(recordTimeout)})
}

// isLeaving reports whether an upstream in the state accepts no new requests for the
// rest of its life.
func isLeaving(state member.State) bool {
	return state == member.Draining || state == member.Left
}

// publish updates the cell LocalUpstream.
func (u *proxyUpstream) publish(now time.Time) {
	_, unconfirmed := u.tracker.Unconfirmed()
	old, next := u.LocalUpstream.Get(), cells.LocalUpstream{Upstream: u.tracker.Upstream(), Unconfirmed: unconfirmed && (u.checking || u.checkCount < maxHealthChecks)}
	if isLeaving(next.State) {
		next.AdmitUntil = old.AdmitUntil
		if next.AdmitUntil.IsZero() || old.Instance != next.Instance || !old.StartedAt.Equal(next.StartedAt) {
			next.AdmitUntil = now.Add(admitAfterDrain)
		}
	}
	if next != old {
		u.LocalUpstream.Set(next)
	}
}

// acknowledge acknowledges the reports whose state is stored or whose deadline has
// passed.
func (u *proxyUpstream) acknowledge(now time.Time) {
	recorded, upstream := u.StoredRecord.Get().Node.Upstream, u.tracker.Upstream()
	isRecorded := !u.StoredRecord.Get().Outdated && recorded.Instance == upstream.Instance && recorded.StartedAt.Equal(upstream.StartedAt) && recorded.State == upstream.State
	remaining := u.pendingAcks[:0]
	for _, p := range u.pendingAcks {
		if !isRecorded && now.Before(p.deadline) {
			remaining = append(remaining, p)
			u.alarm.SetIfEarlier(p.deadline)
			continue
		}
		u.ReportAcks.Send(cells.ReportAck{ID: p.id, Result: p.result, Recorded: isRecorded})
	}
	u.pendingAcks = remaining
}
