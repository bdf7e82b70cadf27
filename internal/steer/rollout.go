package steer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// lateAllowance is added to the time after which a request counts as late. It covers the
// network between regions.
const lateAllowance = 100 * time.Millisecond

// OutcomeTally counts the outcomes of requests by service, release and route. The zero
// OutcomeTally is empty. It is safe for concurrent use.
type OutcomeTally struct {
	mutex sync.Mutex
	// counts holds the outcomes since the last Take; guarded by mutex.
	counts cells.OutcomeCounts
}

// Take returns the outcomes since the last call.
func (t *OutcomeTally) Take() (counts cells.OutcomeCounts) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts, t.counts = t.counts, nil
	return counts
}

// update changes the counts of the service of a request.
func (t *OutcomeTally) update(rs *requestState, change func(counts shift.Counts)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.counts == nil {
		t.counts = make(cells.OutcomeCounts)
	}
	change(t.counts.Of(rs.service))
}

// candidateSet returns the upstreams for the next attempt at a request. The first attempt
// may be part of a trial; others use the upstreams that serve.
func (r *Router) candidateSet(rs *requestState) *pick.CandidateSet {
	rs.inTrial = false
	if len(rs.tried) == 0 && !rs.noTrial {
		if trial, found := rs.snapshot.Trials[rs.service]; found && trial.Takes(time.Now(), rs.rule.Name, rand.Float64()) {
			rs.inTrial = true
			return trial.Set
		}
	}
	return rs.snapshot.CandidateSets[rs.service]
}

// addressCall makes a call for the release of the candidate. In a trial, a full upstream
// refuses the call early: the others have room, and a wait in the queue would look like a
// slow release.
func (r *Router) addressCall(rs *requestState, call *peer.Call, candidate pick.Candidate) *peer.Call {
	release := string(candidate.Release)
	call.Head.Release = &release
	if typical := call.Head.GetTypicalMicros(); rs.inTrial && typical > 0 {
		call.Head.StartWithinMicros = min(call.Head.GetStartWithinMicros(), typical)
		call.Head.PatientMicros = min(call.Head.GetPatientMicros(), typical)
	}
	return call
}

// attemptObserver counts the outcome of one attempt. A nil *attemptObserver counts
// nothing.
type attemptObserver struct {
	tally *OutcomeTally
	rs    *requestState
	key   shift.Key
	late  *time.Timer
}

// observeAttempt starts to observe an attempt if the service has an order that runs.
func (r *Router) observeAttempt(rs *requestState, candidate pick.Candidate) *attemptObserver {
	if !rs.snapshot.CountOutcomes[rs.service] {
		return nil
	}
	o := &attemptObserver{tally: &r.Outcomes, rs: rs, key: shift.Key{Release: candidate.Release, Route: rs.rule.Name}}
	o.tally.update(rs, func(counts shift.Counts) { counts.RecordStart(o.key) })
	if typical := r.Picker.TypicalServiceTime(rs.rule.Name); typical > 0 {
		// The last part is the time for which the call may wait in a trial.
		o.late = time.AfterFunc(shift.LateFactor*typical+lateAllowance+typical, o.recordLate)
	}
	return o
}

func (o *attemptObserver) recordLate() {
	o.tally.update(o.rs, func(counts shift.Counts) { counts.RecordLate(o.key) })
}

// isNodeFailure reports whether a call failed at the node of the host or on the way there,
// which says nothing about the upstream.
func isNodeFailure(reason string) bool {
	switch reason {
	case peer.ReasonDialFailed, peer.ReasonSessionLost, peer.ReasonSessionSilent, peer.ReasonDraining, peer.ReasonTooManyCalls,
		peer.ReasonNoHandler, peer.ReasonWrongCall, peer.ReasonRequestBody, peer.ReasonCanceled:
		return true
	}
	return false
}

// end counts the outcome. A request that did not run says nothing about the release,
// unless the upstream refused it although it had room.
func (o *attemptObserver) end(ctx context.Context, reply *peer.Reply, callErr *peer.CallError) {
	if o == nil {
		return
	}
	counted := o.late != nil && !o.late.Stop()
	var outcome shift.Outcome
	isRefused, isLate := false, false
	switch {
	case callErr == nil:
		outcome.Failed = reply.Head.GetStatus() >= http.StatusInternalServerError
		outcome.ServiceTime = microseconds(reply.Head.GetServiceMicros())
	case callErr.Reason == serve.ReasonRefused || callErr.Reason == serve.ReasonFailing:
		outcome.Failed = true
	case callErr.Outcome == peer.NotRun || errors.Is(ctx.Err(), context.Canceled):
		isRefused = true
	case callErr.Reason == peer.ReasonDeadline || ctx.Err() != nil:
		isLate = true
	case isNodeFailure(callErr.Reason):
		isRefused = true
	default:
		outcome.Failed = true
	}
	o.tally.update(o.rs, func(counts shift.Counts) {
		counts.RecordEnd(o.key, isRefused)
		switch {
		case isRefused:
		case !isLate:
			counts.Record(o.key, outcome)
		case !counted:
			counts.RecordLate(o.key)
		}
	})
}
