package proxy_test

import (
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/conf"
)

// get sends a request to the proxy, with a key unless it is empty.
func (p *testProxy) get(t *testing.T, path, key string) (status int) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.proxy.Addresses().Callers.String()+path, http.NoBody)
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "get")
	if key != "" {
		request.Header.Set("Api-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

func (p *testProxy) metrics(t *testing.T) string {
	var text strings.Builder
	assert.NilError(t, p.proxy.WriteMetrics(&text))
	return text.String()
}

// TestNestedCallsAreRaisedByTheCallersProxy guards the whole path of a nested call: the
// called proxy reports that only upstreams use the route, the proxy beside the calling
// upstream counts what runs there, and its operator sees the calls.
func TestNestedCallsAreRaisedByTheCallersProxy(t *testing.T) {
	m := newMesh(t, "orders", "prints")
	settings := conf.DefaultProxy()
	settings.Service, settings.Platform = "orders", m.objects.Addr()
	m.proxies[0].proxy.ApplySettings(settings)
	document := `{"version":"r2","listeners":[{"host":"a.example","rule_set":[` +
		`{"name":"course","kind":"safe","match":{"path_prefix":"/o/"},"action":{"service":"orders","timeout":"10s","max_attempts":1}},` +
		`{"name":"lesson","kind":"safe","priority":1,"allow_anonymous":true,"match":{"path_prefix":"/p/"},"action":{"service":"prints","timeout":"3s","max_attempts":1}}]}],` +
		`"tenants":[{"name":"gold","api_keys":["key-g"],"priority":0},{"name":"basic","api_keys":["key-b"],"priority":1}],` +
		`"clusters":[{"name":"orders","health_path":"/serves"},{"name":"prints","health_path":"/serves"}]}`
	current, err := m.client.Get(t.Context(), "config/main")
	assert.NilError(t, err)
	_, err = m.client.Update(t.Context(), "config/main", []byte(document), current.Version)
	assert.NilError(t, err)
	caller := m.proxies[0]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := caller.get(t, "/p/lesson", ""); status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("%+v", caller.proxy.Status())
	}, pollTimeout)
	hold := make(chan struct{})
	caller.release.Store(&hold)
	answered := make(chan int, 1)
	go func() { answered <- caller.get(t, "/o/course", "key-g") }()
	raised := regexp.MustCompile(`(?m)^arbutusstep_nested_calls_(urgent|raised)\S* [1-9]`)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		assert.Equal(t, caller.get(t, "/p/lesson", ""), http.StatusOK)
		if found := raised.FindAllString(caller.metrics(t), -1); len(found) == 2 {
			return poll.Success()
		}
		return poll.Continue("no nested call yet")
	}, pollTimeout)
	close(hold)
	assert.Equal(t, <-answered, http.StatusOK)
}
