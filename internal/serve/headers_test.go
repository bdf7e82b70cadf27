package serve

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// testCodec is a HeaderCodec whose responses contain the ID of their request and a
// proof of their origin.
type testCodec struct{}

func (testCodec) SetRequestHeaders(header http.Header, _ *wire.CallHead, instance string, _ time.Duration) {
	header["Only"] = []string{instance}
}

func (testCodec) ParseResponse(status int, header http.Header) ResponseInfo {
	return ResponseInfo{
		RequestID: header.Get("Id"), NotRun: header.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Misdirected: status == http.StatusMisdirectedRequest, Authentic: header.Get("Signature") != "",
	}
}

// serveConnections accepts connections on a free port and serves each of them, until the
// end of the test.
func serveConnections(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// scriptedUpstream starts an upstream that sends the next of the responses to each
// request of a connection and closes the connection after the last one.
func scriptedUpstream(t *testing.T, responses ...string) netip.AddrPort {
	return serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
		for _, response := range responses {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, response)
		}
	})
}

// rawResponse returns a response to the request with the ID.
func rawResponse(id, signature, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: %s\r\nContent-Length: %d\r\n\r\n%s", id, signature, len(body), body)
}

func TestResponseIsAcceptedOnlyForItsRequest(t *testing.T) {
	tests := []struct {
		name      string
		responses string
		body      string
		outcome   peer.Outcome
		reason    string
	}{
		{name: "own response", responses: rawResponse("call", "s", "mine"), body: "mine"},
		{name: "late response to another request first", responses: rawResponse("other", "s", "theirs") + rawResponse("call", "s", "mine"), body: "mine"},
		{name: "response to another request only", responses: rawResponse("other", "s", "theirs"), outcome: peer.Unknown, reason: ReasonLost},
		{name: "success without proof of origin", responses: rawResponse("call", "", "forged"), outcome: peer.Unknown, reason: ReasonUnauthenticated},
		{name: "invalid HTTP", responses: "\x00\x01\x02", outcome: peer.Unknown, reason: ReasonInvalidResponse},
		{name: "another instance at the address", responses: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", outcome: peer.NotRun, reason: ReasonMisdirected},
		{name: "reported as not run", responses: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", outcome: peer.NotRun, reason: ReasonRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &Handler{Gate: newGate(4), Headers: testCodec{}}
			h.SetTarget(Target{Address: scriptedUpstream(t, tt.responses), MaxConnections: 4, Instance: "i-1"})
			t.Cleanup(func() { h.SetTarget(Target{}) })
			head := callHead("")
			head.Id = "call"
			_, body, err := do(t.Context(), h, head, "")
			var callErr *peer.CallError
			if errors.As(err, &callErr) {
				assert.Equal(t, callErr.Outcome, tt.outcome)
				assert.Equal(t, callErr.Reason, tt.reason)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, body, tt.body)
		})
	}
}

func TestTargetAcceptsOnlyItsServiceUntilClosed(t *testing.T) {
	tests := []struct {
		name   string
		target Target
		reason string
	}{
		{name: "same service", target: Target{Service: "orders"}},
		{name: "any service", target: Target{}},
		{name: "another service", target: Target{Service: "prints"}, reason: ReasonNoUpstream},
		{name: "before AdmitUntil", target: Target{Service: "orders", AdmitUntil: time.Now().Add(time.Hour)}},
		{name: "after AdmitUntil", target: Target{Service: "orders", AdmitUntil: time.Now().Add(-time.Second)}, reason: ReasonLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &Handler{Gate: newGate(4), Headers: testCodec{}}
			tt.target.Address, tt.target.MaxConnections = scriptedUpstream(t, rawResponse("call", "s", "x")), 4
			h.SetTarget(tt.target)
			t.Cleanup(func() { h.SetTarget(Target{}) })
			head := callHead("")
			head.Id, head.Service = "call", "orders"
			_, _, err := do(t.Context(), h, head, "")
			var callErr *peer.CallError
			if tt.reason == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.As(err, &callErr))
			assert.Equal(t, callErr.Outcome, peer.NotRun)
			assert.Equal(t, callErr.Reason, tt.reason)
		})
	}
}
