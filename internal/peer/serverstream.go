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

// replyGrace is how long after its deadline a call may still send its answer.
const replyGrace = time.Second

// inStream is the answering end of one stream. One goroutine reads it, so that
// the end of the caller is noticed while a call runs.
type inStream struct {
	session *inSession
	mux     *yamux.Stream
	reader  *wire.Reader
	// received counts the bytes read before control was set.
	received uint64
	// control is set once the stream is known to carry control messages.
	control *ControlStream

	// mutex guards the writer between calls.
	mutex  sync.Mutex
	writer *wire.Writer
	// current is the call in progress; nil between calls.
	current *inCall
}

// inCall is one call in progress.
type inCall struct {
	id     uint64
	body   pipe
	cancel context.CancelFunc
	// done is closed once the answer was sent.
	done chan struct{}
}

func (st *inStream) run() {
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
	st.register()
	defer st.unregister()
	defer st.abandon()
	for err == nil {
		if err = st.take(header); err == nil {
			header, err = st.reader.Next()
		}
	}
}

// take handles one frame of a stream that carries calls.
func (st *inStream) take(header wire.FrameHeader) (err error) {
	if header.Type == wire.TypeHead {
		return st.begin(header)
	}
	call := st.current
	if call == nil || call.id != header.Call {
		return errCrossed
	}
	switch header.Type {
	case wire.TypeData:
		return call.body.fill(st.reader, header.Length)
	case wire.TypeEnd:
		err = checkEnd(st.reader, call.body.total())
		call.body.end(err)
		if call.body.total() > shrinkAbove {
			st.mux.Shrink()
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		return err
	default:
		return fmt.Errorf("%s in a call: %w", header.Type, wire.ErrUnexpected)
	}
}

// begin starts a call once the one before has sent its answer.
func (st *inStream) begin(header wire.FrameHeader) (err error) {
	if st.current != nil {
		<-st.current.done
		st.current.cancel()
	}
	head := &wire.CallHead{}
	if err = st.reader.Message(head); err != nil {
		return err
	}
	ctx, cancel := st.context(head)
	call := &inCall{id: header.Call, cancel: cancel, done: make(chan struct{})}
	st.mutex.Lock()
	st.current = call
	st.mutex.Unlock()
	if reason := st.session.enter(call); reason != "" {
		return st.refuse(call, reason)
	}
	go st.serve(ctx, call, head)
	return nil
}

func (st *inStream) context(head *wire.CallHead) (ctx context.Context, cancel context.CancelFunc) {
	if head.GetRemainingMicros() <= 0 {
		_ = st.mux.SetWriteDeadline(time.Time{})
		return context.WithCancel(st.session.ctx)
	}
	left := time.Duration(head.GetRemainingMicros()) * time.Microsecond
	deadline := time.Now().Add(left)
	_ = st.mux.SetWriteDeadline(deadline.Add(replyGrace))
	return context.WithDeadline(st.session.ctx, deadline)
}

// refuse answers that the call was not run.
func (st *inStream) refuse(call *inCall, reason string) error {
	_ = call.body.Close()
	r := replier{stream: st, call: call}
	_ = r.WriteHead(&wire.ReplyHead{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: reason})
	return r.finish()
}

func (st *inStream) serve(ctx context.Context, call *inCall, head *wire.CallHead) {
	defer st.session.leave(call)
	if head.GetBodyLength() != 0 {
		stop := context.AfterFunc(ctx, func() { call.body.end(ctx.Err()) })
		defer stop()
	}
	r := replier{stream: st, call: call}
	st.session.server.CallHandler.ServeCall(ctx, &Call{Head: head, Body: &call.body}, &r)
	_ = call.body.Close()
	if !r.opened {
		_ = r.WriteHead(&wire.ReplyHead{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: ReasonNoHandler})
	}
	if r.finish() != nil {
		_ = st.mux.Close()
	}
}

// abandon ends the call in progress, since the caller is gone.
func (st *inStream) abandon() {
	if st.current == nil {
		return
	}
	st.current.body.end(io.ErrUnexpectedEOF)
	st.current.cancel()
	_ = st.mux.SetWriteDeadline(past)
	<-st.current.done
}

// sayGoodbye tells the caller to send no more calls here; a call in progress
// does so at its end.
func (st *inStream) sayGoodbye() {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if st.current != nil {
		select {
		case <-st.current.done:
		default:
			return
		}
	}
	st.writeGoodbye()
}

func (st *inStream) writeGoodbye() {
	_ = st.mux.SetWriteDeadline(time.Now().Add(replyGrace))
	if st.writer.Empty(wire.TypeCancel, 0) == nil {
		_ = st.writer.Flush()
	}
}

func (st *inStream) register() {
	st.session.mutex.Lock()
	defer st.session.mutex.Unlock()
	st.session.streams[st] = struct{}{}
}

func (st *inStream) unregister() {
	st.session.mutex.Lock()
	defer st.session.mutex.Unlock()
	delete(st.session.streams, st)
}

func (st *inStream) serveControl(header wire.FrameHeader) {
	first, err := st.reader.Control(header)
	if err != nil || st.session.server.ControlHandler == nil {
		return
	}
	shared := &st.session.server.control
	c := newControl(st.mux, addrOf(st.session.conn.RemoteAddr()), shared, func() {})
	c.first = first
	c.reader = st.reader
	c.bytes.received.Add(st.received)
	shared.received.Add(st.received)
	st.control = c
	st.session.server.ControlHandler.ServeControl(c)
	c.Close()
	<-c.done
}

// Read implements io.Reader over the stream's bytes, for the frame decoder.
func (st *inStream) Read(data []byte) (n int, err error) {
	if st.control != nil {
		return st.control.Read(data)
	}
	n, err = st.mux.Read(data)
	st.received += uint64(n)
	return n, err
}

// replier sends the answer to one call.
type replier struct {
	stream *inStream
	call   *inCall
	opened bool
	sent   uint64
	// failure is why the body is cut; empty while it is whole.
	failure string
	// err is the first error of the stream.
	err error
}

// WriteHead implements ReplyWriter.
func (r *replier) WriteHead(head *wire.ReplyHead) error {
	r.opened = true
	return r.keep(r.stream.writer.Message(wire.TypeReply, r.call.id, head))
}

// Write implements ReplyWriter.
func (r *replier) Write(data []byte) (n int, err error) {
	if err = r.keep(r.stream.writer.Data(r.call.id, data)); err != nil {
		return 0, err
	}
	r.sent += uint64(len(data))
	return len(data), nil
}

// Flush implements ReplyWriter.
func (r *replier) Flush() error {
	return r.keep(r.stream.writer.Flush())
}

// Fail implements ReplyWriter.
func (r *replier) Fail(reason string) {
	r.failure = reason
}

// finish sends the end of the body and, from a stopping server, the goodbye.
// The call is done afterwards.
func (r *replier) finish() (err error) {
	st := r.stream
	st.mutex.Lock()
	defer st.mutex.Unlock()
	defer close(r.call.done)
	if r.err != nil {
		return r.err
	}
	end := &wire.BodyEnd{Length: r.sent, Error: r.failure}
	if err = r.keep(st.writer.Message(wire.TypeEnd, r.call.id, end)); err != nil {
		return err
	}
	if st.session.server.stopping() {
		_ = st.writer.Empty(wire.TypeCancel, 0)
	}
	return r.Flush()
}

func (r *replier) keep(err error) error {
	if r.err == nil {
		r.err = err
	}
	return err
}
