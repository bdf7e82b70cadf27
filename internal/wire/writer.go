package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"
)

// flushAbove is the size in bytes at which a writer stops collecting frames.
// It bounds how long other streams of a session wait for one write.
const flushAbove = 16 << 10

// writePart is the most that one write takes, in bytes. A session's frame holds
// as much, and whoever reads it waits for all of it, also past its deadline.
const writePart = 4 << 10

var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Writer encodes frames onto a stream. Frames are collected until Flush, or
// until enough of them wait. It belongs to one goroutine at a time.
type Writer struct {
	stream io.Writer
	// buffer holds whole frames not yet written; nil when there are none.
	buffer *[]byte
	// started is true once a byte may have left.
	started bool
}

// NewWriter returns a writer to the stream.
func NewWriter(stream io.Writer) *Writer {
	return &Writer{stream: stream}
}

// HasWritten reports whether any byte was handed to the stream since ResetWritten.
func (w *Writer) HasWritten() bool {
	return w.started
}

// ResetWritten forgets what was written before.
func (w *Writer) ResetWritten() {
	w.started = false
}

// Message appends a frame with the encoded message.
func (w *Writer) Message(t FrameType, call uint64, message proto.Message) (err error) {
	size := proto.Size(message)
	if limit, _ := t.limit(); size > limit {
		return fmt.Errorf("%s of %d bytes exceeds %d: %w", t, size, limit, ErrTooLarge)
	}
	buffer := w.reserve()
	data := appendHeader(*buffer, t, 0, call, size)
	data, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, message)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	*buffer = data
	return w.flushIfFull()
}

// Data appends the body bytes as data frames.
func (w *Writer) Data(call uint64, body []byte) (err error) {
	for len(body) > 0 {
		part := body[:min(len(body), flushAbove)]
		body = body[len(part):]
		buffer := w.reserve()
		*buffer = append(appendHeader(*buffer, TypeData, 0, call, len(part)), part...)
		if err = w.flushIfFull(); err != nil {
			return err
		}
	}
	return nil
}

// Empty appends a frame without payload.
func (w *Writer) Empty(t FrameType, call uint64) (err error) {
	buffer := w.reserve()
	*buffer = appendHeader(*buffer, t, 0, call, 0)
	return w.flushIfFull()
}

// Control appends a control message, compressed when that makes it smaller.
func (w *Writer) Control(message *Control) (err error) {
	plain, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(plain) > MaxDecompressedControl {
		return fmt.Errorf("control of %d bytes exceeds %d: %w", len(plain), MaxDecompressedControl, ErrTooLarge)
	}
	flags := byte(0)
	if len(plain) > CompressThreshold {
		if packed := compress(plain); len(packed) < len(plain) {
			plain, flags = packed, flagCompressed
		}
	}
	if len(plain) > MaxControl {
		return fmt.Errorf("control of %d bytes exceeds %d: %w", len(plain), MaxControl, ErrTooLarge)
	}
	buffer := w.reserve()
	*buffer = append(appendHeader(*buffer, TypeControl, flags, 0, len(plain)), plain...)
	return w.flushIfFull()
}

// Flush writes what was collected.
func (w *Writer) Flush() (err error) {
	if w.buffer == nil {
		return nil
	}
	buffer := w.buffer
	w.buffer = nil
	defer func() {
		if cap(*buffer) <= keepPayload {
			*buffer = (*buffer)[:0]
			writeBuffers.Put(buffer)
		}
	}()
	data := *buffer
	w.started = true
	for len(data) > 0 {
		part := data[:min(len(data), writePart)]
		if _, err = w.stream.Write(part); err != nil {
			return err
		}
		data = data[len(part):]
	}
	return nil
}

// Discard drops what was collected.
func (w *Writer) Discard() {
	w.buffer = nil
}

func (w *Writer) reserve() *[]byte {
	if w.buffer == nil {
		w.buffer = writeBuffers.Get().(*[]byte)
		*w.buffer = (*w.buffer)[:0]
	}
	return w.buffer
}

func (w *Writer) flushIfFull() error {
	if len(*w.buffer) < flushAbove {
		return nil
	}
	return w.Flush()
}

func appendHeader(data []byte, t FrameType, flags byte, call uint64, length int) []byte {
	data = append(data, byte(t)|flags)
	data = binary.AppendUvarint(data, call)
	return binary.AppendUvarint(data, uint64(length))
}
