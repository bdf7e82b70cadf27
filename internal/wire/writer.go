package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"
)

// flushThreshold is the number of buffered bytes at which a writer flushes. It
// limits how long other streams of a session wait for one flush.
const flushThreshold = 16 << 10

// maxWriteSize limits one write to the stream, in bytes. Each write becomes one
// yamux frame, and a reader waits for the whole frame even past its deadline.
const maxWriteSize = 4 << 10

var writeBufferPool = sync.Pool{New: func() any { return new([]byte) }}

// Writer encodes frames onto a stream. It buffers frames until Flush is called or
// flushThreshold is reached. It is not safe for concurrent use.
type Writer struct {
	stream io.Writer
	// buffer holds complete frames not yet written; nil if there are none.
	buffer *[]byte
	// hasWritten is true once any byte may have been sent.
	hasWritten bool
}

// NewWriter returns a writer to the stream.
func NewWriter(stream io.Writer) *Writer {
	return &Writer{stream: stream}
}

// HasWritten reports whether any byte was handed to the stream since ResetWritten.
func (w *Writer) HasWritten() bool {
	return w.hasWritten
}

// ResetWritten makes HasWritten return false until the next write.
func (w *Writer) ResetWritten() {
	w.hasWritten = false
}

// Message appends a frame with the message as its payload.
func (w *Writer) Message(t FrameType, call uint64, message proto.Message) (err error) {
	size := proto.Size(message)
	if limit, _ := t.maxPayload(); size > limit {
		return fmt.Errorf("%s frame of %d bytes exceeds limit of %d: %w", t, size, limit, ErrTooLarge)
	}
	buffer := w.acquireBuffer()
	data := appendHeader(*buffer, t, 0, call, size)
	data, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, message)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	*buffer = data
	return w.flushIfFull()
}

// Data appends data frames with the body bytes.
func (w *Writer) Data(call uint64, body []byte) (err error) {
	for len(body) > 0 {
		part := body[:min(len(body), flushThreshold)]
		body = body[len(part):]
		buffer := w.acquireBuffer()
		*buffer = append(appendHeader(*buffer, TypeData, 0, call, len(part)), part...)
		if err = w.flushIfFull(); err != nil {
			return err
		}
	}
	return nil
}

// Empty appends a frame without a payload.
func (w *Writer) Empty(t FrameType, call uint64) (err error) {
	buffer := w.acquireBuffer()
	*buffer = appendHeader(*buffer, t, 0, call, 0)
	return w.flushIfFull()
}

// Control appends a frame with the control message, compressed if that makes it
// smaller.
func (w *Writer) Control(message *Control) (err error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(payload) > MaxDecompressedControl {
		return fmt.Errorf("control message of %d bytes exceeds limit of %d: %w", len(payload), MaxDecompressedControl, ErrTooLarge)
	}
	flags := byte(0)
	if len(payload) > CompressThreshold {
		if compressed := compress(payload); len(compressed) < len(payload) {
			payload, flags = compressed, flagCompressed
		}
	}
	if len(payload) > MaxControl {
		return fmt.Errorf("compressed control message of %d bytes exceeds limit of %d: %w", len(payload), MaxControl, ErrTooLarge)
	}
	buffer := w.acquireBuffer()
	*buffer = append(appendHeader(*buffer, TypeControl, flags, 0, len(payload)), payload...)
	return w.flushIfFull()
}

// Flush writes the buffered frames to the stream.
func (w *Writer) Flush() (err error) {
	if w.buffer == nil {
		return nil
	}
	buffer := w.buffer
	w.buffer = nil
	defer func() {
		if cap(*buffer) <= maxPooledPayload {
			*buffer = (*buffer)[:0]
			writeBufferPool.Put(buffer)
		}
	}()
	data := *buffer
	w.hasWritten = true
	for len(data) > 0 {
		part := data[:min(len(data), maxWriteSize)]
		if _, err = w.stream.Write(part); err != nil {
			return err
		}
		data = data[len(part):]
	}
	return nil
}

// Discard drops the buffered frames.
func (w *Writer) Discard() {
	w.buffer = nil
}

func (w *Writer) acquireBuffer() *[]byte {
	if w.buffer == nil {
		w.buffer = writeBufferPool.Get().(*[]byte)
		*w.buffer = (*w.buffer)[:0]
	}
	return w.buffer
}

func (w *Writer) flushIfFull() error {
	if len(*w.buffer) < flushThreshold {
		return nil
	}
	return w.Flush()
}

func appendHeader(data []byte, t FrameType, flags byte, call uint64, length int) []byte {
	data = append(data, byte(t)|flags)
	data = binary.AppendUvarint(data, call)
	return binary.AppendUvarint(data, uint64(length))
}
