package steer

import (
	"strconv"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
)

func microseconds(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

// newCall returns the call for the next attempt at a request.
func (r *Router) newCall(rs *requestState) *peer.Call {
	typical := r.Picker.TypicalServiceTime(rs.rule.Name)
	startWithin, maxWait := r.queueLimits(rs, typical)
	head := &wire.CallHead{
		Service: string(rs.service), Method: rs.request.Method, Path: rs.request.Target, Headers: r.upstreamHeaders(rs),
		Priority: uint32(rs.priority), Nested: rs.nested, Account: string(rs.record.Account), Idempotent: r.mayRepeat(rs), BodyLength: rs.request.Body.Len(),
		CallerRegion: string(r.Place.Region), Route: rs.rule.Name, Id: rs.record.ID, StartWithinMicros: startWithin.Microseconds(),
		PatientMicros: maxWait.Microseconds(), CallerService: string(r.Service()),
		TypicalMicros: typical.Microseconds(), Overdue: r.isOverdue(rs, typical),
		Attempt: string(r.Host) + "-" + strconv.FormatUint(r.attemptCount.Add(1), 36),
	}
	return &peer.Call{Head: head, CheckLiveness: len(rs.tried) > 1, Body: newBodyReader(rs.request.Body)}
}

// upstreamHeaders returns the headers that are sent to the upstream.
func (r *Router) upstreamHeaders(rs *requestState) (headers []*wire.Header) {
	headers = make([]*wire.Header, 0, len(rs.request.Headers)+1)
	// Where keys are revoked, a version without accounts may be older than the first one that
	// has them, or one that took them away. Keys stay secret, and account names true.
	discardsKeys := rs.snapshot.Plan.IdentifiesCallers() || r.KeyGuard != nil
	for _, h := range rs.request.Headers {
		if r.Headers.IsReserved(h.GetName()) || discardsKeys && r.Headers.IdentifiesAccount(h.GetName()) {
			continue
		}
		headers = append(headers, h)
	}
	if rs.account != nil {
		name, value := r.Headers.AccountHeader(rs.account.Name)
		headers = append(headers, &wire.Header{Name: name, Value: value})
	}
	name, value := r.Headers.OriginHeader(r.Service())
	return append(headers, &wire.Header{Name: name, Value: value})
}
