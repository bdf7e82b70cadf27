package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// echoHead answers each request with its target in the body and its header Other, byte for
// byte.
func echoHead(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		fields := map[string]string{}
		for {
			header, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			name, value, found := strings.Cut(strings.TrimRight(header, "\r\n"), ": ")
			if !found {
				break
			}
			fields[name] = value
		}
		target := strings.Fields(line)[1]
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: i-0\r\nX-Request-Id: %s\r\nX-Response-Signature: s\r\nOther: %s\r\nContent-Length: %d\r\n\r\n%s",
			fields["X-Request-Id"], fields["Other"], len(target), target)
	}
}

// sendRaw sends the bytes of a request and returns the response.
func (p *testProxy) sendRaw(t *testing.T, raw string) (response *http.Response, body string) {
	conn, err := net.Dial("tcp", p.proxy.Addresses().Callers.String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, raw)
	assert.NilError(t, err)
	response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(data)
}

// TestBytesThatAreNotUTF8Pass guards against a request, or the response to one that ran, that
// is lost for a byte in a header or a target that HTTP allows, and against an upstream that
// counts as unreachable for it. The upstream is at the caller's host, and at another one.
func TestBytesThatAreNotUTF8Pass(t *testing.T) {
	m := newMesh(t, "orders", "prints")
	m.proxies[0].replaceUpstream(t, "orders", echoHead)
	tests := []struct{ name, id, target, header string }{
		{name: "ASCII", id: "id-1", target: "/o/a", header: "plain"},
		{name: "UTF-8", id: "id-2", target: "/o/\xc3\xbc", header: "\xc3\xbc"},
		{name: "Latin-1 in a header", id: "id-3", target: "/o/a", header: "caf\xe9; filename=\"\xfc.pdf\""},
		{name: "bytes of no encoding in a header", id: "id-4", target: "/o/a", header: "\x80\xfe\xff"},
		{name: "Latin-1 in the target", id: "id-5", target: "/o/caf\xe9?q=\xff", header: "plain"},
		{name: "Latin-1 in the ID", id: "id-\xe9", target: "/o/a", header: "plain"},
		{name: "ASCII afterwards", id: "id-7", target: "/o/a", header: "plain"},
	}
	for _, p := range m.proxies {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if status, body := p.send(t, "first", "/o/x"); status != http.StatusOK || body != "/o/x" {
				return poll.Continue("%d %s", status, body)
			}
			return poll.Success()
		}, pollTimeout)
		for _, tt := range tests {
			t.Run(p.instance+", "+tt.name, func(t *testing.T) {
				response, body := p.sendRaw(t, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Timeout-Ms: 3000\r\nOther: %s\r\n\r\n", tt.target, tt.id, tt.header))
				assert.Equal(t, response.StatusCode, http.StatusOK, body)
				assert.Equal(t, body, tt.target)
				assert.Equal(t, response.Header.Get("Other"), tt.header)
				assert.Equal(t, response.Header.Get("X-Request-Id"), tt.id)
			})
		}
	}
}
