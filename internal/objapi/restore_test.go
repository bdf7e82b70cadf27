package objapi_test

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/objapi"
)

// era returns the era in the header of a response.
func (a api) era(path string) string {
	a.t.Helper()
	response, err := http.Get("http://" + a.Addr().String() + path)
	assert.NilError(a.t, err)
	assert.NilError(a.t, response.Body.Close())
	return response.Header.Get(objapi.EraHeader)
}

// TestRestoredStoreGivesOutRevisionsAgain guards against a stand-in that keeps what was
// written after the copy, or that hides from watches that it was restored.
func TestRestoredStoreGivesOutRevisionsAgain(t *testing.T) {
	a := start(t, new(objapi.Server))
	a.mustDo("POST", "/v1/objects/a", `{"value":"eA=="}`)
	a.mustDo("POST", "/v1/objects/b", `{"value":"eA=="}`)
	copied := a.TakeCopy()
	a.mustDo("PUT", "/v1/objects/a", `{"value":"eQ==","version":1}`)
	a.mustDo("DELETE", "/v1/objects/b?version=2", "")
	a.mustDo("POST", "/v1/objects/c", `{"value":"eA=="}`)
	assert.Equal(t, a.era("/v1/objects?prefix="), "")
	watched := make(chan int)
	go func() {
		status, _ := a.do(context.Background(), "GET", "/v1/watch?from=5&wait=20s", "")
		watched <- status
	}()
	a.waitWatches(1)
	assert.NilError(t, a.Restore(t.Context(), copied, 0))
	assert.Equal(t, <-watched, 0)
	tests := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{name: "watch from a lost revision", method: "GET", path: "/v1/watch?from=3", status: 410, want: `{"error":"revision is not in the history","revision":2}`},
		{name: "history before the copy", method: "GET", path: "/v1/watch?from=1", status: 200, want: `{"events":[{"key":"b","value":"eA==","version":2,"deleted":false}],"next":2}`},
		{name: "object of the copy", method: "GET", path: "/v1/objects/a", status: 200, want: `{"key":"a","value":"eA==","version":1}`},
		{name: "deletion is lost", method: "GET", path: "/v1/objects/b", status: 200, want: `{"key":"b","value":"eA==","version":2}`},
		{name: "created object is lost", method: "GET", path: "/v1/objects/c", status: 404, want: `{"error":"no such object"}`},
		{name: "lost version", method: "PUT", path: "/v1/objects/a", body: `{"value":"","version":3}`, status: 409},
		{name: "revision is given out again", method: "POST", path: "/v1/objects/d", body: `{"value":"eA=="}`, status: 200, want: `{"key":"d","value":"eA==","version":3}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, result := a.do(t.Context(), tt.method, tt.path, tt.body)
			assert.Equal(t, status, tt.status)
			if tt.want != "" {
				assert.Equal(t, result, tt.want)
			}
		})
	}
	for _, path := range []string{"/v1/objects?prefix=", "/v1/objects/c", "/v1/watch?from=9", "/v1/watch?from=3&wait=1ms"} {
		assert.Equal(t, a.era(path), "1", path)
	}
	assert.NilError(t, a.SetFaults(objapi.Faults{Outage: objapi.OutageRefuse}))
	assert.Equal(t, a.era("/v1/objects/a"), "1", "refused call")
}

// TestDrillByRequest covers the drill as a whole, as an operator runs it.
func TestDrillByRequest(t *testing.T) {
	a := start(t, new(objapi.Server))
	a.mustDo("POST", "/v1/objects/a", `{"value":"eA=="}`)
	status, _ := a.do(t.Context(), "POST", "/v1/restore?age=1ms&outage=1ms", "")
	assert.Equal(t, status, http.StatusNoContent)
	assert.Equal(t, a.Stats().Era, uint64(1))
	status, _ = a.do(t.Context(), "POST", "/v1/restore?age=soon", "")
	assert.Equal(t, status, http.StatusBadRequest)
	a.mustDo("GET", "/v1/objects/a", "")
}
