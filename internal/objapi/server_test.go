package objapi_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/objapi"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	// Hertz updates the date of its own error responses in a goroutine that never ends.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"))
}

// api is a running server with an HTTP client.
type api struct {
	*objapi.Server
	t *testing.T
}

func start(t *testing.T, server *objapi.Server) api {
	t.Helper()
	assert.NilError(t, server.Start(netip.MustParseAddrPort("127.0.0.1:0")))
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		assert.NilError(t, server.Stop(context.Background()))
	})
	return api{Server: server, t: t}
}

// do makes a call and returns its status, zero when there was no response.
func (a api) do(ctx context.Context, method, path, body string) (status int, result string) {
	a.t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+a.Addr().String()+path, strings.NewReader(body))
	assert.NilError(a.t, err)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(a.t, err)
	return response.StatusCode, string(data)
}

func (a api) mustDo(method, path, body string) (result string) {
	a.t.Helper()
	status, result := a.do(a.t.Context(), method, path, body)
	assert.Equal(a.t, status, http.StatusOK, result)
	return result
}

func (a api) versions(path string) (versions []uint64) {
	a.t.Helper()
	var decoded struct{ Events []struct{ Version uint64 } }
	assert.NilError(a.t, json.Unmarshal([]byte(a.mustDo("GET", path, "")), &decoded))
	for _, e := range decoded.Events {
		versions = append(versions, e.Version)
	}
	return versions
}

func TestResponses(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{name: "get", method: "GET", path: "/v1/objects/a/b", status: 200, want: `{"key":"a/b","value":"eA==","version":1}`},
		{name: "get of a missing key", method: "GET", path: "/v1/objects/b", status: 404, want: `{"error":"no such object"}`},
		{name: "create of an existing key", method: "POST", path: "/v1/objects/a/b", body: `{"value":""}`, status: 409, want: `{"error":"version conflict","current":{"key":"a/b","value":"eA==","version":1}}`},
		{name: "create with version", method: "POST", path: "/v1/objects/c", body: `{"value":"","version":1}`, status: 400},
		{name: "create without value", method: "POST", path: "/v1/objects/c", body: `{}`, status: 400},
		{name: "unknown field", method: "POST", path: "/v1/objects/c", body: `{"value":"","x":1}`, status: 400},
		{name: "update", method: "PUT", path: "/v1/objects/a/b", body: `{"value":"eQ==","version":1}`, status: 200, want: `{"key":"a/b","value":"eQ==","version":2}`},
		{name: "update without version", method: "PUT", path: "/v1/objects/a/b", body: `{"value":""}`, status: 400},
		{name: "update of a stale version", method: "PUT", path: "/v1/objects/a/b", body: `{"value":"","version":7}`, status: 409},
		{name: "value over the limit", method: "POST", path: "/v1/objects/c", body: `{"value":"` + strings.Repeat("AAAA", 1<<20/3+1) + `"}`, status: 413},
		{name: "list", method: "GET", path: "/v1/objects?prefix=a", status: 200, want: `{"objects":[{"key":"a/b","value":"eA==","version":1}],"revision":1,"more":false}`},
		{name: "list after", method: "GET", path: "/v1/objects?prefix=a&after=a/b", status: 200, want: `{"objects":[],"revision":1,"more":false}`},
		{name: "list with a malformed prefix", method: "GET", path: "/v1/objects?prefix=%20", status: 400},
		{name: "delete", method: "DELETE", path: "/v1/objects/a/b?version=1", status: 200, want: `{"key":"a/b","value":null,"version":2}`},
		{name: "delete without version", method: "DELETE", path: "/v1/objects/a/b", status: 400},
		{name: "watch", method: "GET", path: "/v1/watch?from=0", status: 200, want: `{"events":[{"key":"a/b","value":"eA==","version":1,"deleted":false}],"next":1}`},
		{name: "watch without events", method: "GET", path: "/v1/watch?from=1&wait=1ms", status: 200, want: `{"events":[],"next":1}`},
		{name: "watch from a future revision", method: "GET", path: "/v1/watch?from=2", status: 410, want: `{"error":"revision is not in the history","revision":1}`},
		{name: "watch with too long a wait", method: "GET", path: "/v1/watch?wait=2h", status: 400},
		{name: "unknown outage", method: "PUT", path: "/v1/faults", body: `{"down":"maybe"}`, status: 400},
		{name: "faults", method: "PUT", path: "/v1/faults", body: `{"latency":"5ms"}`, status: 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := start(t, new(objapi.Server))
			a.mustDo("POST", "/v1/objects/a/b", `{"value":"eA=="}`)
			status, result := a.do(t.Context(), tt.method, tt.path, tt.body)
			assert.Equal(t, status, tt.status, result)
			if tt.want != "" {
				assert.Equal(t, result, tt.want)
			}
		})
	}
}

// The server rejects a body by its Content-Length. A client that still sends the
// body may see a connection reset, so this test sends none of it.
func TestBodyOverTheLimitIsRejected(t *testing.T) {
	a := start(t, new(objapi.Server))
	conn, err := net.Dial("tcp", a.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/objects/c HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 5<<20)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
}

func TestHistoryIsBounded(t *testing.T) {
	a := start(t, &objapi.Server{HistoryLimit: 2})
	for i := range 4 {
		a.mustDo("POST", fmt.Sprint("/v1/objects/k", i), `{"value":""}`)
	}
	status, _ := a.do(t.Context(), "GET", "/v1/watch?from=1", "")
	assert.Equal(t, status, http.StatusGone)
	assert.DeepEqual(t, a.versions("/v1/watch?from=2"), []uint64{3, 4})
}

func TestWatchFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults objapi.Faults
		check  func(t *testing.T, a api)
	}{
		{name: "duplicated", faults: objapi.Faults{DuplicateEvents: true}, check: func(t *testing.T, a api) {
			assert.DeepEqual(t, a.versions("/v1/watch?from=0"), []uint64{1, 2, 3, 4, 1, 2, 3, 4})
		}},
		{name: "shuffled", faults: objapi.Faults{ShuffleEvents: true}, check: func(t *testing.T, a api) {
			got := a.versions("/v1/watch?from=0")
			assert.Assert(t, !slices.IsSorted(got), "%v", got)
			slices.Sort(got)
			assert.DeepEqual(t, got, []uint64{1, 2, 3, 4})
		}},
		{name: "delayed beyond the wait", faults: objapi.Faults{EventDelay: time.Hour}, check: func(t *testing.T, a api) {
			assert.Equal(t, len(a.versions("/v1/watch?from=0&wait=1ms")), 0)
		}},
		{name: "delayed", faults: objapi.Faults{EventDelay: 20 * time.Millisecond}, check: func(t *testing.T, a api) {
			assert.Equal(t, a.versions("/v1/watch?from=0")[0], uint64(1))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := start(t, &objapi.Server{Seed: 3})
			assert.NilError(t, a.SetFaults(tt.faults))
			for i := range 4 {
				a.mustDo("POST", fmt.Sprint("/v1/objects/k", i), `{"value":""}`)
			}
			tt.check(t, a)
		})
	}
}

func TestFaultsApplyToWaitingWatch(t *testing.T) {
	tests := []struct {
		name   string
		faults objapi.Faults
		status int
	}{
		{name: "refused", faults: objapi.Faults{Outage: objapi.OutageRefuse}, status: 503},
		{name: "dropped", faults: objapi.Faults{Outage: objapi.OutageDrop}},
		{name: "frozen for good", faults: objapi.Faults{FreezeWatches: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := start(t, new(objapi.Server))
			ctx, cancel := context.WithCancel(t.Context())
			statuses := make(chan int)
			go func() {
				status, _ := a.do(ctx, "GET", "/v1/watch?from=0", "")
				statuses <- status
			}()
			a.waitWatches(1)
			assert.NilError(t, a.SetFaults(tt.faults))
			if tt.faults.FreezeWatches {
				assert.NilError(t, a.SetFaults(objapi.Faults{}))
				a.mustDo("POST", "/v1/objects/k", `{"value":""}`)
				a.waitWatches(0)
				select {
				case <-statuses:
					t.Fatal("a frozen watch responded")
				default:
				}
				cancel()
			}
			assert.Equal(t, <-statuses, tt.status)
			cancel()
		})
	}
}

func TestStopEndsWaitingWatchesAndKeepsObjects(t *testing.T) {
	a := start(t, new(objapi.Server))
	a.mustDo("POST", "/v1/objects/k", `{"value":""}`)
	statuses := make(chan int)
	go func() {
		status, _ := a.do(t.Context(), "GET", "/v1/watch?from=1", "")
		statuses <- status
	}()
	a.waitWatches(1)
	address := a.Addr()
	assert.NilError(t, a.Stop(t.Context()))
	assert.Equal(t, <-statuses, 0)
	assert.NilError(t, a.Start(address))
	assert.Assert(t, strings.Contains(a.mustDo("GET", "/v1/objects/k", ""), `"version":1`))
}

func TestCallsAreCounted(t *testing.T) {
	a := start(t, new(objapi.Server))
	a.mustDo("POST", "/v1/objects/k", `{"value":""}`)
	a.mustDo("PUT", "/v1/objects/k", `{"value":"","version":1}`)
	a.mustDo("GET", "/v1/objects/k", "")
	a.mustDo("GET", "/v1/objects", "")
	a.mustDo("GET", "/v1/watch", "")
	a.mustDo("DELETE", "/v1/objects/k?version=2", "")
	assert.NilError(t, a.SetFaults(objapi.Faults{LoseResponses: 1}))
	status, _ := a.do(t.Context(), "POST", "/v1/objects/k", `{"value":""}`)
	assert.Equal(t, status, 0)
	assert.Equal(t, a.Faults().LoseResponses, 0)
	var got objapi.Stats
	assert.NilError(t, json.Unmarshal([]byte(a.mustDo("GET", "/v1/stats", "")), &got))
	tests := []struct {
		name      string
		got, want uint64
	}{
		{name: "get", got: got.Get.Total, want: 1},
		{name: "list", got: got.List.Total, want: 1},
		{name: "watch", got: got.Watch.Total, want: 1},
		{name: "create", got: got.Create.Total, want: 2},
		{name: "update", got: got.Update.Total, want: 1},
		{name: "delete", got: got.Delete.Total, want: 1},
		{name: "reads", got: got.Reads.Total, want: 3},
		{name: "writes", got: got.Writes.Total, want: 4},
		{name: "lost responses", got: got.LostResponses, want: 1},
		{name: "revision", got: got.Revision, want: 4},
	}
	for _, tt := range tests {
		assert.Check(t, tt.got == tt.want, "%s: got %d, want %d", tt.name, tt.got, tt.want)
	}
}

func (a api) waitWatches(want int) {
	a.t.Helper()
	poll.WaitOn(a.t, func(poll.LogT) poll.Result {
		if got := a.Stats().WaitingWatches; got != want {
			return poll.Continue("%d waiting watches, want %d", got, want)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func BenchmarkCalls(b *testing.B) {
	server := new(objapi.Server)
	assert.NilError(b, server.Start(netip.MustParseAddrPort("127.0.0.1:0")))
	defer func() { assert.NilError(b, server.Stop(context.Background())) }()
	assert.NilError(b, server.SetFaults(objapi.Faults{WritesPerSecond: 1 << 30, ReadsPerSecond: 1 << 30}))
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 64
	base := "http://" + server.Addr().String()
	body := []byte(`{"value":"` + strings.Repeat("AAAA", 256) + `"}`)
	tests := []struct {
		name string
		call func(i int) (*http.Response, error)
	}{
		{name: "create", call: func(i int) (*http.Response, error) {
			return http.Post(fmt.Sprintf("%s/v1/objects/%d/%d", base, b.N, i), "application/json", bytes.NewReader(body))
		}},
		{name: "get", call: func(int) (*http.Response, error) { return http.Get(base + "/v1/objects/1/0") }},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			for i := range b.N {
				doCall(b, tt.call, i)
			}
		})
		b.Run(tt.name+" on many connections", func(b *testing.B) {
			var next atomic.Int64
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					doCall(b, tt.call, -int(next.Add(1)))
				}
			})
		})
	}
	http.DefaultClient.CloseIdleConnections()
}

// doCall makes a call and reads its response.
func doCall(b *testing.B, call func(i int) (*http.Response, error), i int) {
	response, err := call(i)
	assert.NilError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(b, err)
	assert.NilError(b, response.Body.Close())
}
