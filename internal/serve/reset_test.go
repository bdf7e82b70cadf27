package serve

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// upload is a request body that exceeds the buffers of a connection of which nothing is read.
var upload = strings.Repeat("x", 16<<20)

// failingWriteConn is a connection whose writes get the error of a reset: nothing is read
// until a write has failed, and the write returns once a read has failed.
type failingWriteConn struct {
	*net.TCPConn
	writeFailed, readFailed chan struct{}
	writeOnce, readOnce     sync.Once
}

// Write implements io.Writer.
func (c *failingWriteConn) Write(data []byte) (n int, err error) {
	if n, err = c.TCPConn.Write(data); err != nil {
		c.writeOnce.Do(func() { close(c.writeFailed) })
		<-c.readFailed
	}
	return n, err
}

// Read implements io.Reader.
func (c *failingWriteConn) Read(data []byte) (n int, err error) {
	<-c.writeFailed
	if n, err = c.TCPConn.Read(data); err != nil {
		c.readOnce.Do(func() { close(c.readFailed) })
	}
	return n, err
}

func dialFailingWrite(ctx context.Context, address string) (conn net.Conn, err error) {
	var dialer net.Dialer
	if conn, err = dialer.DialContext(ctx, "tcp", address); err != nil {
		return nil, err
	}
	return &failingWriteConn{TCPConn: conn.(*net.TCPConn), writeFailed: make(chan struct{}), readFailed: make(chan struct{})}, nil
}

// uploadWithFailingWrite sends an upload to an upstream that answers it unread and closes the
// connection. The error of a reset goes to the write of the upload.
func uploadWithFailingWrite(t *testing.T, answer func(conn *net.TCPConn)) (h *Handler, body string, err error) {
	t.Helper()
	address := serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, readErr := http.ReadRequest(reader); readErr == nil {
			answer(conn.(*net.TCPConn))
		}
	})
	h = &Handler{Gate: newGate(4), Headers: testCodec{}, dial: dialFailingWrite}
	h.SetTarget(Target{Address: address, MaxConnections: 1, Instance: "i-1"})
	t.Cleanup(func() { h.SetTarget(Target{}) })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	call := callHead(upload)
	call.Id = "call"
	_, body, err = do(ctx, h, call, upload)
	assert.NilError(t, ctx.Err())
	return h, body, err
}

// TestResetSeenByTheRequestTruncatesTheResponse guards against the part of a response that a
// caller gets as a complete one: an upstream answers before it has read the request and resets
// the connection, and the error of the reset goes to the write of the request alone.
func TestResetSeenByTheRequestTruncatesTheResponse(t *testing.T) {
	const headers = "Id: call\r\nSignature: s\r\n"
	tests := []struct{ name, response string }{
		{name: "no length", response: "HTTP/1.1 200 OK\r\n" + headers + "\r\npart"},
		{name: "no length and no body", response: "HTTP/1.1 200 OK\r\n" + headers + "\r\n"},
		{name: "no length and a status of 500", response: "HTTP/1.1 500 Failed\r\n" + headers + "\r\npart"},
		{name: "HTTP/1.0", response: "HTTP/1.0 200 OK\r\n" + headers + "\r\npart"},
		{name: "closing", response: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + headers + "\r\npart"},
		{name: "after an informational one", response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + headers + "\r\npart"},
		{name: "chunks", response: "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
		{name: "length", response: "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 9\r\n\r\npart"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h, body, err := uploadWithFailingWrite(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, tt.response)
				_ = conn.SetLinger(0)
			})
			assert.Assert(t, err != nil, "complete response with the body %q", body)
			assert.Equal(t, h.counters.Truncated.Load()+h.counters.Unknown.Load(), uint64(1))
		})
	}
}

// awaitUnread waits until the connection has received bytes that are not read. Closing it then
// resets it, while one without such bytes ends in order.
func awaitUnread(conn *net.TCPConn, _ io.Reader) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	var one [1]byte
	_ = raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// TestResetAfterTheEndLeavesTheResponseComplete guards against a complete response that is
// lost: the upstream has ended its side of the connection in order before it resets it, and a
// write gets the error of the reset.
func TestResetAfterTheEndLeavesTheResponseComplete(t *testing.T) {
	tests := []struct{ name, body string }{
		{name: "body", body: "whole"},
		{name: "no body"},
		{name: "long body", body: strings.Repeat("whole ", 10_000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, body, err := uploadWithFailingWrite(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: call\r\nSignature: s\r\n\r\n"+tt.body)
				_ = conn.CloseWrite()
				_ = conn.SetLinger(0)
			})
			assert.NilError(t, err)
			assert.Equal(t, body, tt.body)
		})
	}
}

// TestResponseWithoutLengthEndsWithItsConnection guards against a check for resets that
// refuses complete responses, and has each connection end in each way several times.
func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	const plays = 20
	const response = "HTTP/1.1 200 OK\r\nId: call\r\nSignature: s\r\n\r\nwhole"
	type step func(conn *net.TCPConn, request io.Reader)
	ended := make(chan struct{})
	defer close(ended)
	keep := func(*net.TCPConn, io.Reader) { <-ended }
	read := func(_ *net.TCPConn, request io.Reader) { _, _ = io.Copy(io.Discard, request) }
	answer := func(conn *net.TCPConn, _ io.Reader) { _, _ = io.WriteString(conn, response) }
	end := func(conn *net.TCPConn, _ io.Reader) { _ = conn.CloseWrite() }
	reset := func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }
	tests := []struct {
		name, request string
		steps         []step
		complete      bool
	}{
		{name: "ended after a short request", request: "short", steps: []step{read, answer}, complete: true},
		{name: "ended after an upload", request: upload, steps: []step{read, answer}, complete: true},
		{name: "ended before an upload is read", request: upload, steps: []step{answer, end, read}, complete: true},
		{name: "ended during an upload that is never read", request: upload, steps: []step{answer, end, keep}, complete: true},
		{name: "reset after a short request", request: "short", steps: []step{read, answer, reset}},
		{name: "reset after an upload", request: upload, steps: []step{read, answer, reset}},
		{name: "reset during an upload", request: upload, steps: []step{answer, reset}},
		{name: "closed during an upload", request: upload, steps: []step{awaitUnread, answer}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := serveConnections(t, func(conn net.Conn, reader *bufio.Reader) {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				for _, act := range tt.steps {
					act(conn.(*net.TCPConn), request.Body)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			for range plays {
				h := &Handler{Gate: newGate(4), Headers: testCodec{}}
				h.SetTarget(Target{Address: address, MaxConnections: 1, Instance: "i-1"})
				call := callHead(tt.request)
				call.Id = "call"
				_, body, err := do(ctx, h, call, tt.request)
				h.SetTarget(Target{})
				assert.NilError(t, ctx.Err())
				assert.Equal(t, err == nil, tt.complete, "body %q, error %v", body, err)
				if tt.complete {
					assert.Equal(t, body, "whole")
				}
			}
		})
	}
}
