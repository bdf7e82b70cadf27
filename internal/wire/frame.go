package wire

import (
	"errors"
	"fmt"
)

// FrameType says what a frame carries.
type FrameType uint8

// The frame types. Head opens a call, Data and End carry its body, Reply opens
// the answer, Cancel ends a call early and Control carries one control message.
const (
	TypeHead FrameType = iota + 1
	TypeData
	TypeEnd
	TypeReply
	TypeCancel
	TypeControl
)

// Limits of a frame, in bytes.
const (
	// MaxHead bounds a call's or an answer's head.
	MaxHead = 256 << 10
	// MaxData bounds the payload of one data frame.
	MaxData = 64 << 10
	// MaxEnd bounds the end of a body.
	MaxEnd = 4 << 10
	// MaxControl bounds a control message as it travels.
	MaxControl = 4 << 20
	// MaxDecompressedControl bounds a control message after it is decompressed.
	MaxDecompressedControl = 16 << 20
	// CompressThreshold is the size from which control messages are compressed.
	CompressThreshold = 256
)

const (
	typeMask       = 0x0f
	flagCompressed = 0x10
)

// Errors of a frame that breaks the protocol; the stream must be closed.
var (
	// ErrMalformed means that a frame cannot be decoded.
	ErrMalformed = errors.New("malformed frame")
	// ErrTooLarge means that a frame exceeds the limit of its type.
	ErrTooLarge = errors.New("frame too large")
	// ErrUnexpected means that a frame's type has no place there.
	ErrUnexpected = errors.New("unexpected frame")
)

// FrameHeader precedes the payload of every frame.
type FrameHeader struct {
	Type FrameType
	// Compressed is set on control frames only.
	Compressed bool
	// Call tells whose frame it is; zero on control frames.
	Call uint64
	// Length of the payload in bytes, never above the limit of the type.
	Length int
}

// String returns the name of the type.
func (t FrameType) String() string {
	names := [...]string{"none", "head", "data", "end", "reply", "cancel", "control"}
	if int(t) >= len(names) {
		return fmt.Sprintf("type(%d)", uint8(t))
	}
	return names[t]
}

// limit returns the longest payload of the type, and false for no such type.
func (t FrameType) limit() (bytes int, known bool) {
	switch t {
	case TypeHead, TypeReply:
		return MaxHead, true
	case TypeData:
		return MaxData, true
	case TypeEnd:
		return MaxEnd, true
	case TypeCancel:
		return 0, true
	case TypeControl:
		return MaxControl, true
	default:
		return 0, false
	}
}
