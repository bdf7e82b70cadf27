package wire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

func helloMessage(host string) *Control {
	return &Control{Body: &Control_Hello{Hello: &Hello{Host: host}}}
}

func TestFramesRoundTrip(t *testing.T) {
	tests := []struct {
		name string
		body string
	}{
		{name: "no body"},
		{name: "one data frame", body: "seed"},
		{name: "several data frames", body: strings.Repeat("paper", 20_000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stream bytes.Buffer
			w := NewWriter(&stream)
			head := &CallHead{Customer: "kylvo", Headers: []*Header{{Name: "A", Value: "b"}}}
			assert.NilError(t, w.Message(TypeHead, 7, head))
			assert.NilError(t, w.Data(7, []byte(tt.body)))
			assert.NilError(t, w.Empty(TypeCancel, 1<<63))
			assert.NilError(t, w.Flush())

			r := NewReader(iotest.OneByteReader(&stream))
			defer r.Release()
			header, err := r.Next()
			assert.NilError(t, err)
			assert.Equal(t, header.Type, TypeHead)
			assert.Equal(t, header.Call, uint64(7))
			got := &CallHead{}
			assert.NilError(t, r.Message(got))
			assert.Assert(t, proto.Equal(got, head))
			var body bytes.Buffer
			for {
				header, err = r.Next()
				assert.NilError(t, err)
				if header.Type != TypeData {
					break
				}
				_, err = body.ReadFrom(r)
				assert.NilError(t, err)
			}
			assert.Equal(t, body.String(), tt.body)
			assert.Equal(t, header, FrameHeader{Type: TypeCancel, Call: 1 << 63})
			_, err = r.Next()
			assert.Assert(t, errors.Is(err, io.EOF))
		})
	}
}

func TestNextSkipsUnreadPayload(t *testing.T) {
	var stream bytes.Buffer
	w := NewWriter(&stream)
	assert.NilError(t, w.Data(1, make([]byte, 10_000)))
	assert.NilError(t, w.Empty(TypeCancel, 2))
	assert.NilError(t, w.Flush())
	r := NewReader(&stream)
	for _, want := range []FrameType{TypeData, TypeCancel} {
		header, err := r.Next()
		assert.NilError(t, err)
		assert.Equal(t, header.Type, want)
	}
}

func TestControlIsCompressedIfSmaller(t *testing.T) {
	tests := []struct {
		name       string
		host       string
		compressed bool
	}{
		{name: "short", host: "a"},
		{name: "long and repetitive", host: strings.Repeat("host", 1000), compressed: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stream bytes.Buffer
			w := NewWriter(&stream)
			assert.NilError(t, w.Control(helloMessage(tt.host)))
			assert.NilError(t, w.Flush())
			r := NewReader(&stream)
			header, err := r.Next()
			assert.NilError(t, err)
			assert.Equal(t, header.Compressed, tt.compressed)
			got, err := r.Control(header)
			assert.NilError(t, err)
			assert.Equal(t, got.GetHello().GetHost(), tt.host)
		})
	}
}

func TestWriterRejectsOversizedFrames(t *testing.T) {
	w := NewWriter(io.Discard)
	assert.ErrorIs(t, w.Message(TypeHead, 1, &CallHead{Path: strings.Repeat("x", MaxHead)}), ErrTooLarge)
	assert.ErrorIs(t, w.Message(TypeEnd, 1, &BodyEnd{Error: strings.Repeat("x", MaxEnd)}), ErrTooLarge)
	assert.ErrorIs(t, w.Control(helloMessage(strings.Repeat("x", MaxDecompressedControl))), ErrTooLarge)
	assert.Assert(t, !w.HasWritten())
}

// readAllFrames reads frames from the data until an error, which it returns.
func readAllFrames(data []byte) (err error) {
	r := NewReader(bytes.NewReader(data))
	defer r.Release()
	for {
		header, nextErr := r.Next()
		if nextErr != nil {
			return nextErr
		}
		switch header.Type {
		case TypeHead:
			err = r.Message(&CallHead{})
		case TypeControl:
			_, err = r.Control(header)
		case TypeData:
			_, err = io.Copy(io.Discard, r)
		}
		if err != nil {
			return err
		}
	}
}

// decompressionBomb returns a small control frame that decompresses to more than
// MaxDecompressedControl bytes.
func decompressionBomb() []byte {
	packed := compress(make([]byte, MaxDecompressedControl+1))
	return append(appendHeader(nil, TypeControl, flagCompressed, 0, len(packed)), packed...)
}

var invalidFrames = []struct {
	name string
	data []byte
	want error
}{
	{name: "no data", data: nil, want: io.EOF},
	{name: "unknown type", data: []byte{0x0f, 0, 0}, want: ErrMalformed},
	{name: "type zero", data: []byte{0, 0, 0}, want: ErrMalformed},
	{name: "unknown flag", data: []byte{0x81, 0, 0}, want: ErrMalformed},
	{name: "compressed head", data: []byte{0x11, 0, 0}, want: ErrMalformed},
	{name: "truncated in the call ID", data: []byte{1, 0x80}, want: io.ErrUnexpectedEOF},
	{name: "truncated in the length", data: []byte{1, 1, 0x80}, want: io.ErrUnexpectedEOF},
	{name: "truncated in the payload", data: []byte{1, 1, 5, 1}, want: io.ErrUnexpectedEOF},
	{name: "truncated data frame", data: []byte{2, 1, 5, 1}, want: io.ErrUnexpectedEOF},
	{name: "call ID exceeds 64 bits", data: append([]byte{1}, bytes.Repeat([]byte{0xff}, 12)...), want: ErrMalformed},
	{name: "head too large", data: appendHeader(nil, TypeHead, 0, 1, MaxHead+1), want: ErrTooLarge},
	{name: "data too large", data: appendHeader(nil, TypeData, 0, 1, MaxData+1), want: ErrTooLarge},
	{name: "end too large", data: appendHeader(nil, TypeEnd, 0, 1, MaxEnd+1), want: ErrTooLarge},
	{name: "cancel with payload", data: appendHeader(nil, TypeCancel, 0, 1, 1), want: ErrTooLarge},
	{name: "control too large", data: appendHeader(nil, TypeControl, 0, 0, MaxControl+1), want: ErrTooLarge},
	{name: "head is not protobuf", data: append(appendHeader(nil, TypeHead, 0, 1, 2), 0xff, 0xff), want: ErrMalformed},
	{name: "compressed control is not zstd", data: append(appendHeader(nil, TypeControl, flagCompressed, 0, 2), 1, 2), want: ErrMalformed},
	{name: "decompression bomb", data: decompressionBomb(), want: ErrTooLarge},
}

func TestInvalidFramesReturnTypedErrors(t *testing.T) {
	for _, tt := range invalidFrames {
		t.Run(tt.name, func(t *testing.T) {
			assert.ErrorIs(t, readAllFrames(tt.data), tt.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, tt := range invalidFrames {
		f.Add(tt.data)
	}
	var stream bytes.Buffer
	w := NewWriter(&stream)
	_ = w.Message(TypeHead, 7, &CallHead{Customer: "kylvo"})
	_ = w.Data(7, []byte("body"))
	_ = w.Control(helloMessage(strings.Repeat("host", 100)))
	_ = w.Flush()
	f.Add(stream.Bytes())
	known := []error{io.EOF, io.ErrUnexpectedEOF, ErrMalformed, ErrTooLarge}
	f.Fuzz(func(t *testing.T, data []byte) {
		err := readAllFrames(data)
		for _, k := range known {
			if errors.Is(err, k) {
				return
			}
		}
		t.Fatalf("decoding ended with %v", err)
	})
}

func BenchmarkCallFrames(b *testing.B) {
	head := &CallHead{Customer: "kylvo", Method: "GET", Path: "/stock/1", Headers: []*Header{{Name: "Accept", Value: "*/*"}}}
	body := make([]byte, 2048)
	var stream bytes.Buffer
	b.ReportAllocs()
	for b.Loop() {
		stream.Reset()
		w := NewWriter(&stream)
		_ = w.Message(TypeHead, 7, head)
		_ = w.Data(7, body)
		_ = w.Message(TypeEnd, 7, &BodyEnd{Length: 2048})
		_ = w.Flush()
		assert.ErrorIs(b, readAllFrames(stream.Bytes()), io.EOF)
	}
}
