// Package client is an HTTP client of the admin API of a node.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

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
	httpClient, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout))
	if err != nil {
		return err
	}
	defer httpClient.CloseIdleConnections()
	httpRequest, httpResponse := &protocol.Request{}, &protocol.Response{}
	httpRequest.SetMethod(method)
	httpRequest.SetRequestURI("http://" + c.Address.String() + target)
	httpRequest.SetConnectionClose()
	if request != nil {
		body, errMarshal := json.Marshal(request)
		if errMarshal != nil {
			return errMarshal
		}
		httpRequest.Header.SetContentTypeBytes([]byte("application/json"))
		httpRequest.SetBody(body)
	}
	if err = httpClient.DoTimeout(ctx, httpRequest, httpResponse, c.timeout(ctx)); err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return decodeResponse(httpResponse.StatusCode(), httpResponse.Body(), response)
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
	if status < http.StatusBadRequest {
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
