package steer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"arbutusstep.example/arbutusstep/internal/peer"
)

const (
	// DefaultBodyMemory is the memory for response bodies if the router has no limit,
	// in bytes.
	DefaultBodyMemory = 32 << 20
	// segmentBytes is the size of the buffers in which a body arrives. None is allocated
	// before the one before is full, as the length that an upstream announces proves
	// nothing.
	segmentBytes = 256 << 10
	// firstSegmentBytes is the size of the first buffer for a body of unknown length.
	firstSegmentBytes = 16 << 10
)

// errBodyMemory means that a response body was dropped because the bodies of all
// requests together need more memory than there is for them.
var errBodyMemory = errors.New("response body exceeds its share of the memory for bodies")

// bodyMemory limits the memory that the response bodies of all requests use together.
// While they exceed the limit, only those that are larger than the average share are
// dropped, so that a body without an end takes nothing from those of ordinary size. The
// zero bodyMemory is ready to use and safe for concurrent use.
type bodyMemory struct {
	mutex sync.Mutex
	// used is the sum of the sizes of all bodies in bytes, and bodies their number;
	// guarded by mutex.
	used   int64
	bodies int64
}

// heldBody is a response body in memory.
type heldBody struct {
	memory *bodyMemory
	limit  int64
	// size is the memory that the body uses in bytes.
	size int64
	// data is the whole body; valid after read.
	data []byte
}

// hold returns an empty body. Its release method must be called once it is not used any
// more. A limit of zero means DefaultBodyMemory.
func (m *bodyMemory) hold(limit int64) *heldBody {
	if limit == 0 {
		limit = DefaultBodyMemory
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.bodies++
	return &heldBody{memory: m, limit: limit}
}

// release returns the memory of the body. Only the first call has an effect.
func (b *heldBody) release() {
	if b.memory == nil {
		return
	}
	b.memory.mutex.Lock()
	defer b.memory.mutex.Unlock()
	b.memory.used -= b.size
	b.memory.bodies--
	b.memory, b.data = nil, nil
}

// newSegment returns a buffer for the next part of the body, or errBodyMemory.
func (b *heldBody) newSegment(size int64) (segment []byte, err error) {
	b.memory.mutex.Lock()
	defer b.memory.mutex.Unlock()
	if b.memory.used+size > b.limit && b.size+size > b.limit/b.memory.bodies {
		return nil, errBodyMemory
	}
	b.memory.used += size
	b.size += size
	return make([]byte, 0, size), nil
}

// read reads the response body to its end. Only a complete read proves that the
// response is not truncated.
func (b *heldBody) read(reply *peer.Reply) (err error) {
	defer func() { _ = reply.Body.Close() }()
	length := reply.Head.GetBodyLength()
	if length > maxResponseBytes {
		return fmt.Errorf("response of %d bytes exceeds the limit of %d", length, maxResponseBytes)
	}
	size := int64(firstSegmentBytes)
	if length >= 0 {
		// One byte more than the length, so that the end is read as well.
		size = min(length+1, segmentBytes)
	}
	var segments [][]byte
	for total := int64(0); total <= maxResponseBytes; size = segmentBytes {
		segment, err := b.newSegment(size)
		if err != nil {
			return err
		}
		segment, err = fill(segment, reply.Body)
		segments = append(segments, segment)
		total += int64(len(segment))
		switch {
		case errors.Is(err, io.EOF):
			b.join(segments)
			return nil
		case err != nil:
			return err
		}
	}
	return fmt.Errorf("response exceeds the limit of %d bytes", maxResponseBytes)
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

// join sets data to the segments, which are not used any more.
func (b *heldBody) join(segments [][]byte) {
	b.data = segments[0]
	if len(segments) > 1 {
		b.data = bytes.Join(segments, nil)
	}
}
