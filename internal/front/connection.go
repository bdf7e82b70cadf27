package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	errs "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"

	"arbutusstep.example/arbutusstep/internal/egress"
	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// pastDeadline is a deadline in the past. Setting it ends a blocked read.
var pastDeadline = time.Unix(1, 0)

// connection is a connection of a caller.
type connection struct {
	server *Server
	conn   network.Conn
	// ctx is canceled when the caller disconnects or the connection is closed.
	ctx      context.Context
	cancel   context.CancelFunc
	handlers sync.WaitGroup
	// pendingCount is the length of pending, for readers that must not wait for the
	// mutex.
	pendingCount atomic.Int64

	mutex sync.Mutex
	// pending holds the exchanges whose responses have not been sent, in order of
	// arrival.
	pending []*exchange
	// sending is true while a goroutine sends responses.
	sending bool
	// capacityFreed is closed when an exchange is finished; nil while nobody waits.
	capacityFreed chan struct{}
	// closing is true once the last response has been determined. Requests that are
	// read later are discarded.
	closing bool
	// awaitingRequest is true while the connection waits for the first byte of a
	// request.
	awaitingRequest bool
}

// exchange is a request and its response.
type exchange struct {
	// response is nil until the handler returns.
	response *Response
	isHead   bool
	// closeAfter is true if the caller asked to close the connection after the
	// response.
	closeAfter bool
}

// serve serves the connection until either side closes it.
func (c *connection) serve() {
	defer c.handlers.Wait()
	defer c.cancel()
	for c.waitForRequest() {
		request, e, err := c.readRequest()
		if err != nil {
			c.rejectRequest(err)
			return
		}
		if !c.enqueue(e) {
			request.Body.Release()
			return
		}
		c.handlers.Go(func() {
			response := c.server.Handler.Handle(c.ctx, request)
			request.Body.Release()
			e.complete(c, response)
		})
		if e.closeAfter {
			c.watchForDisconnect()
			return
		}
	}
}

// waitForRequest waits for the first byte of a request. It returns false if the caller
// disconnected or the connection is to be closed.
func (c *connection) waitForRequest() bool {
	if !c.waitForCapacity() {
		return false
	}
	for {
		idleTimeout := c.server.limits().IdleTimeout
		c.mutex.Lock()
		if c.closing || c.server.isStopping() {
			// Requests that were read are answered. The caller sends further ones on
			// another connection.
			c.closing = true
			c.mutex.Unlock()
			c.handlers.Wait()
			return false
		}
		c.awaitingRequest = true
		_ = c.conn.SetReadTimeout(idleTimeout)
		c.mutex.Unlock()
		_, err := c.conn.Peek(1)
		c.mutex.Lock()
		c.awaitingRequest = false
		busy := len(c.pending) > 0
		closing := c.closing || c.server.isStopping()
		c.mutex.Unlock()
		if err == nil && !closing {
			return true
		}
		var timeout net.Error
		if err == nil || errors.Is(err, errs.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout() {
			if busy || closing {
				continue
			}
			return false
		}
		return false
	}
}

// waitForCapacity waits until the number of pending requests is below the limit.
func (c *connection) waitForCapacity() bool {
	for {
		c.mutex.Lock()
		if len(c.pending) < maxPipelined {
			c.mutex.Unlock()
			return true
		}
		if c.capacityFreed == nil {
			c.capacityFreed = make(chan struct{})
		}
		freed := c.capacityFreed
		c.mutex.Unlock()
		select {
		case <-freed:
		case <-c.ctx.Done():
			return false
		}
	}
}

// watchForDisconnect reads and discards data after the last request until all
// responses are sent. The only purpose is to detect that the caller disconnects.
func (c *connection) watchForDisconnect() {
	done := make(chan struct{})
	go func() {
		c.handlers.Wait()
		close(done)
		_ = c.conn.SetReadDeadline(pastDeadline)
	}()
	_ = c.conn.SetReadDeadline(time.Time{})
	buffer := make([]byte, readBufferSize)
	for {
		_, err := c.conn.Read(buffer)
		select {
		case <-done:
			return
		default:
		}
		if err != nil {
			c.cancel()
			<-done
			return
		}
	}
}

// rejectRequest responds to a request that could not be read, after all earlier
// requests are answered, and closes the connection.
func (c *connection) rejectRequest(err error) {
	status, reason := http.StatusBadRequest, "malformed-request"
	var timeout net.Error
	switch {
	case errors.Is(err, errs.ErrHeaderTooLarge):
		status, reason = http.StatusRequestHeaderFieldsTooLarge, "header-too-large"
	case errors.Is(err, errs.ErrBodyTooLarge):
		status, reason = http.StatusRequestEntityTooLarge, "body-too-large"
	case errors.Is(err, quota.ErrExceeded):
		status, reason = http.StatusServiceUnavailable, "body-memory"
	case errors.Is(err, errUnknownExpectation):
		status, reason = http.StatusExpectationFailed, "unknown-expectation"
	case errors.Is(err, errs.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout():
		status, reason = http.StatusRequestTimeout, "request-too-slow"
	case errors.Is(err, errs.ErrNothingRead), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return
	}
	e := &exchange{closeAfter: true}
	if c.enqueue(e) {
		e.complete(c, c.server.Handler.HandleMalformed(status, reason))
		c.handlers.Wait()
	}
}

// enqueue appends the exchange to the pending ones. It returns false if the last
// response has already been determined.
func (c *connection) enqueue(e *exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		return false
	}
	c.pending = append(c.pending, e)
	c.pendingCount.Store(int64(len(c.pending)))
	return true
}

// complete stores the response and sends all responses that are ready and whose
// predecessors have been sent. Only one goroutine sends at a time, without holding the
// mutex.
func (e *exchange) complete(c *connection, response *Response) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	e.response = replaceInvalid(response)
	if c.sending {
		return
	}
	c.sending = true
	for len(c.pending) > 0 && c.pending[0].response != nil {
		c.sendNext()
	}
	c.sending = false
	if c.closing && c.awaitingRequest {
		_ = c.conn.SetReadDeadline(pastDeadline)
	}
}

// replaceInvalid returns the response, or a 502 if its status can't be sent to a caller.
func replaceInvalid(response *Response) *Response {
	if wire.IsFinalStatus(response.Status) {
		return response
	}
	return &Response{Status: http.StatusBadGateway, SendBy: response.SendBy, Release: response.Release}
}

// sendNext sends the response of the first pending exchange. The mutex must be held;
// it is released while sending. The connection is closed after the response only if no
// later request has been read.
func (c *connection) sendNext() {
	e := c.pending[0]
	last := len(c.pending) == 1 && (e.closeAfter || c.server.shouldClose())
	if last {
		c.closing = true
	}
	c.mutex.Unlock()
	err := c.send(e, last)
	c.mutex.Lock()
	if err != nil {
		// The caller has disconnected, so its other requests are canceled as well.
		c.closing = true
		c.cancel()
	}
	c.pending = c.pending[1:]
	c.pendingCount.Store(int64(len(c.pending)))
	if c.capacityFreed != nil {
		close(c.capacityFreed)
		c.capacityFreed = nil
	}
}

// send writes one response. Large responses are scheduled by the network link of the
// host.
func (c *connection) send(e *exchange, last bool) (err error) {
	if e.response.Release != nil {
		defer e.response.Release()
	}
	data := encodeResponse(e.response, e.isHead, last)
	// The encoded response takes the place of the body in memory.
	e.response.Body = nil
	write := func(part []byte) (err error) {
		_ = c.conn.SetWriteTimeout(writeTimeout)
		_, err = c.conn.Write(part)
		return err
	}
	if c.server.Link == nil || len(data) <= egress.LargeMessageBytes {
		return write(data)
	}
	return c.server.Link.ReserveUntil(e.response.SendBy).Send(c.ctx, data, write)
}

// pendingRequests returns the number of requests without a response.
func (c *connection) pendingRequests() int {
	return int(c.pendingCount.Load())
}

// stopReading stops waiting for the next request. Requests that were read are still
// answered.
func (c *connection) stopReading() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.awaitingRequest {
		_ = c.conn.SetReadDeadline(pastDeadline)
	}
}
