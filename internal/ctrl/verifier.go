package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

// restoredGrace is how long after its start a proxy waits for the records that others write
// again after the store was restored. They are back within two seconds; those of dead
// proxies never are.
const restoredGrace = 4 * time.Second

// verifier determines VerifiedAt from the responses to this proxy's own watches of versions
// and from the heartbeats of its parents. It must be added after versionApplier and
// proxySnapshotBuilder: traffic threads that read VerifiedAt, and then the snapshot, see
// every version accepted before VerifiedAt.
type verifier struct {
	*cells.Proxy
	clock   SuspensionClock
	alarm   board.Alarm
	tracker verify.Tracker
	// loadedAt is when the roster was first complete.
	loadedAt time.Time
	// refusing is true while requests with keys are refused.
	refusing bool
}

func newVerifier(proxy *cells.Proxy, clock SuspensionClock) board.Controller {
	v := &verifier{Proxy: proxy, clock: clock}
	return board.Controller{
		Name:   "verifier",
		Reads:  []board.Ref{&proxy.LinkEvents, &proxy.ObjectEvents, &proxy.ActiveVersion, &v.alarm},
		Uses:   []board.Ref{&proxy.Self, &proxy.Snapshot, &proxy.StoreEra, &proxy.Roster},
		Writes: []board.Ref{&proxy.Freshness, &proxy.LogEvents, &v.alarm},
		Step:   v.step,
	}
}

func (v *verifier) step(now time.Time) {
	if v.Self.Get().Revocation == 0 {
		return
	}
	moment := verify.Moment{Time: now, Suspended: v.clock.Suspended()}
	v.tracker.Started = probeOrigin(v.Proxy)
	if !isBehind(v.Proxy) && !v.mayBeBehind(now) {
		v.addConfirmations(moment)
	}
	v.publish()
	v.logRefusals(moment)
}

// mayBeBehind reports whether this process started so soon after the store was restored
// that the other proxies have not written their records, and with them their versions,
// again.
func (v *verifier) mayBeBehind(now time.Time) bool {
	roster := v.Roster.Read()
	if v.loadedAt.IsZero() && roster.Loaded {
		v.loadedAt = now
	}
	return roster.Era > 0 && now.Sub(v.loadedAt) < restoredGrace && roster.HasOutdated(v.Self.Get().Host)
}

// addConfirmations adds the confirmations that arrived. It must not be called while the
// store, which was restored from a copy, is not known to have the version in force: the
// store would confirm that nothing is newer than a version from which keys were revoked.
func (v *verifier) addConfirmations(moment verify.Moment) {
	era := v.StoreEra.Get()
	for _, e := range v.ObjectEvents.Events() {
		// A document that was refused as invalid leaves the version before it in force,
		// and does not prevent the confirmation.
		if e.Action == cells.WatchObjects && e.Kind == cells.VersionObjects && e.Era == era && e.Result == cells.StoreDone {
			v.tracker.AddCall(moment, e.CalledAt)
		}
	}
	for _, e := range v.LinkEvents.Events() {
		if h, ok := e.Message.(ctlmsg.ReaderHeartbeat); ok && h.Era >= era {
			v.tracker.AddHeartbeat(moment, verify.Heartbeat{
				Version: uint64(h.Version), Verified: h.Verified, Age: h.VerifiedAge, ProbeSentAt: h.ProbeSentAt,
			}, uint64(v.Snapshot.Get().Plan.Version()))
		}
	}
}

// publish publishes the latest confirmation.
func (v *verifier) publish() {
	verified, next := v.tracker.Verified(), v.Freshness.Get()
	if verified == next.Verified() {
		return
	}
	next.VerifiedAt, next.SuspendedBefore = verified.Time, verified.Suspended
	v.Freshness.Set(next)
}

// logRefusals logs when requests with keys begin or cease to be refused.
func (v *verifier) logRefusals(now verify.Moment) {
	limit := verify.MaxAge(v.Self.Get().Revocation)
	age, found := v.tracker.Age(now)
	refusing := v.ActiveVersion.Get().Plan.IdentifiesCallers() && (!found || age > limit)
	if found && age <= limit {
		// The alarm is set one nanosecond later, when the age exceeds the limit.
		v.alarm.Set(now.Time.Add(limit - age + 1))
	}
	if refusing == v.refusing {
		return
	}
	v.refusing = refusing
	fields := []cells.LogField{{Name: "refused", Value: refusing}, {Name: "limit", Value: limit}}
	if found {
		fields = append(fields, cells.LogField{Name: "age", Value: age})
	}
	v.LogEvents.Send(cells.LogEvent{Name: "keyedRequests", Fields: fields})
}

// probeOrigin returns the moment from which the times in this proxy's probes count.
func probeOrigin(proxy *cells.Proxy) verify.Moment {
	return verify.Moment{Time: proxy.Self.Get().StartedAt}
}
