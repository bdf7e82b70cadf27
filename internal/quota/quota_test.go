package quota_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/quota"
)

// TestBodiesShareTheirMemory guards against a body that takes the memory from all others,
// and against one of ordinary size that is dropped because of it.
func TestBodiesShareTheirMemory(t *testing.T) {
	const limit = 4 << 20
	tests := []struct {
		name string
		// held lists the sizes of the bodies that are in memory already.
		held []int64
		// length is the length of the next body, and announced what is said of it.
		length, announced int64
		want              error
	}{
		{name: "alone", length: limit / 2, announced: limit / 2},
		{name: "alone, of unknown length", length: limit / 2, announced: -1},
		{name: "larger than the memory", length: 2 * limit, announced: 2 * limit, want: quota.ErrExceeded},
		{name: "small one beside a large one", held: []int64{limit}, length: limit / 4, announced: limit / 4},
		{name: "large one beside a large one", held: []int64{limit}, length: limit * 3 / 4, announced: -1, want: quota.ErrExceeded},
		{name: "announces more than it has", held: []int64{limit}, length: 10, announced: 1 << 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			memory := &quota.Memory{}
			memory.SetLimit(limit)
			var held []*quota.Body
			for _, size := range tt.held {
				body := memory.Hold()
				assert.NilError(t, body.Reserve(size))
				held = append(held, body)
			}
			body := memory.Hold()
			data := bytes.Repeat([]byte("data"), int(tt.length)/4+1)[:tt.length]
			err := body.Read(bytes.NewReader(data), tt.announced, 64<<20)
			assert.Assert(t, errors.Is(err, tt.want), "%v", err)
			if tt.want == nil {
				read, readErr := io.ReadAll(body.NewReader())
				assert.NilError(t, readErr)
				assert.Assert(t, bytes.Equal(read, data) && bytes.Equal(body.Bytes(), data))
			}
			for _, b := range append(held, body) {
				b.Release()
				b.Release()
			}
			assert.Equal(t, memory.Used(), int64(0))
		})
	}
}
