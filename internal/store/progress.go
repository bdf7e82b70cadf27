package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// progressTimer ends a call when nothing of its response has arrived for a time. A
// response may take longer than that as a whole: when many clients list the objects over
// a narrow link at once, ending and repeating all of those calls would keep the link
// busy for ever.
type progressTimer struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	timeout time.Duration
}

func newProgressTimer(ctx context.Context, timeout time.Duration) *progressTimer {
	p := &progressTimer{timeout: timeout}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	p.timer = time.AfterFunc(timeout, func() { p.cancel(context.DeadlineExceeded) })
	return p
}

// stop releases the timer and ends the call if it is still running.
func (p *progressTimer) stop() {
	p.timer.Stop()
	p.cancel(context.Canceled)
}

// extend starts the timer again, unless it has already ended the call.
func (p *progressTimer) extend() {
	if p.timer.Stop() {
		p.timer.Reset(p.timeout)
	}
}

// reader returns a reader of the response that starts the timer again whenever data
// arrives. Its errors tell a timeout.
func (p *progressTimer) reader(source io.Reader) io.Reader {
	return readerFunc(func(data []byte) (n int, err error) {
		n, err = source.Read(data)
		if n > 0 {
			p.extend()
		}
		return n, timeoutCause(p.ctx, err)
	})
}

// timeoutCause returns the error with context.DeadlineExceeded in place of
// context.Canceled if the context ended because of a timeout.
func timeoutCause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	return err
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(data []byte) (n int, err error)

// Read implements io.Reader.
func (f readerFunc) Read(data []byte) (n int, err error) { return f(data) }
