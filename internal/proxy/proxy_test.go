package proxy_test

import (
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

// drainTime is how long after its acknowledgement a leaving upstream may still
// get work.
const drainTime = 2500 * time.Millisecond

// patience bounds the wait for what has to come.
var patience = poll.WithTimeout(20 * time.Second)

// mesh is a platform with proxies and an upstream beside each.
type mesh struct {
	objects *objapi.Server
	client  *store.Client
	proxies []*member
}

// member is a proxy with its upstream.
type member struct {
	proxy    *proxy.Proxy
	instance string
	sequence atomic.Uint64
	backend  *httptest.Server
	// ran holds the names of the requests that the upstream ran.
	mutex sync.Mutex
	ran   []string
	// hold makes the upstream wait before it answers; nil lets it answer at once.
	hold atomic.Pointer[chan struct{}]
	// check is the status with which the upstream answers whether it serves, and
	// checks counts those questions.
	check, checks atomic.Int32
}

// newMesh starts a proxy for each service that is named.
func newMesh(t *testing.T, services ...string) *mesh {
	m := &mesh{objects: new(objapi.Server)}
	assert.NilError(t, m.objects.Start(anyPort))
	t.Cleanup(func() { assert.NilError(t, m.objects.Stop(context.Background())) })
	m.client = store.New(store.Options{Address: m.objects.Addr(), Host: "operator", RateLimiter: &store.RateLimiter{Rate: 1000, Burst: 1000}})
	t.Cleanup(m.client.Close)
	_, err := m.client.Create(t.Context(), "config/main", document(1, "/o/", "orders"))
	assert.NilError(t, err)
	for i, service := range services {
		m.start(t, i, service)
	}
	for _, p := range m.proxies {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status := p.proxy.Status()
			if status.Phase == "serving" && status.State == "ready" && status.Nodes == len(services) {
				return poll.Success()
			}
			return poll.Continue("%+v", status)
		}, patience)
	}
	return m
}

func (m *mesh) start(t *testing.T, number int, service string) {
	p := &member{instance: fmt.Sprintf("i-%d", number)}
	p.backend = httptest.NewServer(p)
	t.Cleanup(p.backend.Close)
	p.check.Store(http.StatusOK)
	m.launch(t, p, number)
	t.Cleanup(func() { p.stop(t) })
	m.proxies = append(m.proxies, p)
	// The first words come before the version that names the service.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.speak(t, service, "ready") == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("not acknowledged")
	}, patience)
}

// launch starts the process of a proxy.
func (m *mesh) launch(t *testing.T, p *member, number int) {
	settings := conf.DefaultProxy()
	settings.Host, settings.Region, settings.Zone = core.HostID(fmt.Sprint("h", number)), "ch-west", "lsn-a"
	settings.Listen = conf.ProxyListen{Callers: anyPort, Nodes: anyPort, Admin: anyPort, Ready: anyPort}
	settings.Platform, settings.Heartbeat, settings.Stop = m.objects.Addr(), time.Minute, 6*time.Second
	var err error
	p.proxy, err = proxy.Start(settings, proxy.Platform{
		Objects: store.KeyValueCodec{}, VersionKind: "config", RecordKind: "nodes",
		DecodePlan: platform.ReadPlan, Headers: platform.Headers{}, Registrations: platform.CheckIns{},
	}, zerolog.Nop())
	assert.NilError(t, err)
}

func (p *member) stop(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, p.proxy.Stop(ctx))
}

// speak sends a word of the upstream and returns the status.
func (p *member) speak(t *testing.T, service, state string) int {
	body, err := json.Marshal(struct {
		Address string `json:"address"`
		Born    int64  `json:"born"`
		Info    any    `json:"info"`
		Status  any    `json:"status"`
	}{p.backend.Listener.Addr().String(), 1767323045000, struct {
		Service string `json:"service"`
		Slots   int    `json:"slots"`
	}{service, 4}, struct {
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

// ServeHTTP is the upstream: it answers only what is meant for it.
func (p *member) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/serves" {
		p.checks.Add(1)
		w.Header().Set("X-Instance-Id", p.instance)
		w.WriteHeader(int(p.check.Load()))
		return
	}
	if r.Header.Get("X-Target-Instance") != p.instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mutex.Lock()
	p.ran = append(p.ran, r.Header.Get("X-Request-Id"))
	p.mutex.Unlock()
	if hold := p.hold.Load(); hold != nil {
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

func (p *member) runs() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.ran)
}

// document is a configuration of one rule.
func document(version int, prefix, service string) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","listeners":[{"host":"a.example","rule_set":[{"name":"r","kind":"safe",`+
		`"match":{"path_prefix":%q},"action":{"service":%q,"timeout":"3s","max_attempts":2}}]}],`+
		`"clusters":[{"name":"orders","health_path":"/serves"},{"name":"prints","health_path":"/serves"}]}`, version, prefix, service)
}

// ask sends a request to a proxy and returns the status and the body.
func (p *member) ask(t *testing.T, id, path string) (status int, body string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+p.proxy.Addresses().Callers.String()+path, strings.NewReader("hello"))
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

func TestRequestsGoByTheVersionInForceToTheUpstreamOfItsService(t *testing.T) {
	m := newMesh(t, "orders", "prints", "orders")
	for i, p := range m.proxies {
		status, body := p.ask(t, fmt.Sprintf("req-%d", i), "/o/x?q=%20")
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, strings.HasSuffix(body, " POST /o/x?q=%20  hello"), body)
		assert.Assert(t, !strings.HasPrefix(body, "i-1 "), body)
		status, _ = p.ask(t, "none", "/p/x")
		assert.Equal(t, status, http.StatusNotFound)
	}
	current, err := m.client.Get(t.Context(), "config/main")
	assert.NilError(t, err)
	current, err = m.client.Update(t.Context(), "config/main", []byte("no document"), current.Version)
	assert.NilError(t, err)
	_, err = m.client.Update(t.Context(), "config/main", document(4, "/p/", "prints"), current.Version)
	assert.NilError(t, err)
	for _, p := range m.proxies {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status, body := p.ask(t, "moved", "/p/x"); status == http.StatusOK && strings.HasPrefix(body, "i-1 ") {
				return poll.Success()
			}
			return poll.Continue("version %d in force", p.proxy.Status().Version)
		}, patience)
		status, _ := p.ask(t, "dropped", "/o/x")
		assert.Equal(t, status, http.StatusNotFound)
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	m := newMesh(t, "orders", "orders")
	leaving, staying := m.proxies[0], m.proxies[1]
	assert.Equal(t, leaving.speak(t, "orders", "draining"), http.StatusOK)
	time.Sleep(drainTime)
	before := leaving.runs()
	for i := range 50 {
		for _, p := range m.proxies {
			status, body := p.ask(t, fmt.Sprint(i), "/o/x")
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, strings.HasPrefix(body, staying.instance))
		}
	}
	assert.Equal(t, leaving.runs(), before)
}

func TestUpstreamOnRecordGetsWorkAfterARestartIfItSaysThatItServes(t *testing.T) {
	tests := []struct {
		name   string
		answer int
		state  string
		checks int32
		status int
	}{
		{name: "it serves", answer: http.StatusOK, state: "ready", checks: 1, status: http.StatusOK},
		{name: "it does not", answer: http.StatusServiceUnavailable, state: "lost", checks: 4, status: http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(t, "orders")
			p := m.proxies[0]
			p.check.Store(int32(tt.answer))
			p.stop(t)
			p.checks.Store(0)
			m.launch(t, p, 0)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				status := p.proxy.Status()
				if status.Phase == "serving" && status.State == tt.state && p.checks.Load() == tt.checks {
					return poll.Success()
				}
				return poll.Continue("%+v, %d checks", status, p.checks.Load())
			}, patience)
			status, _ := p.ask(t, "after", "/o/x")
			assert.Equal(t, status, tt.status)
		})
	}
}

func TestPlannedStopAnswersWhatItTook(t *testing.T) {
	m := newMesh(t, "orders", "prints")
	serving, stopped := m.proxies[0], m.proxies[1]
	hold := make(chan struct{})
	serving.hold.Store(&hold)
	type answer struct {
		status int
		body   string
	}
	answers := make(chan answer, 1)
	go func() {
		status, body := stopped.ask(t, "held", "/o/x")
		answers <- answer{status, body}
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if serving.runs() == 1 {
			return poll.Success()
		}
		return poll.Continue("the request has not begun")
	}, patience)
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
	}, patience)
	status, _ := stopped.ask(t, "later", "/p/x")
	assert.Equal(t, status, http.StatusNotFound, "a proxy that leaves still serves")
	close(hold)
	got := <-answers
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, strings.HasPrefix(got.body, serving.instance))
	<-left
}

// TestStoppingProxyTakesNoMoreCallsOfOthers holds a caller's request while the
// proxy stops, and sends one through another proxy meanwhile.
func TestStoppingProxyTakesNoMoreCallsOfOthers(t *testing.T) {
	m := newMesh(t, "orders", "prints")
	stopped, other := m.proxies[0], m.proxies[1]
	hold := make(chan struct{})
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release)
	stopped.hold.Store(&hold)
	held := make(chan int, 1)
	go func() {
		status, _ := stopped.ask(t, "held", "/o/x")
		held <- status
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if stopped.runs() == 1 {
			return poll.Success()
		}
		return poll.Continue("the request has not begun")
	}, patience)
	ended := make(chan error, 1)
	go func() { ended <- stopped.proxy.Stop(t.Context()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if conn, err := net.Dial("tcp", stopped.proxy.Addresses().Callers.String()); err == nil {
			return poll.Continue("still takes callers: %v", conn.Close())
		}
		return poll.Success()
	}, patience)
	status, _ := other.ask(t, "late", "/o/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, stopped.runs(), 1)
	release()
	assert.Equal(t, <-held, http.StatusOK)
	assert.NilError(t, <-ended)
	m.launch(t, stopped, 0)
}

func TestWordsThatNameNobodyChangeNothing(t *testing.T) {
	m := newMesh(t, "orders")
	p := m.proxies[0]
	url := "http://" + p.proxy.Addresses().Admin.String() + "/instances/"
	tests := []struct {
		name, method, instance, body string
	}{
		{name: "no JSON", method: http.MethodPut, instance: "x", body: "\x00"},
		{name: "unknown service", method: http.MethodPut, instance: "x", body: `{"address":"127.0.0.1:1","born":9999999999999,"info":{"service":"none","slots":1},"status":{"state":"ready","sequence":1}}`},
		{name: "unknown state", method: http.MethodPut, instance: "x", body: `{"address":"127.0.0.1:1","born":9999999999999,"info":{"service":"orders","slots":1},"status":{"state":"odd","sequence":1}}`},
		{name: "farewell that can't be read", method: http.MethodDelete, instance: p.instance, body: "{"},
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
