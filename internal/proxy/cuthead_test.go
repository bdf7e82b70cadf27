package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestResponseCutInItsHeadNeverReachesTheCaller guards against a complete response with an
// empty body that a caller gets of an upstream which stopped in the middle of a head.
func TestResponseCutInItsHeadNeverReachesTheCaller(t *testing.T) {
	const id = "cut-1"
	upstream, proxies := newFaultyUpstream(t)
	identity := identityOf(id)
	tests := []struct{ name, response string }{
		{name: "length", response: "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 0\r\n\r\n"},
		{name: "chunks", response: "HTTP/1.1 200 OK\r\n" + identity + "Transfer-Encoding: chunked\r\n\r\n"},
		{name: "until the end of the connection", response: "HTTP/1.1 200 OK\r\n" + identity + "\r\n"},
		{name: "failure", response: "HTTP/1.1 500 Failed\r\n\r\n"},
	}
	for _, tt := range tests {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", tt.name, reset), func(t *testing.T) {
				for cut := range len(tt.response) {
					for _, p := range proxies {
						upstream.expectFault(t, p, id, "hello", func(conn *net.TCPConn, request *http.Request) {
							_, _ = io.Copy(io.Discard, request.Body)
							_, _ = io.WriteString(conn, tt.response[:cut])
							if reset {
								_ = conn.SetLinger(0)
							}
						})
					}
				}
			})
		}
	}
}
