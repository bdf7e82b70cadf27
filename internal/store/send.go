package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"
)

// call waits for its turn, sends the request and has the answer read.
func (c *Client) call(ctx context.Context, r operation, read func(data []byte) error) (err error) {
	timeout := r.timeout
	if timeout == 0 {
		timeout = c.options.Timeout
	}
	if err = c.waitTurn(ctx, timeout); err != nil {
		return err
	}
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize+1))
	switch {
	case err != nil:
		return c.cutShort(r, response.StatusCode, err)
	case len(data) > maxAnswerSize:
		return fmt.Errorf("%w: answer exceeds %d bytes", r.noAnswer(), maxAnswerSize)
	case !succeeded(response.StatusCode):
		return c.refusal(r, response.StatusCode, data)
	}
	if err = read(data); err != nil {
		return fmt.Errorf("%w: answer: %w", r.noAnswer(), err)
	}
	return nil
}

func succeeded(status int) bool {
	return status == http.StatusOK || status == http.StatusCreated || status == http.StatusNoContent
}

// waitTurn waits for the budget, no longer than the call itself may take.
func (c *Client) waitTurn(ctx context.Context, timeout time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.options.RateLimiter.Wait(ctx)
}

// send sends the request and returns the answer with its body unread.
func (c *Client) send(ctx context.Context, r operation) (response *http.Response, err error) {
	// connected turns true when the request got a connection: from then on
	// bytes of it may have been sent.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := url.URL{Scheme: "http", Host: c.options.Address.String(), Path: r.Path, RawQuery: r.Query.Encode()}
	hr, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), r.Method, target.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	hr.Header.Set("User-Agent", "arbutusstep/"+string(c.options.Host))
	if r.Body != nil {
		hr.Header.Set("Content-Type", "application/json")
	}
	response, err = c.transport.RoundTrip(hr)
	switch {
	case err == nil:
		return response, nil
	case !connected.Load():
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.dropIdle(err)
	return nil, fmt.Errorf("%w: %w", r.noAnswer(), err)
}

// cutShort returns the error of an answer whose body broke off. The status
// tells the outcome even so, but not the values.
func (c *Client) cutShort(r operation, status int, cause error) (err error) {
	c.dropIdle(cause)
	if succeeded(status) {
		return fmt.Errorf("%w: %w", r.noAnswer(), cause)
	}
	return c.refusal(r, status, nil)
}

// dropIdle closes the idle connections after a timeout: what made one
// connection go silent may have done so to all.
func (c *Client) dropIdle(cause error) {
	if errors.Is(cause, context.DeadlineExceeded) {
		c.transport.CloseIdleConnections()
	}
}

// refusal returns the error that a status stands for.
func (c *Client) refusal(r operation, status int, data []byte) (err error) {
	told := c.options.Codec.DecodeErrorDetails(r.key, data)
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		conflict := &ConflictError{HasCurrent: told.Current != nil}
		if told.Current != nil {
			conflict.Current = *told.Current
		}
		return conflict
	case http.StatusGone:
		return &GoneError{Revision: told.Revision}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusMethodNotAllowed:
		return fmt.Errorf("%w: status %d: %.200s", ErrInvalid, status, told.Reason)
	}
	return fmt.Errorf("%w: status %d", r.noAnswer(), status)
}
