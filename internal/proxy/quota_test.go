package proxy_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/conf"
)

// quotaDocument is a configuration with accounts. One has a rate that no test reaches, one
// gets a token in a quarter of an hour, and one has no limit.
const quotaDocument = `{"version":"r1","listeners":[{"host":"a.example","rule_set":[{"name":"r","kind":"safe",` +
	`"match":{"path_prefix":"/o/"},"action":{"service":"orders","timeout":"3s","max_attempts":2}}]}],` +
	`"clusters":[{"name":"orders","health_path":"/serves"}],"tenants":[` +
	`{"name":"anna","api_keys":["key-anna"],"priority":0,"rate_per_s":10000,"burst":1000},` +
	`{"name":"ben","api_keys":["key-ben"],"priority":0,"rate_per_s":0.001,"burst":1},` +
	`{"name":"carl","api_keys":["key-carl"],"priority":0}]}`

// sendWithKey sends a request with a key, or without one if it is empty, and returns its
// status, the body, which is the reason of a refusal, and Retry-After.
func (p *testProxy) sendWithKey(t *testing.T, key string) (status int, reason, retryAfter string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.proxy.Addresses().Callers.String()+"/o/x", strings.NewReader("hello"))
	assert.NilError(t, err)
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", "keyed")
	request.Header.Set("X-Timeout-Ms", "3000")
	if key != "" {
		request.Header.Set("Api-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, strings.TrimSpace(string(data)), response.Header.Get("Retry-After")
}

// sendUntilDecided sends a request until the owner decides on it. On a busy machine, its
// answer may come after the time for which a request waits.
func (p *testProxy) sendUntilDecided(t *testing.T, key string) (status int, reason, retryAfter string) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, reason, retryAfter = p.sendWithKey(t, key); reason == "quota-undecided" {
			return poll.Continue("undecided")
		}
		return poll.Success()
	}, pollTimeout)
	return status, reason, retryAfter
}

// TestQuotasHoldOverAllProxies guards the path from a request at any proxy to the buckets of
// the owner and back: requests within their quota are served by each proxy, requests beyond
// it by none.
func TestQuotasHoldOverAllProxies(t *testing.T) {
	m := newMeshWith(t, meshOptions{document: []byte(quotaDocument), configure: func(settings *conf.Proxy) { settings.Quota.Window = 5 * time.Second }}, "orders", "orders", "orders")
	tests := []struct {
		name, key string
		status    int
		reason    string
	}{
		{name: "within the quota", key: "key-anna", status: http.StatusOK},
		{name: "beyond the quota", key: "key-ben", status: http.StatusTooManyRequests, reason: "quota-exceeded"},
		{name: "no limit", key: "key-carl", status: http.StatusOK},
	}
	// Until the owner fills its buckets, the local ones admit some requests.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if owners := m.owners(t); owners != 1 {
			return poll.Continue("%d owners", owners)
		}
		return poll.Success()
	}, pollTimeout)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, p := range m.proxies {
				for range 20 {
					status, reason, retryAfter := p.sendUntilDecided(t, tt.key)
					assert.Equal(t, status, tt.status, reason)
					assert.Equal(t, retryAfter != "", tt.reason != "")
					if tt.reason != "" {
						assert.Equal(t, reason, tt.reason)
					}
				}
			}
		})
	}
}

// owners returns the number of proxies whose metrics say that they fill their buckets.
func (m *testMesh) owners(t *testing.T) (owners int) {
	for _, p := range m.proxies {
		var metrics bytes.Buffer
		assert.NilError(t, p.proxy.WriteMetrics(&metrics))
		for line := range strings.Lines(metrics.String()) {
			if name, value, _ := strings.Cut(strings.TrimSpace(line), " "); strings.HasPrefix(name, "arbutusstep_quota_share") && value != "0" {
				owners++
			}
		}
	}
	return owners
}
