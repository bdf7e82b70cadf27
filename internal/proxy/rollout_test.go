package proxy_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/proxy"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/shift"
	"arbutusstep.example/arbutusstep/platform"
)

// orderSpec is the spec of the only order in these tests.
const orderSpec = `{"service":"orders","target_version":"v2","duration":"9s"}`

// statusCodec keeps the spec and the status of an order in the value of an object.
type statusCodec struct{ store.KeyValueCodec }

// UpdateStatus implements store.Codec.
func (c statusCodec) UpdateStatus(key string, status []byte, version uint64) (store.Request, error) {
	return c.Update(key, newOrder(string(status)), version)
}

func newOrder(status string) []byte {
	return fmt.Appendf(nil, `{"spec":%s,"status":%s}`, orderSpec, status)
}

var testRollouts = proxy.Rollouts{Kind: "rollouts", EncodeStatus: platform.EncodeRolloutStatus, Decode: platform.DecodeRollout}

// addBeside registers a second upstream of another version at a proxy.
func addBeside(t *testing.T, p *testProxy, fails bool) *testProxy {
	second := &testProxy{proxy: p.proxy, instance: p.instance + "-new", version: "v2"}
	second.upstream = httptest.NewServer(second)
	t.Cleanup(second.upstream.Close)
	second.healthStatus.Store(http.StatusOK)
	second.fails.Store(fails)
	assert.Equal(t, second.register(t, "orders", "ready"), http.StatusOK)
	return second
}

// status returns the status of the order in the platform.
func (m *testMesh) status(t *testing.T) (status shift.Status) {
	object, err := m.client.Get(t.Context(), "rollouts/orders")
	assert.NilError(t, err)
	decoded, statusErr, err := platform.DecodeRollout("orders", object.Value)
	assert.NilError(t, err)
	assert.NilError(t, statusErr)
	return decoded.Status
}

// TestServiceMovesToAnotherVersion guards against gaps between the registration of a
// second upstream, the order, and the requests that reach each of the two.
func TestServiceMovesToAnotherVersion(t *testing.T) {
	tests := []struct {
		name  string
		fails bool
		want  shift.Phase
	}{
		{name: "good", want: shift.Completed},
		{name: "bad", fails: true, want: shift.RolledBack},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			m := newMesh(t, "orders", "orders")
			_, err := m.client.Create(t.Context(), "rollouts/orders", newOrder("{}"))
			assert.NilError(t, err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if m.status(t).Phase == shift.Running {
					return poll.Success()
				}
				return poll.Continue("no lease")
			}, pollTimeout)
			old, beside := m.proxies, make([]*testProxy, 0, len(m.proxies))
			for _, p := range m.proxies {
				beside = append(beside, addBeside(t, p, tt.fails))
			}
			sent := 0
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for range 20 {
					status, _ := m.proxies[sent%2].send(t, fmt.Sprint(sent), "/o/x")
					assert.Assert(t, tt.fails || status == http.StatusOK, "%d", status)
					sent++
				}
				if phase := m.status(t).Phase; phase != tt.want {
					return poll.Continue("%s", phase)
				}
				return poll.Success()
			}, pollTimeout, poll.WithDelay(1))
			served := old
			if tt.want == shift.Completed {
				served = beside
			}
			tried := beside[0].requestCount() + beside[1].requestCount()
			assert.Assert(t, tried > 0 && (!tt.fails || tried*10 < sent), "%d of %d", tried, sent)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				for i := range 20 {
					_, body := m.proxies[i%2].send(t, "after", "/o/x")
					if !strings.HasPrefix(body, served[0].instance+" ") && !strings.HasPrefix(body, served[1].instance+" ") {
						return poll.Continue("%s", body)
					}
				}
				return poll.Success()
			}, pollTimeout)
			status, err := json.Marshal(m.status(t))
			assert.NilError(t, err)
			t.Logf("%d of %d requests tried: %s", tried, sent, status)
		})
	}
}
