// Package client is an HTTP client of the admin API of a node.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

const (
	// dialTimeout bounds how long connecting to the node may take.
	dialTimeout = 3 * time.Second
	// DefaultTimeout bounds a call. It is longer than a node waits for the platform.
	DefaultTimeout = 15 * time.Second
)

// Client calls the admin API of one node. Only Address must be set.
type Client struct {
	// Address is the address of the admin API of the node.
	Address netip.AddrPort
	// Timeout bounds each call; zero means DefaultTimeout.
	Timeout time.Duration
}

// ProblemError is returned if the node reports a problem.
type ProblemError struct {
	// Status is the HTTP status of the response.
	Status int
	// Problem is the body of the response.
	Problem forms.Problem
}

// Error implements error.
func (p *ProblemError) Error() string {
	return p.Problem.Message
}

// ErrNoResponse is returned if the node does not respond. A change that was sent
// may have taken effect.
var ErrNoResponse = errors.New("no answer")

// Tree returns the settings tree.
func (c *Client) Tree(ctx context.Context) (body forms.Tree, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/tree", nil, &body)
	return body, err
}

// Effective returns the effective settings of a path.
func (c *Client) Effective(ctx context.Context, path tree.Path) (body forms.Effective, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/effective?path="+url.QueryEscape(string(path)), nil, &body)
	return body, err
}

// Submit submits a change. It can be repeated safely with the same change ID.
func (c *Client) Submit(ctx context.Context, change forms.Change) (body forms.Accepted, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/changes", change, &body)
	return body, err
}

// History returns the recent changes.
func (c *Client) History(ctx context.Context) (body forms.History, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/history", nil, &body)
	return body, err
}

// Rollout returns the progress of the rollout of a version.
func (c *Client) Rollout(ctx context.Context, version mesh.Version) (body forms.Rollout, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/rollout?version="+strconv.FormatUint(uint64(version), 10), nil, &body)
	return body, err
}

// Fleet returns the relays and the zones on which they report.
func (c *Client) Fleet(ctx context.Context) (body forms.Fleet, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/fleet", nil, &body)
	return body, err
}

// Status returns the present state of the node.
func (c *Client) Status(ctx context.Context) (body forms.Status, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/status", nil, &body)
	return body, err
}

// Burn returns the burn report of the node.
func (c *Client) Burn(ctx context.Context) (body forms.Burn, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/burn", nil, &body)
	return body, err
}

// Drain makes the node leave the mesh.
func (c *Client) Drain(ctx context.Context) (body forms.Status, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/drain", nil, &body)
	return body, err
}

// call sends a request, whose body is nil for none, and decodes the body of the
// response.
func (c *Client) call(ctx context.Context, method, target string, request, response any) (err error) {
	defer func() {
		var problem *ProblemError
		if err != nil && !errors.As(err, &problem) {
			err = fmt.Errorf("node %s: %w", c.Address, err)
		}
	}()
	var body []byte
	if request != nil {
		if body, err = json.Marshal(request); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout(ctx))
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if request != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	status, data, err := send(httpRequest)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return decodeResponse(status, data, response)
}

// send sends the request on a connection of its own and returns the status and the whole body
// of the response. The client of hertz can't be used, as it reports a status of 000 as 200.
func send(request *http.Request) (status int, body []byte, err error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// timeout returns the time that is left for a call.
func (c *Client) timeout(ctx context.Context) (timeout time.Duration) {
	if timeout = c.Timeout; timeout <= 0 {
		timeout = DefaultTimeout
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	return max(timeout, time.Millisecond)
}

func decodeResponse(status int, body []byte, response any) (err error) {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		if err = json.Unmarshal(body, response); err != nil {
			return fmt.Errorf("decode response: %w", err)
		}
		return nil
	}
	problem := &ProblemError{Status: status}
	if json.Unmarshal(body, &problem.Problem) != nil || problem.Problem.Code == "" {
		return fmt.Errorf("unexpected response with status %d", status)
	}
	return problem
}
