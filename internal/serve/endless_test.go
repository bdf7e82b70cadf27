package serve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
)

// endlessUpstream starts an upstream that answers the first request on each connection
// with prefix and then repeats part until the connection is closed. It returns the
// number of bytes that it sent on each connection.
func endlessUpstream(t *testing.T, prefix, part string) (address netip.AddrPort, sent <-chan int) {
	counts := make(chan int, 1)
	address = serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		total, err := io.WriteString(conn, prefix)
		block := strings.Repeat(part, 1+4096/len(part))
		for err == nil {
			var n int
			n, err = io.WriteString(conn, block)
			total += n
		}
		counts <- total
	})
	return address, counts
}

// TestEndlessBytesEndTheExchange has an upstream send bytes without end where a response
// is due. The call must end long before its deadline, and the connection with it.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	// socketBuffers is an upper bound of what the kernel takes without being read.
	const socketBuffers = 16 << 20
	late := rawResponse("other", "s", "theirs")
	tests := []struct {
		name, prefix, part string
		// maxRead is how many bytes may be read before the connection is closed.
		maxRead int
	}{
		{name: "status line", prefix: "HTTP/1.1 200 ", part: "x", maxRead: maxResponseHeader},
		{name: "bytes without a line", part: "\x00", maxRead: maxResponseHeader},
		{name: "empty lines", part: "\r\n", maxRead: maxResponseHeader},
		{name: "header line", prefix: "HTTP/1.1 200 OK\r\nA: ", part: "x", maxRead: maxResponseHeader},
		{name: "header lines", prefix: "HTTP/1.1 200 OK\r\n", part: "A: x\r\n", maxRead: maxResponseHeader},
		{name: "informational responses", part: "HTTP/1.1 100 Continue\r\n\r\n", maxRead: maxResponseHeader},
		{name: "late responses", part: late, maxRead: (maxLateResponses + 1) * maxDiscardedBody},
		{name: "body of a late response", prefix: "HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nContent-Length: 9000000000\r\n\r\n", part: "x", maxRead: 2 * maxDiscardedBody},
		{name: "body of a late response in chunks", prefix: "HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", part: "1\r\nx\r\n", maxRead: 16 * maxDiscardedBody},
		{name: "chunk extension", prefix: "HTTP/1.1 200 OK\r\nId: call\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", part: "x", maxRead: maxResponseHeader},
		{name: "chunk extensions", prefix: "HTTP/1.1 200 OK\r\nId: call\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", part: "1;" + strings.Repeat("e", 2000) + "\r\nx\r\n", maxRead: maxResponseHeader},
		{name: "trailer", prefix: "HTTP/1.1 200 OK\r\nId: call\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", part: "A: x\r\n", maxRead: maxResponseHeader},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, sent := endlessUpstream(t, tt.prefix, tt.part)
			h := &Handler{Gate: newGate(4), Headers: testCodec{}}
			h.SetTarget(Target{Address: address, MaxConnections: 4, Instance: "i-1"})
			t.Cleanup(func() { h.SetTarget(Target{}) })
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			head := callHead("")
			head.Id = "call"
			_, _, err := do(ctx, h, head, "")
			assert.NilError(t, ctx.Err())
			var callErr *peer.CallError
			assert.Assert(t, errors.As(err, &callErr), "%v", err)
			assert.Equal(t, callErr.Outcome, peer.Unknown)
			if total := <-sent; total > tt.maxRead+socketBuffers {
				t.Fatalf("%d bytes were taken", total)
			}
		})
	}
}

// TestEndlessBodyEndsWithItsCaller has an upstream send a body without end to a caller
// that reads some of it and leaves.
func TestEndlessBodyEndsWithItsCaller(t *testing.T) {
	tests := []struct{ name, prefix, part string }{
		{name: "until the connection closes", prefix: "HTTP/1.1 200 OK\r\nId: call\r\nSignature: s\r\n\r\n", part: "x"},
		{name: "with a length", prefix: "HTTP/1.1 200 OK\r\nId: call\r\nSignature: s\r\nContent-Length: 9000000000000\r\n\r\n", part: "x"},
		{name: "in chunks", prefix: "HTTP/1.1 200 OK\r\nId: call\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", part: "1\r\nx\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, sent := endlessUpstream(t, tt.prefix, tt.part)
			h := &Handler{Gate: newGate(4), Headers: testCodec{}}
			h.SetTarget(Target{Address: address, MaxConnections: 4, Instance: "i-1"})
			t.Cleanup(func() { h.SetTarget(Target{}) })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			head := callHead("")
			head.Id = "call"
			reply, err := (&peer.LocalCaller{Handler: h}).Call(ctx, &peer.Call{Head: head})
			assert.NilError(t, err)
			_, err = io.ReadFull(reply.Body, make([]byte, 1<<20))
			assert.NilError(t, err)
			cancel()
			_ = reply.Body.Close()
			// The upstream's writes fail once its connection is closed.
			assert.Assert(t, <-sent >= 1<<20)
			assert.Equal(t, h.Gate.Load().Running, 0)
		})
	}
}
