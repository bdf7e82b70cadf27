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

// reasonCut says that an answer broke off.
const reasonCut = "answer-cut"

// heldAnswer is the longest answer to an idempotent request that is read whole
// before it counts as one, so that a cut one can be asked for again, in bytes.
const heldAnswer = 64 << 10

// hold reads a short answer whole.
func (a *Response) hold() (err error) {
	length := a.Head.GetBodyLength()
	if length <= 0 || length > heldAnswer {
		return nil
	}
	data := make([]byte, length)
	err = readWhole(a.Body, data)
	if closeErr := a.Body.Close(); err == nil {
		err = closeErr
	}
	a.Body = io.NopCloser(bytes.NewReader(data))
	return err
}

// answerBody ends the request's context once the answer is done with.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (a *answerBody) Close() error {
	defer a.cancel()
	return a.ReadCloser.Close()
}

// flightBody tells the picker how the answer ended.
type flightBody struct {
	io.ReadCloser
	flight  pick.Attempt
	outcome pick.Outcome
	// picker is told the bytes that crossed the link; nil within the region.
	picker *pick.Picker
	once   sync.Once
}

// Read implements io.Reader.
func (f *flightBody) Read(data []byte) (n int, err error) {
	n, err = f.ReadCloser.Read(data)
	if f.picker != nil && n > 0 {
		f.picker.SpendLinkBudget(n)
	}
	if err != nil {
		f.outcome.Failed = !errors.Is(err, io.EOF)
		f.end()
	}
	return n, err
}

// Close implements io.Closer.
func (f *flightBody) Close() error {
	defer f.end()
	return f.ReadCloser.Close()
}

func (f *flightBody) end() {
	f.once.Do(func() { f.flight.End(time.Now(), f.outcome) })
}
