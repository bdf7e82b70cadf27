package client_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/client"
	"arbutusstep.example/arbutusstep/internal/forms"
)

func TestAnswersAreToldApart(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		// code is that of the problem, empty when the answer is none.
		code string
		want string
	}{
		{name: "answered", status: 200, body: `{"version":7}`},
		{name: "not JSON", status: 200, body: "<html>", want: "not understood"},
		{name: "problem", status: 422, body: `{"code":"faults","message":"no"}`, code: forms.CodeViolations, want: "no"},
		{name: "failure of something else", status: 502, body: "bad gateway", want: "status 502"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			node := &client.Client{Node: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
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

func TestNoAnswerIsSaid(t *testing.T) {
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
			assert.ErrorIs(t, tt.call(&client.Client{Node: address}), client.ErrNoResponse)
		})
	}
}
