package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"
)

// do waits for the rate limiter, sends the request and decodes the response.
func (c *Client) do(ctx context.Context, op operation, decode func(data []byte, era uint64) error) (err error) {
	timeout := op.timeout
	if timeout == 0 {
		timeout = c.options.Timeout
	}
	if err = c.waitRateLimit(ctx, timeout); err != nil {
		return err
	}
	if err = c.checkUnsent(ctx); err != nil {
		return err
	}
	c.calls.Add(1)
	progress, target := newProgressTimer(ctx, timeout), c.endpoint.Load()
	defer progress.stop()
	defer target.endWhenLeft(op, progress)()
	response, err := c.send(progress.ctx, op, target.address)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	progress.extend()
	data, err := io.ReadAll(io.LimitReader(progress.reader(response.Body), maxResponseSize+1))
	switch {
	case err != nil:
		return c.truncatedError(op, response.StatusCode, err)
	case len(data) > maxResponseSize:
		return fmt.Errorf("%w: response exceeds %d bytes", op.lostResponseError(), maxResponseSize)
	}
	era, err := c.noteEra(ctx, op, response)
	switch {
	case err != nil && tellsState(response.StatusCode):
		return err
	case !succeeded(response.StatusCode):
		return c.statusError(op, response.StatusCode, data, era)
	}
	if err = decode(data, era); err != nil {
		return fmt.Errorf("%w: decode response: %w", op.lostResponseError(), err)
	}
	return nil
}

func succeeded(status int) bool {
	return status == http.StatusOK || status == http.StatusCreated || status == http.StatusNoContent
}

// tellsState reports whether a response with the status depends on the stored objects, so
// that it is useless if it is of an era that has ended.
func tellsState(status int) bool {
	return succeeded(status) || status == http.StatusNotFound || status == http.StatusConflict || status == http.StatusGone
}

// waitRateLimit waits for the rate limiter, at most for the call's timeout.
func (c *Client) waitRateLimit(ctx context.Context, timeout time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.options.RateLimiter.Wait(ctx)
}

// send sends the request and returns the response with its body unread.
func (c *Client) send(ctx context.Context, op operation, address netip.AddrPort) (response *http.Response, err error) {
	// connected is set once the request has a connection: from then on, part of
	// the request may have been sent.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := url.URL{Scheme: "http", Host: address.String(), Path: op.Path, RawQuery: op.Query.Encode()}
	httpRequest, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), op.Method, target.String(), bytes.NewReader(op.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	httpRequest.Header.Set("User-Agent", "arbutusstep/"+string(c.options.Host))
	if op.Body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	response, err = c.transport.RoundTrip(httpRequest)
	err = timeoutCause(ctx, err)
	switch {
	case err == nil:
		return response, nil
	case !connected.Load():
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	c.closeIdleOnTimeout(err)
	return nil, fmt.Errorf("%w: %w", op.lostResponseError(), err)
}

// truncatedError returns the error for a response whose body could not be read
// to its end. An error status still determines the outcome, but without details.
func (c *Client) truncatedError(op operation, status int, cause error) (err error) {
	c.closeIdleOnTimeout(cause)
	if succeeded(status) {
		return fmt.Errorf("%w: %w", op.lostResponseError(), cause)
	}
	return c.statusError(op, status, nil, 0)
}

// closeIdleOnTimeout closes idle connections when the cause is a timeout,
// because the fault that stalled one connection may affect all of them.
func (c *Client) closeIdleOnTimeout(cause error) {
	if errors.Is(cause, context.DeadlineExceeded) {
		c.transport.CloseIdleConnections()
	}
}

// statusError maps an error status to an error of this package.
func (c *Client) statusError(op operation, status int, data []byte, era uint64) (err error) {
	details := c.options.Codec.DecodeErrorDetails(op.key, data)
	switch status {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		conflict := &ConflictError{HasCurrent: details.Current != nil}
		if details.Current != nil {
			conflict.Current = *details.Current
			conflict.Current.Era = era
		}
		return conflict
	case http.StatusGone:
		return &GoneError{Revision: details.Revision}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusMethodNotAllowed:
		return fmt.Errorf("%w: status %d: %.200s", ErrInvalid, status, details.Reason)
	}
	return fmt.Errorf("%w: status %d", op.lostResponseError(), status)
}
