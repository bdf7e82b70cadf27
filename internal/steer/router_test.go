package steer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/front"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/steer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/retry"
)

// form marks requests by plain headers.
type form struct{}

func (form) RequestID(field func(string) string) string { return field("id") }

func (form) Timeout(field func(string) string) (time.Duration, error) {
	if field("timeout") == "" {
		return 0, nil
	}
	return time.ParseDuration(field("timeout"))
}

func (form) IsReserved(name string) bool { return name == "origin" }

func (form) OriginHeader(service mesh.Service) (name, value string)   { return "origin", string(service) }
func (form) RequestIDHeader(id string) (name, value string)           { return "id", id }
func (f fixed) Snapshot() cells.ProxySnapshot                         { return f.traffic }
func (f fixed) Ready() <-chan struct{}                                { return f.serving }
func (e *ends) Record(end steer.RequestRecord)                        { e.last = end }
func (noLocal) Call(context.Context, *peer.Call) (*peer.Reply, error) { panic("no upstream here") }

type (
	fixed struct {
		traffic cells.ProxySnapshot
		serving chan struct{}
	}
	ends    struct{ last steer.RequestRecord }
	noLocal struct{}
)

// outcome is how one call ends.
type outcome struct {
	status  uint32
	body    string
	failed  *peer.CallError
	waits   bool
	headers []*wire.Header
	// after is how long the call takes.
	after time.Duration
	// work is how long the upstream is said to have worked.
	work time.Duration
}

// script ends calls in order, and keeps what was sent.
type script struct {
	mutex    sync.Mutex
	outcomes []outcome
	calls    []*wire.CallHead
}

// Call implements steer.RemoteCaller.
func (s *script) Call(ctx context.Context, _ netip.AddrPort, call *peer.Call) (*peer.Reply, error) {
	s.mutex.Lock()
	s.calls = append(s.calls, call.Head)
	next := s.outcomes[min(len(s.calls)-1, len(s.outcomes)-1)]
	s.mutex.Unlock()
	if next.after > 0 {
		time.Sleep(next.after)
	}
	switch {
	case next.waits:
		<-ctx.Done()
		reason := peer.ReasonDeadline
		if ctx.Err() == context.Canceled {
			reason = peer.ReasonCanceled
		}
		return nil, &peer.CallError{Outcome: peer.Unknown, Reason: reason, Err: ctx.Err()}
	case next.failed != nil:
		return nil, next.failed
	}
	return &peer.Reply{
		Head: &wire.ReplyHead{Status: next.status, BodyLength: int64(len(next.body)), Headers: next.headers, ServiceMicros: next.work.Microseconds()},
		Body: io.NopCloser(strings.NewReader(next.body)),
	}, nil
}

// newSteerer returns a steerer whose calls end by the script.
func newSteerer(t *testing.T, kind plan.Kind, attempts int, s *script) (*steer.Router, *ends) {
	t.Helper()
	made, err := plan.New(5, plan.Limits{}, []plan.Service{{Name: "orders"}}, []*plan.Rule{{
		Name: "r", Host: "a.example", Prefix: "/o/", Kind: kind, Rank: 1, Timeout: 200 * time.Millisecond, MaxAttempts: attempts,
		Services: []plan.WeightedService{{Service: "orders", Weight: 1}},
	}})
	assert.NilError(t, err)
	candidates := make([]pick.Candidate, 0, 5)
	for _, host := range []mesh.HostID{"h1", "h2", "h3", "h4", "h5"} {
		candidates = append(candidates, pick.Candidate{Host: host, Node: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 9})
	}
	told := &ends{}
	serving := make(chan struct{})
	close(serving)
	st := &steer.Router{
		Snapshots: fixed{serving: serving, traffic: cells.ProxySnapshot{Plan: made, NodeCount: 1, CandidateSets: map[mesh.Service]*pick.CandidateSet{
			"orders": pick.NewCandidateSet(mesh.ServiceID{Service: "orders"}, candidates),
		}}},
		Remote: s, Local: noLocal{}, Headers: form{}, Recorder: told, Host: "here", Service: func() mesh.Service { return "front" },
	}
	st.Budget.Configure(retry.SharedLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 50})
	return st, told
}

func request(path string, fields map[string]string) *front.Request {
	r := &front.Request{
		Method: "POST", Host: "a.example", Path: path, Target: path + "?q=1", Body: []byte("body"), Arrived: time.Now(),
		Field: func(name string) string { return fields[name] },
	}
	for name, value := range fields {
		r.Headers = append(r.Headers, &wire.Header{Name: name, Value: value})
	}
	return r
}

func notRun(reason string) outcome {
	return outcome{failed: &peer.CallError{Outcome: peer.NotRun, Reason: reason, RetryAfter: 300 * time.Millisecond}}
}

func unknown(reason string) outcome {
	return outcome{failed: &peer.CallError{Outcome: peer.Unknown, Reason: reason}}
}

func TestRequestsAreRepeatedOnlyWhereThatDoesNoHarm(t *testing.T) {
	ok := outcome{status: 200, body: "fine"}
	tests := []struct {
		name     string
		kind     plan.Kind
		attempts int
		outcomes []outcome
		status   int
		calls    int
		retry    bool
	}{
		{name: "answered", attempts: 2, outcomes: []outcome{ok}, status: 200, calls: 1},
		{name: "unknown, idempotent", attempts: 2, outcomes: []outcome{unknown(peer.ReasonSessionLost), ok}, status: 200, calls: 2},
		{name: "unknown, once", kind: plan.AtMostOnce, attempts: 2, outcomes: []outcome{unknown(peer.ReasonSessionLost), ok}, status: 502, calls: 1},
		{name: "not run, once", kind: plan.AtMostOnce, attempts: 1, outcomes: []outcome{notRun(peer.ReasonDialFailed), ok}, status: 200, calls: 2},
		{name: "not run, then unknown, once", kind: plan.AtMostOnce, attempts: 2, outcomes: []outcome{notRun(peer.ReasonDialFailed), unknown(peer.ReasonSessionLost), ok}, status: 502, calls: 2},
		{name: "shed counts as an attempt", kind: plan.AtMostOnce, attempts: 1, outcomes: []outcome{notRun(serve.ReasonRefused), ok}, status: 503, calls: 1, retry: true},
		{name: "shed and room for another", kind: plan.AtMostOnce, attempts: 2, outcomes: []outcome{notRun(serve.ReasonRefused), ok}, status: 200, calls: 2},
		{name: "attempts used up", attempts: 2, outcomes: []outcome{unknown("a"), unknown("b"), ok}, status: 502, calls: 2},
		{name: "refused by every gate", attempts: 2, outcomes: []outcome{notRun("gate-late")}, status: 503, calls: 4, retry: true},
		{name: "failure of one host, idempotent", attempts: 2, outcomes: []outcome{{status: 500}, ok}, status: 200, calls: 2},
		{name: "failure, once", kind: plan.AtMostOnce, attempts: 2, outcomes: []outcome{{status: 500}, ok}, status: 500, calls: 1},
		{name: "failure twice", attempts: 2, outcomes: []outcome{{status: 500}, {status: 500}}, status: 500, calls: 2},
		{name: "status that would promise too much", kind: plan.AtMostOnce, attempts: 1, outcomes: []outcome{{status: 503}}, status: 502, calls: 1},
		{name: "client error is an answer", attempts: 2, outcomes: []outcome{{status: 409}}, status: 409, calls: 1},
		{name: "no answer in time", attempts: 2, outcomes: []outcome{{waits: true}}, status: 504, calls: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &script{outcomes: tt.outcomes}
			st, told := newSteerer(t, tt.kind, tt.attempts, s)
			answer := st.Handle(t.Context(), request("/o/x", map[string]string{"id": "req-1"}))
			assert.Equal(t, answer.Status, tt.status)
			assert.Equal(t, len(s.calls), tt.calls)
			assert.Equal(t, told.last.Status, tt.status)
			assert.Equal(t, len(told.last.Attempts), tt.calls)
			headers := make(map[string]string)
			for _, h := range answer.Headers {
				headers[h.GetName()] = h.GetValue()
			}
			assert.Equal(t, headers["Retry-After"] != "", tt.retry)
			if told.last.Reason != "" {
				assert.Equal(t, headers["id"], "req-1")
			}
		})
	}
}

func TestRequestsWithoutARuleOrAVersionAreAnsweredHere(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		fields map[string]string
		noPlan bool
		status int
	}{
		{name: "no rule", path: "/x/", status: http.StatusNotFound},
		{name: "no version", path: "/o/x", noPlan: true, status: http.StatusServiceUnavailable},
		{name: "timeout that can't be read", path: "/o/x", fields: map[string]string{"timeout": "soon"}, status: http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &script{outcomes: []outcome{{status: 200}}}
			st, _ := newSteerer(t, plan.Idempotent, 1, s)
			if tt.noPlan {
				st.Snapshots = fixed{}
			}
			assert.Equal(t, st.Handle(t.Context(), request(tt.path, tt.fields)).Status, tt.status)
			assert.Equal(t, len(s.calls), 0)
		})
	}
}

// starting has no snapshot until its start is over.
type starting struct {
	steer.SnapshotSource
	serving chan struct{}
}

// Snapshot implements steer.SnapshotSource.
func (s starting) Snapshot() cells.ProxySnapshot {
	select {
	case <-s.serving:
		return s.SnapshotSource.Snapshot()
	default:
		return cells.ProxySnapshot{}
	}
}

// Ready implements steer.SnapshotSource.
func (s starting) Ready() <-chan struct{} { return s.serving }

func TestRequestWaitsAPartOfItsTimeForTheFirstVersion(t *testing.T) {
	tests := []struct {
		name string
		// after is when the version comes; the request has 2 s.
		after  time.Duration
		status int
		// most bounds the time that the request takes.
		most time.Duration
	}{
		{name: "a version soon", after: 100 * time.Millisecond, status: http.StatusOK, most: 100 * time.Millisecond},
		{name: "no version", after: time.Minute, status: http.StatusServiceUnavailable, most: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{outcomes: []outcome{{status: http.StatusOK}}}
				st, told := newSteerer(t, plan.Idempotent, 1, s)
				view := starting{SnapshotSource: st.Snapshots, serving: make(chan struct{})}
				st.Snapshots = view
				time.AfterFunc(tt.after, func() { close(view.serving) })
				answer := st.Handle(t.Context(), request("/o/x", map[string]string{"timeout": "2s"}))
				assert.Equal(t, answer.Status, tt.status)
				assert.Assert(t, told.last.Duration <= tt.most, "%v", told.last.Duration)
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestRequestThatCameBackYieldsOnceItsTargetIsMissed(t *testing.T) {
	tests := []struct {
		name string
		// left is the time that the caller gives; others gave 200 ms, and the target
		// is 100 ms.
		left string
		// least and most bound the time within which it must start.
		least, most time.Duration
	}{
		{name: "a first attempt", left: "200ms", least: 90 * time.Millisecond, most: 95 * time.Millisecond},
		{name: "a second one that can meet its target", left: "150ms", least: 40 * time.Millisecond, most: 46 * time.Millisecond},
		{name: "a second one that can't", left: "80ms", least: 36 * time.Millisecond, most: 40 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &script{outcomes: []outcome{{status: http.StatusOK, work: 2 * time.Millisecond}}}
			st, _ := newSteerer(t, plan.Idempotent, 1, s)
			st.Handle(t.Context(), request("/o/x", map[string]string{"timeout": "200ms"}))
			st.Handle(t.Context(), request("/o/x", map[string]string{"timeout": tt.left}))
			within := time.Duration(s.calls[1].GetStartWithinMicros()) * time.Microsecond
			assert.Assert(t, within >= tt.least && within <= tt.most, "%v", within)
		})
	}
}

func TestRequestThatWaitedAtABusyHostIsNotOfferedToAnother(t *testing.T) {
	tests := []struct {
		name  string
		first outcome
		calls int
	}{
		{name: "refused at once", first: notRun("gate-late"), calls: 2},
		{name: "refused after a wait", first: outcome{failed: notRun("gate-late").failed, after: 60 * time.Millisecond}, calls: 1},
		{name: "refused after a wait, since the host leaves", first: outcome{failed: notRun(serve.ReasonLeaving).failed, after: 60 * time.Millisecond}, calls: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{outcomes: []outcome{tt.first, {status: http.StatusOK}}}
				st, _ := newSteerer(t, plan.Idempotent, 1, s)
				st.Handle(t.Context(), request("/o/x", nil))
				assert.Equal(t, len(s.calls), tt.calls)
			})
		})
	}
}

func TestUpstreamGetsTheRequestAsItCameWithItsOrigin(t *testing.T) {
	s := &script{outcomes: []outcome{{status: 200, body: "x"}}}
	st, _ := newSteerer(t, plan.Idempotent, 1, s)
	answer := st.Handle(t.Context(), request("/o/x", map[string]string{"id": "req-1", "origin": "forged", "other": "kept"}))
	assert.Assert(t, bytes.Equal(answer.Body, []byte("x")))
	head := s.calls[0]
	assert.Equal(t, head.GetPath(), "/o/x?q=1")
	assert.Equal(t, head.GetId(), "req-1")
	assert.Equal(t, head.GetBodyLength(), int64(4))
	headers := make(map[string][]string)
	for _, h := range head.GetHeaders() {
		headers[h.GetName()] = append(headers[h.GetName()], h.GetValue())
	}
	assert.DeepEqual(t, headers["origin"], []string{"front"})
	assert.DeepEqual(t, headers["other"], []string{"kept"})
	assert.Assert(t, head.GetStartWithinMicros() > 0)
}

func TestCallerThatLeavesEndsTheCall(t *testing.T) {
	s := &script{outcomes: []outcome{{waits: true}}}
	st, told := newSteerer(t, plan.Idempotent, 2, s)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	st.Handle(ctx, request("/o/x", nil))
	assert.Equal(t, len(s.calls), 1)
	assert.Assert(t, told.last.Canceled)
}

// reachedLater says that a node answers from the third try on.
type reachedLater struct{ tries atomic.Int64 }

// Ping implements steer.Pinger.
func (r *reachedLater) Ping(context.Context, netip.AddrPort) error {
	if r.tries.Add(1) < 3 {
		return errors.New("no answer")
	}
	return nil
}

func TestNodesThatDoNotAnswerGetNoRequestUntilTheyDo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{outcomes: []outcome{notRun(peer.ReasonDialFailed), {status: 200}}}
		st, told := newSteerer(t, plan.Idempotent, 2, s)
		reacher := &reachedLater{}
		st.Pinger = reacher
		st.Handle(t.Context(), request("/o/x", nil))
		silent := told.last.Attempts[0].Host
		for range 200 {
			st.Handle(t.Context(), request("/o/x", nil))
			assert.Assert(t, told.last.Attempts[0].Host != silent)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, reacher.tries.Load(), int64(3))
		hosts := make(map[mesh.HostID]bool)
		for range 200 {
			st.Handle(t.Context(), request("/o/x", nil))
			hosts[told.last.Attempts[0].Host] = true
		}
		assert.Assert(t, hosts[silent])
	})
}
