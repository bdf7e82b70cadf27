package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadTime is how long an upstream lets the body of a request fill the buffers of its
// connection.
const uploadTime = 5 * time.Millisecond

// resettingUpstream answers uploads before it has read them, with a part of a response without
// a length, and resets the connection. It reads and answers all other requests.
type resettingUpstream struct {
	instance string
	// ran counts the uploads.
	ran atomic.Int32
}

func (u *resettingUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		identity := fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Signature: s\r\n", request.Header.Get("X-Request-Id"))
		if strings.HasPrefix(request.URL.Path, "/o/upload") {
			u.ran.Add(1)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+identity+"\r\npart")
			time.Sleep(uploadTime)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n%sContent-Length: 4\r\n\r\ngood", u.instance, identity)
	}
}

// TestResponseResetDuringAnUploadNeverReachesTheCaller guards against the part of a response
// without a length that a caller gets as a complete one, because the upstream resets the
// connection while the body of the request is being sent: at its own proxy, and at one of
// another host.
func TestResponseResetDuringAnUploadNeverReachesTheCaller(t *testing.T) {
	const plays = 20
	upload := strings.Repeat("x", 7<<20)
	m := newMeshWith(t, meshOptions{document: unsafeDocument()}, "orders", "prints")
	near, far := m.proxies[0], m.proxies[1]
	upstream := &resettingUpstream{instance: near.instance}
	near.replaceUpstream(t, "orders", upstream.serve)
	for _, p := range []*testProxy{near, far} {
		p.waitForUpstream(t)
		t.Run(p.instance, func(t *testing.T) {
			for i := range plays {
				before := upstream.ran.Load()
				status, body := p.sendBody(t, fmt.Sprintf("upload-%d", i), "/o/upload", upload)
				assert.Check(t, status == http.StatusBadGateway, "%d %q", status, body)
				assert.Equal(t, upstream.ran.Load(), before+1)
				// A breaker would open if most requests failed.
				for range 2 {
					status, body = p.send(t, "between", "/o/x")
					assert.Check(t, status == http.StatusOK && body == "good", "%d %q", status, body)
				}
			}
		})
	}
}

// invalidUpstream answers requests whose path begins with /o/invalid with the response, and
// others with a valid one.
type invalidUpstream struct {
	instance string
	response atomic.Pointer[string]
	// ran counts the requests that got the response.
	ran atomic.Int32
}

func (u *invalidUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		identity := fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Signature: s\r\n", request.Header.Get("X-Request-Id"))
		if strings.HasPrefix(request.URL.Path, "/o/invalid") {
			u.ran.Add(1)
			_, _ = io.WriteString(conn, strings.ReplaceAll(*u.response.Load(), "IDENTITY", identity))
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n%sContent-Length: 4\r\n\r\ngood", u.instance, identity)
	}
}

// TestInvalidResponseNeverReachesTheCaller guards against responses with an invalid field name
// or status that a caller gets: at the upstream's own proxy, and at one of another host.
func TestInvalidResponseNeverReachesTheCaller(t *testing.T) {
	m := newMeshWith(t, meshOptions{document: unsafeDocument()}, "orders", "prints")
	near, far := m.proxies[0], m.proxies[1]
	upstream := &invalidUpstream{instance: near.instance}
	near.replaceUpstream(t, "orders", upstream.serve)
	responses := []struct{ name, response string }{
		{name: "space in a name", response: "HTTP/1.1 200 OK\r\nIDENTITYO dd: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "space after a name", response: "HTTP/1.1 200 OK\r\nIDENTITYOdd : 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "space before the name of the length", response: "HTTP/1.1 200 OK\r\nIDENTITY Content-Length: 2\r\n\r\nhi"},
		{name: "space after the name of the length", response: "HTTP/1.1 200 OK\r\nIDENTITYContent-Length : 2\r\n\r\nhi, and more"},
		{name: "space after the name of the encoding", response: "HTTP/1.1 200 OK\r\nIDENTITYTransfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"},
		{name: "tab before a name", response: "HTTP/1.1 200 OK\r\nIDENTITY\tOdd: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "tab in a name", response: "HTTP/1.1 200 OK\r\nIDENTITYO\tdd: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "line feed before a name", response: "HTTP/1.1 200 OK\r\nIDENTITY\nContent-Length: 2\r\n\r\nhi"},
		{name: "line feed before a name, after the length", response: "HTTP/1.1 200 OK\r\nIDENTITYContent-Length: 2\r\n\nOdd: 1\r\n\r\nhi"},
		{name: "carriage return in a name", response: "HTTP/1.1 200 OK\r\nIDENTITYO\rdd: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "NUL in a name", response: "HTTP/1.1 200 OK\r\nIDENTITYO\x00dd: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "delete in a name", response: "HTTP/1.1 200 OK\r\nIDENTITYO\x7fdd: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "space in a name of a failure", response: "HTTP/1.1 500 Failed\r\nO dd: 1\r\nContent-Length: 2\r\n\r\nhi"},
		{name: "status 000", response: "HTTP/1.1 000 None\r\nIDENTITYContent-Length: 2\r\n\r\nhi"},
		{name: "status 000 without a text", response: "HTTP/1.1 000\r\nIDENTITYContent-Length: 2\r\n\r\nhi"},
		{name: "status 000 without a length", response: "HTTP/1.1 000 None\r\nIDENTITY\r\nhi"},
		{name: "status 000 without a body", response: "HTTP/1.1 000 None\r\nIDENTITY\r\n"},
		{name: "status 000 without fields", response: "HTTP/1.1 000 None\r\n\r\n"},
		{name: "status 000 of HTTP/1.0", response: "HTTP/1.0 000 None\r\nIDENTITY\r\nhi"},
		{name: "status 000 before a response", response: "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nIDENTITYContent-Length: 2\r\n\r\nhi"},
	}
	for _, p := range []*testProxy{near, far} {
		p.waitForUpstream(t)
		for _, tt := range responses {
			t.Run(p.instance+", "+tt.name, func(t *testing.T) {
				upstream.response.Store(&tt.response)
				before := upstream.ran.Load()
				status, body := p.send(t, "invalid-1", "/o/invalid")
				assert.Equal(t, status, http.StatusBadGateway, body)
				assert.Assert(t, strings.Contains(body, "answer-invalid"), body)
				assert.Equal(t, upstream.ran.Load(), before+1)
				// A breaker would open if most requests failed.
				for range 2 {
					status, body = p.send(t, "between", "/o/x")
					assert.Check(t, status == http.StatusOK && body == "good", "%d %q", status, body)
				}
			})
		}
	}
}
