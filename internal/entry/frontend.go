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

// Headers between callers and the mesh.
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
	// maxKey bounds an idempotency key, in bytes.
	maxKey = 256
	// maxHeaders bounds the header section of a request, in bytes.
	maxHeaders = 64 << 10
	// keepBody bounds the buffer that a connection keeps between requests.
	keepBody = 16 << 10
	// bufferedAnswer is the longest answer that is read whole before its first
	// byte goes to the caller, in bytes.
	bufferedAnswer = 64 << 10
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 90 * time.Second
	readBuffer     = 4 << 10
)

// errTooLong means that an answer goes on after the length that it told.
var errTooLong = errors.New("answer longer than it told")

func init() {
	hlog.SetOutput(io.Discard)
}

// Frontend serves callers by HTTP.
type Frontend struct {
	// Dispatcher is never nil.
	Dispatcher *Dispatcher
	// DefaultCustomer is that of requests which name none; empty refuses them.
	DefaultCustomer mesh.Customer
	// Recorder is told the end of each request; nil means nobody is.
	Recorder Recorder
	// Draining reports whether callers should go elsewhere after their request;
	// nil means never.
	Draining func() bool
}

// NewServer returns an HTTP server on the listener that leaves every request to
// the front. Its Run serves until its Shutdown or Close. It uses hertz's
// transport over the runtime's own poller: a goroutine of netpoll blocks its
// thread in the kernel, which costs most where calls come one by one.
func (f *Frontend) NewServer(listener net.Listener, exitWait time.Duration) *server.Hertz {
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithMaxHeaderBytes(maxHeaders),
		server.WithMaxKeepBodySize(keepBody),
		server.WithReadBufferSize(readBuffer),
		server.WithReadTimeout(bodyTimeout),
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

// Serve answers one request. It is a hertz handler.
func (f *Frontend) Serve(ctx context.Context, c *app.RequestContext) {
	start := time.Now()
	if f.Draining != nil && f.Draining() {
		c.SetConnectionClose()
	}
	request, err := f.read(c)
	if err != nil {
		f.refuse(c, start, &Failure{Outcome: NotRun, Reason: ReasonBadHeader, Status: http.StatusBadRequest, Err: err})
		return
	}
	watch := watchCaller(c, request)
	answer, err := f.Dispatcher.Dispatch(ctx, request)
	if err != nil {
		watch.stop()
		f.refuse(c, start, asFailure(err))
		return
	}
	f.answer(c, start, answer, watch)
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
	if len(request.Key) > maxKey {
		return nil, fmt.Errorf("%s has more than %d bytes", HeaderIdempotencyKey, maxKey)
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

// callerWatch notices that the caller of a request with a body goes away. hertz
// does so by itself only for requests without one.
type callerWatch struct {
	conn    interface{ AbortBlockingRead() }
	started atomic.Bool
}

// watchCaller starts the watch once the body was read to its end; until then
// reading it notices.
func watchCaller(c *app.RequestContext, request *Request) (watch *callerWatch) {
	watch = &callerWatch{}
	conn, senses := c.GetConn().(interface {
		DetectConnectionClose()
		AbortBlockingRead()
	})
	if !senses || !c.Request.IsBodyStream() {
		return watch
	}
	watch.conn = conn
	request.OnBodyRead = func() {
		watch.started.Store(true)
		conn.DetectConnectionClose()
	}
	return watch
}

// stop returns once nothing reads from the connection any more.
func (w *callerWatch) stop() {
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

// refuse tells the caller that there is no answer.
func (f *Frontend) refuse(c *app.RequestContext, start time.Time, failure *Failure) {
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

// answer passes the upstream's answer on.
func (f *Frontend) answer(c *app.RequestContext, start time.Time, answer *Response, watch *callerWatch) {
	length := answer.Head.GetBodyLength()
	if length >= 0 && length <= bufferedAnswer && !c.Request.Header.IsHead() {
		f.answerBuffered(c, start, answer)
		watch.stop()
		return
	}
	f.writeHead(c, answer)
	c.Response.HijackWriter(newStream(c, answer, func(cut bool) {
		watch.stop()
		f.recordAnswer(start, answer, cut)
	}))
}

// answerBuffered reads the whole answer first, so that a cut one never begins.
func (f *Frontend) answerBuffered(c *app.RequestContext, start time.Time, answer *Response) {
	body := c.Response.BodyBuffer()
	body.B = slices.Grow(body.B[:0], int(answer.Head.GetBodyLength()))[:answer.Head.GetBodyLength()]
	err := readWhole(answer.Body, body.B)
	_ = answer.Body.Close()
	if err != nil {
		f.refuse(c, start, &Failure{
			Outcome: Unknown, Reason: reasonCut, Status: http.StatusBadGateway, Upstream: answer.Upstream,
			Service: answer.Service, Priority: answer.Priority, Attempts: answer.Attempts, Err: err,
		})
		return
	}
	f.writeHead(c, answer)
	f.recordAnswer(start, answer, false)
}

// readWhole fills the buffer and makes sure that the body ends there.
func readWhole(body io.Reader, buffer []byte) (err error) {
	if _, err = io.ReadFull(body, buffer); err != nil {
		return err
	}
	var one [1]byte
	n, err := body.Read(one[:])
	switch {
	case n > 0:
		return errTooLong
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

func (f *Frontend) writeHead(c *app.RequestContext, answer *Response) {
	header := &c.Response.Header
	c.SetStatusCode(int(answer.Head.GetStatus()))
	for _, h := range answer.Head.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	header.Set(HeaderOutcome, Answered.String())
	header.Set(HeaderUpstream, string(answer.Upstream))
	if answer.Head.GetReplayed() {
		header.Set(HeaderReplayed, "true")
	}
}

func (f *Frontend) recordAnswer(start time.Time, answer *Response, cut bool) {
	record := Record{
		Service: answer.Service, Priority: answer.Priority, Status: int(answer.Head.GetStatus()), Attempts: answer.Attempts,
	}
	if cut {
		record.Outcome, record.Reason = Unknown, reasonCut
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

// requestHeaders returns the headers of a request that are passed on.
func requestHeaders(header interface {
	VisitAll(visit func(key, value []byte))
	Peek(key string) []byte
},
) (headers []*wire.Header) {
	var connection []string
	if value := header.Peek("Connection"); len(value) > 0 {
		connection = []string{string(value)}
	}
	drop := wire.HopByHop(connection)
	header.VisitAll(func(key, value []byte) {
		name := string(key)
		if drop.Has(name) || ownHeader(name) {
			return
		}
		headers = append(headers, &wire.Header{Name: name, Value: string(value)})
	})
	return headers
}

// ownHeader reports whether a header travels in the head of a call instead.
func ownHeader(name string) bool {
	switch name {
	case "Content-Length", "Expect", HeaderCustomer, HeaderPriority, HeaderTimeout, HeaderIdempotencyKey:
		return true
	default:
		return false
	}
}
