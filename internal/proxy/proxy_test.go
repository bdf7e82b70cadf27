package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/internal/proxy"
	"arbutusstep.example/arbutusstep/internal/store"
	core "arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/platform"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// admissionPeriod is how long after the acknowledgement of its draining an upstream
// may still get requests.
const admissionPeriod = 2500 * time.Millisecond

// pollTimeout limits the wait for an expected state.
var pollTimeout = poll.WithTimeout(20 * time.Second)

// testMesh is a platform with several proxies and an upstream for each.
type testMesh struct {
	options meshOptions
	objects *objapi.Server
	client  *store.Client
	proxies []*testProxy
}

// testProxy is a proxy with its upstream.
type testProxy struct {
	proxy    *proxy.Proxy
	instance string
	sequence atomic.Uint64
	upstream *httptest.Server
	// requestIDs holds the IDs of the requests that the upstream ran.
	mutex      sync.Mutex
	requestIDs []string
	// release delays responses of the upstream until the channel is closed; nil means
	// no delay.
	release atomic.Pointer[chan struct{}]
	// tracked is true if the setting silentUpstreams is on.
	tracked bool
	// healthStatus is the status code of the upstream's response to health checks, and
	// healthChecks the number of checks.
	healthStatus, healthChecks atomic.Int32
	// version is the version of the upstream's software; empty if it reports none.
	version string
	// fails makes the upstream fail every second request.
	fails atomic.Bool
}

// newMesh starts one proxy for each of the services.
func newMesh(t *testing.T, services ...string) *testMesh {
	return newMeshWith(t, meshOptions{}, services...)
}

// meshOptions are what a mesh may differ in from that of newMesh.
type meshOptions struct {
	// document is the first version; nil means one with a rule for the service orders.
	document []byte
	// logger is the logger of the proxies.
	logger zerolog.Logger
	// configure changes the settings of the proxies; nil for no change.
	configure func(settings *conf.Proxy)
}

func newMeshWith(t *testing.T, options meshOptions, services ...string) *testMesh {
	if options.document == nil {
		options.document = newDocument(1, "/o/", "orders")
	}
	m := &testMesh{options: options, objects: new(objapi.Server)}
	assert.NilError(t, m.objects.Start(anyPort))
	t.Cleanup(func() { assert.NilError(t, m.objects.Stop(context.Background())) })
	m.client = store.New(store.Options{Address: m.objects.Addr(), Host: "operator", RateLimiter: &store.RateLimiter{Rate: 1000, Burst: 1000}})
	t.Cleanup(m.client.Close)
	_, err := m.client.Create(t.Context(), "config/main", options.document)
	assert.NilError(t, err)
	for i, service := range services {
		m.addProxy(t, i, service)
	}
	for _, p := range m.proxies {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status := p.proxy.Status()
			if status.Phase == "serving" && status.State == "ready" && status.Nodes == len(services) {
				return poll.Success()
			}
			return poll.Continue("%+v", status)
		}, pollTimeout)
	}
	return m
}

func (m *testMesh) addProxy(t *testing.T, number int, service string) {
	p := &testProxy{instance: fmt.Sprintf("i-%d", number)}
	p.upstream = httptest.NewServer(p)
	t.Cleanup(p.upstream.Close)
	p.healthStatus.Store(http.StatusOK)
	m.startProxy(t, p, number)
	t.Cleanup(func() { p.stop(t) })
	m.proxies = append(m.proxies, p)
	// The first registrations are sent before the version that names the service is
	// known.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.register(t, service, "ready") == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("not acknowledged")
	}, pollTimeout)
}

// startProxy starts the proxy itself, without its upstream.
func (m *testMesh) startProxy(t *testing.T, p *testProxy, number int) {
	settings := conf.DefaultProxy()
	settings.Host, settings.Region, settings.Zone = core.HostID(fmt.Sprint("h", number)), "ch-west", "lsn-a"
	settings.Listen = conf.ProxyListen{Callers: anyPort, Nodes: anyPort, Admin: anyPort, Ready: anyPort}
	settings.SilentUpstreams = p.tracked
	settings.Platform, settings.Heartbeat, settings.Stop = m.objects.Addr(), time.Minute, 6*time.Second
	if m.options.configure != nil {
		m.options.configure(&settings)
	}
	var err error
	p.proxy, err = proxy.Start(settings, proxy.Platform{
		Objects: statusCodec{}, VersionKind: "config", RecordKind: "nodes", Rollouts: testRollouts,
		DecodePlan: platform.DecodePlan, RedactPlan: platform.RedactConfig, Headers: platform.HeaderCodec{}, Registrations: platform.RegistrationCodec{},
	}, m.options.logger)
	assert.NilError(t, err)
}

func (p *testProxy) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, p.proxy.Stop(ctx))
}

// register sends a registration of the upstream and returns the status code.
func (p *testProxy) register(t *testing.T, service, state string) int {
	body, err := json.Marshal(struct {
		Address string `json:"address"`
		Born    int64  `json:"born"`
		Info    any    `json:"info"`
		Status  any    `json:"status"`
	}{p.upstream.Listener.Addr().String(), 1767323045000, struct {
		Service string `json:"service"`
		Version string `json:"version,omitempty"`
		Slots   int    `json:"slots"`
	}{service, p.version, 4}, struct {
		State    string `json:"state"`
		Sequence uint64 `json:"sequence"`
	}{state, p.sequence.Add(1)}})
	assert.NilError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut,
		"http://"+p.proxy.Addresses().Admin.String()+"/instances/"+p.instance, bytes.NewReader(body))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

// ServeHTTP implements the upstream. It rejects requests to other instances.
func (p *testProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/serves" {
		p.healthChecks.Add(1)
		w.Header().Set("X-Instance-Id", p.instance)
		w.WriteHeader(int(p.healthStatus.Load()))
		return
	}
	if r.Header.Get("X-Target-Instance") != p.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mutex.Lock()
	p.requestIDs = append(p.requestIDs, r.Header.Get("X-Request-Id"))
	count := len(p.requestIDs)
	p.mutex.Unlock()
	if p.fails.Load() && count%2 == 0 {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Signature", "seal")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if hold := p.release.Load(); hold != nil {
		select {
		case <-*hold:
		case <-r.Context().Done():
		}
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Signature", "seal")
	_, _ = fmt.Fprintf(w, "%s %s %s %s %s", p.instance, r.Method, r.RequestURI, r.Header.Get("X-Caller-Service"), body)
}

func (p *testProxy) requestCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.requestIDs)
}

// newDocument returns a configuration with one rule.
func newDocument(version int, prefix, service string) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","listeners":[{"host":"a.example","rule_set":[{"name":"r","kind":"safe",`+
		`"match":{"path_prefix":%q},"action":{"service":%q,"timeout":"3s","max_attempts":2}}]}],`+
		`"clusters":[{"name":"orders","health_path":"/serves"},{"name":"prints","health_path":"/serves"}]}`, version, prefix, service)
}

// unsafeDocument returns a first version whose rule is for requests that are not idempotent.
func unsafeDocument() []byte {
	return bytes.Replace(newDocument(1, "/o/", "orders"), []byte(`"kind":"safe"`), []byte(`"kind":"unsafe"`), 1)
}

// acceptEach calls handle for each connection until the listener is closed.
func acceptEach(listener net.Listener, handle func(conn net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		handle(conn)
	}
}

// replaceUpstream makes serve handle the connections to the upstream.
func (p *testProxy) replaceUpstream(t *testing.T, service string, serve func(conn net.Conn)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go acceptEach(listener, func(conn net.Conn) { go serve(conn) })
	_ = p.upstream.Listener.Close()
	p.upstream.Listener = listener
	assert.Equal(t, p.register(t, service, "ready"), http.StatusOK)
}

// waitForUpstream waits until the proxy reaches an upstream that answers with the body "good".
func (p *testProxy) waitForUpstream(t *testing.T) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, body := p.send(t, "first", "/o/x"); status != http.StatusOK || body != "good" {
			return poll.Continue("%d %s", status, body)
		}
		return poll.Success()
	}, pollTimeout)
}

// send sends a request with a short body to the proxy.
func (p *testProxy) send(t *testing.T, id, path string) (status int, body string) {
	return p.sendBody(t, id, path, "hello")
}

// sendBody sends a request to the proxy.
func (p *testProxy) sendBody(t *testing.T, id, path, requestBody string) (status int, body string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+p.proxy.Addresses().Callers.String()+path, strings.NewReader(requestBody))
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Timeout-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(data)
}

func TestRoutesByVersionInForce(t *testing.T) {
	m := newMesh(t, "orders", "prints", "orders")
	for i, p := range m.proxies {
		status, body := p.send(t, fmt.Sprintf("req-%d", i), "/o/x?q=%20")
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, strings.HasSuffix(body, " POST /o/x?q=%20  hello"), body)
		assert.Assert(t, !strings.HasPrefix(body, "i-1 "), body)
		status, _ = p.send(t, "none", "/p/x")
		assert.Equal(t, status, http.StatusNotFound)
	}
	current, err := m.client.Get(t.Context(), "config/main")
	assert.NilError(t, err)
	current, err = m.client.Update(t.Context(), "config/main", []byte("no document"), current.Version)
	assert.NilError(t, err)
	_, err = m.client.Update(t.Context(), "config/main", newDocument(4, "/p/", "prints"), current.Version)
	assert.NilError(t, err)
	for _, p := range m.proxies {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status, body := p.send(t, "moved", "/p/x"); status == http.StatusOK && strings.HasPrefix(body, "i-1 ") {
				return poll.Success()
			}
			return poll.Continue("version %d in force", p.proxy.Status().Version)
		}, pollTimeout)
		status, _ := p.send(t, "dropped", "/o/x")
		assert.Equal(t, status, http.StatusNotFound)
	}
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	m := newMesh(t, "orders", "orders")
	leaving, staying := m.proxies[0], m.proxies[1]
	assert.Equal(t, leaving.register(t, "orders", "draining"), http.StatusOK)
	time.Sleep(admissionPeriod)
	before := leaving.requestCount()
	for i := range 50 {
		for _, p := range m.proxies {
			status, body := p.send(t, fmt.Sprint(i), "/o/x")
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, strings.HasPrefix(body, staying.instance))
		}
	}
	assert.Equal(t, leaving.requestCount(), before)
}

func TestRecordedUpstreamIsUsedAfterRestartIfHealthy(t *testing.T) {
	tests := []struct {
		name         string
		healthStatus int
		state        string
		checks       int32
		status       int
	}{
		{name: "healthy", healthStatus: http.StatusOK, state: "ready", checks: 1, status: http.StatusOK},
		{name: "unhealthy", healthStatus: http.StatusServiceUnavailable, state: "lost", checks: 4, status: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(t, "orders")
			p := m.proxies[0]
			p.healthStatus.Store(int32(tt.healthStatus))
			p.stop(t)
			p.healthChecks.Store(0)
			m.startProxy(t, p, 0)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				status := p.proxy.Status()
				if status.Phase == "serving" && status.State == tt.state && p.healthChecks.Load() == tt.checks {
					return poll.Success()
				}
				return poll.Continue("%+v, %d checks", status, p.healthChecks.Load())
			}, pollTimeout)
			status, _ := p.send(t, "after", "/o/x")
			assert.Equal(t, status, tt.status)
		})
	}
}

// TestRestartedProxyTracksItsUpstream guards against a restarted proxy that never releases
// the slots that it holds for the requests of its predecessor.
func TestRestartedProxyTracksItsUpstream(t *testing.T) {
	m := newMesh(t, "orders")
	p := m.proxies[0]
	p.stop(t)
	p.tracked = true
	m.startProxy(t, p, 0)
	p.awaitRoute(t, "/o/x", p)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var metrics bytes.Buffer
		assert.NilError(t, p.proxy.WriteMetrics(&metrics))
		for _, want := range []string{"upstream_limit{host=\"h0\",zone=\"lsn-a\"} 4\n", "gate_held{host=\"h0\",zone=\"lsn-a\"} 0\n"} {
			if !strings.Contains(metrics.String(), want) {
				return poll.Continue("%s is missing in %s", want, &metrics)
			}
		}
		return poll.Success()
	}, pollTimeout)
}

// awaitRoute waits until the proxy's requests to the path are answered. Knowing all nodes
// does not imply that their upstreams are known to be ready. It returns the number of
// requests that the upstream ran by then.
func (p *testProxy) awaitRoute(t *testing.T, path string, upstream *testProxy) (requests int) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, body := p.send(t, "probe", path); status != http.StatusOK {
			return poll.Continue("status %d: %s", status, body)
		}
		return poll.Success()
	}, pollTimeout)
	return upstream.requestCount()
}

func TestDrainAnswersAcceptedRequests(t *testing.T) {
	m := newMesh(t, "orders", "prints")
	serving, stopped := m.proxies[0], m.proxies[1]
	before := stopped.awaitRoute(t, "/o/x", serving)
	hold := make(chan struct{})
	serving.release.Store(&hold)
	type response struct {
		status int
		body   string
	}
	responses := make(chan response, 1)
	go func() {
		status, body := stopped.send(t, "held", "/o/x")
		responses <- response{status, body}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if serving.requestCount() == before+1 {
			return poll.Success()
		}
		return poll.Continue("the request has not started")
	}, pollTimeout)
	left := make(chan struct{})
	go func() {
		stopped.proxy.Drain()
		close(left)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + stopped.proxy.Addresses().Ready.String() + "/ready")
		if err != nil {
			return poll.Error(err)
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusServiceUnavailable {
			return poll.Success()
		}
		return poll.Continue("still ready")
	}, pollTimeout)
	status, _ := stopped.send(t, "later", "/p/x")
	assert.Equal(t, status, http.StatusNotFound, "a draining proxy still serves requests")
	close(hold)
	got := <-responses
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, strings.HasPrefix(got.body, serving.instance))
	<-left
}

// TestStoppingProxyRefusesRemoteCalls checks that a stopping proxy refuses calls of
// other proxies as soon as it closes its caller listener. Calls that it accepted
// shortly before the process exited were cut off. A held request of a caller keeps the
// stopping proxy alive while another proxy sends a call.
func TestStoppingProxyRefusesRemoteCalls(t *testing.T) {
	m := newMesh(t, "orders", "prints")
	stopped, other := m.proxies[0], m.proxies[1]
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release)
	stopped.release.Store(&hold)
	held := make(chan int, 1)
	go func() {
		status, _ := stopped.send(t, "held", "/o/x")
		held <- status
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if stopped.requestCount() == 1 {
			return poll.Success()
		}
		return poll.Continue("the request has not started")
	}, pollTimeout)
	ended := make(chan error, 1)
	go func() { ended <- stopped.proxy.Stop(t.Context()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if conn, err := net.Dial("tcp", stopped.proxy.Addresses().Callers.String()); err == nil {
			return poll.Continue("still accepts callers: %v", conn.Close())
		}
		return poll.Success()
	}, pollTimeout)
	status, _ := other.send(t, "late", "/o/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, stopped.requestCount(), 1)
	release()
	assert.Equal(t, <-held, http.StatusOK)
	assert.NilError(t, <-ended)
	m.startProxy(t, stopped, 0)
}

// TestStopRefusesRequestsThatItCannotFinish guards against a request that arrives late in a
// planned stop, is passed on, and is cut without an answer when the process ends. Its
// caller gets a refusal at once instead.
func TestStopRefusesRequestsThatItCannotFinish(t *testing.T) {
	tests := []struct {
		name string
		// timeout is the timeout that the caller sets.
		timeout string
		status  int
	}{
		{name: "may last beyond the end", timeout: "3000", status: http.StatusServiceUnavailable},
		{name: "ends in time", timeout: "800", status: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(t, "orders", "orders")
			p := m.proxies[0]
			conn, err := net.Dial("tcp", p.proxy.Addresses().Callers.String())
			assert.NilError(t, err)
			defer conn.Close()
			// The request was begun before the stop, so the connection is kept for it.
			_, err = io.WriteString(conn, "POST /o/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: late\r\nX-Timeout-Ms: "+tt.timeout+"\r\n")
			assert.NilError(t, err)
			p.proxy.Drain()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- p.proxy.Stop(ctx) }()
			time.Sleep(600 * time.Millisecond)
			_, err = io.WriteString(conn, "Content-Length: 4\r\n\r\nbody")
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			data, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tt.status, "%s", data)
			assert.Equal(t, response.Header.Get("Retry-After") != "", tt.status != http.StatusOK)
			assert.NilError(t, response.Body.Close())
			assert.NilError(t, conn.Close())
			assert.NilError(t, <-ended)
			m.startProxy(t, p, 0)
		})
	}
}

func TestInvalidRegistrationsChangeNothing(t *testing.T) {
	m := newMesh(t, "orders")
	p := m.proxies[0]
	url := "http://" + p.proxy.Addresses().Admin.String() + "/instances/"
	tests := []struct {
		name, method, instance, body string
	}{
		{name: "invalid JSON", method: http.MethodPut, instance: "x", body: "\x00"},
		{name: "unknown service", method: http.MethodPut, instance: "x", body: `{"address":"127.0.0.1:1","born":9999999999999,"info":{"service":"none","slots":1},"status":{"state":"ready","sequence":1}}`},
		{name: "unknown state", method: http.MethodPut, instance: "x", body: `{"address":"127.0.0.1:1","born":9999999999999,"info":{"service":"orders","slots":1},"status":{"state":"odd","sequence":1}}`},
		{name: "malformed deregistration", method: http.MethodDelete, instance: p.instance, body: "{"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), tt.method, url+tt.instance, strings.NewReader(tt.body))
			assert.NilError(t, err)
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusBadRequest)
			status := p.proxy.Status()
			assert.Equal(t, status.Upstream, p.instance)
			assert.Equal(t, status.State, "ready")
		})
	}
}
