package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Headers of requests from callers and of the responses to them.
const (
	HeaderCustomer       = "Arbutus-Customer"
	HeaderPriority       = "Arbutus-Priority"
	HeaderTimeout        = "Arbutus-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "Arbutus-Outcome"
	HeaderReason         = "Arbutus-Reason"
	HeaderUpstream       = "Arbutus-Upstream"
	HeaderReplayed       = "Arbutus-Replayed"
	HeaderRetryAfter     = "Retry-After"
)

const (
	// maxKeyLength is the maximum length of an idempotency key in bytes.
	maxKeyLength = 256
	// maxHeaderBytes is the maximum size of the header section of a request.
	maxHeaderBytes = 64 << 10
	// maxKeptBuffer is the size in bytes up to which a connection keeps its body
	// buffer between requests.
	maxKeptBuffer = 16 << 10
	// maxBufferedResponse is the length in bytes up to which a response is read
	// completely before any of it is sent to the caller.
	maxBufferedResponse = 64 << 10
	readTimeout         = 30 * time.Second
	idleTimeout         = 90 * time.Second
	readBufferSize      = 4 << 10
)

// errResponseTooLong means that a response body is longer than the announced
// length.
var errResponseTooLong = errors.New("response body longer than its announced length")

func init() {
	hlog.SetOutput(io.Discard)
}

// Frontend serves callers by HTTP.
type Frontend struct {
	// Dispatcher must not be nil.
	Dispatcher *Dispatcher
	// DefaultCustomer is the customer of requests that name none. If it is empty,
	// such requests are rejected.
	DefaultCustomer mesh.Customer
	// Recorder records the result of each request. It may be nil.
	Recorder Recorder
	// Draining reports whether the node is draining: connections are then closed
	// after their current request, so that callers connect to another node. Nil
	// means never.
	Draining func() bool
}

// NewServer returns an HTTP server that handles all requests on the listener with
// Serve. Its Run method runs until Shutdown or Close is called. It uses the hertz
// transport that is based on package net and not netpoll: a goroutine of netpoll
// blocks its thread in the kernel, which costs most when requests arrive one at a time.
func (f *Frontend) NewServer(listener net.Listener, exitWait time.Duration) *server.Hertz {
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithMaxKeepBodySize(maxKeptBuffer),
		server.WithReadBufferSize(readBufferSize),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(exitWait),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		server.WithDisablePrintRoute(true),
		server.WithRedirectTrailingSlash(false),
	)
	h.NoRoute(f.Serve)
	return h
}

// Serve handles one request. It is a hertz handler.
func (f *Frontend) Serve(ctx context.Context, c *app.RequestContext) {
	start := time.Now()
	if f.Draining != nil && f.Draining() {
		c.SetConnectionClose()
	}
	request, err := f.read(c)
	if err != nil {
		f.writeFailure(c, start, &Failure{Outcome: NotRun, Reason: ReasonBadHeader, Status: http.StatusBadRequest, Err: err})
		return
	}
	watcher := watchDisconnect(c, request)
	response, err := f.Dispatcher.Dispatch(ctx, request)
	if err != nil {
		watcher.stop()
		f.writeFailure(c, start, asFailure(err))
		return
	}
	f.writeResponse(c, start, response, watcher)
}

// read decodes the request.
func (f *Frontend) read(c *app.RequestContext) (request *Request, err error) {
	uri := c.Request.URI()
	request = &Request{
		Customer: mesh.Customer(c.Request.Header.Peek(HeaderCustomer)),
		Method:   string(c.Request.Header.Method()),
		Path:     string(uri.Path()),
		Target:   string(uri.RequestURI()),
		Key:      string(c.Request.Header.Peek(HeaderIdempotencyKey)),
		Headers:  requestHeaders(&c.Request.Header),
		Length:   int64(max(-1, c.Request.Header.ContentLength())),
	}
	if c.Request.IsBodyStream() && request.Length != 0 {
		request.Body = c.RequestBodyStream()
	}
	if request.Customer == "" {
		request.Customer = f.DefaultCustomer
	}
	if len(request.Customer) > mesh.MaxNameLength {
		return nil, fmt.Errorf("%s has more than %d bytes", HeaderCustomer, mesh.MaxNameLength)
	}
	if len(request.Key) > maxKeyLength {
		return nil, fmt.Errorf("%s has more than %d bytes", HeaderIdempotencyKey, maxKeyLength)
	}
	if priority := c.Request.Header.Peek(HeaderPriority); len(priority) > 0 {
		request.HasPriority = true
		if request.Priority, err = mesh.ParsePriority(string(priority)); err != nil {
			return nil, fmt.Errorf("%s: %w", HeaderPriority, err)
		}
	}
	if timeout := c.Request.Header.Peek(HeaderTimeout); len(timeout) > 0 {
		if request.Timeout, err = time.ParseDuration(string(timeout)); err != nil {
			return nil, fmt.Errorf("%s: %w", HeaderTimeout, err)
		}
		if request.Timeout <= 0 {
			return nil, fmt.Errorf("%s must be above zero", HeaderTimeout)
		}
	}
	return request, nil
}

// disconnectWatcher detects that the caller of a request with a body disconnects.
// hertz itself detects that only for requests without a body.
type disconnectWatcher struct {
	conn    interface{ AbortBlockingRead() }
	started atomic.Bool
}

// watchDisconnect returns a watcher that starts once the body was read
// completely. Until then, reading the body detects a disconnect.
func watchDisconnect(c *app.RequestContext, request *Request) (watcher *disconnectWatcher) {
	watcher = &disconnectWatcher{}
	conn, supported := c.GetConn().(interface {
		DetectConnectionClose()
		AbortBlockingRead()
	})
	if !supported || !c.Request.IsBodyStream() {
		return watcher
	}
	watcher.conn = conn
	request.OnBodyRead = func() {
		watcher.started.Store(true)
		conn.DetectConnectionClose()
	}
	return watcher
}

// stop stops the watcher and waits until it no longer reads from the connection.
func (w *disconnectWatcher) stop() {
	if w.started.Load() {
		w.conn.AbortBlockingRead()
	}
}

func asFailure(err error) (failure *Failure) {
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Outcome: Unknown, Reason: err.Error(), Status: http.StatusBadGateway, Err: err}
}

// writeFailure sends the failure to the caller and records it.
func (f *Frontend) writeFailure(c *app.RequestContext, start time.Time, failure *Failure) {
	header := &c.Response.Header
	c.Response.ResetBody()
	c.SetStatusCode(failure.Status)
	header.Set(HeaderOutcome, failure.Outcome.String())
	header.Set(HeaderReason, failure.Reason)
	if failure.Upstream != "" {
		header.Set(HeaderUpstream, string(failure.Upstream))
	}
	if failure.RetryAfter > 0 {
		header.Set(HeaderRetryAfter, strconv.Itoa(int((failure.RetryAfter+time.Second-1)/time.Second)))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.Response.SetBodyString(failure.Outcome.String() + ": " + failure.Reason + "\n")
	if c.Request.IsBodyStream() && c.Request.Header.ContentLength() != 0 {
		c.SetConnectionClose()
	}
	f.record(start, Record{
		Service: failure.Service, Priority: failure.Priority, Attempts: failure.Attempts,
		Outcome: failure.Outcome, Reason: failure.Reason, Status: failure.Status,
	})
}

// writeResponse sends the response of the upstream to the caller.
func (f *Frontend) writeResponse(c *app.RequestContext, start time.Time, response *Response, watcher *disconnectWatcher) {
	length := response.Head.GetBodyLength()
	if length >= 0 && length <= maxBufferedResponse && !c.Request.Header.IsHead() {
		f.writeBuffered(c, start, response)
		watcher.stop()
		return
	}
	f.setResponseHead(c, response)
	c.Response.HijackWriter(newResponseStream(c, response, func(truncated bool) {
		watcher.stop()
		f.recordResponse(start, response, truncated)
	}))
}

// writeBuffered reads the whole response before any of it is sent, so that a
// truncated one can be reported as a failure.
func (f *Frontend) writeBuffered(c *app.RequestContext, start time.Time, response *Response) {
	body := c.Response.BodyBuffer()
	body.B = slices.Grow(body.B[:0], int(response.Head.GetBodyLength()))[:response.Head.GetBodyLength()]
	err := readFullBody(response.Body, body.B)
	_ = response.Body.Close()
	if err != nil {
		f.writeFailure(c, start, &Failure{
			Outcome: Unknown, Reason: reasonTruncated, Status: http.StatusBadGateway, Upstream: response.Upstream,
			Service: response.Service, Priority: response.Priority, Attempts: response.Attempts, Err: err,
		})
		return
	}
	f.setResponseHead(c, response)
	f.recordResponse(start, response, false)
}

// readFullBody fills the buffer and checks that the body ends there.
func readFullBody(body io.Reader, buffer []byte) (err error) {
	if _, err = io.ReadFull(body, buffer); err != nil {
		return err
	}
	var extra [1]byte
	n, err := body.Read(extra[:])
	switch {
	case n > 0:
		return errResponseTooLong
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

func (f *Frontend) setResponseHead(c *app.RequestContext, response *Response) {
	header := &c.Response.Header
	c.SetStatusCode(int(response.Head.GetStatus()))
	for _, h := range response.Head.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	header.Set(HeaderOutcome, Answered.String())
	header.Set(HeaderUpstream, string(response.Upstream))
	if response.Head.GetReplayed() {
		header.Set(HeaderReplayed, "true")
	}
}

func (f *Frontend) recordResponse(start time.Time, response *Response, truncated bool) {
	record := Record{
		Service: response.Service, Priority: response.Priority, Status: int(response.Head.GetStatus()), Attempts: response.Attempts,
	}
	if truncated {
		record.Outcome, record.Reason = Unknown, reasonTruncated
	}
	f.record(start, record)
}

func (f *Frontend) record(start time.Time, record Record) {
	if f.Recorder == nil {
		return
	}
	now := time.Now()
	record.Latency = now.Sub(start)
	f.Recorder.Record(now, record)
}

// requestHeaders returns the headers of a request that are sent to the upstream.
func requestHeaders(header interface {
	VisitAll(visit func(key, value []byte))
	Peek(key string) []byte
},
) (headers []*wire.Header) {
	var connection []string
	if value := header.Peek("Connection"); len(value) > 0 {
		connection = []string{string(value)}
	}
	hopByHop := wire.HopByHop(connection)
	header.VisitAll(func(key, value []byte) {
		name := string(key)
		if hopByHop.Has(name) || carriedInCallHead(name) {
			return
		}
		headers = append(headers, &wire.Header{Name: name, Value: string(value)})
	})
	return headers
}

// carriedInCallHead reports whether the header is not forwarded as such: its value
// is in a field of wire.CallHead, or, for Expect, concerns only this connection.
func carriedInCallHead(name string) bool {
	switch name {
	case "Content-Length", "Expect", HeaderCustomer, HeaderPriority, HeaderTimeout, HeaderIdempotencyKey:
		return true
	default:
		return false
	}
}
