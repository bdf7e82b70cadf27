package quota

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// segmentBytes is the size of the buffers in which a body arrives. None is allocated
	// before the one before is full, as an announced length proves nothing.
	segmentBytes = 256 << 10
	// firstSegmentBytes is the size of the first buffer for a body of unknown length.
	firstSegmentBytes = 16 << 10
)

// Body is the body of a request or response in memory. It must not be used concurrently
// while it is read. A nil Body is empty.
type Body struct {
	// memory is nil once the body is released, and for a body that is not counted.
	memory *Memory
	// size is the memory that the body uses in bytes.
	size int64
	// segments are the parts of the body in order, and length is their total length.
	segments [][]byte
	length   int64
}

// NewBody returns a body of the data that counts towards no memory.
func NewBody(data []byte) *Body {
	return &Body{segments: [][]byte{data}, length: int64(len(data))}
}

// Len returns the length in bytes.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// Bytes returns the whole body. It must not be modified.
func (b *Body) Bytes() []byte {
	if b.Len() == 0 {
		return nil
	}
	if len(b.segments) > 1 {
		b.segments = [][]byte{bytes.Join(b.segments, nil)}
	}
	return b.segments[0]
}

// NewReader returns a reader of the whole body. Several readers may be used concurrently.
func (b *Body) NewReader() io.Reader {
	if b.Len() == 0 {
		return bytes.NewReader(nil)
	}
	readers := make([]io.Reader, 0, len(b.segments))
	for _, segment := range b.segments {
		readers = append(readers, bytes.NewReader(segment))
	}
	return io.MultiReader(readers...)
}

// Reserve counts memory for the body, and returns ErrExceeded if there is none.
func (b *Body) Reserve(size int64) (err error) {
	b.memory.mutex.Lock()
	defer b.memory.mutex.Unlock()
	limit := b.memory.effectiveLimit()
	if b.memory.used+size > limit && b.size+size > limit/b.memory.bodies {
		return ErrExceeded
	}
	b.memory.used += size
	b.size += size
	return nil
}

// Release returns the memory of the body. Only the first call has an effect.
func (b *Body) Release() {
	if b == nil || b.memory == nil {
		return
	}
	b.memory.mutex.Lock()
	defer b.memory.mutex.Unlock()
	b.memory.used -= b.size
	b.memory.bodies--
	b.memory, b.segments, b.length = nil, nil, 0
}

// Read reads from the source to its end, at most limit bytes. The announced length may be
// negative, which means unknown; it only determines the size of the buffers.
func (b *Body) Read(source io.Reader, announced, limit int64) (err error) {
	size := int64(firstSegmentBytes)
	if announced >= 0 {
		// One byte more than the length, so that the end is read as well.
		size = min(announced+1, segmentBytes)
	}
	for ; b.length <= limit; size = segmentBytes {
		if err = b.Reserve(size); err != nil {
			return err
		}
		segment, readErr := fill(make([]byte, 0, size), source)
		b.segments = append(b.segments, segment)
		b.length += int64(len(segment))
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
	return &TooLongError{Limit: limit}
}

// fill reads until the segment is full. It returns the error that ended reading before.
func fill(segment []byte, source io.Reader) (filled []byte, err error) {
	for len(segment) < cap(segment) && err == nil {
		var n int
		n, err = source.Read(segment[len(segment):cap(segment)])
		segment = segment[:len(segment)+n]
	}
	return segment, err
}

// TooLongError means that a body is longer than its limit in bytes.
type TooLongError struct{ Limit int64 }

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }
