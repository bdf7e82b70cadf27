package steer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
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
	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/steer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/retry"
)

// headerCodec uses unprefixed header names.
type headerCodec struct{}

func (headerCodec) RequestID(header func(string) string) string { return header("id") }

func (headerCodec) Timeout(header func(string) string) (time.Duration, error) {
	if header("timeout") == "" {
		return 0, nil
	}
	return time.ParseDuration(header("timeout"))
}

func (headerCodec) IsReserved(name string) bool { return name == "origin" }

func (headerCodec) OriginHeader(service mesh.Service) (name, value string) {
	return "origin", string(service)
}
func (headerCodec) RequestIDHeader(id string) (name, value string) { return "id", id }
func (headerCodec) Keys(values func(string) []string) []string     { return values("Key") }
func (headerCodec) IdentifiesAccount(name string) bool             { return name == "Key" || name == "Account" }

func (headerCodec) AccountHeader(account mesh.Account) (name, value string) {
	return "Account", string(account)
}
func (f fixedSnapshot) Snapshot() cells.ProxySnapshot         { return f.snapshot }
func (f fixedSnapshot) Ready() <-chan struct{}                { return f.ready }
func (f fixedSnapshot) LastConfirmed(now time.Time) time.Time { return now.Add(-f.age) }
func (e *recorder) Record(record steer.RequestRecord)         { e.last = record }
func (noLocalUpstream) Call(context.Context, *peer.Call) (*peer.Reply, error) {
	panic("unexpected call of the local upstream")
}

type (
	fixedSnapshot struct {
		snapshot cells.ProxySnapshot
		ready    chan struct{}
		// age is the time since the version was confirmed.
		age time.Duration
	}
	recorder        struct{ last steer.RequestRecord }
	noLocalUpstream struct{}
)

// callResult is the result of one call.
type callResult struct {
	status  uint32
	body    string
	callErr *peer.CallError
	hangs   bool
	headers []*wire.Header
	// delay is the duration of the call.
	delay time.Duration
	// serviceTime is the service time that the upstream reports.
	serviceTime time.Duration
	// onlyUpstreams and callersKnown are reported by the called node.
	onlyUpstreams, callersKnown bool
}

// scriptedCaller returns the results in order, repeats the last one, and records the
// calls.
type scriptedCaller struct {
	mutex   sync.Mutex
	results []callResult
	calls   []*wire.CallHead
}

// Call implements steer.RemoteCaller.
func (s *scriptedCaller) Call(ctx context.Context, _ netip.AddrPort, call *peer.Call) (*peer.Reply, error) {
	s.mutex.Lock()
	s.calls = append(s.calls, call.Head)
	next := s.results[min(len(s.calls)-1, len(s.results)-1)]
	s.mutex.Unlock()
	if next.delay > 0 {
		time.Sleep(next.delay)
	}
	switch {
	case next.hangs:
		<-ctx.Done()
		reason := peer.ReasonDeadline
		if ctx.Err() == context.Canceled {
			reason = peer.ReasonCanceled
		}
		return nil, &peer.CallError{Outcome: peer.Unknown, Reason: reason, Err: ctx.Err()}
	case next.callErr != nil:
		return nil, next.callErr
	}
	return &peer.Reply{
		Head: &wire.ReplyHead{Status: next.status, BodyLength: int64(len(next.body)), Headers: next.headers, ServiceMicros: next.serviceTime.Microseconds(), OnlyUpstreams: next.onlyUpstreams, CallersKnown: next.callersKnown},
		Body: io.NopCloser(strings.NewReader(next.body)),
	}, nil
}

// newRouter returns a router whose calls return the results of the script.
func newRouter(t testing.TB, kind plan.Kind, attempts int, s *scriptedCaller) (*steer.Router, *recorder) {
	t.Helper()
	built, err := plan.New(5, plan.Limits{}, []plan.Service{{Name: "orders"}}, []*plan.Rule{{
		Name: "r", Host: "a.example", Prefix: "/o/", Kind: kind, Rank: 1, Timeout: 200 * time.Millisecond, MaxAttempts: attempts,
		Services: []plan.WeightedService{{Service: "orders", Weight: 1}},
	}})
	assert.NilError(t, err)
	candidates := make([]pick.Candidate, 0, 5)
	for _, host := range []mesh.HostID{"h1", "h2", "h3", "h4", "h5"} {
		candidates = append(candidates, pick.Candidate{Host: host, Node: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 9})
	}
	recorded := &recorder{}
	ready := make(chan struct{})
	close(ready)
	router := &steer.Router{
		Memory: &quota.Memory{},
		Snapshots: fixedSnapshot{ready: ready, snapshot: cells.ProxySnapshot{Plan: built, NodeCount: 1, CandidateSets: map[mesh.Service]*pick.CandidateSet{
			"orders": pick.NewCandidateSet(mesh.ServiceID{Service: "orders"}, candidates),
		}}},
		Remote: s, Local: noLocalUpstream{}, Headers: headerCodec{}, Recorder: recorded, Host: "here", Service: func() mesh.Service { return "front" },
	}
	router.Budget.Configure(retry.SharedLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 50})
	return router, recorded
}

func newRequest(path string, fields map[string]string) *front.Request {
	r := &front.Request{
		Method: "POST", Host: "a.example", Path: path, Target: path + "?q=1", Body: quota.NewBody([]byte("body")), Arrived: time.Now(),
		HeaderValue: func(name string) string { return fields[name] },
	}
	for name, value := range fields {
		r.Headers = append(r.Headers, &wire.Header{Name: name, Value: value})
	}
	return r
}

func notRun(reason string) callResult {
	return callResult{callErr: &peer.CallError{Outcome: peer.NotRun, Reason: reason, RetryAfter: 300 * time.Millisecond}}
}

func unknown(reason string) callResult {
	return callResult{callErr: &peer.CallError{Outcome: peer.Unknown, Reason: reason}}
}

func TestRetriesOnlySafeRequests(t *testing.T) {
	ok := callResult{status: 200, body: "fine"}
	tests := []struct {
		name     string
		kind     plan.Kind
		attempts int
		results  []callResult
		status   int
		calls    int
		retry    bool
	}{
		{name: "answered", attempts: 2, results: []callResult{ok}, status: 200, calls: 1},
		{name: "unknown, idempotent", attempts: 2, results: []callResult{unknown(peer.ReasonSessionLost), ok}, status: 200, calls: 2},
		{name: "unknown, at most once", kind: plan.AtMostOnce, attempts: 2, results: []callResult{unknown(peer.ReasonSessionLost), ok}, status: 502, calls: 1},
		{name: "not run, at most once", kind: plan.AtMostOnce, attempts: 1, results: []callResult{notRun(peer.ReasonDialFailed), ok}, status: 200, calls: 2},
		{name: "not run, then unknown, at most once", kind: plan.AtMostOnce, attempts: 2, results: []callResult{notRun(peer.ReasonDialFailed), unknown(peer.ReasonSessionLost), ok}, status: 502, calls: 2},
		{name: "refused by upstream counts as attempt", kind: plan.AtMostOnce, attempts: 1, results: []callResult{notRun(serve.ReasonRefused), ok}, status: 503, calls: 1, retry: true},
		{name: "refused by upstream, attempt left", kind: plan.AtMostOnce, attempts: 2, results: []callResult{notRun(serve.ReasonRefused), ok}, status: 200, calls: 2},
		{name: "no attempts left", attempts: 2, results: []callResult{unknown("a"), unknown("b"), ok}, status: 502, calls: 2},
		{name: "refused by every gate", attempts: 2, results: []callResult{notRun("gate-late")}, status: 503, calls: 4, retry: true},
		{name: "error response of one host, idempotent", attempts: 2, results: []callResult{{status: 500}, ok}, status: 200, calls: 2},
		{name: "error response, at most once", kind: plan.AtMostOnce, attempts: 2, results: []callResult{{status: 500}, ok}, status: 500, calls: 1},
		{name: "error responses of two hosts", attempts: 2, results: []callResult{{status: 500}, {status: 500}}, status: 500, calls: 2},
		{name: "status that implies not run", kind: plan.AtMostOnce, attempts: 1, results: []callResult{{status: 503}}, status: 502, calls: 1},
		{name: "status 000 of an older proxy, at most once", kind: plan.AtMostOnce, attempts: 2, results: []callResult{{status: 0}, ok}, status: 502, calls: 1},
		{name: "status 099 of an older proxy, idempotent", attempts: 2, results: []callResult{{status: 99}, ok}, status: 200, calls: 2},
		{name: "status 101 of an older proxy", kind: plan.AtMostOnce, attempts: 2, results: []callResult{{status: 101}, ok}, status: 502, calls: 1},
		{name: "status 600 of older proxies", attempts: 2, results: []callResult{{status: 600}, {status: 999}, ok}, status: 502, calls: 2},
		{name: "field name of an older proxy, at most once", kind: plan.AtMostOnce, attempts: 2, results: []callResult{{status: 200, headers: []*wire.Header{{Name: "O dd", Value: "1"}}}, ok}, status: 502, calls: 1},
		{name: "field name of an older proxy, idempotent", attempts: 2, results: []callResult{{status: 200, headers: []*wire.Header{{Name: "Odd\n", Value: "1"}}}, ok}, status: 200, calls: 2},
		{name: "status 599", kind: plan.AtMostOnce, attempts: 2, results: []callResult{{status: 599}, ok}, status: 599, calls: 1},
		{name: "client error is returned", attempts: 2, results: []callResult{{status: 409}}, status: 409, calls: 1},
		{name: "timeout", attempts: 2, results: []callResult{{hangs: true}}, status: 504, calls: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedCaller{results: tt.results}
			router, recorded := newRouter(t, tt.kind, tt.attempts, s)
			response := router.Handle(t.Context(), newRequest("/o/x", map[string]string{"id": "req-1"}))
			assert.Equal(t, response.Status, tt.status)
			assert.Equal(t, len(s.calls), tt.calls)
			assert.Equal(t, recorded.last.Status, tt.status)
			assert.Equal(t, len(recorded.last.Attempts), tt.calls)
			headers := make(map[string]string)
			for _, h := range response.Headers {
				headers[h.GetName()] = h.GetValue()
			}
			assert.Equal(t, headers["Retry-After"] != "", tt.retry)
			if recorded.last.Reason != "" {
				assert.Equal(t, headers["id"], "req-1")
			}
		})
	}
}

func TestRejectsRequestsWithoutRuleOrVersion(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		fields map[string]string
		noPlan bool
		status int
	}{
		{name: "no rule", path: "/x/", status: http.StatusNotFound},
		{name: "no version", path: "/o/x", noPlan: true, status: http.StatusServiceUnavailable},
		{name: "invalid timeout", path: "/o/x", fields: map[string]string{"timeout": "soon"}, status: http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedCaller{results: []callResult{{status: 200}}}
			router, _ := newRouter(t, plan.Idempotent, 1, s)
			if tt.noPlan {
				router.Snapshots = fixedSnapshot{}
			}
			assert.Equal(t, router.Handle(t.Context(), newRequest(tt.path, tt.fields)).Status, tt.status)
			assert.Equal(t, len(s.calls), 0)
		})
	}
}

// TestServiceWithWeightZeroGetsNoRequests guards against requests for a service that
// operators have taken out of a rule, and against a version that is only applied once that
// service has upstreams.
func TestServiceWithWeightZeroGetsNoRequests(t *testing.T) {
	tests := []struct {
		name string
		// former and orders are the weights of a service without upstreams and of one
		// with upstreams.
		former, orders float64
		status         int
		reason         string
		retry          bool
	}{
		{name: "moved to another service", orders: 100, status: http.StatusOK},
		{name: "all weights are zero", status: http.StatusServiceUnavailable, reason: steer.ReasonNoService, retry: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedCaller{results: []callResult{{status: http.StatusOK}}}
			router, recorded := newRouter(t, plan.Idempotent, 1, s)
			snapshot := router.Snapshots.(fixedSnapshot)
			var err error
			snapshot.snapshot.Plan, err = plan.New(6, plan.Limits{}, []plan.Service{{Name: "orders"}, {Name: "former"}}, []*plan.Rule{{
				Name: "r", Host: "a.example", Prefix: "/o/", Timeout: 200 * time.Millisecond, MaxAttempts: 1,
				Services: []plan.WeightedService{{Service: "former", Weight: tt.former}, {Service: "orders", Weight: tt.orders}},
			}})
			assert.NilError(t, err)
			router.Snapshots = snapshot
			response := router.Handle(t.Context(), newRequest("/o/x", nil))
			assert.Equal(t, response.Status, tt.status)
			assert.Equal(t, recorded.last.Reason, tt.reason)
			assert.Equal(t, recorded.last.RetryAfter > 0, tt.retry)
		})
	}
}

func TestMalformedRequestsAreAnswered(t *testing.T) {
	tests := []struct {
		name   string
		status int
		// retry is true if the caller is told when to come back.
		retry bool
	}{
		{name: "no room for the body", status: http.StatusServiceUnavailable, retry: true},
		{name: "malformed", status: http.StatusBadRequest},
		{name: "body too large", status: http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			router, recorded := newRouter(t, plan.Idempotent, 1, &scriptedCaller{})
			response := router.HandleMalformed(tt.status, "reason")
			assert.Equal(t, response.Status, tt.status)
			assert.Equal(t, recorded.last.RetryAfter > 0, tt.retry)
		})
	}
}

// delayedSnapshot has an empty snapshot until it is ready.
type delayedSnapshot struct {
	steer.SnapshotSource
	ready chan struct{}
}

// Snapshot implements steer.SnapshotSource.
func (s delayedSnapshot) Snapshot() cells.ProxySnapshot {
	select {
	case <-s.ready:
		return s.SnapshotSource.Snapshot()
	default:
		return cells.ProxySnapshot{}
	}
}

// Ready implements steer.SnapshotSource.
func (s delayedSnapshot) Ready() <-chan struct{} { return s.ready }

func TestWaitsForFirstVersion(t *testing.T) {
	tests := []struct {
		name string
		// after is the time until the first version arrives; the request has a timeout
		// of 2 s.
		after  time.Duration
		status int
		// most limits the duration of the request.
		most time.Duration
	}{
		{name: "version arrives in time", after: 100 * time.Millisecond, status: http.StatusOK, most: 100 * time.Millisecond},
		{name: "no version", after: time.Minute, status: http.StatusServiceUnavailable, most: 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedCaller{results: []callResult{{status: http.StatusOK}}}
				router, recorded := newRouter(t, plan.Idempotent, 1, s)
				view := delayedSnapshot{SnapshotSource: router.Snapshots, ready: make(chan struct{})}
				router.Snapshots = view
				time.AfterFunc(tt.after, func() { close(view.ready) })
				response := router.Handle(t.Context(), newRequest("/o/x", map[string]string{"timeout": "2s"}))
				assert.Equal(t, response.Status, tt.status)
				assert.Assert(t, recorded.last.Duration <= tt.most, "%v", recorded.last.Duration)
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestStartLimitOfRetriedRequests(t *testing.T) {
	tests := []struct {
		name string
		// left is the timeout that the caller sends. Earlier requests had 200 ms, and
		// the latency target is 100 ms.
		left string
		// least and most limit the time within which the request must start.
		least, most time.Duration
	}{
		{name: "first attempt", left: "200ms", least: 90 * time.Millisecond, most: 95 * time.Millisecond},
		{name: "retry that can meet its target", left: "150ms", least: 40 * time.Millisecond, most: 46 * time.Millisecond},
		{name: "retry that cannot meet its target", left: "80ms", least: 36 * time.Millisecond, most: 40 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedCaller{results: []callResult{{status: http.StatusOK, serviceTime: 2 * time.Millisecond}}}
			router, _ := newRouter(t, plan.Idempotent, 1, s)
			router.Handle(t.Context(), newRequest("/o/x", map[string]string{"timeout": "200ms"}))
			router.Handle(t.Context(), newRequest("/o/x", map[string]string{"timeout": tt.left}))
			within := time.Duration(s.calls[1].GetStartWithinMicros()) * time.Microsecond
			assert.Assert(t, within >= tt.least && within <= tt.most, "%v", within)
		})
	}
}

func TestNoRetryAfterLongWaitAtBusyHost(t *testing.T) {
	tests := []struct {
		name  string
		first callResult
		calls int
	}{
		{name: "refused immediately", first: notRun("gate-late"), calls: 2},
		{name: "refused after waiting", first: callResult{callErr: notRun("gate-late").callErr, delay: 60 * time.Millisecond}, calls: 1},
		{name: "refused after waiting because the host is leaving", first: callResult{callErr: notRun(serve.ReasonLeaving).callErr, delay: 60 * time.Millisecond}, calls: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedCaller{results: []callResult{tt.first, {status: http.StatusOK}}}
				router, _ := newRouter(t, plan.Idempotent, 1, s)
				router.Handle(t.Context(), newRequest("/o/x", nil))
				assert.Equal(t, len(s.calls), tt.calls)
			})
		})
	}
}

// Under overload, hosts would otherwise refuse each request up to four times.
func TestRequestsThatAllHostsRefuseAreRefusedAtTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := notRun("gate-late")
		refusal.callErr.FromRemote, refusal.callErr.LoadPercent = true, 300
		s := &scriptedCaller{results: []callResult{refusal}}
		router, recorded := newRouter(t, plan.Idempotent, 1, s)
		for n, calls := range []int{3, 3, 3} {
			response := router.Handle(t.Context(), newRequest("/o/x", nil))
			assert.Equal(t, response.Status, http.StatusServiceUnavailable)
			assert.Assert(t, recorded.last.RetryAfter > 0)
			assert.Equal(t, len(s.calls), calls, "request %d", n)
		}
		assert.Equal(t, recorded.last.Reason, steer.ReasonAllBusy)
		time.Sleep(time.Second)
		router.Handle(t.Context(), newRequest("/o/x", nil))
		assert.Equal(t, len(s.calls), 4)
	})
}

func TestForwardsRequestWithOriginHeader(t *testing.T) {
	s := &scriptedCaller{results: []callResult{{status: 200, body: "x"}}}
	router, _ := newRouter(t, plan.Idempotent, 1, s)
	response := router.Handle(t.Context(), newRequest("/o/x", map[string]string{"id": "req-1", "origin": "forged", "other": "kept"}))
	assert.Assert(t, bytes.Equal(response.Body, []byte("x")))
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

// blockedCaller makes calls that ignore their context until release is closed, as those on
// a session whose connection accepts no data.
type blockedCaller struct {
	release chan struct{}
	// inBody is true if the body of the reply is blocked instead of the call.
	inBody bool
}

// Call implements steer.RemoteCaller.
func (c blockedCaller) Call(context.Context, netip.AddrPort, *peer.Call) (*peer.Reply, error) {
	if !c.inBody {
		<-c.release
	}
	return &peer.Reply{Head: &wire.ReplyHead{Status: http.StatusOK}, Body: io.NopCloser(c)}, nil
}

// Read implements io.Reader.
func (c blockedCaller) Read([]byte) (n int, err error) {
	<-c.release
	return 0, io.EOF
}

// TestRequestEndsAtItsTimeoutWhileItsCallIsBlocked guards against a request without a final
// answer while the proxy that it was sent to accepts no data.
func TestRequestEndsAtItsTimeoutWhileItsCallIsBlocked(t *testing.T) {
	const timeout, margin = 200 * time.Millisecond, 200 * time.Millisecond
	tests := []struct {
		name   string
		kind   plan.Kind
		inBody bool
	}{
		{name: "call", kind: plan.Idempotent},
		{name: "call that may run once", kind: plan.AtMostOnce},
		{name: "body of the reply", kind: plan.Download, inBody: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				router, _ := newRouter(t, tt.kind, 2, &scriptedCaller{})
				blocked := blockedCaller{release: make(chan struct{}), inBody: tt.inBody}
				router.Remote = blocked
				request := newRequest("/o/x", nil)
				request.Arrived = time.Now()
				response := router.Handle(t.Context(), request)
				assert.Equal(t, response.Status, http.StatusGatewayTimeout)
				took := time.Since(request.Arrived)
				assert.Assert(t, took >= timeout && took <= timeout+margin, "%v", took)
				close(blocked.release)
			})
		})
	}
}

func TestCallIsCanceledWhenCallerDisconnects(t *testing.T) {
	s := &scriptedCaller{results: []callResult{{hangs: true}}}
	router, recorded := newRouter(t, plan.Idempotent, 2, s)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	router.Handle(ctx, newRequest("/o/x", nil))
	assert.Equal(t, len(s.calls), 1)
	assert.Assert(t, recorded.last.Canceled)
}

// recoveringPinger succeeds from the third ping on.
type recoveringPinger struct{ attempts atomic.Int64 }

// Ping implements steer.Pinger.
func (r *recoveringPinger) Ping(context.Context, netip.AddrPort) error {
	if r.attempts.Add(1) < 3 {
		return errors.New("no response")
	}
	return nil
}

func TestUnreachableNodesGetNoRequestsUntilPingSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedCaller{results: []callResult{notRun(peer.ReasonDialFailed), {status: 200}}}
		router, recorded := newRouter(t, plan.Idempotent, 2, s)
		pinger := &recoveringPinger{}
		router.Pinger = pinger
		router.Handle(t.Context(), newRequest("/o/x", nil))
		unreachable := recorded.last.Attempts[0].Host
		for range 200 {
			router.Handle(t.Context(), newRequest("/o/x", nil))
			assert.Assert(t, recorded.last.Attempts[0].Host != unreachable)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, pinger.attempts.Load(), int64(3))
		hosts := make(map[mesh.HostID]bool)
		for range 200 {
			router.Handle(t.Context(), newRequest("/o/x", nil))
			hosts[recorded.last.Attempts[0].Host] = true
		}
		assert.Assert(t, hosts[unreachable])
	})
}

func TestUnknownRouteIsDeniedOnlyByTheNewestVersion(t *testing.T) {
	tests := []struct {
		name, path string
		age        time.Duration
		status     int
		retry      bool
	}{
		{name: "no rule, version confirmed", path: "/none/", age: time.Second, status: http.StatusNotFound},
		{name: "no rule, version not confirmed", path: "/none/", age: 3 * time.Second, status: http.StatusServiceUnavailable, retry: true},
		{name: "rule, version not confirmed", path: "/o/x", age: time.Hour, status: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			router, _ := newRouter(t, plan.Idempotent, 1, &scriptedCaller{results: []callResult{{status: 200, body: "fine"}}})
			snapshot := router.Snapshots.(fixedSnapshot)
			snapshot.age = tt.age
			router.Snapshots = snapshot
			response := router.Handle(t.Context(), newRequest(tt.path, nil))
			assert.Equal(t, response.Status, tt.status)
			retry := slices.ContainsFunc(response.Headers, func(h *wire.Header) bool { return h.GetName() == "Retry-After" })
			assert.Equal(t, retry, tt.retry)
		})
	}
}

// panickingCodec panics for requests with one ID.
type panickingCodec struct{ headerCodec }

func (panickingCodec) Timeout(header func(string) string) (time.Duration, error) {
	if header("id") == "bad" {
		panic("broken invariant")
	}
	return 0, nil
}

// TestPanicEndsOneRequestAlone guards against one faulty request that ends the process
// with all others.
func TestPanicEndsOneRequestAlone(t *testing.T) {
	tests := []struct {
		name, id   string
		wantStatus int
		wantReason string
	}{
		{name: "request that panics", id: "bad", wantStatus: http.StatusBadGateway, wantReason: steer.ReasonInternalError},
		{name: "next request", id: "good", wantStatus: http.StatusOK},
	}
	r, recorded := newRouter(t, plan.Idempotent, 1, &scriptedCaller{results: []callResult{{status: http.StatusOK}}})
	r.Headers = panickingCodec{}
	panics := 0
	r.OnPanic = func(any, []byte) { panics++ }
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			request := &front.Request{Method: "GET", Host: "a.example", Path: "/o/1", Target: "/o/1", Arrived: time.Now()}
			request.HeaderValue = func(name string) string {
				if name == "id" {
					return tt.id
				}
				return ""
			}
			response := r.Handle(t.Context(), request)
			assert.Equal(t, response.Status, tt.wantStatus)
			assert.Equal(t, recorded.last.Reason, tt.wantReason)
		})
	}
	assert.Equal(t, panics, 1)
}
