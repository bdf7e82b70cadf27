package wire

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// windowSize limits the memory of an encoder, in bytes.
	windowSize = 128 << 10
	// codecConcurrency limits how many messages are compressed at the same time,
	// and how many are decompressed.
	codecConcurrency = 2
)

// Both are safe for concurrent use. They allocate their tables on first use.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(codecConcurrency),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowSize),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err)
	}
	return e
}

func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(codecConcurrency),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxDecompressedControl))
	if err != nil {
		panic(err)
	}
	return d
}

func compress(plain []byte) []byte {
	return encoder.EncodeAll(plain, nil)
}

func decompress(compressed []byte) (plain []byte, err error) {
	plain, err = decoder.DecodeAll(compressed, nil)
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded), errors.Is(err, zstd.ErrWindowSizeExceeded):
		return nil, fmt.Errorf("decompressed control message exceeds %d bytes: %w", MaxDecompressedControl, ErrTooLarge)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return plain, nil
}
