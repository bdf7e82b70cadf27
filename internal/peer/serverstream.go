package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// replyGracePeriod is how long after its deadline a call may still send its
// reply.
const replyGracePeriod = time.Second

// serverStream is the server side of one stream. A dedicated goroutine reads the
// stream, so that a lost client is noticed while a call runs.
type serverStream struct {
	session *serverSession
	mux     *yamux.Stream
	reader  *wire.Reader
	// received counts the bytes read before control is set.
	received uint64
	// control is set once the stream is known to be a control stream.
	control *ControlStream

	// mutex guards the writer between calls.
	mutex  sync.Mutex
	writer *wire.Writer
	// current is the call in progress; nil between calls.
	current *serverCall
}

// serverCall is a call in progress.
type serverCall struct {
	id     uint64
	body   pipe
	cancel context.CancelFunc
	// done is closed once the reply has been sent or has failed.
	done chan struct{}
}

func (st *serverStream) run() {
	defer func() { _ = st.mux.Close() }()
	st.reader = wire.NewReader(st)
	defer st.reader.Release()
	header, err := st.reader.Next()
	if err != nil {
		return
	}
	if header.Type == wire.TypeControl {
		st.serveControl(header)
		return
	}
	if header.Type == wire.TypeCancel {
		st.session.cancelCall(header.Call)
		return
	}
	st.writer = wire.NewWriter(st.mux)
	st.addToSession()
	defer st.removeFromSession()
	defer st.abortCall()
	for err == nil {
		if err = st.handleFrame(header); err == nil {
			header, err = st.reader.Next()
		}
	}
}

// handleFrame handles one frame of a stream that carries calls.
func (st *serverStream) handleFrame(header wire.FrameHeader) (err error) {
	if header.Type == wire.TypeHead {
		return st.startCall(header)
	}
	call := st.current
	if call == nil || call.id != header.Call {
		return errWrongCall
	}
	switch header.Type {
	case wire.TypeData:
		return call.body.fill(st.reader, header.Length)
	case wire.TypeEnd:
		err = checkEnd(st.reader, call.body.bytesWritten())
		call.body.end(err)
		if call.body.bytesWritten() > shrinkThreshold {
			st.mux.Shrink()
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		return err
	default:
		return fmt.Errorf("%s frame in a request body: %w", header.Type, wire.ErrUnexpected)
	}
}

// startCall starts a call once the previous call has sent its reply.
func (st *serverStream) startCall(header wire.FrameHeader) (err error) {
	if st.current != nil {
		<-st.current.done
		st.current.cancel()
	}
	head := &wire.CallHead{}
	if err = st.reader.Message(head); err != nil {
		return err
	}
	ctx, cancel := st.callContext(head)
	call := &serverCall{id: header.Call, cancel: cancel, done: make(chan struct{})}
	st.mutex.Lock()
	st.current = call
	st.mutex.Unlock()
	if reason := st.session.addCall(call); reason != "" {
		return st.refuse(call, reason)
	}
	go st.runCall(ctx, call, head)
	return nil
}

func (st *serverStream) callContext(head *wire.CallHead) (ctx context.Context, cancel context.CancelFunc) {
	if head.GetRemainingMicros() <= 0 {
		_ = st.mux.SetWriteDeadline(time.Time{})
		return context.WithCancel(st.session.ctx)
	}
	left := time.Duration(head.GetRemainingMicros()) * time.Microsecond
	deadline := time.Now().Add(left)
	_ = st.mux.SetWriteDeadline(deadline.Add(replyGracePeriod))
	return context.WithDeadline(st.session.ctx, deadline)
}

// refuse replies that the call was not run.
func (st *serverStream) refuse(call *serverCall, reason string) error {
	_ = call.body.Close()
	r := streamReply{stream: st, call: call}
	_ = r.WriteHead(&wire.ReplyHead{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: reason})
	return r.finish()
}

func (st *serverStream) runCall(ctx context.Context, call *serverCall, head *wire.CallHead) {
	defer st.session.removeCall(call)
	if head.GetBodyLength() != 0 {
		stop := context.AfterFunc(ctx, func() { call.body.end(ctx.Err()) })
		defer stop()
	}
	r := streamReply{stream: st, call: call}
	st.session.server.CallHandler.ServeCall(ctx, &Call{Head: head, Body: &call.body}, &r)
	_ = call.body.Close()
	if !r.headWritten {
		_ = r.WriteHead(&wire.ReplyHead{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: ReasonNoHandler})
	}
	if r.finish() != nil {
		_ = st.mux.Close()
	}
}

// abortCall ends the call in progress after the client is gone.
func (st *serverStream) abortCall() {
	if st.current == nil {
		return
	}
	st.current.body.end(io.ErrUnexpectedEOF)
	st.current.cancel()
	_ = st.mux.SetWriteDeadline(pastDeadline)
	<-st.current.done
}

// sendGoAway tells the client to send no more calls on this stream. If a call is
// in progress, the go-away frame follows its reply instead.
func (st *serverStream) sendGoAway() {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if st.current != nil {
		select {
		case <-st.current.done:
		default:
			return
		}
	}
	st.writeGoAway()
}

func (st *serverStream) writeGoAway() {
	_ = st.mux.SetWriteDeadline(time.Now().Add(replyGracePeriod))
	if st.writer.Empty(wire.TypeCancel, 0) == nil {
		_ = st.writer.Flush()
	}
}

func (st *serverStream) addToSession() {
	st.session.mutex.Lock()
	defer st.session.mutex.Unlock()
	st.session.streams[st] = struct{}{}
}

func (st *serverStream) removeFromSession() {
	st.session.mutex.Lock()
	defer st.session.mutex.Unlock()
	delete(st.session.streams, st)
}

func (st *serverStream) serveControl(header wire.FrameHeader) {
	first, err := st.reader.Control(header)
	if err != nil || st.session.server.ControlHandler == nil {
		return
	}
	total := &st.session.server.controlBytes
	c := newControl(st.mux, addrOf(st.session.conn.RemoteAddr()), total, func() {})
	c.first = first
	c.reader = st.reader
	c.bytes.received.Add(st.received)
	total.received.Add(st.received)
	st.control = c
	st.session.server.ControlHandler.ServeControl(c)
	c.Close()
	<-c.done
}

// Read implements io.Reader over the stream's bytes, for the frame reader.
func (st *serverStream) Read(data []byte) (n int, err error) {
	if st.control != nil {
		return st.control.Read(data)
	}
	n, err = st.mux.Read(data)
	st.received += uint64(n)
	return n, err
}

// streamReply is the ReplyWriter of a call that arrived on a stream.
type streamReply struct {
	stream      *serverStream
	call        *serverCall
	headWritten bool
	sent        uint64
	// failure is why the body is truncated; empty if it is complete.
	failure string
	// err is the first error of the stream.
	err error
}

// WriteHead implements ReplyWriter.
func (r *streamReply) WriteHead(head *wire.ReplyHead) error {
	r.headWritten = true
	return r.recordError(r.stream.writer.Message(wire.TypeReply, r.call.id, head))
}

// Write implements ReplyWriter.
func (r *streamReply) Write(data []byte) (n int, err error) {
	if err = r.recordError(r.stream.writer.Data(r.call.id, data)); err != nil {
		return 0, err
	}
	r.sent += uint64(len(data))
	return len(data), nil
}

// Flush implements ReplyWriter.
func (r *streamReply) Flush() error {
	return r.recordError(r.stream.writer.Flush())
}

// Fail implements ReplyWriter.
func (r *streamReply) Fail(reason string) {
	r.failure = reason
}

// finish sends the end frame and, if the server is shutting down, the go-away
// frame. It marks the call as done.
func (r *streamReply) finish() (err error) {
	st := r.stream
	st.mutex.Lock()
	defer st.mutex.Unlock()
	defer close(r.call.done)
	if r.err != nil {
		return r.err
	}
	end := &wire.BodyEnd{Length: r.sent, Error: r.failure}
	if err = r.recordError(st.writer.Message(wire.TypeEnd, r.call.id, end)); err != nil {
		return err
	}
	if st.session.server.stopping() {
		_ = st.writer.Empty(wire.TypeCancel, 0)
	}
	return r.Flush()
}

func (r *streamReply) recordError(err error) error {
	if r.err == nil {
		r.err = err
	}
	return err
}
