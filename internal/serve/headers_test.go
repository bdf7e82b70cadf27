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

// markedForm is a form in which answers name their request and prove their origin.
type markedForm struct{}

func (markedForm) SetRequestHeaders(header http.Header, _ *wire.CallHead, instance string, _ time.Duration) {
	header["Only"] = []string{instance}
}

func (markedForm) ParseResponse(status int, header http.Header) ResponseInfo {
	return ResponseInfo{
		RequestID: header.Get("Id"), NotRun: header.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Misdirected: status == http.StatusMisdirectedRequest, Authentic: header.Get("Seal") != "",
	}
}

// scripted is an upstream that answers each request of a connection with the
// next bytes, and closes it after the last.
func scripted(t *testing.T, answers ...string) netip.AddrPort {
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
				reader := bufio.NewReader(conn)
				for _, answer := range answers {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// answer is one with a body that names the request.
func answer(id, seal, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nContent-Length: %d\r\n\r\n%s", id, seal, len(body), body)
}

func TestAnswersCountOnlyForTheirRequest(t *testing.T) {
	tests := []struct {
		name    string
		answers string
		body    string
		outcome peer.Outcome
		reason  string
	}{
		{name: "its own", answers: answer("call", "s", "mine"), body: "mine"},
		{name: "a late one of another request before it", answers: answer("other", "s", "theirs") + answer("call", "s", "mine"), body: "mine"},
		{name: "only one of another request", answers: answer("other", "s", "theirs"), outcome: peer.Unknown, reason: ReasonLost},
		{name: "a success without proof", answers: answer("call", "", "forged"), outcome: peer.Unknown, reason: ReasonUnauthenticated},
		{name: "bytes that are no answer", answers: "\x00\x01\x02", outcome: peer.Unknown, reason: ReasonLost},
		{name: "another lifetime at the address", answers: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", outcome: peer.NotRun, reason: ReasonMisdirected},
		{name: "the word that it did not run", answers: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", outcome: peer.NotRun, reason: ReasonRefused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &Handler{Gate: newGate(4), Headers: markedForm{}}
			h.SetTarget(Target{Address: scripted(t, tt.answers), MaxConnections: 4, Instance: "i-1"})
			t.Cleanup(func() { h.SetTarget(Target{}) })
			head := callHead("")
			head.Id = "call"
			_, body, err := do(t.Context(), h, head, "")
			var failed *peer.CallError
			if errors.As(err, &failed) {
				assert.Equal(t, failed.Outcome, tt.outcome)
				assert.Equal(t, failed.Reason, tt.reason)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, body, tt.body)
		})
	}
}

func TestTargetTakesOnlyWhatIsMeantForIt(t *testing.T) {
	tests := []struct {
		name   string
		target Target
		reason string
	}{
		{name: "its service", target: Target{Service: "orders"}},
		{name: "any service", target: Target{}},
		{name: "another service", target: Target{Service: "prints"}, reason: ReasonNoUpstream},
		{name: "before it closes", target: Target{Service: "orders", AdmitUntil: time.Now().Add(time.Hour)}},
		{name: "after it closed", target: Target{Service: "orders", AdmitUntil: time.Now().Add(-time.Second)}, reason: ReasonLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &Handler{Gate: newGate(4), Headers: markedForm{}}
			tt.target.Address, tt.target.MaxConnections = scripted(t, answer("call", "s", "x")), 4
			h.SetTarget(tt.target)
			t.Cleanup(func() { h.SetTarget(Target{}) })
			head := callHead("")
			head.Id, head.Service = "call", "orders"
			_, _, err := do(t.Context(), h, head, "")
			var failed *peer.CallError
			if tt.reason == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.As(err, &failed))
			assert.Equal(t, failed.Outcome, peer.NotRun)
			assert.Equal(t, failed.Reason, tt.reason)
		})
	}
}
