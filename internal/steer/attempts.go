package steer

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

// Reasons of answers of this node's own; those of peer and serve come besides.
const (
	ReasonNoVersion   = "no-version"
	ReasonNoRule      = "no-rule"
	ReasonBadHeader   = "bad-header"
	ReasonNoUpstreams = "no-upstreams"
	ReasonDeadline    = "deadline"
	// ReasonUnsafeStatus stands for an upstream's status that would promise too much.
	ReasonUnsafeStatus = "upstream-promise"
)

const (
	// maxHosts bounds the hosts that one request is offered to.
	maxHosts = 4
	// versionWaitShare is the part of its time for which a request waits for the
	// first version, in percent, and usualTimeout the time of one that names none.
	versionWaitShare = 10
	usualTimeout     = 2 * time.Second
	// busyShare is the part of its patience, in percent, within which a request that
	// a busy host refused is offered to another one. Later it is refused at once.
	busyShare = 25
	// noVersionRetry and noUpstreamRetry are when a caller should come back.
	noVersionRetry  = 400 * time.Millisecond
	noUpstreamRetry = 150 * time.Millisecond
	// leastRetry and mostRetry bound the advice after other refusals.
	leastRetry = 50 * time.Millisecond
	mostRetry  = 2 * time.Second
	// waitShare and leastWaitShare bound the part of its time for which a request
	// waits for a slot, in percent.
	waitShare      = 50
	leastWaitShare = 15
	// slowFactor is by how much the work of most requests stays below, in tenths of
	// the typical time, and patientFactor what calls of upstreams leave for the
	// work, in typical times.
	slowFactor    = 25
	patientFactor = 3
	// unknownShare is which part of its target the work of a rule without a sample is
	// taken for, as a divisor.
	unknownShare = 3
	// retryShare is when a refused request should come back, in percent of its
	// target, and retrySpread by how much that is spread, in percent of it.
	retryShare  = 20
	retrySpread = 50
	// maxAnswer bounds an upstream's answer, in bytes.
	maxAnswer = 64 << 20
	// zoneShare is what another zone costs a short answer, in percent of its target,
	// and regionCost what another region does, besides the trip.
	zoneShare  = 4
	regionCost = 60 * time.Millisecond
	// longHostShare, longZoneShare and longRegionShare are what distance costs a long
	// answer, in percent of its target; one of this host crosses one link less.
	longHostShare   = 15
	longZoneShare   = 40
	longRegionShare = 120
)

// asCallError returns the error as one of a call.
func asCallError(err error) (failed *peer.CallError) {
	if errors.As(err, &failed) {
		return failed
	}
	return &peer.CallError{Outcome: peer.Unknown, Reason: peer.ReasonProtocol, Err: err}
}

// outcomeOf tells the picker how a failed call ended.
func outcomeOf(ctx context.Context, failed *peer.CallError, class string) pick.Outcome {
	gone := errors.Is(ctx.Err(), context.Canceled)
	expired := failed.Reason == peer.ReasonDeadline && ctx.Err() != nil
	return pick.Outcome{
		Failed:      !gone && !expired,
		NotRun:      failed.Outcome == peer.NotRun,
		Busy:        serve.Busy(failed.Reason),
		Shed:        failed.Reason == serve.ReasonRefused || failed.Reason == serve.ReasonFailing,
		LoadPercent: failed.LoadPercent,
		Canceled:    gone,
		HasLinkWait: failed.FromRemote, LinkWait: failed.LinkDelay,
		Timings: pick.Timings{Class: class, EstimatedServiceTime: failed.ExpectedServiceTime},
	}
}

// goesOn decides whether a failed request is offered to another host.
func (s *Router) goesOn(ctx context.Context, j *job, failed *peer.CallError) bool {
	j.last = failed
	reached := failed.Outcome == peer.Unknown || failed.Reason == serve.ReasonRefused || failed.Reason == serve.ReasonMisdirected
	if reached {
		j.arrivals++
	}
	if failed.Outcome == peer.Unknown {
		j.unknown = true
	}
	if ctx.Err() != nil || len(j.tried) >= maxHosts {
		return false
	}
	if failed.Outcome == peer.Unknown && !j.rule.Kind.IsIdempotent() {
		return false
	}
	switch {
	case reached:
		return s.mayRepeat(j)
	case !serve.Busy(failed.Reason):
		return true
	}
	_, patience := s.waits(j, s.Picker.TypicalServiceTime(j.rule.Name))
	return time.Since(j.request.Arrived) < patience*busyShare/100
}

// target returns the time within which an answer is of full use.
func (s *Router) target(j *job) time.Duration {
	if j.rule.LatencyTarget > 0 {
		return j.rule.LatencyTarget
	}
	return j.rule.Timeout / 2
}

// mayRepeat reports whether a request that reached an upstream may be sent to
// one more, and counts it if so.
func (s *Router) mayRepeat(j *job) bool {
	if j.arrivals >= j.rule.MaxAttempts || len(j.tried) >= maxHosts || time.Until(j.deadline) < s.Picker.TypicalServiceTime(j.rule.Name)/2 {
		return false
	}
	return s.Budget.TryWithdraw(time.Now(), j.service, j.traffic.NodeCount)
}

// truthful returns an upstream's answer, unless its status would promise that
// the request did not run where the upstream has not said so.
func (s *Router) truthful(j *job, answer *front.Answer) *front.Answer {
	switch answer.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return s.own(j, http.StatusBadGateway, ReasonUnsafeStatus, 0)
	}
	return answer
}

// giveUp answers a request that no upstream answered. It says that the request
// did not run only where that is certain.
func (s *Router) giveUp(ctx context.Context, j *job, failed *peer.CallError) *front.Answer {
	if j.kept != nil {
		return s.truthful(j, j.kept)
	}
	reason := ReasonNoUpstreams
	retryAfter := noUpstreamRetry
	if failed = cmp.Or(failed, j.last); failed != nil {
		reason, retryAfter = failed.Reason, min(max(failed.RetryAfter, leastRetry), mostRetry)
		if serve.Busy(failed.Reason) && failed.Reason != serve.ReasonRefused {
			// What an upstream refuses beside free slots it refuses for no load.
			retryAfter = max(retryAfter, s.comeBack(j))
		}
	}
	switch {
	case j.unknown && (reason == peer.ReasonDeadline || errors.Is(ctx.Err(), context.DeadlineExceeded)):
		return s.own(j, http.StatusGatewayTimeout, ReasonDeadline, 0)
	case j.unknown:
		return s.own(j, http.StatusBadGateway, reason, 0)
	default:
		return s.own(j, http.StatusServiceUnavailable, reason, retryAfter)
	}
}

// comeBack returns when a request that was refused for load should be sent
// again: in time for its target, and not all at once.
func (s *Router) comeBack(j *job) time.Duration {
	usual := s.target(j) * retryShare / 100
	return usual - usual*retrySpread/200 + rand.N(max(usual*retrySpread/100, 1))
}

// own returns an answer of this node's own.
func (s *Router) own(j *job, status int, reason string, retryAfter time.Duration) *front.Answer {
	j.end.Reason, j.end.RetryAfter = reason, retryAfter
	answer := &front.Answer{Status: status, Body: []byte(reason + "\n")}
	answer.Length = int64(len(answer.Body))
	answer.Headers = append(answer.Headers, &wire.Header{Name: "Content-Type", Value: "text/plain; charset=utf-8"})
	if j.end.ID != "" {
		name, value := s.Headers.RequestIDHeader(j.end.ID)
		answer.Headers = append(answer.Headers, &wire.Header{Name: name, Value: value})
	}
	if retryAfter > 0 {
		answer.Headers = append(answer.Headers, &wire.Header{
			Name: "Retry-After", Value: strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64),
		})
	}
	return answer
}

// readAll reads an answer to its end, which proves that it is whole.
func readAll(reply *peer.Reply) (body []byte, err error) {
	defer func() { _ = reply.Body.Close() }()
	size := max(reply.Head.GetBodyLength(), 0)
	if size > maxAnswer {
		return nil, fmt.Errorf("answer of %d bytes exceeds %d", size, maxAnswer)
	}
	buffer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	if _, err = buffer.ReadFrom(io.LimitReader(reply.Body, maxAnswer+1)); err != nil {
		return nil, err
	}
	if buffer.Len() > maxAnswer {
		return nil, fmt.Errorf("answer exceeds %d bytes", maxAnswer)
	}
	return buffer.Bytes(), nil
}

// bodyOf returns the body of one attempt, nil for none.
func bodyOf(body []byte) io.Reader {
	if len(body) == 0 {
		return nil
	}
	return bytes.NewReader(body)
}

// note adds an attempt to what is told of the request.
func (s *Router) note(j *job, attempt Attempt, start time.Time, reply *peer.Reply, failed *peer.CallError) {
	attempt.Duration = time.Since(start)
	switch {
	case failed != nil:
		attempt.Outcome, attempt.Reason, attempt.LoadPercent = failed.Outcome.String(), failed.Reason, failed.LoadPercent
		if failed.Err != nil {
			attempt.Reason += ": " + failed.Err.Error()
		}
	default:
		attempt.Outcome, attempt.Status = "answered", int(reply.Head.GetStatus())
		attempt.LoadPercent = int(reply.Head.GetLoadPercent())
		attempt.ServiceTime, attempt.NodeTime = micros(reply.Head.GetServiceMicros()), micros(reply.Head.GetNodeMicros())
	}
	j.end.Attempts = append(j.end.Attempts, attempt)
}

// RequestRecord tells of one request what became of it and why.
type RequestRecord struct {
	ID, Method, Host, Path string
	// Version is the one that the request was handled by; zero when none was in force.
	Version mesh.Version
	// Rule and Service are empty when no rule was found.
	Rule    string
	Service mesh.Service
	Rank    int
	Arrived time.Time
	// Timeout is the time that the request had, and Duration what it took.
	Timeout, Duration time.Duration
	Attempts          []Attempt
	Status            int
	// Reason is empty for an upstream's answer.
	Reason     string
	RetryAfter time.Duration
	// Canceled is true when the caller went away before the answer.
	Canceled bool
}

// Attempt is one host that a request was offered to.
type Attempt struct {
	Host mesh.HostID
	// Outcome is "answered", "not-run" or "unknown".
	Outcome string
	Reason  string
	Status  int
	// LoadPercent is the load that the host told, and Expected the time that the
	// choice of the host counted on.
	LoadPercent     int
	ExpectedLatency time.Duration
	// Duration is what the attempt took, NodeTime the part at the host's node, and ServiceTime
	// that at the upstream.
	Duration, NodeTime, ServiceTime time.Duration
}
