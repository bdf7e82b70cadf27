package serve

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/silent"
)

const (
	// copyBufferSize is the size of a copy buffer in bytes, and the length up to which
	// a request body is buffered before it is sent.
	copyBufferSize = 16 << 10
	// maxRecordedBody is the maximum length in bytes of a response body that is stored
	// for a key.
	maxRecordedBody = 64 << 10
	// maxDiscardedBody is the maximum length in bytes of the body of a late response
	// that is discarded, and maxLateResponses the maximum number of late responses that
	// are skipped before the response to a request.
	maxDiscardedBody = 1 << 20
	maxLateResponses = 4
)

// Headers of requests to upstreams and of their responses.
const (
	HeaderPriority       = "Arbutus-Priority"
	HeaderTimeout        = "Arbutus-Timeout"
	HeaderAttempt        = "Arbutus-Attempt"
	HeaderOutcome        = "Arbutus-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
)

var (
	// errRequestBody means that the request body could not be read completely.
	errRequestBody = errors.New("request body")
	// errClaimExpired means that a claim expired before its call was sent.
	errClaimExpired = errors.New("claim expired")
	// errUnauthenticated means that a success response does not prove that it was sent
	// by the upstream.
	errUnauthenticated = errors.New("response without proof of origin")
	// errUnattributed means that a response without an ID may belong to an earlier request
	// on the connection.
	errUnattributed = errors.New("response without ID on a used connection")
)

var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// exchange is one request and its response on one connection.
type exchange struct {
	pool *connPool
	conn *conn
	// stop unregisters the function that runs when the context ends.
	stop func() bool
	// sendDone is closed once the request was written or writing it failed. It is nil
	// if the request is written before the response is awaited.
	sendDone chan struct{}
	sendErr  error
	// body is the source of the request body.
	body io.Reader
	// sendBy is the time after which the request must not be sent; zero means no
	// limit.
	sendBy time.Time
	// requestID identifies the request: the ID that the caller gave it, or else its
	// attempt.
	requestID string
	headers   HeaderCodec
	// info is what the status and headers of the response say.
	info ResponseInfo
	// tracked records the exchange at the occupancy; nil if that is off.
	tracked *tracked
	// reusable is false if the connection must be closed after the exchange.
	reusable bool
	once     sync.Once
}

// send sends the request and waits for the head of the response. After an error,
// sent is true if any part of the request may have reached the upstream. Nothing is
// sent after sendBy, unless it is zero.
func (u *upstream) send(ctx context.Context, call *peer.Call, sendBy time.Time) (response upstreamResponse, sent bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("upstream %s: %w", u.pool.address, err)
		}
	}()
	request, err := u.request(ctx, call)
	if err != nil {
		return response, false, err
	}
	c, err := u.pool.get(ctx)
	if err != nil {
		return response, false, err
	}
	x := &exchange{
		pool: &u.pool, conn: c, body: call.Body, sendBy: sendBy, reusable: true, requestID: cmp.Or(call.Head.GetId(), call.Head.GetAttempt()), headers: u.headers,
	}
	x.tracked = u.occupancy.begin(c, silentRequest(ctx, call.Head))
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	var httpResponse *http.Response
	if err = x.write(request); err == nil {
		httpResponse, err = x.readResponse(request) //nolint:bodyclose // closing the body of the returned response releases the connection
	}
	if err == nil {
		err = x.tracked.begun()
	}
	if err != nil {
		err = x.tracked.failed(ctx, x.sendDone != nil || c.written, err)
		x.finish(false)
		return response, c.written, err
	}
	x.reusable = x.reusable && !httpResponse.Close
	c.setKeepAlive(httpResponse.Header)
	untilClose := endsWithConnection(httpResponse) && httpResponse.Body != http.NoBody
	httpResponse.Body = &responseBody{ReadCloser: httpResponse.Body, exchange: x, untilClose: untilClose}
	return upstreamResponse{Response: httpResponse, info: x.info}, true, nil
}

// silentRequest returns what decides when the call is given up. A call that must run at
// most once is not repeatable.
func silentRequest(ctx context.Context, head *wire.CallHead) (request silent.Request) {
	request = silent.Request{
		Class: head.GetRoute(), Typical: time.Duration(head.GetTypicalMicros()) * time.Microsecond,
		Repeatable: head.GetIdempotent() && !atMostOnce(head),
	}
	request.Deadline, _ = ctx.Deadline()
	return request
}

// upstreamResponse is a response with what its status and headers say.
type upstreamResponse struct {
	*http.Response
	info ResponseInfo
}

// write sends the request. A long body is sent while the response is awaited.
func (x *exchange) write(request *http.Request) (err error) {
	if request.ContentLength >= 0 && request.ContentLength <= copyBufferSize {
		if request.Body, err = bufferBody(x.body, request.ContentLength); err != nil {
			return err
		}
		return x.writeAll(request)
	}
	request.Body = io.NopCloser(x.body)
	x.sendDone = make(chan struct{})
	go func() {
		defer close(x.sendDone)
		if x.sendErr = x.writeAll(request); x.sendErr != nil {
			// The upstream must not mistake a part for the complete request.
			_ = x.conn.Close()
		}
	}()
	return nil
}

func (x *exchange) writeAll(request *http.Request) (err error) {
	if !x.sendBy.IsZero() && time.Now().After(x.sendBy) {
		return errClaimExpired
	}
	if err = request.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// bufferBody reads a short body completely, so that no part of a truncated body is
// ever sent.
func bufferBody(body io.Reader, length int64) (buffered io.ReadCloser, err error) {
	if length == 0 {
		return http.NoBody, nil
	}
	data := make([]byte, length)
	if _, err = io.ReadFull(body, data); err != nil {
		return nil, fmt.Errorf("%w: %w", errRequestBody, err)
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

// finish returns the connection to the pool if the exchange is complete, and closes
// it otherwise. The request body is not read any more after finish returns.
func (x *exchange) finish(complete bool) {
	x.once.Do(func() {
		if complete || x.info.NotRun {
			x.tracked.end(silent.Complete)
		} else {
			x.tracked.end(silent.Left)
		}
		complete = x.stop() && complete && x.reusable && x.requestSent()
		if complete {
			x.pool.put(x.conn)
			return
		}
		x.pool.discard(x.conn)
		if x.sendDone == nil {
			return
		}
		if closer, closes := x.body.(io.Closer); closes {
			_ = closer.Close()
		}
		<-x.sendDone
	})
}

// requestSent reports whether the whole request has been written.
func (x *exchange) requestSent() bool {
	if x.sendDone == nil {
		return true
	}
	select {
	case <-x.sendDone:
		return x.sendErr == nil
	default:
		return false
	}
}

// request builds the request without its body.
func (u *upstream) request(ctx context.Context, call *peer.Call) (request *http.Request, err error) {
	head := call.Head
	target, err := newTargetURL(u.pool.address, head.GetPath())
	if err != nil {
		return nil, err
	}
	request = &http.Request{
		Method:        head.GetMethod(),
		URL:           target,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        make(http.Header, len(head.GetHeaders())+4),
		ContentLength: max(0, head.GetBodyLength()),
	}
	if head.GetBodyLength() < 0 {
		request.ContentLength = -1
	}
	for _, header := range head.GetHeaders() {
		name := http.CanonicalHeaderKey(header.GetName())
		if name == "Host" {
			request.Host = header.GetValue()
			continue
		}
		request.Header[name] = append(request.Header[name], header.GetValue())
	}
	if _, named := request.Header["User-Agent"]; !named {
		request.Header["User-Agent"] = nil
	}
	remaining := time.Duration(0)
	if deadline, limited := ctx.Deadline(); limited {
		remaining = max(time.Until(deadline), time.Microsecond)
	}
	u.headers.SetRequestHeaders(request.Header, head, u.instance, remaining)
	return request, nil
}

// copyBody copies the response body to the sink. If its length is unknown, every
// part is flushed.
func copyBody(sink io.Writer, reply peer.ReplyWriter, response upstreamResponse) (err error) {
	buffer := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buffer)
	for {
		n, readErr := response.Body.Read(buffer[:])
		if n > 0 {
			if _, err = sink.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		if response.ContentLength < 0 {
			err = reply.Flush()
			if _, keeps := sink.(*bodyRecorder); !keeps && err != nil {
				return err
			}
		}
	}
}

// bodyRecorder forwards a body and keeps a copy of it unless it is too long.
type bodyRecorder struct {
	next    io.Writer
	body    []byte
	tooLong bool
	// err is the first error of next. The body is still recorded after it.
	err error
}

// Write implements io.Writer.
func (r *bodyRecorder) Write(data []byte) (n int, err error) {
	switch {
	case r.tooLong:
	case len(r.body)+len(data) > maxRecordedBody:
		r.tooLong, r.body = true, nil
	default:
		r.body = append(r.body, data...)
	}
	if r.err == nil {
		_, r.err = r.next.Write(data)
	}
	return len(data), nil
}

func (r *bodyRecorder) response(head *wire.ReplyHead) Response {
	return Response{Head: head, Body: r.body, Complete: !r.tooLong}
}

// retryAfter returns the delay of the Retry-After header, at most an hour; zero if
// there is none.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get(HeaderRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, 3600)) * time.Second
}

// replyHeaders returns the headers of a response that are forwarded to the caller.
func replyHeaders(header http.Header) (headers []*wire.Header) {
	hopByHop := wire.HopByHop(header["Connection"])
	headers = make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if hopByHop.Has(name) || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			headers = append(headers, &wire.Header{Name: name, Value: v})
		}
	}
	return headers
}
