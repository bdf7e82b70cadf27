package fakeup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// ErrResponseMismatch is the error of an answer that belongs to another request or is
// not whole.
var ErrResponseMismatch = errors.New("answer is not the request's own")

// echo is what an answer repeats of its request.
type echo struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	// Digest is that of the request's body.
	Digest mesh.Digest `json:"digest"`
}

// line returns the first line of the answer.
func (e echo) line() []byte {
	text, err := json.Marshal(e)
	if err != nil {
		// Strings and a digest always have a JSON form.
		panic(err)
	}
	return append(text, '\n')
}

// body returns the whole answer: the line, then that many bytes of filler,
// which depend on the line.
func (e echo) body(filler int64) io.Reader {
	line := e.line()
	pattern := []byte(mesh.DigestOf(line).String())
	return io.MultiReader(bytes.NewReader(line), io.LimitReader(&repeater{pattern: pattern}, filler))
}

// repeater reads its pattern over and over.
type repeater struct {
	// pattern is never empty.
	pattern []byte
	// offset is into pattern.
	offset int
}

// Read implements io.Reader.
func (r *repeater) Read(buffer []byte) (n int, err error) {
	for n < len(buffer) {
		copied := copy(buffer[n:], r.pattern[r.offset:])
		r.offset = (r.offset + copied) % len(r.pattern)
		n += copied
	}
	return n, nil
}

// VerifyResponse reads an answer to its end and reports ErrResponseMismatch unless it is the
// whole answer to the request of that path, key, body and filler.
func VerifyResponse(answer io.Reader, path, key string, body []byte, filler int64) (err error) {
	want := echo{Path: path, Key: key, Digest: mesh.DigestOf(body)}.body(filler)
	got, expected := make([]byte, 32<<10), make([]byte, 32<<10)
	for offset := int64(0); ; {
		n, readErr := io.ReadFull(answer, got)
		m, _ := io.ReadFull(want, expected)
		if !bytes.Equal(got[:n], expected[:m]) {
			return fmt.Errorf("%w: differs after byte %d", ErrResponseMismatch, offset)
		}
		offset += int64(n)
		switch {
		case errors.Is(readErr, io.EOF), errors.Is(readErr, io.ErrUnexpectedEOF) && n < len(got):
			return nil
		case readErr != nil:
			return fmt.Errorf("%w: %w", ErrResponseMismatch, readErr)
		}
	}
}
