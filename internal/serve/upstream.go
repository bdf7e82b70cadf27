package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
)

const (
	// copySize is that of a copy buffer, and bounds the request bodies that are
	// held before they are sent, in bytes.
	copySize = 16 << 10
	// keepAnswer bounds the body that is kept for a key, in bytes.
	keepAnswer = 64 << 10
	// maxPassedOver bounds the body of a late answer that is passed over, in bytes.
	maxPassedOver = 1 << 20
)

// Headers between the mesh and its callers and upstreams.
const (
	HeaderPriority       = "Arbutus-Priority"
	HeaderTimeout        = "Arbutus-Timeout"
	HeaderAttempt        = "Arbutus-Attempt"
	HeaderOutcome        = "Arbutus-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
)

var (
	// errBody means that a request's body could not be read whole.
	errBody = errors.New("request body")
	// errExpired means that a claim ended before its call was handed over.
	errExpired = errors.New("claim expired")
	// errUnsealed means that a success does not prove that it is the upstream's own.
	errUnsealed = errors.New("answer without proof of its origin")
)

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// exchange is one request on one connection.
type exchange struct {
	conns *conns
	conn  *conn
	// stop ends the watch on the context.
	stop func() bool
	// sender is closed once the request was written, or could not be; nil when
	// it was written before the answer was waited for.
	sender  chan struct{}
	sendErr error
	// body is the source of a long request body.
	body io.Reader
	// until is when the request must have begun; zero means no bound.
	until time.Time
	// id names the request; empty when the caller gave none.
	id   string
	form HeaderCodec
	// said is what the answer tells.
	said ResponseInfo
	// keep is false when either side asked to close the connection.
	keep bool
	once sync.Once
}

// send makes the request. When it fails, started tells whether any of it may
// have reached the upstream. Nothing is sent after until, unless it is zero.
func (u *upstream) send(ctx context.Context, call *peer.Call, until time.Time) (answer answered, started bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("upstream %s: %w", u.conns.address, err)
		}
	}()
	request, err := u.request(ctx, call)
	if err != nil {
		return answer, false, err
	}
	c, err := u.conns.take(ctx)
	if err != nil {
		return answer, false, err
	}
	x := &exchange{
		conns: &u.conns, conn: c, body: call.Body, until: until, keep: true, id: call.Head.GetId(), form: u.form,
	}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	var response *http.Response
	if err = x.write(request); err == nil {
		response, err = x.read(request) //nolint:bodyclose // closing the body of the answer that is returned gives the connection back
	}
	if err != nil {
		x.finish(false)
		return answer, c.written, err
	}
	x.keep = x.keep && !response.Close
	c.keepFor(response.Header)
	response.Body = &responseBody{ReadCloser: response.Body, exchange: x}
	return answered{Response: response, said: x.said}, true, nil
}

// answered is an answer with what it tells.
type answered struct {
	*http.Response
	said ResponseInfo
}

// write sends the request. A long body is sent while the answer is awaited.
func (x *exchange) write(request *http.Request) (err error) {
	if request.ContentLength >= 0 && request.ContentLength <= copySize {
		if request.Body, err = hold(x.body, request.ContentLength); err != nil {
			return err
		}
		return x.writeAll(request)
	}
	request.Body = io.NopCloser(x.body)
	x.sender = make(chan struct{})
	go func() {
		defer close(x.sender)
		if x.sendErr = x.writeAll(request); x.sendErr != nil {
			// The upstream must not take a part for the whole request.
			_ = x.conn.Close()
		}
	}()
	return nil
}

func (x *exchange) writeAll(request *http.Request) (err error) {
	if !x.until.IsZero() && time.Now().After(x.until) {
		return errExpired
	}
	if err = request.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// hold reads a short body whole, so that no part of a cut one is ever sent.
func hold(body io.Reader, length int64) (held io.ReadCloser, err error) {
	if length == 0 {
		return http.NoBody, nil
	}
	data := make([]byte, length)
	if _, err = io.ReadFull(body, data); err != nil {
		return nil, fmt.Errorf("%w: %w", errBody, err)
	}
	return io.NopCloser(bytes.NewReader(data)), nil
}

// read waits for the answer's head and passes over interim ones, and over late
// answers to earlier requests.
func (x *exchange) read(request *http.Request) (response *http.Response, err error) {
	for {
		x.conn.left = maxReplyHead
		response, err = http.ReadResponse(x.conn.reader, request)
		x.conn.left = math.MaxInt64
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("upstream switched protocols")
		case response.StatusCode < http.StatusOK:
			continue
		}
		x.said = x.form.ParseResponse(response.StatusCode, response.Header)
		if x.said.RequestID == "" || x.said.RequestID == x.id {
			return response, x.checkSeal(response)
		}
		x.keep = false
		if err = passOver(response); err != nil {
			return nil, err
		}
	}
}

// checkSeal refuses a success that may not be the upstream's own.
func (x *exchange) checkSeal(response *http.Response) error {
	if response.StatusCode < http.StatusMultipleChoices && !x.said.Authentic {
		return errUnsealed
	}
	return nil
}

// passOver reads a late answer to another request to its end.
func passOver(response *http.Response) (err error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("late answer without an end")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxPassedOver+1))
	if err == nil && n > maxPassedOver {
		return errors.New("late answer too long")
	}
	return err
}

// finish gives the connection back when the exchange is whole, or closes it.
// Nothing reads the request's body afterwards.
func (x *exchange) finish(whole bool) {
	x.once.Do(func() {
		whole = x.stop() && whole && x.keep && x.sent()
		if whole {
			x.conns.put(x.conn)
			return
		}
		x.conns.drop(x.conn)
		if x.sender == nil {
			return
		}
		if closer, closes := x.body.(io.Closer); closes {
			_ = closer.Close()
		}
		<-x.sender
	})
}

// sent reports whether the whole request was written by now.
func (x *exchange) sent() bool {
	if x.sender == nil {
		return true
	}
	select {
	case <-x.sender:
		return x.sendErr == nil
	default:
		return false
	}
}

// request builds the request without its body.
func (u *upstream) request(ctx context.Context, call *peer.Call) (request *http.Request, err error) {
	head := call.Head
	if _, err = url.ParseRequestURI(head.GetPath()); err != nil {
		return nil, err
	}
	// An opaque URL is written as it came.
	target := &url.URL{Scheme: "http", Host: u.conns.address, Opaque: head.GetPath()}
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
	left := time.Duration(0)
	if deadline, limited := ctx.Deadline(); limited {
		left = max(time.Until(deadline), time.Microsecond)
	}
	u.form.SetRequestHeaders(request.Header, head, u.instance, left)
	return request, nil
}

// copyBody passes the body on, each part at once when its length is not known.
func copyBody(sink io.Writer, reply peer.ReplyWriter, response answered) (err error) {
	buffer := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buffer)
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
			if _, keeps := sink.(*keeper); !keeps && err != nil {
				return err
			}
		}
	}
}

// keeper keeps a copy of a body that it passes on, unless it is too long.
type keeper struct {
	next io.Writer
	body []byte
	long bool
	// err is the first error of next; the copy goes on without it.
	err error
}

// Write implements io.Writer.
func (k *keeper) Write(data []byte) (n int, err error) {
	switch {
	case k.long:
	case len(k.body)+len(data) > keepAnswer:
		k.long, k.body = true, nil
	default:
		k.body = append(k.body, data...)
	}
	if k.err == nil {
		_, k.err = k.next.Write(data)
	}
	return len(data), nil
}

func (k *keeper) answer(head *wire.ReplyHead) Response {
	return Response{Head: head, Body: k.body, Complete: !k.long}
}

// retryAfter returns the delay in seconds that the upstream asks for, if any.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get(HeaderRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, 3600)) * time.Second
}

// replyHeaders returns the headers of an answer as they travel.
func replyHeaders(header http.Header) (headers []*wire.Header) {
	drop := wire.HopByHop(header["Connection"])
	headers = make([]*wire.Header, 0, len(header))
	for name, values := range header {
		if drop.Has(name) || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			headers = append(headers, &wire.Header{Name: name, Value: v})
		}
	}
	return headers
}
