package serve

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLateCopyNeverAnswersTheNextRequest has an upstream send a second copy of a response
// when the next request on the same connection has been sent. The next caller must get
// its own response.
func TestLateCopyNeverAnswersTheNextRequest(t *testing.T) {
	own := func(idHeader, id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
	}
	tests := []struct {
		name    string
		headers HeaderCodec
		// idHeader is the response header that repeats the ID of the request.
		idHeader string
		// setID sets the ID of a request.
		setID func(id string) (headID, attempt string)
	}{
		{name: "ID of the caller", headers: testCodec{}, idHeader: "Id", setID: func(id string) (string, string) { return id, "" }},
		{name: "attempt", idHeader: HeaderAttempt, setID: func(id string) (string, string) { return "", id }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := own(tt.idHeader, "one", "first"), own(tt.idHeader, "two", "second")
			h := &Handler{Gate: newGate(4), Headers: tt.headers}
			h.SetTarget(Target{Address: scriptedUpstream(t, first, first+second), MaxConnections: 1, Instance: "i-1"})
			t.Cleanup(func() { h.SetTarget(Target{}) })
			for _, want := range []struct{ id, body string }{{"one", "first"}, {"two", "second"}} {
				head := callHead("")
				head.Id, head.Attempt = tt.setID(want.id)
				_, body, err := do(t.Context(), h, head, "")
				assert.NilError(t, err)
				assert.Equal(t, body, want.body)
			}
		})
	}
}
