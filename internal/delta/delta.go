// Package delta compresses a document with an earlier version of it as the
// dictionary, so that a small change takes only a few bytes on the link.
package delta

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID is the zstd dictionary ID of documents compressed against an
	// earlier version.
	dictionaryID = 1
	// maxDocumentSize limits the compression window, and decompression to twice
	// this size, in bytes.
	maxDocumentSize = 8 << 20
	// minWindowSize is the smallest compression window used, in bytes.
	minWindowSize = 64 << 10
)

// Compress compresses data with base as the dictionary. An empty base means no
// dictionary.
func Compress(data, base []byte) (compressed []byte, err error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowSize(len(data) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("compress document: %w", err)
	}
	compressed = encoder.EncodeAll(data, nil)
	return compressed, encoder.Close()
}

// windowSize returns the smallest window size, a power of two, that holds size
// bytes, within the limits.
func windowSize(size int) (window int) {
	for window = minWindowSize; window < size && window < maxDocumentSize; {
		window *= 2
	}
	return window
}

// Decompress restores data that was compressed with the same base.
func Decompress(compressed, base []byte) (data []byte, err error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(2 * maxDocumentSize)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	defer decoder.Close()
	if data, err = decoder.DecodeAll(compressed, nil); err != nil {
		return nil, fmt.Errorf("decompress document: %w", err)
	}
	return data, nil
}
