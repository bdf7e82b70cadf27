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

	"gotest.tools/v3/assert"
)

// cuttingUpstream answers requests whose path begins with /o/cut with the first bytes of a
// response, and others with a complete one.
type cuttingUpstream struct {
	instance string
	// cut and reset say after how many bytes, and how, the connection ends.
	cut   atomic.Int32
	reset atomic.Bool
	form  atomic.Pointer[string]
	// ran counts the requests that were cut.
	ran atomic.Int32
}

func (u *cuttingUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		identity := fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Signature: s\r\n", request.Header.Get("X-Request-Id"))
		if !strings.HasPrefix(request.URL.Path, "/o/cut") {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n%sContent-Length: 4\r\n\r\ngood", u.instance, identity)
			continue
		}
		u.ran.Add(1)
		response := strings.ReplaceAll(*u.form.Load(), "IDENTITY", identity)
		_, _ = io.WriteString(conn, response[:min(int(u.cut.Load()), len(response))])
		if u.reset.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// replaceUpstream makes serve handle the connections to the upstream.
func (p *testProxy) replaceUpstream(t *testing.T, service string, serve func(conn net.Conn)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	_ = p.upstream.Listener.Close()
	p.upstream.Listener = listener
	assert.Equal(t, p.register(t, service, "ready"), http.StatusOK)
}

// TestResponseCutInItsHeadNeverReachesTheCaller guards against a complete response with an
// empty body that a caller gets of an upstream which stopped in the middle of a head: at its
// own proxy, and at one of another host.
func TestResponseCutInItsHeadNeverReachesTheCaller(t *testing.T) {
	m := newMeshWith(t, meshOptions{document: unsafeDocument()}, "orders", "prints")
	near, far := m.proxies[0], m.proxies[1]
	upstream := &cuttingUpstream{instance: near.instance}
	near.replaceUpstream(t, "orders", upstream.serve)
	for _, p := range []*testProxy{near, far} {
		p.waitForUpstream(t)
	}
	forms := []struct{ name, response string }{
		{name: "length", response: "HTTP/1.1 200 OK\r\nIDENTITYContent-Length: 0\r\n\r\n"},
		{name: "chunks", response: "HTTP/1.1 200 OK\r\nIDENTITYTransfer-Encoding: chunked\r\n\r\n"},
		{name: "until the end of the connection", response: "HTTP/1.1 200 OK\r\nIDENTITY\r\n"},
		{name: "failure", response: "HTTP/1.1 500 Failed\r\n\r\n"},
	}
	for _, tt := range forms {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", tt.name, reset), func(t *testing.T) {
				upstream.form.Store(&tt.response)
				upstream.reset.Store(reset)
				id := "cut-1"
				length := len(strings.ReplaceAll(tt.response, "IDENTITY", fmt.Sprintf("X-Request-Id: %s\r\nX-Response-Signature: s\r\n", id)))
				for cut := range length {
					upstream.cut.Store(int32(cut))
					for _, p := range []*testProxy{near, far} {
						before := upstream.ran.Load()
						status, body := p.send(t, id, "/o/cut")
						assert.Check(t, status == http.StatusBadGateway, "%d of %d bytes: %d %q", cut, length, status, body)
						assert.Equal(t, upstream.ran.Load(), before+1)
						// A breaker would open if most requests failed.
						for range 2 {
							status, body = p.send(t, "between", "/o/x")
							assert.Check(t, status == http.StatusOK && body == "good", "%d %q", status, body)
						}
					}
				}
			})
		}
	}
}
