package delta_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/delta"
)

// document returns a document of that many lines, of which one says what.
func document(lines int, what string) []byte {
	var b bytes.Buffer
	for i := range lines {
		fmt.Fprintf(&b, `{"name":"rule-%d","prefix":"/path%d/","service":"s%d"}`, i, i*7919, i%13)
	}
	b.WriteString(what)
	return b.Bytes()
}

func TestPackedDocumentsComeBack(t *testing.T) {
	tests := []struct {
		name string
		data []byte
		base []byte
		// largest bounds the packing, in bytes.
		largest int
	}{
		{name: "empty", data: []byte{}, largest: 32},
		{name: "without a base", data: document(300, "a"), largest: 8 << 10},
		{name: "small change", data: document(300, "b"), base: document(300, "a"), largest: 200},
		{name: "large document", data: document(20000, "b"), base: document(20000, "a"), largest: 16 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			packed, err := delta.Compress(tt.data, tt.base)
			assert.NilError(t, err)
			assert.Assert(t, len(packed) <= tt.largest, "%d bytes", len(packed))
			got, err := delta.Decompress(packed, tt.base)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, tt.data))
		})
	}
}

func TestAnotherBaseIsAnError(t *testing.T) {
	packed, err := delta.Compress(document(300, "b"), document(300, "a"))
	assert.NilError(t, err)
	_, err = delta.Decompress(packed, nil)
	assert.Assert(t, err != nil)
}
