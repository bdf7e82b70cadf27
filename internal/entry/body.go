package entry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// bodyLimitError says that a streamed body turned out too long.
type bodyLimitError struct{}

// Error implements error.
func (*bodyLimitError) Error() string {
	return "request body exceeds its limit"
}

// limitedBody fails once more bytes come than are left.
type limitedBody struct {
	source io.Reader
	left   int64
	// ended is called once at the end of the body.
	ended func()
}

// Read implements io.Reader.
func (l *limitedBody) Read(data []byte) (n int, err error) {
	n, err = l.source.Read(data)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, &bodyLimitError{}
	}
	if errors.Is(err, io.EOF) && l.ended != nil {
		l.ended()
		l.ended = nil
	}
	return n, err
}

// newBody returns the body of one attempt: what is held, then the rest, if any.
func newBody(held []byte, rest io.Reader) io.Reader {
	if rest == nil {
		return bytes.NewReader(held)
	}
	return io.MultiReader(bytes.NewReader(held), rest)
}

// readUpTo reads until the source ends or that many bytes were read.
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
