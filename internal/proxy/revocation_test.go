package proxy_test

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/conf"
	"arbutusstep.example/arbutusstep/internal/objapi"
)

// documentWithKey returns a configuration with an account that has the key.
func documentWithKey(version int, key string) []byte {
	document := bytes.Replace(newDocument(version, "/o/", "orders"), []byte(`"kind":"safe"`), []byte(`"kind":"safe","allow_anonymous":true`), 1)
	return fmt.Appendf(bytes.TrimSuffix(document, []byte("}")), `,"tenants":[{"name":"anna","api_keys":[%q]}]}`, key)
}

// TestKeysEndWithTheLastAccount guards against requests that run, with a key that was taken
// away or with any other, after a version with an empty list of accounts.
func TestKeysEndWithTheLastAccount(t *testing.T) {
	m := newMeshWith(t, meshOptions{document: accountDocument(1, `{"name":"anna","api_keys":["key-a"]}`)}, "orders", "orders")
	await := func(want string) {
		for _, p := range m.proxies {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if got := p.resultWithKey(t, "key-a"); !strings.HasPrefix(got, want) {
					return poll.Continue("%s", got)
				}
				return poll.Success()
			}, pollTimeout)
		}
	}
	await("200 ")
	current, err := m.client.Get(t.Context(), "config/main")
	assert.NilError(t, err)
	_, err = m.client.Update(t.Context(), "config/main", accountDocument(2, ""), current.Version)
	assert.NilError(t, err)
	await("401 unknown-key")
	for _, p := range m.proxies {
		assert.Equal(t, p.resultWithKey(t, "key-b"), "401 unknown-key")
		assert.Equal(t, p.resultWithKey(t, ""), "401 no-key")
	}
}

// resultWithKey sends a request with a key, or without one if it is empty, and returns the
// status and the body.
func (p *testProxy) resultWithKey(t *testing.T, key string) string {
	status, body, retryAfter := p.sendWithKey(t, key)
	assert.Equal(t, retryAfter != "", status == http.StatusServiceUnavailable)
	return fmt.Sprintf("%d %s", status, body)
}

// TestKeysAreRefusedWhileTheStoreIsSilent guards against parts that are not connected: the
// dates of calls, probes, heartbeats, the check of requests, and the metrics.
func TestKeysAreRefusedWhileTheStoreIsSilent(t *testing.T) {
	m := newMeshWith(t, meshOptions{configure: func(settings *conf.Proxy) { settings.Revocation = 3 * time.Second }}, "orders", "orders", "orders", "orders")
	current, err := m.client.Get(t.Context(), "config/main")
	assert.NilError(t, err)
	_, err = m.client.Update(t.Context(), "config/main", documentWithKey(2, "key-a"), current.Version)
	assert.NilError(t, err)
	await := func(want string) {
		for _, p := range m.proxies {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if got := p.resultWithKey(t, "key-a"); !strings.HasPrefix(got, want) {
					return poll.Continue("%s, version %d", got, p.proxy.Status().Version)
				}
				return poll.Success()
			}, pollTimeout)
		}
	}
	await("200 ")
	assert.NilError(t, m.objects.SetFaults(objapi.Faults{FreezeWatches: true}))
	await("503 version-unverified")
	for _, p := range m.proxies {
		assert.Assert(t, strings.HasPrefix(p.resultWithKey(t, ""), "200 "))
	}
	var metrics bytes.Buffer
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		metrics.Reset()
		assert.NilError(t, m.proxies[3].proxy.WriteMetrics(&metrics))
		for _, name := range []string{"version_verified_age_seconds", "requests_unverified"} {
			if !regexp.MustCompile(name + `\S* [1-9]`).Match(metrics.Bytes()) {
				return poll.Continue("%s", metrics.String())
			}
		}
		return poll.Success()
	}, pollTimeout)
	assert.NilError(t, m.objects.SetFaults(objapi.Faults{}))
	await("200 ")
}
