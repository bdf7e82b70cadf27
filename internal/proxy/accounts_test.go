package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// logBuffer collects log lines of several goroutines.
type logBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (b *logBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(data)
}

func (b *logBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// accountDocument returns a configuration with the accounts, as JSON.
func accountDocument(version int, accounts string) []byte {
	plain := string(newDocument(version, "/o/", "orders"))
	return []byte(strings.TrimSuffix(plain, "}") + `,"tenants":[` + accounts + `]}`)
}

// TestKeysAreNeverShown guards against keys of client accounts in logs, metrics and
// status pages: of known and unknown keys, and from documents that are refused.
func TestKeysAreNeverShown(t *testing.T) {
	var lines logBuffer
	m := newMeshWith(t, meshOptions{logger: zerolog.New(&lines), document: accountDocument(1, `{"name":"anna","api_keys":["sesame-1"],"rate_per_s":5,"burst":5}`)}, "orders")
	p := m.proxies[0]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := p.resultWithKey(t, "sesame-1"); !strings.HasPrefix(got, "200 ") {
			return poll.Continue("%s", got)
		}
		return poll.Success()
	}, pollTimeout)
	assert.Equal(t, p.resultWithKey(t, "sesame-2"), "401 unknown-key")
	current, err := m.client.Get(t.Context(), "config/main")
	assert.NilError(t, err)
	refused := []string{
		`{"name":"anna","api_keys":["sesame-1"`,
		`{"name":"anna","api_keys":["sesame-1"],"rate_per_s":"sesame-3"}`,
		`{"name":"anna","api_keys":"sesame-1"}`,
		`{"name":"anna","api_keys":["sesame-1"]},{"name":"ben","api_keys":["sesame-1"]}`,
		`{"name":"anna","api_keys":["sesame-1",""]}`,
		`{"name":"anna","api_keys":["sesame-1"],"rate_per_s":-1}`,
		`{"name":"anna","API_KEYS":["sesame-1"],"priority":-1}`,
	}
	for i, accounts := range refused {
		// The document may be refused before Update returns.
		before := strings.Count(lines.String(), "versionRefused")
		current, err = m.client.Update(t.Context(), "config/main", accountDocument(2+i, accounts), current.Version)
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if strings.Count(lines.String(), "versionRefused") == before+1 {
				return poll.Success()
			}
			return poll.Continue("document %d not refused yet: %+v", i, p.proxy.Status())
		}, pollTimeout)
		assert.Assert(t, strings.HasPrefix(p.resultWithKey(t, "sesame-1"), "200 "))
	}
	assert.Assert(t, strings.Contains(lines.String(), "unknown-key"), "the requests are logged")
	assert.Assert(t, !strings.Contains(lines.String(), "sesame"), lines.String())
	for _, page := range []string{"/status", "/metrics", "/version"} {
		response, err := http.Get("http://" + p.proxy.Addresses().Admin.String() + page)
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Assert(t, len(text) > 0)
		assert.Assert(t, !strings.Contains(string(text), "sesame"), "%s: %s", page, text)
	}
}
