package serve

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
)

// cutResponses are responses of which an upstream may send the first bytes only.
var cutResponses = []struct {
	name, method, response string
	// whole is the length of the part without which the response is incomplete; zero means
	// all of it.
	whole int
}{
	{name: "length", response: "HTTP/1.1 200 OK\r\nId: bad\r\nSignature: s\r\nContent-Length: 2\r\n\r\nhi"},
	{name: "length of zero", response: "HTTP/1.1 200 OK\r\nId: bad\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"},
	{name: "length first", response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: bad\r\nSignature: s\r\n\r\n"},
	{name: "chunks", response: "HTTP/1.1 200 OK\r\nId: bad\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
	{name: "chunks and a trailer", response: "HTTP/1.1 200 OK\r\nId: bad\r\nSignature: s\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n2\r\nhi\r\n0\r\nT: 1\r\n\r\n"},
	{name: "until the end of the connection", response: "HTTP/1.1 200 OK\r\nId: bad\r\nSignature: s\r\n\r\nhi", whole: len("HTTP/1.1 200 OK\r\nId: bad\r\nSignature: s\r\n\r\n")},
	{name: "closing", response: "HTTP/1.1 200 OK\r\nConnection: close\r\nId: bad\r\nSignature: s\r\n\r\n"},
	{name: "HTTP/1.0", response: "HTTP/1.0 200 OK\r\nId: bad\r\nSignature: s\r\n\r\n"},
	{name: "lines without carriage returns", response: "HTTP/1.1 200 OK\nId: bad\nSignature: s\n\n"},
	{name: "folded line", response: "HTTP/1.1 200 OK\r\nId: bad\r\nSignature: s\r\nOther: a\r\n b\r\n\r\n"},
	{name: "empty header at the end", response: "HTTP/1.1 200 OK\r\nId: bad\r\nSignature: s\r\nOther: \r\n\r\n"},
	{name: "after an informational one", response: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: bad\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"},
	{name: "204", response: "HTTP/1.1 204 No Content\r\nId: bad\r\nSignature: s\r\n\r\n"},
	{name: "304", response: "HTTP/1.1 304 Not Modified\r\nId: bad\r\n\r\n"},
	{name: "HEAD", method: http.MethodHead, response: "HTTP/1.1 200 OK\r\nId: bad\r\nSignature: s\r\nContent-Length: 9\r\n\r\n"},
	{name: "failure", response: "HTTP/1.1 500 Failed\r\nId: bad\r\n\r\n"},
	{name: "failure without an ID", response: "HTTP/1.1 500 Failed\r\n\r\n"},
	{name: "refusal", response: "HTTP/1.1 503 Busy\r\nId: bad\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{name: "refusal until the end of the connection", response: "HTTP/1.1 503 Busy\r\nId: bad\r\nNot-Run: 1\r\n\r\n"},
}

// TestResponseCutInItsHeadIsNoResponse guards against an upstream that stops in the middle of
// the head of a response, of which callers get a complete one with an empty body. The response
// is cut after each of its bytes.
func TestResponseCutInItsHeadIsNoResponse(t *testing.T) {
	ends := []struct {
		name string
		end  func(conn net.Conn)
	}{
		{name: "FIN", end: func(net.Conn) {}},
		{name: "RST", end: func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }},
	}
	for _, tt := range cutResponses {
		for _, e := range ends {
			t.Run(tt.name+", "+e.name, func(t *testing.T) {
				whole := len(tt.response)
				if tt.whole > 0 {
					whole = tt.whole
				}
				var cut atomic.Int32
				address := serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(conn, tt.response[:cut.Load()])
					e.end(conn)
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				var accepted []string
				for n := range whole {
					cut.Store(int32(n))
					// A handler refuses calls to an upstream that fails all of them.
					h := &Handler{Gate: newGate(4), Headers: identifyingCodec{}}
					h.SetTarget(Target{Address: address, MaxConnections: 1, Instance: "i-1"})
					status, body, err := doWithID(ctx, h, "bad", tt.method)
					h.SetTarget(Target{})
					var callErr *peer.CallError
					if !errors.As(err, &callErr) || callErr.Outcome != peer.Unknown {
						accepted = append(accepted, fmt.Sprintf("%d of %d bytes: status %d, body %q, error %v", n, whole, status, body, err))
					}
				}
				assert.NilError(t, ctx.Err())
				assert.Equal(t, len(accepted), 0, "%s", strings.Join(accepted, "\n"))
			})
		}
	}
}
