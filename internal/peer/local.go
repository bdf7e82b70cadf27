package peer

import (
	"context"
	"errors"
	"io"
	"sync"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// LocalCaller calls the handler of this node directly, without a session.
type LocalCaller struct {
	// Handler must be set before Call is used.
	Handler CallHandler
}

// Call runs the call on the handler. It behaves like Pool.Call.
func (l *LocalCaller) Call(ctx context.Context, call *Call) (reply *Reply, err error) {
	if ctx.Err() != nil {
		return nil, notRunError(ctx, ctx.Err())
	}
	setRemaining(ctx, call.Head, 0)
	ctx, cancel := context.WithCancel(ctx)
	r := &localReply{cancel: cancel, head: make(chan *wire.ReplyHead, 1), done: make(chan struct{})}
	body := call.Body
	if body == nil {
		body = eofReader{}
	}
	go r.serve(ctx, l.Handler, &Call{Head: call.Head, Body: body, Local: true})
	head := <-r.head
	if head.GetOutcome() == wire.Outcome_OUTCOME_ANSWERED {
		return &Reply{Head: head, Body: r}, nil
	}
	_ = r.Close()
	callErr := refusalError(head)
	if callErr.Outcome == Unknown && ctx.Err() != nil {
		callErr.Err = ctx.Err()
	}
	return nil, callErr
}

// localReply carries the reply from the handler's goroutine to the caller's.
type localReply struct {
	pipe
	cancel context.CancelFunc
	// head receives the reply head once. If the handler wrote none, the outcome
	// is unknown.
	head     chan *wire.ReplyHead
	headOnce sync.Once
	// failure is why the body is truncated. Only the handler's goroutine uses it.
	failure string
	done    chan struct{}
}

func (r *localReply) serve(ctx context.Context, handler CallHandler, call *Call) {
	defer close(r.done)
	handler.ServeCall(ctx, call, r)
	_ = r.WriteHead(&wire.ReplyHead{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: ReasonNoHandler})
	if r.failure != "" {
		r.end(&CallError{Outcome: Unknown, Reason: ReasonTruncated, Err: errors.New(r.failure)})
		return
	}
	r.end(io.EOF)
}

// WriteHead implements ReplyWriter.
func (r *localReply) WriteHead(head *wire.ReplyHead) error {
	r.headOnce.Do(func() { r.head <- head })
	return nil
}

// Flush implements ReplyWriter.
func (r *localReply) Flush() error { return nil }

// Fail implements ReplyWriter.
func (r *localReply) Fail(reason string) { r.failure = reason }

// Close cancels the call and waits for its handler, which may still be reading
// the request.
func (r *localReply) Close() error {
	r.cancel()
	_ = r.pipe.Close()
	<-r.done
	return nil
}

// eofReader is an empty body.
type eofReader struct{}

// Read implements io.Reader.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }
