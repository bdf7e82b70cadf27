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
