package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/pick"
)

// reasonTruncated means that the response body ended early.
const reasonTruncated = "answer-cut"

// maxRetryableResponse is the length in bytes up to which a response to an
// idempotent request is read completely before it is passed on, so that the
// request can be retried if the response is truncated.
const maxRetryableResponse = 64 << 10

// buffer reads the whole body of a short response into memory.
func (r *Response) buffer() (err error) {
	length := r.Head.GetBodyLength()
	if length <= 0 || length > maxRetryableResponse {
		return nil
	}
	data := make([]byte, length)
	err = readFullBody(r.Body, data)
	if closeErr := r.Body.Close(); err == nil {
		err = closeErr
	}
	r.Body = io.NopCloser(bytes.NewReader(data))
	return err
}

// contextBody cancels the context of the request when the body is closed.
type contextBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *contextBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// trackedBody reports to the picker how the response ended.
type trackedBody struct {
	io.ReadCloser
	attempt pick.Attempt
	outcome pick.Outcome
	// picker counts the bytes against the budget of the link between regions; nil
	// within the region.
	picker *pick.Picker
	once   sync.Once
}

// Read implements io.Reader.
func (b *trackedBody) Read(data []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(data)
	if b.picker != nil && n > 0 {
		b.picker.SpendLinkBudget(n)
	}
	if err != nil {
		b.outcome.Failed = !errors.Is(err, io.EOF)
		b.end()
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}

func (b *trackedBody) end() {
	b.once.Do(func() { b.attempt.End(time.Now(), b.outcome) })
}
