package fakeup_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/fakeup"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// upstream is a running fake upstream with an HTTP client.
type upstream struct {
	*fakeup.Upstream
	t      *testing.T
	client http.Client
}

func start(t *testing.T, options fakeup.Options) *upstream {
	t.Helper()
	u := &upstream{Upstream: fakeup.New(options), t: t, client: http.Client{Transport: &http.Transport{}}}
	assert.NilError(t, u.Start(context.Background()))
	t.Cleanup(func() {
		u.Kill()
		u.client.CloseIdleConnections()
	})
	return u
}

// result is the response or the error that a caller receives.
type result struct {
	status        int
	outcome, load string
	body          string
	err           error
}

func (u *upstream) do(ctx context.Context, path, body string, header ...string) (got result) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Addr().String()+path, strings.NewReader(body))
	assert.Check(u.t, err)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := u.client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode, body: string(data), err: err,
		outcome: response.Header.Get(fakeup.HeaderOutcome), load: response.Header.Get(fakeup.HeaderLoad),
	}
}

// beginCall makes a call in the background.
func (u *upstream) beginCall(ctx context.Context, path string, header ...string) <-chan result {
	results := make(chan result, 1)
	go func() { results <- u.do(ctx, path, "", header...) }()
	return results
}

func (u *upstream) wait(what string, done func(s fakeup.Stats) bool) {
	u.t.Helper()
	poll.WaitOn(u.t, func(poll.LogT) poll.Result {
		if s := u.Stats(); !done(s) {
			return poll.Continue("waiting until %s: %+v", what, s)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func (u *upstream) waitRunning(want int) {
	u.t.Helper()
	u.wait(fmt.Sprint(want, " run"), func(s fakeup.Stats) bool { return s.Running == want })
}

func TestVerifyResponse(t *testing.T) {
	u := start(t, fakeup.Options{ServiceTime: time.Millisecond, Seed: 1, ColdStart: time.Minute})
	got := u.do(t.Context(), "/book?bytes=100000", "entry", fakeup.HeaderIdempotencyKey, "k")
	assert.NilError(t, got.err)
	tests := []struct {
		name, path, key, body string
		filler                int64
		cut                   int
		want                  error
	}{
		{name: "own", path: "/book", key: "k", body: "entry", filler: 100000},
		{name: "other path", path: "/b", key: "k", body: "entry", filler: 100000, want: fakeup.ErrResponseMismatch},
		{name: "other key", path: "/book", key: "l", body: "entry", filler: 100000, want: fakeup.ErrResponseMismatch},
		{name: "other body", path: "/book", key: "k", body: "", filler: 100000, want: fakeup.ErrResponseMismatch},
		{name: "too much filler", path: "/book", key: "k", body: "entry", filler: 99999, want: fakeup.ErrResponseMismatch},
		{name: "truncated", path: "/book", key: "k", body: "entry", filler: 100000, cut: 1, want: fakeup.ErrResponseMismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			response := strings.NewReader(got.body[:len(got.body)-tt.cut])
			err := fakeup.VerifyResponse(response, tt.path, tt.key, []byte(tt.body), tt.filler)
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
		})
	}
}

func TestRunsAreCountedByKey(t *testing.T) {
	u := start(t, fakeup.Options{})
	tests := []struct {
		name   string
		header []string
	}{
		{name: "idempotency key", header: []string{fakeup.HeaderIdempotencyKey, "b"}},
		{name: "same key with an attempt", header: []string{fakeup.HeaderIdempotencyKey, "b", fakeup.HeaderAttempt, "x"}},
		{name: "attempt alone", header: []string{fakeup.HeaderAttempt, "a"}},
		{name: "no key"},
		{name: "expired deadline", header: []string{fakeup.HeaderAttempt, "late", fakeup.HeaderTimeout, "-1s"}},
		{name: "malformed deadline", header: []string{fakeup.HeaderAttempt, "bad", fakeup.HeaderTimeout, "soon"}},
	}
	for _, tt := range tests {
		assert.NilError(t, u.do(t.Context(), "/", "", tt.header...).err)
	}
	assert.DeepEqual(t, u.Runs(), []fakeup.RunCount{{Key: "a", Count: 1}, {Key: "b", Count: 2}})
	r, err := u.client.Get("http://" + u.Addr().String() + "/v1/runs")
	assert.NilError(t, err)
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), `{"runs":[{"key":"a","count":1},{"key":"b","count":2}]}`+"\n")
}

func TestFullUpstreamRejectsRequests(t *testing.T) {
	u := start(t, fakeup.Options{Slots: 2, ServiceTime: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	first, second := u.beginCall(ctx, "/"), u.beginCall(ctx, "/")
	u.waitRunning(2)
	got := u.do(t.Context(), "/", "", fakeup.HeaderAttempt, "k")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.outcome, fakeup.OutcomeNotRun)
	assert.Equal(t, got.load, "100")
	assert.Equal(t, len(u.Runs()), 0)
	cancel()
	assert.ErrorIs(t, (<-first).err, context.Canceled)
	assert.ErrorIs(t, (<-second).err, context.Canceled)
	u.waitRunning(0)
	assert.Equal(t, u.Stats().Cancelled, uint64(2))
}

func TestDeadlineEndsRequest(t *testing.T) {
	u := start(t, fakeup.Options{ServiceTime: time.Hour})
	got := u.do(t.Context(), "/", "", fakeup.HeaderTimeout, "500ms", fakeup.HeaderAttempt, "k")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.outcome, fakeup.OutcomeUnknown)
	assert.DeepEqual(t, u.Runs(), []fakeup.RunCount{{Key: "k", Count: 1}})
}

func TestConnectionsAreLimited(t *testing.T) {
	u := start(t, fakeup.Options{MaxConnections: 1, ServiceTime: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	first := u.beginCall(ctx, "/")
	u.waitRunning(1)
	assert.Assert(t, u.do(t.Context(), "/", "").err != nil)
	assert.Equal(t, u.Stats().RefusedConnections, int64(1))
	cancel()
	<-first
	u.wait("the connection ends", func(s fakeup.Stats) bool { return s.Connections == 0 })
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults string
		runs   int
		broken bool
		load   string
	}{
		{name: "none", faults: `{}`, runs: 1, load: "12"},
		{name: "delay", faults: `{"delay":"1ms"}`, runs: 1, load: "12"},
		{name: "overridden load", faults: `{"lieAboutLoad":true,"load":3}`, runs: 1, load: "3"},
		{name: "dropped response", faults: `{"die":1}`, runs: 1, broken: true},
		{name: "truncated response", faults: `{"cutShort":1}`, runs: 1, broken: true, load: "12"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := start(t, fakeup.Options{})
			r, err := http.NewRequest(http.MethodPut, "http://"+u.Addr().String()+"/v1/faults", strings.NewReader(tt.faults))
			assert.NilError(t, err)
			response, err := u.client.Do(r)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusNoContent)
			got := u.do(t.Context(), "/?bytes=100", "", fakeup.HeaderAttempt, "k")
			assert.Equal(t, got.err != nil, tt.broken, "%v", got.err)
			assert.Equal(t, got.load, tt.load)
			assert.Equal(t, len(u.Runs()), tt.runs)
			assert.NilError(t, u.do(t.Context(), "/", "").err)
		})
	}
}

func TestKillEndsHangingRequest(t *testing.T) {
	u := start(t, fakeup.Options{})
	assert.NilError(t, u.SetFaults(fakeup.Faults{HangRequests: 1}))
	hanging := u.beginCall(t.Context(), "/", fakeup.HeaderAttempt, "k", fakeup.HeaderTimeout, "1ms")
	u.waitRunning(1)
	u.Kill()
	assert.Assert(t, (<-hanging).err != nil)
	assert.Equal(t, len(u.Runs()), 0)
	assert.Assert(t, u.do(t.Context(), "/", "").err != nil)
}

// fakeNode starts a fake node that records the calls that it receives.
func fakeNode(t *testing.T, within string) (address netip.AddrPort, calls <-chan string) {
	t.Helper()
	received := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- strings.TrimSpace(r.Method + " " + r.URL.Path + " " + string(body))
		fmt.Fprintf(w, `{"renewWithin":%q}`, within)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String()), received
}

func TestUpstreamAnnouncesItself(t *testing.T) {
	node, calls := fakeNode(t, "30ms")
	u := start(t, fakeup.Options{Customer: "c", Service: "s", Node: node, Slots: 3, MaxConnections: 7, ServiceTime: time.Minute})
	want := fmt.Sprintf(`PUT /v1/upstream {"customer":"c","service":"s","address":%q,"slots":3,"connections":7}`, u.Addr())
	assert.Equal(t, <-calls, want)
	assert.Equal(t, <-calls, want, "renewed")
	ctx, cancel := context.WithCancel(t.Context())
	running := u.beginCall(ctx, "/")
	u.waitRunning(1)
	drained := make(chan error)
	go func() { drained <- u.Drain(t.Context()) }()
	for call := <-calls; call != "POST /v1/upstream/drain"; call = <-calls {
		assert.Equal(t, call, want)
	}
	late := u.beginCall(ctx, "/")
	u.waitRunning(2)
	assert.Equal(t, u.Stats().AfterDrain, uint64(1))
	select {
	case <-drained:
		t.Fatal("Drain returned while requests were running")
	default:
	}
	cancel()
	<-running
	<-late
	assert.NilError(t, <-drained)
	assert.NilError(t, u.Stop(t.Context()))
	assert.Equal(t, <-calls, "DELETE /v1/upstream")
}

func TestStopWaitsForRequests(t *testing.T) {
	u := start(t, fakeup.Options{ServiceTime: 50 * time.Millisecond})
	running := u.beginCall(t.Context(), "/?bytes=10")
	u.waitRunning(1)
	assert.NilError(t, u.Stop(t.Context()))
	got := <-running
	assert.NilError(t, got.err)
	assert.NilError(t, fakeup.VerifyResponse(strings.NewReader(got.body), "/", "", nil, 10))
}

func TestResponseRepeatsAttempt(t *testing.T) {
	u := start(t, fakeup.Options{})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+u.Addr().String()+"/", http.NoBody)
	assert.NilError(t, err)
	request.Header.Set(fakeup.HeaderAttempt, "a-1")
	response, err := u.client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.Header.Get(fakeup.HeaderAttempt), "a-1")
}
