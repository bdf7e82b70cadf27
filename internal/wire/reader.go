package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"
)

const (
	readBufferSize = 4 << 10
	// keepPayload is the largest payload buffer that goes back to the pool.
	keepPayload = 64 << 10
)

var (
	readBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	payloads    = sync.Pool{New: func() any { return new([]byte) }}
)

// Reader decodes frames from a stream. It belongs to one goroutine at a time.
type Reader struct {
	buffer *bufio.Reader
	// left counts the bytes of the current frame's payload not yet read.
	left int
}

// NewReader returns a reader of the stream. Release gives its buffer back.
func NewReader(stream io.Reader) *Reader {
	buffer := readBuffers.Get().(*bufio.Reader)
	buffer.Reset(stream)
	return &Reader{buffer: buffer}
}

// Release gives the buffer back; the reader must not be used any more.
func (r *Reader) Release() {
	if r.buffer == nil {
		return
	}
	r.buffer.Reset(nil)
	readBuffers.Put(r.buffer)
	r.buffer = nil
}

// Buffered returns the number of bytes that were received and not yet decoded.
func (r *Reader) Buffered() int {
	return r.buffer.Buffered()
}

// Next decodes the header of the next frame, skipping what is left of the
// current one. It returns io.EOF only between two frames.
func (r *Reader) Next() (header FrameHeader, err error) {
	if r.left > 0 {
		if _, err = r.buffer.Discard(r.left); err != nil {
			return header, cut(err)
		}
		r.left = 0
	}
	first, err := r.buffer.ReadByte()
	if err != nil {
		return header, err
	}
	header.Type = FrameType(first & typeMask)
	header.Compressed = first&flagCompressed != 0
	limit, known := header.Type.limit()
	if !known || first&^(typeMask|flagCompressed) != 0 || header.Compressed && header.Type != TypeControl {
		return header, fmt.Errorf("first byte %#x: %w", first, ErrMalformed)
	}
	if header.Call, err = r.uvarint(); err != nil {
		return header, err
	}
	length, err := r.uvarint()
	if err != nil {
		return header, err
	}
	if length > uint64(limit) {
		return header, fmt.Errorf("%s of %d bytes exceeds %d: %w", header.Type, length, limit, ErrTooLarge)
	}
	header.Length = int(length)
	r.left = header.Length
	return header, nil
}

// Read reads from the current frame's payload and returns io.EOF at its end.
func (r *Reader) Read(data []byte) (n int, err error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err = r.buffer.Read(data[:min(len(data), r.left)])
	r.left -= n
	if n > 0 {
		return n, nil
	}
	return 0, cut(err)
}

// Message decodes the current frame's payload into the message.
func (r *Reader) Message(message proto.Message) (err error) {
	payload := payloads.Get().(*[]byte)
	defer releasePayload(payload)
	if err = r.payload(payload); err != nil {
		return err
	}
	if err = proto.Unmarshal(*payload, message); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// Control decodes the payload of a control frame with that header.
func (r *Reader) Control(header FrameHeader) (message *Control, err error) {
	payload := payloads.Get().(*[]byte)
	defer releasePayload(payload)
	if err = r.payload(payload); err != nil {
		return nil, err
	}
	data := *payload
	if header.Compressed {
		if data, err = decompress(data); err != nil {
			return nil, err
		}
	}
	message = &Control{}
	if err = proto.Unmarshal(data, message); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return message, nil
}

// payload reads the whole rest of the current frame. The buffer grows only as
// bytes arrive, so that a length alone claims no memory.
func (r *Reader) payload(buffer *[]byte) (err error) {
	data := (*buffer)[:0]
	for r.left > 0 {
		step := min(r.left, readBufferSize+len(data))
		start := len(data)
		data = append(data, make([]byte, step)...)
		n, readErr := io.ReadFull(r.buffer, data[start:])
		r.left -= n
		if readErr != nil {
			return cut(readErr)
		}
	}
	*buffer = data
	return nil
}

// uvarint reads a variable-length number; an end within it is unexpected.
func (r *Reader) uvarint() (value uint64, err error) {
	for shift := 0; shift < 64; shift += 7 {
		next, readErr := r.buffer.ReadByte()
		if readErr != nil {
			return 0, cut(readErr)
		}
		value |= uint64(next&0x7f) << shift
		if next < 0x80 {
			if shift == 63 && next > 1 {
				break
			}
			return value, nil
		}
	}
	return 0, fmt.Errorf("number exceeds 64 bits: %w", ErrMalformed)
}

func cut(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func releasePayload(payload *[]byte) {
	if cap(*payload) <= keepPayload {
		payloads.Put(payload)
	}
}
