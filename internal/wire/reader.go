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
	// maxPooledPayload is the largest buffer that is returned to a pool, in bytes.
	maxPooledPayload = 64 << 10
)

var (
	readBufferPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}
	payloadPool    = sync.Pool{New: func() any { return new([]byte) }}
)

// Reader decodes frames from a stream. It is not safe for concurrent use.
type Reader struct {
	buffer *bufio.Reader
	// remaining is the number of unread payload bytes of the current frame.
	remaining int
}

// NewReader returns a reader of the stream. Release must be called after use.
func NewReader(stream io.Reader) *Reader {
	buffer := readBufferPool.Get().(*bufio.Reader)
	buffer.Reset(stream)
	return &Reader{buffer: buffer}
}

// Release returns the buffer to its pool. The reader must not be used afterwards.
func (r *Reader) Release() {
	if r.buffer == nil {
		return
	}
	r.buffer.Reset(nil)
	readBufferPool.Put(r.buffer)
	r.buffer = nil
}

// Buffered returns the number of bytes received but not yet decoded.
func (r *Reader) Buffered() int {
	return r.buffer.Buffered()
}

// Next skips the rest of the current frame and decodes the header of the next
// one. It returns io.EOF only if the stream ends between two frames.
func (r *Reader) Next() (header FrameHeader, err error) {
	if r.remaining > 0 {
		if _, err = r.buffer.Discard(r.remaining); err != nil {
			return header, unexpectedEOF(err)
		}
		r.remaining = 0
	}
	first, err := r.buffer.ReadByte()
	if err != nil {
		return header, err
	}
	header.Type = FrameType(first & typeMask)
	header.Compressed = first&flagCompressed != 0
	limit, known := header.Type.maxPayload()
	if !known || first&^(typeMask|flagCompressed) != 0 || header.Compressed && header.Type != TypeControl {
		return header, fmt.Errorf("invalid type or flags %#x: %w", first, ErrMalformed)
	}
	if header.Call, err = r.readUvarint(); err != nil {
		return header, err
	}
	length, err := r.readUvarint()
	if err != nil {
		return header, err
	}
	if length > uint64(limit) {
		return header, fmt.Errorf("%s frame of %d bytes exceeds limit of %d: %w", header.Type, length, limit, ErrTooLarge)
	}
	header.Length = int(length)
	r.remaining = header.Length
	return header, nil
}

// Read reads from the current frame's payload and returns io.EOF at its end.
func (r *Reader) Read(data []byte) (n int, err error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n, err = r.buffer.Read(data[:min(len(data), r.remaining)])
	r.remaining -= n
	if n > 0 {
		return n, nil
	}
	return 0, unexpectedEOF(err)
}

// Message decodes the current frame's payload into the message.
func (r *Reader) Message(message proto.Message) (err error) {
	payload := payloadPool.Get().(*[]byte)
	defer recyclePayload(payload)
	if err = r.readPayload(payload); err != nil {
		return err
	}
	if err = proto.Unmarshal(*payload, message); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// Control decodes the payload of the current control frame, given its header.
func (r *Reader) Control(header FrameHeader) (message *Control, err error) {
	payload := payloadPool.Get().(*[]byte)
	defer recyclePayload(payload)
	if err = r.readPayload(payload); err != nil {
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

// readPayload reads the rest of the current frame into the buffer. The buffer
// grows only as bytes arrive, so that a header with a large length does not
// allocate memory by itself.
func (r *Reader) readPayload(buffer *[]byte) (err error) {
	data := (*buffer)[:0]
	for r.remaining > 0 {
		step := min(r.remaining, readBufferSize+len(data))
		start := len(data)
		data = append(data, make([]byte, step)...)
		n, readErr := io.ReadFull(r.buffer, data[start:])
		r.remaining -= n
		if readErr != nil {
			return unexpectedEOF(readErr)
		}
	}
	*buffer = data
	return nil
}

// readUvarint reads an unsigned varint. It returns io.ErrUnexpectedEOF if the
// stream ends before or within it.
func (r *Reader) readUvarint() (value uint64, err error) {
	for shift := 0; shift < 64; shift += 7 {
		next, readErr := r.buffer.ReadByte()
		if readErr != nil {
			return 0, unexpectedEOF(readErr)
		}
		value |= uint64(next&0x7f) << shift
		if next < 0x80 {
			if shift == 63 && next > 1 {
				break
			}
			return value, nil
		}
	}
	return 0, fmt.Errorf("varint exceeds 64 bits: %w", ErrMalformed)
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func recyclePayload(payload *[]byte) {
	if cap(*payload) <= maxPooledPayload {
		payloadPool.Put(payload)
	}
}
