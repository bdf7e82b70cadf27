// Package client calls the admin API of a node over HTTP. It decides nothing
// besides what a failed call means.
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
	// dialTimeout bounds a connection to the node.
	dialTimeout = 3 * time.Second
	// DefaultTimeout bounds a call; it is above what a node waits for the platform.
	DefaultTimeout = 15 * time.Second
)

// Client calls one node. Its zero value needs only the address.
type Client struct {
	// Node is the admin address of the node.
	Node netip.AddrPort
	// Timeout bounds each call; zero means DefaultTimeout.
	Timeout time.Duration
}

// ProblemError is the node's answer to a call that failed.
type ProblemError struct {
	// Status is that of the HTTP answer.
	Status int
	// Problem is the body of the answer.
	Problem forms.Problem
}

// Error implements error.
func (p *ProblemError) Error() string {
	return p.Problem.Message
}

// ErrNoResponse means that the node did not respond; the request may have taken effect.
var ErrNoResponse = errors.New("no answer")

// Tree reads the settings tree.
func (c *Client) Tree(ctx context.Context) (body forms.Tree, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/tree", nil, &body)
	return body, err
}

// Effective reads the effective settings of a path.
func (c *Client) Effective(ctx context.Context, path tree.Path) (body forms.Effective, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/effective?path="+url.QueryEscape(string(path)), nil, &body)
	return body, err
}

// Submit asks for a change. With the same ID it can be repeated.
func (c *Client) Submit(ctx context.Context, change forms.Change) (body forms.Accepted, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/changes", change, &body)
	return body, err
}

// History reads the recent changes.
func (c *Client) History(ctx context.Context) (body forms.History, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/history", nil, &body)
	return body, err
}

// Rollout reads how far a version has come.
func (c *Client) Rollout(ctx context.Context, version mesh.Version) (body forms.Rollout, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/rollout?version="+strconv.FormatUint(uint64(version), 10), nil, &body)
	return body, err
}

// Fleet reads what every relay reports.
func (c *Client) Fleet(ctx context.Context) (body forms.Fleet, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/fleet", nil, &body)
	return body, err
}

// Status reads what the node says of itself.
func (c *Client) Status(ctx context.Context) (body forms.Status, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/status", nil, &body)
	return body, err
}

// Burn reads the node's report on service-level burn.
func (c *Client) Burn(ctx context.Context) (body forms.Burn, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/burn", nil, &body)
	return body, err
}

// Drain asks the node to leave.
func (c *Client) Drain(ctx context.Context) (body forms.Status, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/drain", nil, &body)
	return body, err
}

// call sends the request, nil for no body, and reads the answer.
func (c *Client) call(ctx context.Context, method, target string, request, answer any) (err error) {
	defer func() {
		var problem *ProblemError
		if err != nil && !errors.As(err, &problem) {
			err = fmt.Errorf("node %s: %w", c.Node, err)
		}
	}()
	sender, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout))
	if err != nil {
		return err
	}
	defer sender.CloseIdleConnections()
	message, response := &protocol.Request{}, &protocol.Response{}
	message.SetMethod(method)
	message.SetRequestURI("http://" + c.Node.String() + target)
	message.SetConnectionClose()
	if request != nil {
		body, errBody := json.Marshal(request)
		if errBody != nil {
			return errBody
		}
		message.Header.SetContentTypeBytes([]byte("application/json"))
		message.SetBody(body)
	}
	if err = sender.DoTimeout(ctx, message, response, c.timeout(ctx)); err != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return decode(response.StatusCode(), response.Body(), answer)
}

// timeout is how long a call may take within the context.
func (c *Client) timeout(ctx context.Context) (timeout time.Duration) {
	if timeout = c.Timeout; timeout <= 0 {
		timeout = DefaultTimeout
	}
	if deadline, limited := ctx.Deadline(); limited {
		timeout = min(timeout, time.Until(deadline))
	}
	return max(timeout, time.Millisecond)
}

func decode(status int, body []byte, answer any) (err error) {
	if status < http.StatusBadRequest {
		if err = json.Unmarshal(body, answer); err != nil {
			return fmt.Errorf("answer is not understood: %w", err)
		}
		return nil
	}
	failed := &ProblemError{Status: status}
	if json.Unmarshal(body, &failed.Problem) != nil || failed.Problem.Code == "" {
		return fmt.Errorf("answer has status %d", status)
	}
	return failed
}
