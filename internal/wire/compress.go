package wire

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// windowSize bounds the memory of a coder, in bytes.
	windowSize = 128 << 10
	// coders bounds how many messages are coded at a time, each way.
	coders = 2
)

// Both are safe for concurrent use, and allocate their tables at first use.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(coders),
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
		zstd.WithDecoderConcurrency(coders),
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

func decompress(packed []byte) (plain []byte, err error) {
	plain, err = decoder.DecodeAll(packed, nil)
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded), errors.Is(err, zstd.ErrWindowSizeExceeded):
		return nil, fmt.Errorf("decompressed control exceeds %d bytes: %w", MaxDecompressedControl, ErrTooLarge)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return plain, nil
}
