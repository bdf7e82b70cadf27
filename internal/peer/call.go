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
	// inlineBody is how much of a request body is sent before the answer is
	// waited for, in bytes.
	inlineBody = 64 << 10
	copyBuffer = 16 << 10
	// replyMargin is added to the round trip when the remaining time is told
	// to the far node, so that its refusal arrives before the deadline.
	replyMargin = 5 * time.Millisecond
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// Call is a request to an upstream.
type Call struct {
	Head *wire.CallHead
	// Body is read to its end, or until the call ends; nil means none.
	Body io.Reader
	// CheckLiveness asks for a session that was heard from just now, for the repeat of a
	// call whose session may have fallen silent.
	CheckLiveness bool
	// Local is true for a call from this very node, whose answer uses no link.
	Local bool
}

// Reply is the answer of an upstream.
type Reply struct {
	// Head has the outcome "answered".
	Head *wire.ReplyHead
	// Body must be closed. It ends with io.EOF only when it is whole, and with
	// a CallError otherwise.
	Body io.ReadCloser
}

// exchange is one call on one stream, seen from the calling end.
type exchange struct {
	stream *stream
	id     uint64
	// sender is closed when the request body was sent or given up; nil when
	// the whole body went out before the answer was waited for.
	sender chan struct{}
	// sendErr is valid once sender is closed.
	sendErr error
	// stop ends the watch on the context.
	stop func() bool
	// received counts the bytes of the answer's body.
	received uint64
	once     sync.Once
	ctx      context.Context
}

// Call sends the call to the node and returns the answer once its head is
// there. Any error is a *CallError. Ending the context ends the call at the
// far node too, until the reply's body was read to its end.
func (p *Pool) Call(ctx context.Context, node netip.AddrPort, call *Call) (reply *Reply, err error) {
	s, err := p.streamTo(ctx, node, p.heardWithin(call))
	if err != nil {
		return nil, notRun(ctx, err)
	}
	x := &exchange{stream: s, id: p.calls.Add(1), ctx: ctx}
	x.stop = context.AfterFunc(ctx, func() { _ = s.mux.SetDeadline(past) })
	s.writer.Restart()
	tellRemaining(ctx, call.Head, s.session.roundTrip)
	if err = x.send(call); err != nil {
		x.finish(false)
		if !s.writer.Started() {
			return nil, notRun(ctx, err)
		}
		return nil, x.unknown(ReasonSessionLost, err)
	}
	return x.receive()
}

// heardWithin returns how lately the call's session must have been heard from;
// zero when that does not matter.
func (p *Pool) heardWithin(call *Call) time.Duration {
	switch {
	case call.CheckLiveness:
		return p.quiet()
	case !call.Head.GetIdempotent():
		return p.freshFor()
	default:
		return 0
	}
}

// streamTo returns a stream to the node. One that was not heard from within the
// time is pinged first; zero asks for no ping.
func (p *Pool) streamTo(ctx context.Context, node netip.AddrPort, within time.Duration) (taken *stream, err error) {
	const attempts = 3
	for range attempts {
		if err = ctx.Err(); err != nil {
			return nil, err
		}
		var s *session
		if s, err = p.connect(ctx, node); err != nil {
			return nil, err
		}
		if within > 0 && time.Since(s.conn.heardAt()) > within {
			if err = s.check(ctx); err != nil {
				continue
			}
		}
		if taken, err = s.take(); err == nil {
			return taken, nil
		}
	}
	return nil, err
}

// send writes the head and as much of the body as needs no waiting.
func (x *exchange) send(call *Call) (err error) {
	w := x.stream.writer
	if err = w.Message(wire.TypeHead, x.id, call.Head); err != nil {
		return err
	}
	if call.Body == nil {
		return x.sendEnd(0, nil)
	}
	buffer := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buffer)
	sent, err := x.copyBody(call.Body, buffer[:], inlineBody)
	switch {
	case errors.Is(err, io.EOF):
		return x.sendEnd(sent, nil)
	case err != nil:
		return err
	}
	if err = w.Flush(); err != nil {
		return err
	}
	x.sender = make(chan struct{})
	go x.sendRest(call.Body, sent)
	return nil
}

// copyBody sends body bytes until limit or the body's end, which is io.EOF.
// An error of the body itself is a bodyError.
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
			return sent, &bodyError{err: readErr}
		}
	}
	return sent, nil
}

func (x *exchange) sendRest(body io.Reader, sent uint64) {
	defer close(x.sender)
	buffer := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buffer)
	more, err := x.copyBody(body, buffer[:], 0)
	if errors.Is(err, io.EOF) {
		x.sendErr = x.sendEnd(sent+more, nil)
		return
	}
	x.sendErr = err
	var broken *bodyError
	if errors.As(err, &broken) {
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

// receive waits for the head of the answer.
func (x *exchange) receive() (reply *Reply, err error) {
	head := &wire.ReplyHead{}
	err = x.receiveHead(head)
	answered := head.GetOutcome() == wire.Outcome_OUTCOME_ANSWERED
	if err == nil && answered {
		// The session's read can outlast the call while a frame arrives slowly.
		err = x.ctx.Err()
	}
	if err != nil {
		x.finish(false)
		return nil, x.unknown(ReasonSessionLost, err)
	}
	if answered {
		return &Reply{Head: head, Body: &replyBody{exchange: x}}, nil
	}
	_, drained := io.Copy(io.Discard, &replyBody{exchange: x})
	x.finish(drained == nil)
	return nil, refusal(head)
}

func (x *exchange) receiveHead(head *wire.ReplyHead) (err error) {
	for {
		header, nextErr := x.stream.reader.Next()
		switch {
		case nextErr != nil:
			return nextErr
		case header.Type == wire.TypeCancel && header.Call == 0:
			x.stream.session.setAside()
		case header.Call != x.id:
			return errCrossed
		case header.Type != wire.TypeReply:
			return fmt.Errorf("%s before the reply: %w", header.Type, wire.ErrUnexpected)
		default:
			return x.stream.reader.Message(head)
		}
	}
}

// finish gives the stream back when the exchange is whole, or else closes it,
// which ends the call at the far node.
func (x *exchange) finish(whole bool) {
	x.once.Do(func() {
		if x.sender != nil {
			whole = x.join(whole)
		}
		if x.stop() && whole {
			if x.received > shrinkAbove {
				x.stream.mux.Shrink()
			}
			x.stream.session.put(x.stream)
			return
		}
		x.stream.close()
		if x.sender != nil {
			go x.stream.session.cancel(x.id)
		}
	})
}

// join waits for the sender of the body, which must not outlive the call.
func (x *exchange) join(whole bool) bool {
	select {
	case <-x.sender:
		return whole && x.sendErr == nil
	default:
	}
	_ = x.stream.mux.SetWriteDeadline(past)
	<-x.sender
	return false
}

// tellRemaining sets the time left, less what the answer needs to come back.
func tellRemaining(ctx context.Context, head *wire.CallHead, roundTrip time.Duration) {
	deadline, limited := ctx.Deadline()
	if !limited {
		return
	}
	left := time.Until(deadline)
	left -= min(left/4, roundTrip+replyMargin)
	head.RemainingMicros = max(1, left.Microseconds())
}

// bodyError is an error of a request body's source.
type bodyError struct{ err error }

func (b *bodyError) Error() string { return "request body: " + b.err.Error() }
func (b *bodyError) Unwrap() error { return b.err }

// replyBody reads the body of an answer.
type replyBody struct {
	exchange *exchange
	// ended is io.EOF or the error that ended the body; nil before.
	ended error
}

// Read implements io.Reader.
func (b *replyBody) Read(data []byte) (n int, err error) {
	if b.ended != nil {
		return 0, b.ended
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
		err = b.exchange.unknown(ReasonTruncated, err)
	}
	b.ended = err
	return n, err
}

// Close implements io.Closer. Closing a body before its end ends the call.
func (b *replyBody) Close() error {
	if b.ended == nil {
		b.ended = ErrClosed
	}
	b.exchange.finish(false)
	return nil
}

// readBody returns io.EOF only after the end frame has confirmed the length.
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
			x.stream.session.setAside()
		case header.Call != x.id:
			return 0, errCrossed
		case header.Type == wire.TypeEnd:
			return 0, checkEnd(reader, x.received)
		case header.Type != wire.TypeData:
			return 0, fmt.Errorf("%s in a body: %w", header.Type, wire.ErrUnexpected)
		}
	}
}

// checkEnd returns io.EOF when the end frame confirms a body of that length.
func checkEnd(reader *wire.Reader, received uint64) (err error) {
	end := &wire.BodyEnd{}
	if err = reader.Message(end); err != nil {
		return err
	}
	if end.GetError() != "" {
		return fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, end.GetError())
	}
	if end.GetLength() != received {
		return fmt.Errorf("got %d bytes of %d: %w", received, end.GetLength(), errBodyLength)
	}
	return io.EOF
}
