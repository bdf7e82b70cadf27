package front_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/front"
)

// countingHandler counts the requests that it handles.
type countingHandler struct{ count atomic.Int32 }

// Handle implements front.Handler.
func (h *countingHandler) Handle(context.Context, *front.Request) *front.Response {
	h.count.Add(1)
	return &front.Response{Status: http.StatusOK}
}

// HandleMalformed implements front.Handler.
func (*countingHandler) HandleMalformed(status int, _ string) *front.Response {
	return &front.Response{Status: status}
}

// TestCutRequestIsNotHandled guards against a caller that stops in the middle of a request,
// which is then run as a complete one. The request is cut after each byte without which it is
// incomplete; a chunked body is complete with its chunk of size zero (RFC 9112, section 8).
func TestCutRequestIsNotHandled(t *testing.T) {
	tests := []struct {
		name, raw string
		// optional is the number of bytes at the end without which the request is complete.
		optional int
	}{
		{name: "GET", raw: getRequest("/a")},
		{name: "lines without carriage returns", raw: "GET /a HTTP/1.1\nHost: a\nX: 1\n\n"},
		{name: "length", raw: "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"},
		{name: "length of zero", raw: "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"},
		{name: "chunks", raw: "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", optional: len("\r\n")},
		{name: "no chunks", raw: "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", optional: len("\r\n")},
		{name: "chunks and a trailer", raw: "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n2\r\nbo\r\n0\r\nT: 1\r\n\r\n", optional: len("T: 1\r\n\r\n")},
	}
	ends := []struct {
		name string
		end  func(conn *net.TCPConn) error
	}{
		{name: "FIN", end: (*net.TCPConn).CloseWrite},
		{name: "RST", end: func(conn *net.TCPConn) error {
			_ = conn.SetLinger(0)
			return conn.Close()
		}},
	}
	for _, tt := range tests {
		for _, e := range ends {
			t.Run(tt.name+", "+e.name, func(t *testing.T) {
				handler := &countingHandler{}
				dial := startServer(t, &front.Server{Handler: handler})
				for cut := range len(tt.raw) - tt.optional {
					before := handler.count.Load()
					conn, _ := dial()
					_, err := io.WriteString(conn, tt.raw[:cut])
					assert.NilError(t, err)
					assert.NilError(t, e.end(conn.(*net.TCPConn)))
					// The server closes the connection once it has read what was sent.
					_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
					_, _ = io.Copy(io.Discard, conn)
					assert.Check(t, handler.count.Load() == before, "handled after %d of %d bytes", cut, len(tt.raw))
				}
			})
		}
	}
}
