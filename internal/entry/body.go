package entry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// bodyTooLargeError means that a streamed body exceeds its limit.
type bodyTooLargeError struct{}

// Error implements error.
func (*bodyTooLargeError) Error() string {
	return "request body exceeds its limit"
}

// limitedBody returns an error if the source has more bytes than remaining.
type limitedBody struct {
	source    io.Reader
	remaining int64
	// onEOF is called once at the end of the body.
	onEOF func()
}

// Read implements io.Reader.
func (l *limitedBody) Read(data []byte) (n int, err error) {
	n, err = l.source.Read(data)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, &bodyTooLargeError{}
	}
	if errors.Is(err, io.EOF) && l.onEOF != nil {
		l.onEOF()
		l.onEOF = nil
	}
	return n, err
}

// newAttemptBody returns the body for one attempt: the buffered part, then the
// rest, if any.
func newAttemptBody(buffered []byte, rest io.Reader) io.Reader {
	if rest == nil {
		return bytes.NewReader(buffered)
	}
	return io.MultiReader(bytes.NewReader(buffered), rest)
}

// readUpTo reads at most size bytes, fewer if the source ends before.
func readUpTo(source io.Reader, size int64) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read request body: %w", err)
		}
	}()
	data = make([]byte, 0, min(size, 4<<10))
	if size <= MaxBufferedBody {
		data = make([]byte, 0, size)
	}
	for int64(len(data)) < size {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, readErr := source.Read(data[len(data):min(int64(cap(data)), size)])
		data = data[:len(data)+n]
		if errors.Is(readErr, io.EOF) {
			return data, nil
		}
		if readErr != nil {
			return data, readErr
		}
	}
	return data, nil
}
