package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
)

const (
	// silentWords is how many words in a row an upstream may leave out before it
	// counts as lost.
	silentWords = 3
	// admitAfterLeave is for how long the gate still admits requests after the
	// upstream said that it leaves, so that callers' nodes hear of it first.
	admitAfterLeave = time.Second
	// recordWait bounds the wait for the platform before a word is acknowledged
	// without its being recorded there.
	recordWait = 700 * time.Millisecond
	// maxChecks bounds how often a doubted upstream is asked whether it serves, and
	// checkAgain is the time between two times; it speaks by itself after a while.
	maxChecks  = 4
	checkAgain = 200 * time.Millisecond
)

// guest keeps what is known of the upstream beside the proxy, and says when its
// words may be acknowledged: one that ends new work only once it is recorded,
// so that a later process of this proxy knows of it.
type guest struct {
	*cells.Proxy
	alarm board.Alarm
	known fleet.UpstreamTracker
	// recalled is true once an earlier process's record was taken in.
	recalled bool
	// waiting holds the words that wait for the record, in order.
	waiting []waitingWord
	// checking is true while a check is underway; checks counts them, and the next
	// one is due at checkAt.
	checking bool
	checks   int
	checkAt  time.Time
}

// waitingWord is a word whose acknowledgement waits.
type waitingWord struct {
	ack     uint64
	verdict fleet.ReportResult
	until   time.Time
}

func newGuest(set *cells.Proxy) board.Controller {
	g := &guest{Proxy: set}
	return board.Controller{
		Name:   "guest",
		Reads:  []board.Ref{&set.UpstreamReports, &set.UnreachableInstances, &set.StoredRecord, &set.HealthResults, &set.ActiveVersion, &g.alarm},
		Uses:   []board.Ref{&set.Self},
		Writes: []board.Ref{&set.LocalUpstream, &set.ReportAcks, &set.HealthChecks, &set.LogEvents, &g.alarm},
		Step:   g.step,
	}
}

func (g *guest) step(now time.Time) {
	g.known.ProcessStart = g.Self.Get().StartedAt
	g.recall()
	for _, s := range g.UpstreamReports.Events() {
		g.hear(s, now)
	}
	for _, instance := range g.UnreachableInstances.Events() {
		if instance == g.known.Upstream().Instance {
			g.known.MarkUnreachable()
		}
	}
	g.check(now)
	silence := silentWords * g.Self.Get().Heartbeat
	g.known.Expire(now, silence)
	g.publish(now)
	g.acknowledge(now)
	if due := g.known.ExpiresAt(silence); !due.IsZero() {
		g.alarm.SetIfEarlier(due)
	}
}

// recall takes in, once, what an earlier process of this proxy recorded.
func (g *guest) recall() {
	recorded := g.StoredRecord.Get()
	if g.recalled || !recorded.Loaded {
		return
	}
	g.recalled = true
	g.known.Restore(recorded.Node.Upstream)
}

// check asks the doubted upstream whether it serves, so that it gets work before
// its words show that.
func (g *guest) check(now time.Time) {
	for _, c := range g.HealthResults.Events() {
		g.checking, g.checkAt = false, now.Add(checkAgain)
		found := g.known.Confirm(now, c.Instance)
		g.LogEvents.Send(cells.LogEvent{Name: "upstreamChecked", Fields: []cells.LogField{
			{Name: "instance", Value: g.known.Upstream().Instance},
			{Name: "found", Value: found},
			{Name: "answered", Value: c.Instance},
			{Name: "reason", Value: c.Reason},
			{Name: "checks", Value: g.checks},
		}})
	}
	upstream, doubted := g.known.Unconfirmed()
	service, _ := g.ActiveVersion.Get().Plan.Service(upstream.Service)
	if !doubted || g.checking || g.checks == maxChecks || service.HealthPath == "" {
		return
	}
	if now.Before(g.checkAt) {
		g.alarm.SetIfEarlier(g.checkAt)
		return
	}
	g.checking = true
	g.checks++
	g.HealthChecks.Send(cells.HealthCheck{Address: upstream.Address, Path: service.HealthPath})
}

func (g *guest) hear(s cells.PendingReport, now time.Time) {
	verdict := g.known.HandleReport(now, s.Report)
	known := g.known.Upstream()
	if verdict != fleet.Renewed {
		g.LogEvents.Send(cells.LogEvent{Name: "upstreamWord", Fields: []cells.LogField{
			{Name: "verdict", Value: verdict.String()},
			{Name: "instance", Value: s.Report.Instance},
			{Name: "born", Value: s.Report.StartedAt},
			{Name: "sequence", Value: s.Report.Sequence},
			{Name: "said", Value: s.Report.State.String()},
			{Name: "farewell", Value: s.Report.Deregister},
			{Name: "knownInstance", Value: known.Instance},
			{Name: "knownSequence", Value: known.Sequence},
			{Name: "state", Value: known.State.String()},
			{Name: "service", Value: string(known.Service)},
		}})
	}
	if verdict == fleet.Stale || !leaves(known.State) {
		g.ReportAcks.Send(cells.ReportAck{ID: s.ID, Result: verdict, Recorded: true})
		return
	}
	g.waiting = append(g.waiting, waitingWord{ack: s.ID, verdict: verdict, until: now.Add(recordWait)})
}

// leaves reports whether the state ends new work for good.
func leaves(state member.State) bool {
	return state == member.Draining || state == member.Left
}

// publish brings the cell up to date. The gate closes some time after a word
// that ends new work.
func (g *guest) publish(now time.Time) {
	_, doubted := g.known.Unconfirmed()
	old, next := g.LocalUpstream.Get(), cells.LocalUpstream{Upstream: g.known.Upstream(), Unconfirmed: doubted && (g.checking || g.checks < maxChecks)}
	if leaves(next.State) {
		next.AdmitUntil = old.AdmitUntil
		if next.AdmitUntil.IsZero() || old.Instance != next.Instance || !old.StartedAt.Equal(next.StartedAt) {
			next.AdmitUntil = now.Add(admitAfterLeave)
		}
	}
	if next != old {
		g.LocalUpstream.Set(next)
	}
}

// acknowledge answers the words that are recorded, or have waited too long.
func (g *guest) acknowledge(now time.Time) {
	recorded, known := g.StoredRecord.Get().Node.Upstream, g.known.Upstream()
	done := recorded.Instance == known.Instance && recorded.StartedAt.Equal(known.StartedAt) && recorded.State == known.State
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		if !done && now.Before(w.until) {
			kept = append(kept, w)
			g.alarm.SetIfEarlier(w.until)
			continue
		}
		g.ReportAcks.Send(cells.ReportAck{ID: w.ack, Result: w.verdict, Recorded: done})
	}
	g.waiting = kept
}
