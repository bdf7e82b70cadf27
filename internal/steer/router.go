// Package steer brings whole requests of callers to upstreams by the version in
// force: it finds the rule, chooses the upstream, repeats where that is allowed,
// and says truthfully how a request without an answer ended.
package steer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/retry"
)

// SnapshotSource gives the snapshot that requests are handled by.
type SnapshotSource interface {
	Snapshot() cells.ProxySnapshot
	// Ready is closed once there is a snapshot that requests can be served by.
	Ready() <-chan struct{}
}

// RemoteCaller calls other nodes. Its errors are of type *peer.CallError.
type RemoteCaller interface {
	Call(ctx context.Context, node netip.AddrPort, call *peer.Call) (*peer.Reply, error)
}

// LocalCaller calls the upstream of this very node, with the same errors.
type LocalCaller interface {
	Call(ctx context.Context, call *peer.Call) (*peer.Reply, error)
}

// HeaderCodec is how callers mark their requests.
type HeaderCodec interface {
	// RequestID names the caller's attempt, empty when it gave none.
	RequestID(field func(name string) string) string
	// Timeout is how long the caller waits, zero when it does not say.
	Timeout(field func(name string) string) (time.Duration, error)
	// IsReserved reports whether the mesh sets the header, whatever a caller sent.
	IsReserved(name string) bool
	// OriginHeader tells an upstream where the request began.
	OriginHeader(service mesh.Service) (name, value string)
	// RequestIDHeader names the caller's attempt in an answer.
	RequestIDHeader(id string) (name, value string)
}

// Recorder is told how each request ended. It must not block.
type Recorder interface {
	Record(end RequestRecord)
}

// Router handles requests. The fields before Picker must be set; none may change
// once it is used.
type Router struct {
	Snapshots SnapshotSource
	Remote    RemoteCaller
	Local     LocalCaller
	Headers   HeaderCodec
	Recorder  Recorder
	// Pinger finds out when a node that did not answer does again; nil leaves that
	// to the requests.
	Pinger Pinger
	// Host and Place are this node's.
	Host  mesh.HostID
	Place mesh.Place
	// Service tells which service stands beside this node.
	Service func() mesh.Service

	Picker pick.Picker
	Budget retry.SharedBudget
	times  times

	calls atomic.Uint64
}

// job is one request on its way.
type job struct {
	request *front.Request
	end     RequestRecord
	rule    *plan.Rule
	service mesh.Service
	traffic cells.ProxySnapshot
	// tried lists the hosts of the attempts so far.
	tried []mesh.HostID
	// arrivals counts the attempts that may have reached an upstream.
	arrivals int
	deadline time.Time
	// passed is how much time the caller's earlier attempts had used up.
	passed time.Duration
	// unknown is set once an attempt may have run.
	unknown bool
	// last is the last failure of an attempt, nil when there was none.
	last *peer.CallError
	// kept is an upstream's failure that is passed on unless a repeat does better.
	kept *front.Answer
}

// Handle implements front.Handler.
func (s *Router) Handle(ctx context.Context, request *front.Request) *front.Answer {
	j := &job{request: request}
	j.end = RequestRecord{ID: s.Headers.RequestID(request.Field), Method: request.Method, Host: request.Host, Path: request.Path, Arrived: request.Arrived}
	answer := s.handle(ctx, j)
	j.end.Status, j.end.Duration = answer.Status, time.Since(request.Arrived)
	j.end.Canceled = ctx.Err() != nil
	s.Recorder.Record(j.end)
	return answer
}

// Malformed implements front.Handler.
func (s *Router) Malformed(status int, reason string) *front.Answer {
	j := &job{end: RequestRecord{Arrived: time.Now(), Status: status}}
	answer := s.own(j, status, reason, 0)
	s.Recorder.Record(j.end)
	return answer
}

func (s *Router) handle(ctx context.Context, j *job) *front.Answer {
	timeout, err := s.Headers.Timeout(j.request.Field)
	if err != nil {
		return s.own(j, http.StatusBadRequest, ReasonBadHeader, 0)
	}
	s.awaitVersion(ctx, timeout)
	j.traffic = s.Snapshots.Snapshot()
	j.end.Version = j.traffic.Plan.Version()
	if j.traffic.Plan == nil {
		return s.own(j, http.StatusServiceUnavailable, ReasonNoVersion, noVersionRetry)
	}
	rule, found := j.traffic.Plan.Match(j.request.Host, j.request.Path)
	if !found {
		return s.own(j, http.StatusNotFound, ReasonNoRule, 0)
	}
	j.rule, j.service = rule, rule.ChooseService(rand.Float64())
	j.end.Rule, j.end.Service, j.end.Rank = rule.Name, j.service, rule.Rank
	j.passed = s.times.passed(rule.Name, timeout)
	if timeout == 0 || timeout > rule.Timeout {
		timeout = rule.Timeout
	}
	j.deadline = j.request.Arrived.Add(timeout)
	j.end.Timeout = timeout
	s.Budget.RecordRequest(j.request.Arrived, j.service)
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	return s.run(ctx, j)
}

// awaitVersion waits for the first version of a node that just started, for a
// part of the time that the caller gives.
func (s *Router) awaitVersion(ctx context.Context, timeout time.Duration) {
	if timeout == 0 {
		timeout = usualTimeout
	}
	select {
	case <-s.Snapshots.Ready():
		return
	default:
	}
	timer := time.NewTimer(timeout * versionWaitShare / 100)
	defer timer.Stop()
	select {
	case <-s.Snapshots.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// run makes attempts until one is answered or no further one is allowed.
func (s *Router) run(ctx context.Context, j *job) *front.Answer {
	for {
		candidate, expected, err := s.Picker.PickCheapest(time.Now(), pick.CostRequest{
			Set: j.traffic.CandidateSets[j.service], From: s.Place, FromHost: s.Host, Tried: j.tried, Class: j.rule.Name, DistanceCosts: s.placesOf(j),
			LargeResponse: j.rule.Kind == plan.Download, CallerNodes: j.traffic.NodeCount,
		})
		if err != nil {
			return s.giveUp(ctx, j, nil)
		}
		if len(j.tried) > 0 && time.Until(j.deadline) < expected/2 {
			return s.giveUp(ctx, j, nil)
		}
		answer, failed := s.attempt(ctx, j, candidate, expected)
		if failed == nil {
			if !s.worthRepeating(j, candidate.Host, answer.Status) {
				return s.truthful(j, answer)
			}
			j.kept = answer
			continue
		}
		if !s.goesOn(ctx, j, failed) {
			return s.giveUp(ctx, j, failed)
		}
	}
}

// worthRepeating reports whether a failure of the upstream's own is repeated at
// another one, and counts the repeat if so.
func (s *Router) worthRepeating(j *job, host mesh.HostID, status int) bool {
	if status < http.StatusInternalServerError || !j.rule.Kind.IsIdempotent() {
		return false
	}
	return s.Picker.IsOutlier(j.traffic.CandidateSets[j.service], host) && s.mayRepeat(j)
}

// waits returns how long a request may wait for its slot from now on, by the
// time that upstreams usually work on it, zero when that is not known. One that
// starts after within would be of little use and keep others from theirs; one
// that can't meet its target any more may wait for long, and yields to those that
// can. Patience is the same for a call that an upstream makes while it runs
// another request, which would be lost if the call were refused.
func (s *Router) waits(j *job, typical time.Duration) (within, patience time.Duration) {
	if typical == 0 {
		typical = s.target(j) / unknownShare
	}
	latest := j.end.Timeout * waitShare / 100
	// A long answer that is late would keep others from their host's link.
	if target := s.target(j) - j.passed; target > typical || j.rule.Kind == plan.Download {
		latest = min(latest, max(target-slowFactor*typical/10, j.end.Timeout*leastWaitShare/100))
	}
	used := time.Since(j.request.Arrived)
	within = max(latest-used, time.Microsecond)
	return within, max(j.end.Timeout-patientFactor*typical-used, within)
}

// placesOf tells what distance costs a request of the rule. Long answers are
// dear on the way, and are kept near while that serves them.
func (s *Router) placesOf(j *job) pick.DistanceCosts {
	if j.rule.Kind == plan.Download {
		return pick.DistanceCosts{
			Host: s.target(j) * longHostShare / 100, Zone: s.target(j) * longZoneShare / 100, Region: s.target(j) * longRegionShare / 100,
		}
	}
	zone := s.target(j) * zoneShare / 100
	return pick.DistanceCosts{Zone: zone, Region: zone + regionCost}
}

// attempt calls one upstream once and reads its whole answer.
func (s *Router) attempt(
	ctx context.Context, j *job, candidate pick.Candidate, expected time.Duration,
) (answer *front.Answer, failed *peer.CallError) {
	j.tried = append(j.tried, candidate.Host)
	start := time.Now()
	long := j.rule.Kind == plan.Download
	flight := s.Picker.BeginWithEstimate(start, candidate.Host, expected, long)
	var outcome pick.Outcome
	reply, err := s.call(ctx, j, candidate)
	var body []byte
	if err == nil {
		body, err = readAll(reply)
	}
	now := time.Now()
	if err != nil {
		failed = asCallError(err)
		outcome = outcomeOf(ctx, failed, j.rule.Name)
		if unreachable(failed) {
			s.watchUnreached(candidate)
		}
	} else {
		outcome = pick.Outcome{
			Latency: now.Sub(start), LoadPercent: int(reply.Head.GetLoadPercent()),
			Failed:        reply.Head.GetStatus() >= http.StatusInternalServerError,
			LargeResponse: long, HasLinkWait: true, LinkWait: micros(reply.Head.GetLinkMicros()),
			Timings: pick.Timings{
				Class: j.rule.Name, ServiceTime: micros(reply.Head.GetServiceMicros()), NodeTime: micros(reply.Head.GetNodeMicros()),
			},
		}
	}
	flight.End(now, outcome)
	if reply != nil {
		s.Budget.RecordFanOut(now, j.service, float64(reply.Head.GetCallsPercent())/100)
	}
	s.note(j, Attempt{Host: candidate.Host, ExpectedLatency: expected}, start, reply, failed)
	if failed != nil {
		return nil, failed
	}
	j.arrivals++
	return &front.Answer{
		Status: int(reply.Head.GetStatus()), Headers: reply.Head.GetHeaders(), Body: body, Length: reply.Head.GetBodyLength(),
	}, nil
}

func micros(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

func (s *Router) call(ctx context.Context, j *job, candidate pick.Candidate) (reply *peer.Reply, err error) {
	typical := s.Picker.TypicalServiceTime(j.rule.Name)
	within, patience := s.waits(j, typical)
	head := &wire.CallHead{
		Service: string(j.service), Method: j.request.Method, Path: j.request.Target, Headers: s.headers(j),
		Priority: uint32(priorityOf(j.rule.Rank)), Idempotent: j.rule.Kind.IsIdempotent(), BodyLength: int64(len(j.request.Body)),
		CallerRegion: string(s.Place.Region), Route: j.rule.Name, Id: j.end.ID, StartWithinMicros: within.Microseconds(),
		PatientMicros: patience.Microseconds(), CallerService: string(s.Service()),
		TypicalMicros: typical.Microseconds(),
		Attempt:       string(s.Host) + "-" + strconv.FormatUint(s.calls.Add(1), 36),
	}
	call := &peer.Call{Head: head, CheckLiveness: len(j.tried) > 1, Body: bodyOf(j.request.Body)}
	if candidate.Host == s.Host {
		return s.Local.Call(ctx, call)
	}
	return s.Remote.Call(ctx, candidate.Node, call)
}

// headers returns the headers that the upstream gets.
func (s *Router) headers(j *job) (headers []*wire.Header) {
	headers = make([]*wire.Header, 0, len(j.request.Headers)+1)
	for _, h := range j.request.Headers {
		if !s.Headers.IsReserved(h.GetName()) {
			headers = append(headers, h)
		}
	}
	name, value := s.Headers.OriginHeader(s.Service())
	return append(headers, &wire.Header{Name: name, Value: value})
}

// priorityOf returns the priority of a rank; 0 is the most urgent rank.
func priorityOf(rank int) mesh.Priority {
	return mesh.Priority(max(0, int(mesh.Urgent)-rank))
}
