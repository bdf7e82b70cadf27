package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/wire"
)

const (
	// inlineBodyLimit is the number of bytes of a request body that are sent
	// before waiting for the reply. A separate goroutine sends the rest.
	inlineBodyLimit = 64 << 10
	copyBufferSize  = 16 << 10
	// replyMargin is subtracted, along with the round-trip time, from the
	// remaining time sent to the remote node, so that a refusal by that node
	// arrives before the deadline.
	replyMargin = 5 * time.Millisecond
)

var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// Call is a request to an upstream.
type Call struct {
	Head *wire.CallHead
	// Body is read until EOF or until the call ends; nil means no body.
	Body io.Reader
	// CheckLiveness requires a session that has received data within
	// Pool.PingAfter or responds to a ping. It is meant for retries, since the
	// session of the first attempt may be dead.
	CheckLiveness bool
	// Local is true for a call from this node, whose reply uses no network link.
	Local bool
}

// Reply is the reply of an upstream.
type Reply struct {
	// Head always has the outcome OUTCOME_ANSWERED.
	Head *wire.ReplyHead
	// Body must be closed. It ends with io.EOF only if it is complete, and with
	// a CallError otherwise.
	Body io.ReadCloser
}

// Check returns a *CallError and closes the body if no response can have the head: nodes of
// older builds pass on what their upstreams send, and repeat what they have recorded.
func (r *Reply) Check() error {
	err := wire.CheckReplyHead(r.Head)
	if err == nil {
		return nil
	}
	return &CallError{Outcome: Unknown, Reason: ReasonInvalidResponse, Err: errors.Join(err, r.Body.Close())}
}

// exchange is the client side of one call on one stream.
type exchange struct {
	stream *clientStream
	id     uint64
	// senderDone is closed once the request body has been sent or abandoned; nil
	// if the whole body was sent before waiting for the reply.
	senderDone chan struct{}
	// sendErr is valid once senderDone is closed.
	sendErr error
	// stopWatch stops watching the context and returns false if it has ended.
	stopWatch func() bool
	// received counts the bytes of the reply body.
	received   uint64
	finishOnce sync.Once
	ctx        context.Context
}

// Call sends the call to the node and returns the reply once its head has
// arrived. Any error is a *CallError. Until the reply body has been read to its
// end, canceling the context also cancels the call at the remote node.
func (p *Pool) Call(ctx context.Context, node netip.AddrPort, call *Call) (reply *Reply, err error) {
	s, err := p.acquireStream(ctx, node, p.maxSilence(call))
	if err != nil {
		return nil, notRunError(ctx, err)
	}
	x := &exchange{stream: s, id: p.lastCallID.Add(1), ctx: ctx}
	x.stopWatch = context.AfterFunc(ctx, func() { _ = s.mux.SetDeadline(pastDeadline) })
	s.writer.ResetWritten()
	setRemaining(ctx, call.Head, s.session.roundTrip)
	if err = x.send(call); err != nil {
		x.finish(false)
		if !s.writer.HasWritten() {
			return nil, notRunError(ctx, err)
		}
		return nil, x.unknownError(ReasonSessionLost, err)
	}
	return x.receive()
}

// maxSilence returns how long the call's session may have received nothing
// before it is pinged; zero means that no ping is needed.
func (p *Pool) maxSilence(call *Call) time.Duration {
	switch {
	case call.CheckLiveness:
		return p.pingAfter()
	case !call.Head.GetIdempotent():
		return p.livenessWindow()
	default:
		return 0
	}
}

// acquireStream returns a stream to the node. A session that has received
// nothing for longer than maxSilence is pinged first; zero means no ping.
func (p *Pool) acquireStream(ctx context.Context, node netip.AddrPort, maxSilence time.Duration) (acquired *clientStream, err error) {
	const attempts = 3
	for range attempts {
		if err = ctx.Err(); err != nil {
			return nil, err
		}
		var s *clientSession
		if s, err = p.connect(ctx, node); err != nil {
			return nil, err
		}
		if maxSilence > 0 && time.Since(s.conn.lastReceivedAt()) > maxSilence {
			if err = s.ping(ctx); err != nil {
				continue
			}
		}
		if acquired, err = s.acquireStream(); err == nil {
			return acquired, nil
		}
	}
	return nil, err
}

// send writes the head and the first part of the body, and starts a goroutine
// that sends the rest.
func (x *exchange) send(call *Call) (err error) {
	w := x.stream.writer
	if err = w.Message(wire.TypeHead, x.id, call.Head); err != nil {
		return err
	}
	if call.Body == nil {
		return x.sendEnd(0, nil)
	}
	buffer := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buffer)
	sent, err := x.copyBody(call.Body, buffer[:], inlineBodyLimit)
	switch {
	case errors.Is(err, io.EOF):
		return x.sendEnd(sent, nil)
	case err != nil:
		return err
	}
	if err = w.Flush(); err != nil {
		return err
	}
	x.senderDone = make(chan struct{})
	go x.sendRest(call.Body, sent)
	return nil
}

// copyBody sends body bytes up to the limit; zero means no limit. It returns
// io.EOF at the end of the body, and a requestBodyError if reading the body
// fails.
func (x *exchange) copyBody(body io.Reader, buffer []byte, limit uint64) (sent uint64, err error) {
	for limit == 0 || sent < limit {
		n, readErr := body.Read(buffer)
		if err = x.stream.writer.Data(x.id, buffer[:n]); err != nil {
			return sent, err
		}
		sent += uint64(n)
		if errors.Is(readErr, io.EOF) {
			return sent, io.EOF
		}
		if readErr != nil {
			return sent, &requestBodyError{err: readErr}
		}
	}
	return sent, nil
}

func (x *exchange) sendRest(body io.Reader, sent uint64) {
	defer close(x.senderDone)
	buffer := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buffer)
	more, err := x.copyBody(body, buffer[:], 0)
	if errors.Is(err, io.EOF) {
		x.sendErr = x.sendEnd(sent+more, nil)
		return
	}
	x.sendErr = err
	var bodyErr *requestBodyError
	if errors.As(err, &bodyErr) {
		_ = x.sendEnd(sent+more, err)
	}
}

func (x *exchange) sendEnd(length uint64, cause error) (err error) {
	end := &wire.BodyEnd{Length: length}
	if cause != nil {
		end.Error = cause.Error()
	}
	if err = x.stream.writer.Message(wire.TypeEnd, x.id, end); err != nil {
		return err
	}
	return x.stream.writer.Flush()
}

// receive waits for the head of the reply.
func (x *exchange) receive() (reply *Reply, err error) {
	head := &wire.ReplyHead{}
	err = x.receiveHead(head)
	answered := head.GetOutcome() == wire.Outcome_OUTCOME_ANSWERED
	if err == nil && answered {
		// A frame that arrives slowly can complete after the call has ended.
		err = x.ctx.Err()
	}
	if err != nil {
		x.finish(false)
		return nil, x.unknownError(ReasonSessionLost, err)
	}
	if answered {
		return &Reply{Head: head, Body: &replyBody{exchange: x}}, nil
	}
	_, drainErr := io.Copy(io.Discard, &replyBody{exchange: x})
	x.finish(drainErr == nil)
	return nil, refusalError(head)
}

func (x *exchange) receiveHead(head *wire.ReplyHead) (err error) {
	for {
		header, nextErr := x.stream.reader.Next()
		switch {
		case nextErr != nil:
			return nextErr
		case header.Type == wire.TypeCancel && header.Call == 0:
			x.stream.session.retire()
		case header.Call != x.id:
			return errWrongCall
		case header.Type != wire.TypeReply:
			return fmt.Errorf("%s frame before the reply head: %w", header.Type, wire.ErrUnexpected)
		default:
			return x.stream.reader.Message(head)
		}
	}
}

// finish returns the stream to the session if the exchange is complete.
// Otherwise it closes the stream, which cancels the call at the remote node.
func (x *exchange) finish(complete bool) {
	x.finishOnce.Do(func() {
		if x.senderDone != nil {
			complete = x.joinSender(complete)
		}
		if x.stopWatch() && complete {
			if x.received > shrinkThreshold {
				x.stream.mux.Shrink()
			}
			x.stream.session.releaseStream(x.stream)
			return
		}
		x.stream.close()
		if x.senderDone != nil {
			go x.stream.session.sendCancel(x.id)
		}
	})
}

// joinSender waits for the goroutine that sends the body, which must not
// outlive the call. It reports whether the exchange is still complete.
func (x *exchange) joinSender(complete bool) bool {
	select {
	case <-x.senderDone:
		return complete && x.sendErr == nil
	default:
	}
	_ = x.stream.mux.SetWriteDeadline(pastDeadline)
	<-x.senderDone
	return false
}

// setRemaining sets the head's remaining time, less the time that the reply
// needs to travel back.
func setRemaining(ctx context.Context, head *wire.CallHead, roundTrip time.Duration) {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return
	}
	left := time.Until(deadline)
	left -= min(left/4, roundTrip+replyMargin)
	head.RemainingMicros = max(1, left.Microseconds())
}

// requestBodyError is an error from reading a request body.
type requestBodyError struct{ err error }

func (b *requestBodyError) Error() string { return "read request body: " + b.err.Error() }
func (b *requestBodyError) Unwrap() error { return b.err }

// replyBody reads the body of a reply.
type replyBody struct {
	exchange *exchange
	// endErr is io.EOF or the error that ended the body; nil until then.
	endErr error
}

// Read implements io.Reader.
func (b *replyBody) Read(data []byte) (n int, err error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	if len(data) == 0 {
		return 0, nil
	}
	n, err = b.exchange.readBody(data)
	if err == nil {
		err = b.exchange.ctx.Err()
	}
	if err == nil {
		return n, nil
	}
	b.exchange.finish(errors.Is(err, io.EOF))
	if !errors.Is(err, io.EOF) {
		err = b.exchange.unknownError(ReasonTruncated, err)
	}
	b.endErr = err
	return n, err
}

// Close implements io.Closer. Closing a body before its end cancels the call.
func (b *replyBody) Close() error {
	if b.endErr == nil {
		b.endErr = ErrClosed
	}
	b.exchange.finish(false)
	return nil
}

// readBody reads from the reply body. It returns io.EOF only after the end frame
// has confirmed the length.
func (x *exchange) readBody(data []byte) (n int, err error) {
	reader := x.stream.reader
	for {
		n, err = reader.Read(data)
		if !errors.Is(err, io.EOF) {
			x.received += uint64(n)
			return n, err
		}
		header, nextErr := reader.Next()
		switch {
		case errors.Is(nextErr, io.EOF):
			return 0, io.ErrUnexpectedEOF
		case nextErr != nil:
			return 0, nextErr
		case header.Type == wire.TypeCancel && header.Call == 0:
			x.stream.session.retire()
		case header.Call != x.id:
			return 0, errWrongCall
		case header.Type == wire.TypeEnd:
			return 0, checkEnd(reader, x.received)
		case header.Type != wire.TypeData:
			return 0, fmt.Errorf("%s frame in a reply body: %w", header.Type, wire.ErrUnexpected)
		}
	}
}

// checkEnd returns io.EOF if the end frame confirms that the body is complete
// and has the received length.
func checkEnd(reader *wire.Reader, received uint64) (err error) {
	end := &wire.BodyEnd{}
	if err = reader.Message(end); err != nil {
		return err
	}
	if end.GetError() != "" {
		return fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, end.GetError())
	}
	if end.GetLength() != received {
		return fmt.Errorf("received %d of %d body bytes: %w", received, end.GetLength(), errLengthMismatch)
	}
	return io.EOF
}
