package client_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/client"
	"arbutusstep.example/arbutusstep/internal/forms"
)

func TestSubmitDecodesResponses(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		// code is that of the problem; empty if the response is none.
		code string
		want string
	}{
		{name: "accepted", status: 200, body: `{"version":7}`},
		{name: "not JSON", status: 200, body: "<html>", want: "decode response"},
		{name: "problem", status: 422, body: `{"code":"faults","message":"no"}`, code: forms.CodeViolations, want: "no"},
		{name: "response of a gateway", status: 502, body: "bad gateway", want: "status 502"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			node := &client.Client{Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
			accepted, err := node.Submit(context.Background(), forms.Change{ID: "a"})
			if tt.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, accepted.Version, forms.Accepted{Version: 7}.Version)
				return
			}
			assert.ErrorContains(t, err, tt.want)
			var problem *client.ProblemError
			assert.Equal(t, errors.As(err, &problem), tt.code != "")
			if problem != nil {
				assert.Equal(t, problem.Problem.Code, tt.code)
			}
		})
	}
}

// answer sends the response on the first connection that it accepts.
func answer(listener net.Listener, response string) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
		_, _ = io.WriteString(conn, response)
	}
}

// TestOnlyA2xxIsSuccess has a node, or what has its address, answer with a status that
// net/http can't send.
func TestOnlyA2xxIsSuccess(t *testing.T) {
	tests := []struct {
		name, status string
		success      bool
	}{
		{name: "200", status: "200 OK", success: true},
		{name: "299", status: "299 Odd", success: true},
		{name: "000", status: "000 None"},
		{name: "099", status: "099 Low"},
		{name: "301", status: "301 Moved Permanently"},
		{name: "600", status: "600 High"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go answer(listener, "HTTP/1.1 "+tt.status+"\r\nContent-Length: 13\r\n\r\n{\"version\":7}")
			node := &client.Client{Address: netip.MustParseAddrPort(listener.Addr().String())}
			accepted, err := node.Submit(context.Background(), forms.Change{ID: "a"})
			assert.Equal(t, err == nil, tt.success, "%v", err)
			assert.Equal(t, accepted.Version == 7, tt.success)
		})
	}
}

func TestUnreachableNodeReturnsErrNoResponse(t *testing.T) {
	server := httptest.NewServer(nil)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	server.Close()
	tests := []struct {
		name string
		call func(node *client.Client) error
	}{
		{name: "read", call: func(n *client.Client) (err error) { _, err = n.Status(context.Background()); return err }},
		{name: "change", call: func(n *client.Client) (err error) {
			_, err = n.Submit(context.Background(), forms.Change{})
			return err
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.ErrorIs(t, tt.call(&client.Client{Address: address}), client.ErrNoResponse)
		})
	}
}
