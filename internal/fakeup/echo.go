package fakeup

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// ErrResponseMismatch means that a response belongs to another request or is
// incomplete.
var ErrResponseMismatch = errors.New("response does not match the request")

// echo is the part of a response that identifies its request.
type echo struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	// Digest is the digest of the request's body.
	Digest mesh.Digest `json:"digest"`
}

// firstLine returns the first line of the response body, which is the echo as
// JSON.
func (e echo) firstLine() []byte {
	line, err := json.Marshal(e)
	if err != nil {
		// Strings and a digest can always be encoded.
		panic(err)
	}
	return append(line, '\n')
}

// reader returns the response body: the first line, followed by filler bytes that
// repeat the digest of the first line.
func (e echo) reader(filler int64) io.Reader {
	line := e.firstLine()
	pattern := []byte(mesh.DigestOf(line).String())
	return io.MultiReader(bytes.NewReader(line), io.LimitReader(&repeater{pattern: pattern}, filler))
}

// repeater is an endless reader that repeats its pattern.
type repeater struct {
	// pattern is never empty.
	pattern []byte
	// offset is the read position in pattern.
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

// VerifyResponse reads a response body to its end. It fails with
// ErrResponseMismatch unless it is the complete response to the request with the
// given path, key and body and the given number of filler bytes.
func VerifyResponse(response io.Reader, path, key string, body []byte, filler int64) (err error) {
	want := echo{Path: path, Key: key, Digest: mesh.DigestOf(body)}.reader(filler)
	got, expected := make([]byte, 32<<10), make([]byte, 32<<10)
	for offset := int64(0); ; {
		n, readErr := io.ReadFull(response, got)
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
