package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/pkg/gate"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/route"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

var (
	service    = mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}
	localPlace = mesh.Place{Region: "ch-west", Zone: "lsn-a"}
)

// staticRouter routes all requests of the customer with a path that starts with
// /notices to one service.
type staticRouter struct{ settings tree.Settings }

func (s *staticRouter) Match(customer mesh.Customer, method, path string) (target route.Target, err error) {
	if customer != service.Customer {
		return target, &route.UnknownCustomerError{Customer: customer}
	}
	if !strings.HasPrefix(path, "/notices") {
		return target, &route.NoRouteError{Customer: customer, Method: method, Path: path}
	}
	return route.Target{
		Service: service, Route: "notices", Settings: &s.settings, Priority: mesh.Normal, Timeout: 5 * time.Second,
		Idempotent: tree.ByMethod.IsIdempotent(method), AtMostOnce: strings.HasSuffix(path, "/once"),
	}, nil
}

// staticUpstreams returns the same upstreams for every service.
type staticUpstreams struct{ set *pick.CandidateSet }

func (s staticUpstreams) Upstreams(context.Context, mesh.ServiceID) (*pick.CandidateSet, error) {
	return s.set, nil
}

// testNode is a node with its upstream.
type testNode struct {
	candidate pick.Candidate
	handler   *serve.Handler
	server    *peer.Server
}

func startNode(t testing.TB, host mesh.HostID, upstream http.Handler) *testNode {
	t.Helper()
	backend := httptest.NewServer(upstream)
	t.Cleanup(backend.Close)
	g := &gate.Gate{}
	g.Configure(gate.Config{Slots: 64})
	n := &testNode{handler: &serve.Handler{Gate: g}}
	n.handler.SetUpstream(netip.MustParseAddrPort(backend.Listener.Addr().String()), 64)
	n.server = &peer.Server{CallHandler: n.handler}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = n.server.Serve(listener) }()
	t.Cleanup(n.server.Close)
	t.Cleanup(func() { n.handler.SetUpstream(netip.AddrPort{}, 0) })
	address := netip.MustParseAddrPort(listener.Addr().String())
	n.candidate = pick.Candidate{Host: host, Place: localPlace, Node: address, Slots: 64}
	return n
}

// startFrontend starts a frontend whose upstreams are those of the nodes, and
// returns its URL.
func startFrontend(t testing.TB, nodes ...*testNode) (front *Frontend, url string) {
	t.Helper()
	pool := &peer.Pool{}
	t.Cleanup(pool.Close)
	candidates := make([]pick.Candidate, 0, len(nodes))
	for _, n := range nodes {
		candidates = append(candidates, n.candidate)
	}
	settings := tree.Settings{MaxAttempts: 3, RetryBudgetPercent: 100, MaxBodyBytes: 1 << 20, IdempotencyWindow: time.Hour}
	front = &Frontend{DefaultCustomer: service.Customer, Dispatcher: &Dispatcher{
		Router:    &staticRouter{settings: settings},
		Upstreams: staticUpstreams{set: pick.NewCandidateSet(service, candidates)},
		Caller:    pool,
		Place:     localPlace,
		Host:      "front",
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := front.NewServer(listener, time.Second)
	go func() { _ = server.Run() }()
	t.Cleanup(func() { _ = server.Close() })
	return front, "http://" + listener.Addr().String()
}

// notRunHandler reports every request as not run.
func notRunHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderOutcome, "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// truncatingHandler ends its response early.
func truncatingHandler(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("length") != "" {
		w.Header().Set("Content-Length", r.URL.Query().Get("length"))
	}
	_, _ = w.Write([]byte("half"))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// echoHandler returns the request's body and some of its headers.
func echoHandler(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Got-Hop", r.Header.Get("Private")+r.Header.Get("Keep-Alive"))
	w.Header().Set("Got-Key", r.Header.Get(HeaderIdempotencyKey))
	w.Header().Set("Got-Priority", r.Header.Get(HeaderPriority))
	w.Header().Set("Got-Path", r.URL.String())
	w.Header().Set("Connection", "Upstream-Private")
	w.Header().Set("Upstream-Private", "x")
	w.Header().Add("Set-Cookie", "a=1")
	w.Header().Add("Set-Cookie", "b=2")
	_, _ = io.Copy(w, r.Body)
}

func TestFrontendReturnsCompleteResponseOrOutcome(t *testing.T) {
	large := strings.Repeat("seed paper ", 60_000)
	tests := []struct {
		name      string
		upstream  http.HandlerFunc
		method    string
		path      string
		headers   map[string]string
		body      string
		status    int
		outcome   string
		reason    string
		want      http.Header
		truncated bool
	}{
		{name: "response", upstream: echoHandler, method: "GET", path: "/notices/1?x=%20y", status: 200, outcome: "answered", want: http.Header{"Got-Path": {"/notices/1?x=%20y"}}},
		{name: "small body is echoed", upstream: echoHandler, method: "POST", path: "/notices", body: "in memory of", status: 200, outcome: "answered"},
		{name: "large body is echoed", upstream: echoHandler, method: "POST", path: "/notices", body: large, status: 200, outcome: "answered"},
		{
			name: "headers are forwarded except hop-by-hop headers", upstream: echoHandler, method: "POST", path: "/notices", status: 200, outcome: "answered",
			headers: map[string]string{"Connection": "Private", "Private": "p", "Keep-Alive": "k", HeaderIdempotencyKey: "key-1", HeaderPriority: "urgent"},
			want: http.Header{
				"Got-Hop": {""}, "Got-Key": {"key-1"}, "Got-Priority": {"urgent"},
				"Set-Cookie": {"a=1", "b=2"}, "Upstream-Private": nil,
			},
		},
		{name: "unknown customer", upstream: echoHandler, method: "GET", path: "/notices", headers: map[string]string{HeaderCustomer: "nobody"}, status: 404, outcome: "not-run", reason: ReasonUnknownCustomer},
		{name: "no route", upstream: echoHandler, method: "GET", path: "/elsewhere", status: 404, outcome: "not-run", reason: ReasonNoRoute},
		{name: "bad priority", upstream: echoHandler, method: "GET", path: "/notices", headers: map[string]string{HeaderPriority: "top"}, status: 400, outcome: "not-run", reason: ReasonBadHeader},
		{name: "bad timeout", upstream: echoHandler, method: "GET", path: "/notices", headers: map[string]string{HeaderTimeout: "soon"}, status: 400, outcome: "not-run", reason: ReasonBadHeader},
		{name: "timeout of zero", upstream: echoHandler, method: "GET", path: "/notices", headers: map[string]string{HeaderTimeout: "0s"}, status: 400, outcome: "not-run", reason: ReasonBadHeader},
		{name: "body exceeds the limit", upstream: echoHandler, method: "POST", path: "/notices", body: strings.Repeat("x", 1<<20+1), status: 413, outcome: "not-run", reason: ReasonBodyTooLarge},
		{name: "upstream does not run the request", upstream: notRunHandler, method: "POST", path: "/notices", status: 503, outcome: "not-run", reason: serve.ReasonRefused},
		{name: "idempotency key, but the node has no claims", upstream: echoHandler, method: "POST", path: "/notices/once", headers: map[string]string{HeaderIdempotencyKey: "k"}, status: 503, outcome: "not-run", reason: serve.ReasonClaimFailed},
		{name: "short response truncated", upstream: truncatingHandler, method: "POST", path: "/notices?length=100", status: 502, outcome: "unknown", reason: "answer-cut"},
		{name: "long response truncated", upstream: truncatingHandler, method: "POST", path: "/notices?length=100000", status: 200, outcome: "answered", truncated: true},
		{name: "chunked response truncated", upstream: truncatingHandler, method: "GET", path: "/notices", status: 200, outcome: "answered", truncated: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, url := startFrontend(t, startNode(t, "a", tt.upstream))
			request, err := http.NewRequestWithContext(t.Context(), tt.method, url+tt.path, strings.NewReader(tt.body))
			assert.NilError(t, err)
			for name, value := range tt.headers {
				request.Header.Set(name, value)
			}
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			response, err := transport.RoundTrip(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.Equal(t, err != nil, tt.truncated, "err %v", err)
			assert.Equal(t, response.StatusCode, tt.status, "%s", body)
			assert.Equal(t, response.Header.Get(HeaderOutcome), tt.outcome)
			assert.Equal(t, response.Header.Get(HeaderReason), tt.reason)
			if tt.body != "" && tt.status == http.StatusOK {
				assert.Assert(t, bytes.Equal(body, []byte(tt.body)), "got %d bytes, want %d", len(body), len(tt.body))
			}
			for name, want := range tt.want {
				assert.DeepEqual(t, response.Header.Values(name), want)
			}
		})
	}
}

func TestNotRunRequestIsRetriedOnAnotherUpstream(t *testing.T) {
	bad := startNode(t, "bad", http.HandlerFunc(notRunHandler))
	stopped := startNode(t, "gone", http.HandlerFunc(echoHandler))
	stopped.server.Close()
	good := startNode(t, "good", http.HandlerFunc(echoHandler))
	_, url := startFrontend(t, bad, stopped, good)
	for range 20 {
		response, err := http.Post(url+"/notices", "text/plain", strings.NewReader("entry"))
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, response.Header.Get(HeaderUpstream), "good")
		assert.Equal(t, string(body), "entry")
	}
}

func TestTruncatedShortResponseIsRetried(t *testing.T) {
	tests := []struct {
		name, method string
		want         int
	}{
		{name: "idempotent request", method: http.MethodGet, want: http.StatusOK},
		{name: "response without a body", method: http.MethodHead, want: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			broken := startNode(t, "broken", http.HandlerFunc(truncatingHandler))
			good := startNode(t, "good", http.HandlerFunc(echoHandler))
			front, url := startFrontend(t, broken, good)
			for range 100 {
				front.Dispatcher.Budget.Deposit(time.Now(), service, retryPolicy(&tree.Settings{RetryBudgetPercent: 100}))
			}
			for range 10 {
				request, err := http.NewRequest(tt.method, url+"/notices?length=100", nil)
				assert.NilError(t, err)
				response, err := http.DefaultClient.Do(request)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				assert.Equal(t, response.StatusCode, tt.want)
			}
		})
	}
}

func TestDisconnectOfCallerCancelsCallAtUpstream(t *testing.T) {
	tests := []struct {
		name string
		body string
		// respondFirst makes the upstream send the first part of its response before it
		// waits.
		respondFirst bool
	}{
		{name: "no body"},
		{name: "short body", body: "entry"},
		{name: "long body", body: strings.Repeat("x", MaxBufferedBody+1)},
		{name: "during the response", respondFirst: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			entered, ended := make(chan struct{}), make(chan struct{})
			_, url := startFrontend(t, startNode(t, "a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if tt.respondFirst {
					_, _ = w.Write([]byte("half"))
					w.(http.Flusher).Flush()
				}
				close(entered)
				<-r.Context().Done()
				close(ended)
			})))
			ctx, cancel := context.WithCancel(t.Context())
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/notices", strings.NewReader(tt.body))
			assert.NilError(t, err)
			go func() {
				<-entered
				cancel()
			}()
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			response, err := transport.RoundTrip(request)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			assert.ErrorIs(t, err, context.Canceled)
			<-ended
		})
	}
}
