package serve

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
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

// TestRefusalOfAnEarlierRequestIsNotBelieved guards against a refusal without an ID that an
// upstream writes once more on a kept connection: a request that it was running counted as
// not run, and ran a second time elsewhere.
func TestRefusalOfAnEarlierRequestIsNotBelieved(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const ownRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: one\r\nContent-Length: 0\r\n\r\n"
	type result struct {
		body    string
		outcome peer.Outcome
		reason  string
	}
	tests := []struct {
		name string
		// responses are sent on each connection, one for each request.
		responses []string
		want      [2]result
	}{
		{
			name: "upstream whose refusals have an ID", responses: []string{ownRefusal, refusal + rawResponse("two", "s", "second")},
			want: [2]result{{outcome: peer.NotRun, reason: ReasonRefused}, {body: "second"}},
		},
		{
			name: "upstream whose refusals are unknown", responses: []string{rawResponse("one", "s", "first"), refusal + rawResponse("two", "s", "second")},
			want: [2]result{{body: "first"}, {outcome: peer.Unknown, reason: ReasonUnattributed}},
		},
		{
			name: "failure without an ID before", responses: []string{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", refusal},
			want: [2]result{{}, {outcome: peer.Unknown, reason: ReasonUnattributed}},
		},
		{
			name: "failure without an ID after others with one", responses: []string{rawResponse("one", "s", "first"), "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" + rawResponse("two", "s", "second")},
			want: [2]result{{body: "first"}, {body: "second"}},
		},
		{
			name: "after a response to another request", responses: []string{rawResponse("other", "s", "late") + refusal, refusal},
			want: [2]result{{outcome: peer.Unknown, reason: ReasonUnattributed}, {outcome: peer.Unknown, reason: ReasonUnattributed}},
		},
		{
			name: "first response on each connection", responses: []string{refusal, rawResponse("two", "s", "late")},
			want: [2]result{{outcome: peer.NotRun, reason: ReasonRefused}, {outcome: peer.NotRun, reason: ReasonRefused}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &Handler{Gate: newGate(4), Headers: testCodec{}}
			h.SetTarget(Target{Address: scriptedUpstream(t, tt.responses...), MaxConnections: 1, Instance: "i-1"})
			t.Cleanup(func() { h.SetTarget(Target{}) })
			for i, id := range []string{"one", "two"} {
				head := callHead("")
				head.Id = id
				_, body, err := do(t.Context(), h, head, "")
				want := tt.want[i]
				if want.reason == "" {
					assert.NilError(t, err)
					assert.Equal(t, body, want.body)
					continue
				}
				var callErr *peer.CallError
				assert.Assert(t, errors.As(err, &callErr), "%v", err)
				assert.Equal(t, callErr.Outcome, want.outcome)
				assert.Equal(t, callErr.Reason, want.reason)
			}
		})
	}
}
