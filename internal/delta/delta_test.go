package delta_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/delta"
)

// testDocument returns a document of the given number of rules, followed by the
// suffix.
func testDocument(lines int, suffix string) []byte {
	var b bytes.Buffer
	for i := range lines {
		fmt.Fprintf(&b, `{"name":"rule-%d","prefix":"/path%d/","service":"s%d"}`, i, i*7919, i%13)
	}
	b.WriteString(suffix)
	return b.Bytes()
}

func TestDocumentsRoundTrip(t *testing.T) {
	tests := []struct {
		name string
		data []byte
		base []byte
		// maxSize limits the compressed size, in bytes.
		maxSize int
	}{
		{name: "empty", data: []byte{}, maxSize: 32},
		{name: "without a base", data: testDocument(300, "a"), maxSize: 8 << 10},
		{name: "small change", data: testDocument(300, "b"), base: testDocument(300, "a"), maxSize: 200},
		{name: "large document", data: testDocument(20000, "b"), base: testDocument(20000, "a"), maxSize: 16 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			compressed, err := delta.Compress(tt.data, tt.base)
			assert.NilError(t, err)
			assert.Assert(t, len(compressed) <= tt.maxSize, "%d bytes", len(compressed))
			got, err := delta.Decompress(compressed, tt.base)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, tt.data))
		})
	}
}

func TestDecompressWithWrongBaseFails(t *testing.T) {
	compressed, err := delta.Compress(testDocument(300, "b"), testDocument(300, "a"))
	assert.NilError(t, err)
	_, err = delta.Decompress(compressed, nil)
	assert.Assert(t, err != nil)
}
