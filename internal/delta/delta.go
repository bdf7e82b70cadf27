// Package delta compresses documents against an earlier version of themselves,
// so that a small change is a few bytes on the link.
package delta

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID marks frames that refer to an earlier document.
	dictionaryID = 1
	// maxDocument bounds an unpacked document, in bytes.
	maxDocument = 8 << 20
	// smallestWindow is the least window that the compression takes, in bytes.
	smallestWindow = 64 << 10
)

// Compress compresses data with the base as its dictionary; a nil base is none.
func Compress(data, base []byte) (packed []byte, err error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(window(len(data) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("compress document: %w", err)
	}
	packed = encoder.EncodeAll(data, nil)
	return packed, encoder.Close()
}

// window returns the power of two that holds so many bytes.
func window(size int) (bytes int) {
	for bytes = smallestWindow; bytes < size && bytes < maxDocument; {
		bytes *= 2
	}
	return bytes
}

// Decompress undoes Compress with the same base.
func Decompress(packed, base []byte) (data []byte, err error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(2 * maxDocument)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	defer decoder.Close()
	if data, err = decoder.DecodeAll(packed, nil); err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	return data, nil
}
