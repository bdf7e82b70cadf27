package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	errs "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"arbutusstep.example/arbutusstep/internal/egress"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// past is a deadline that ends whatever waits on a connection.
var past = time.Unix(1, 0)

// continued tells a caller to send the body of its request.
const continued = "HTTP/1.1 100 Continue\r\n\r\n"

// errExpect means that a request expects what the front does not know.
var errExpect = errors.New("unknown expectation")

// lane is one connection of a caller.
type lane struct {
	front *Server
	conn  network.Conn
	// ctx ends when the caller goes away or the connection is done with.
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	// unanswered is the length of turns, for those who must not wait for the mutex.
	unanswered atomic.Int64

	mutex sync.Mutex
	// turns holds the requests that are read and not answered, in order.
	turns []*turn
	// sending is true while a thread sends answers.
	sending bool
	// room is closed when a turn has ended; nil while nobody waits.
	room chan struct{}
	// closing is set once the last answer is decided on: what is read later is
	// not taken in.
	closing bool
	// reading is true while the connection waits for the first byte of a request.
	reading bool
}

// turn is one request in its place among those of its connection.
type turn struct {
	// answer is nil until there is one.
	answer *Response
	head   bool
	// last is true when the caller wants the connection closed afterwards.
	last bool
}

// run serves the connection until either end closes it.
func (l *lane) run() {
	defer l.work.Wait()
	defer l.cancel()
	for l.await() {
		request, t, err := l.read()
		if err != nil {
			l.refuse(err)
			return
		}
		if !l.take(t) {
			return
		}
		l.work.Go(func() {
			t.finish(l, l.front.Handler.Handle(l.ctx, request))
		})
		if t.last {
			l.drain()
			return
		}
	}
}

// await waits for the first byte of a request. It returns false when the caller
// went away, or when the connection is to be closed.
func (l *lane) await() bool {
	if !l.waitForRoom() {
		return false
	}
	for {
		idle := l.front.limits().IdleTimeout
		l.mutex.Lock()
		if l.closing || l.front.isStopping() {
			// What was read is answered; what comes now goes elsewhere.
			l.closing = true
			l.mutex.Unlock()
			l.work.Wait()
			return false
		}
		l.reading = true
		_ = l.conn.SetReadTimeout(idle)
		l.mutex.Unlock()
		_, err := l.conn.Peek(1)
		l.mutex.Lock()
		l.reading = false
		busy := len(l.turns) > 0
		closing := l.closing || l.front.isStopping()
		l.mutex.Unlock()
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

// waitForRoom waits while too many requests of the connection run.
func (l *lane) waitForRoom() bool {
	for {
		l.mutex.Lock()
		if len(l.turns) < maxAhead {
			l.mutex.Unlock()
			return true
		}
		if l.room == nil {
			l.room = make(chan struct{})
		}
		room := l.room
		l.mutex.Unlock()
		select {
		case <-room:
		case <-l.ctx.Done():
			return false
		}
	}
}

// drain keeps reading after the last request, only to notice that the caller
// goes away, until every answer was sent.
func (l *lane) drain() {
	done := make(chan struct{})
	go func() {
		l.work.Wait()
		close(done)
		_ = l.conn.SetReadDeadline(past)
	}()
	_ = l.conn.SetReadDeadline(time.Time{})
	buffer := make([]byte, readBuffer)
	for {
		_, err := l.conn.Read(buffer)
		select {
		case <-done:
			return
		default:
		}
		if err != nil {
			l.cancel()
			<-done
			return
		}
	}
}

// read reads one whole request.
func (l *lane) read() (request *Request, t *turn, err error) {
	limits := l.front.limits()
	_ = l.conn.SetReadTimeout(limits.HeaderTimeout)
	var raw protocol.Request
	raw.Header.SetNoDefaultContentType(true)
	if err = req.ReadHeaderWithLimit(&raw.Header, l.conn, limits.MaxHeaderBytes); err != nil {
		return nil, nil, err
	}
	arrived := time.Now()
	_ = l.conn.SetReadTimeout(bodyTime)
	if raw.Header.ContentLength() > limits.MaxBodyBytes {
		return nil, nil, errs.ErrBodyTooLarge
	}
	if raw.MayContinue() {
		if _, err = l.conn.Write([]byte(continued)); err != nil {
			return nil, nil, err
		}
	} else if len(raw.Header.Peek("Expect")) > 0 {
		return nil, nil, errExpect
	}
	if err = req.ContinueReadBody(&raw, l.conn, limits.MaxBodyBytes, false); err != nil {
		return nil, nil, err
	}
	request, err = l.decode(&raw, arrived)
	_ = l.conn.Release()
	return request, &turn{head: raw.Header.IsHead(), last: raw.Header.ConnectionClose()}, err
}

// decode copies what is passed on out of the connection's buffers.
func (l *lane) decode(raw *protocol.Request, arrived time.Time) (request *Request, err error) {
	target := string(raw.Header.RequestURI())
	path, _, _ := strings.Cut(target, "?")
	request = &Request{
		Method: string(raw.Header.Method()), Host: string(raw.Header.Host()), Path: path, Target: target,
		Body: bytes.Clone(raw.Body()), Arrived: arrived,
	}
	if request.Host == "" {
		return nil, errors.New("host is missing")
	}
	if !strings.HasPrefix(target, "/") {
		return nil, errors.New("target is no path")
	}
	var connection []string
	raw.Header.VisitAll(func(key, value []byte) {
		if string(key) == "Connection" {
			connection = append(connection, string(value))
		}
	})
	drop := wire.HopByHop(connection)
	fields := make(map[string]string)
	raw.Header.VisitAll(func(key, value []byte) {
		name, text := string(key), string(value)
		if _, seen := fields[name]; !seen {
			fields[name] = text
		}
		if !drop.Has(name) && name != "Content-Length" && name != "Expect" {
			request.Headers = append(request.Headers, &wire.Header{Name: name, Value: text})
		}
	})
	request.HeaderValue = func(name string) string { return fields[http.CanonicalHeaderKey(name)] }
	return request, nil
}

// refuse answers what could not be read, after what was read before it, and
// ends the connection.
func (l *lane) refuse(err error) {
	status, reason := http.StatusBadRequest, "malformed-request"
	var timeout net.Error
	switch {
	case errors.Is(err, errs.ErrHeaderTooLarge):
		status, reason = http.StatusRequestHeaderFieldsTooLarge, "header-too-large"
	case errors.Is(err, errs.ErrBodyTooLarge):
		status, reason = http.StatusRequestEntityTooLarge, "body-too-large"
	case errors.Is(err, errExpect):
		status, reason = http.StatusExpectationFailed, "unknown-expectation"
	case errors.Is(err, errs.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout():
		status, reason = http.StatusRequestTimeout, "request-too-slow"
	case errors.Is(err, errs.ErrNothingRead), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return
	}
	t := &turn{last: true}
	if l.take(t) {
		t.finish(l, l.front.Handler.HandleMalformed(status, reason))
		l.work.Wait()
	}
}

// take gives a request its place, unless the last answer was decided on.
func (l *lane) take(t *turn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closing {
		return false
	}
	l.turns = append(l.turns, t)
	l.unanswered.Store(int64(len(l.turns)))
	return true
}

// finish takes in the answer, and sends it with those behind it once all before
// it are sent. One thread at a time sends; the mutex is not held meanwhile.
func (t *turn) finish(l *lane, answer *Response) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	t.answer = answer
	if l.sending {
		return
	}
	l.sending = true
	for len(l.turns) > 0 && l.turns[0].answer != nil {
		l.sendFirst()
	}
	l.sending = false
	if l.closing && l.reading {
		_ = l.conn.SetReadDeadline(past)
	}
}

// sendFirst sends the answer whose turn it is; the mutex is held before and
// after. The connection is closed after the last one, and only when no request
// behind it was read.
func (l *lane) sendFirst() {
	t := l.turns[0]
	last := len(l.turns) == 1 && (t.last || l.front.leaving())
	if last {
		l.closing = true
	}
	l.mutex.Unlock()
	err := l.send(t, last)
	l.mutex.Lock()
	if err != nil {
		// The caller is gone; so is what it still waits for.
		l.closing = true
		l.cancel()
	}
	l.turns = l.turns[1:]
	l.unanswered.Store(int64(len(l.turns)))
	if l.room != nil {
		close(l.room)
		l.room = nil
	}
}

// send writes one answer. A long one takes its turn on the host's link.
func (l *lane) send(t *turn, last bool) (err error) {
	data := encode(t.answer, t.head, last)
	write := func(part []byte) (err error) {
		_ = l.conn.SetWriteTimeout(writeTime)
		_, err = l.conn.Write(part)
		return err
	}
	if l.front.Link == nil || len(data) <= egress.Long {
		return write(data)
	}
	return l.front.Link.Join().Send(l.ctx, data, write)
}

// waiting returns how many requests are read and not answered.
func (l *lane) waiting() int {
	return int(l.unanswered.Load())
}

// stopReading ends the wait for a request; what was read is still answered.
func (l *lane) stopReading() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.reading {
		_ = l.conn.SetReadDeadline(past)
	}
}
