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

// faultPath is the path of the requests that a faulty upstream answers badly.
const faultPath = "/o/fault"

// fault answers a request, whose body is unread, before its connection is closed.
type fault func(conn *net.TCPConn, request *http.Request)

// faultyUpstream is an upstream in trouble.
type faultyUpstream struct {
	instance string
	// fault answers the requests to faultPath. All others get a valid response.
	fault atomic.Pointer[fault]
	// ran counts the requests to faultPath.
	ran atomic.Int32
}

// identityFields returns the header fields that identify a response to the request.
func identityFields(request *http.Request) string {
	return identityOf(request.Header.Get("X-Request-Id"))
}

func identityOf(requestID string) string {
	return fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Signature: s\r\n", requestID)
}

func (u *faultyUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == faultPath {
			u.ran.Add(1)
			(*u.fault.Load())(conn.(*net.TCPConn), request)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n%sContent-Length: 4\r\n\r\ngood", u.instance, identityFields(request))
	}
}

// newFaultyUpstream starts a mesh with a faulty upstream. It returns the upstream's own proxy
// and one of another host.
func newFaultyUpstream(t *testing.T) (upstream *faultyUpstream, proxies []*testProxy) {
	m := newMeshWith(t, meshOptions{document: unsafeDocument()}, "orders", "prints")
	upstream = &faultyUpstream{instance: m.proxies[0].instance}
	m.proxies[0].replaceUpstream(t, "orders", upstream.serve)
	for _, p := range m.proxies {
		p.waitForUpstream(t)
	}
	return upstream, m.proxies
}

// expectFault sends a request that the upstream answers with the fault. The caller must get a
// 502, and the upstream must run the request once.
func (u *faultyUpstream) expectFault(t *testing.T, p *testProxy, id, requestBody string, answer fault) (body string) {
	t.Helper()
	u.fault.Store(&answer)
	before := u.ran.Load()
	status, body := p.sendBody(t, id, faultPath, requestBody)
	assert.Check(t, status == http.StatusBadGateway, "%d %q", status, body)
	assert.Equal(t, u.ran.Load(), before+1)
	// A breaker would open if most requests failed.
	for range 2 {
		status, between := p.send(t, "between", "/o/x")
		assert.Check(t, status == http.StatusOK && between == "good", "%d %q", status, between)
	}
	return body
}

// TestResponseResetDuringAnUploadNeverReachesTheCaller guards against the part of a response
// without a length that a caller gets as a complete one, because the upstream resets the
// connection while the body of the request is being sent.
func TestResponseResetDuringAnUploadNeverReachesTheCaller(t *testing.T) {
	const plays = 20
	// uploadTime is how long the body of a request may fill the buffers of its connection.
	const uploadTime = 5 * time.Millisecond
	upstream, proxies := newFaultyUpstream(t)
	answer := func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+identityFields(request)+"\r\npart")
		time.Sleep(uploadTime)
		_ = conn.SetLinger(0)
	}
	upload := strings.Repeat("x", 7<<20)
	for _, p := range proxies {
		t.Run(p.instance, func(t *testing.T) {
			for i := range plays {
				upstream.expectFault(t, p, fmt.Sprintf("upload-%d", i), upload, answer)
			}
		})
	}
}

// TestInvalidResponseNeverReachesTheCaller guards against responses with an invalid field name
// or status that a caller gets.
func TestInvalidResponseNeverReachesTheCaller(t *testing.T) {
	upstream, proxies := newFaultyUpstream(t)
	tests := []struct{ name, response string }{
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
	for _, p := range proxies {
		for _, tt := range tests {
			t.Run(p.instance+", "+tt.name, func(t *testing.T) {
				body := upstream.expectFault(t, p, "invalid-1", "hello", func(conn *net.TCPConn, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, strings.ReplaceAll(tt.response, "IDENTITY", identityFields(request)))
				})
				assert.Assert(t, strings.Contains(body, "answer-invalid"), body)
			})
		}
	}
}
