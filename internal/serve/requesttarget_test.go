package serve

import (
	"bufio"
	"errors"
	"net"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
)

// TestTargetIsSentUnchanged guards against a request that an upstream gets with another target
// than its caller sent, and against an upstream that counts as unreachable for a target.
func TestTargetIsSentUnchanged(t *testing.T) {
	tests := []struct {
		target string
		// isRefused is true if the target cannot be sent.
		isRefused bool
	}{
		{target: "/a/b?x=%20&y"},
		{target: "/a%2Fb%2f"},
		{target: "/view/100%"},
		{target: "/view/%zz?q=%"},
		{target: "/a//b/"},
		{target: "//archive/2026/notice-17"},
		{target: "//orders/17?copies=2"},
		{target: "//orders:80/17"},
		{target: "//user@orders/17"},
		{target: "//a%2Fb/%7e"},
		{target: "//a?"},
		{target: "//"},
		{target: "///a"},
		{target: "/a?b?c//d"},
		{target: "/a#b"},
		{target: "/[a]|{b}\"<>\\^`"},
		{target: "/a;b=c,d"},
		{target: "/\xc3\xbc/\xff"},
		{target: "/http://a/b"},
		{target: "//100%", isRefused: true},
		{target: "/a b", isRefused: true},
		{target: "/a\r\nX: 1", isRefused: true},
		{target: "/a\x7f", isRefused: true},
		{target: "", isRefused: true},
	}
	for _, tt := range tests {
		t.Run(tt.target, func(t *testing.T) {
			lines := make(chan string, 1)
			address := serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
				line, _ := reader.ReadString('\n')
				lines <- line
				_, _ = conn.Write([]byte(rawResponse("a-1", "s", "good")))
				_, _ = reader.ReadString(0)
			})
			h := &Handler{Gate: newGate(4), Headers: identifyingCodec{}, OnUnreachable: func() { t.Error("the upstream counts as unreachable") }}
			h.SetTarget(Target{Address: address, MaxConnections: 1, Instance: "i-1"})
			defer h.SetTarget(Target{Address: netip.AddrPort{}})
			head := callHead("")
			head.Id, head.Method, head.Path = "a-1", "GET", tt.target
			_, body, err := do(t.Context(), h, head, "")
			if tt.isRefused {
				var callErr *peer.CallError
				assert.Assert(t, errors.As(err, &callErr), "%v", err)
				assert.Equal(t, callErr.Outcome, peer.NotRun)
				assert.Equal(t, callErr.Reason, ReasonTarget)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, body, "good")
			assert.Equal(t, strings.TrimSuffix(<-lines, " HTTP/1.1\r\n"), "GET "+tt.target)
		})
	}
}
