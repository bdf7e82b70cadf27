package wire

import (
	"errors"
	"fmt"
)

// FrameType is the kind of a frame.
type FrameType uint8

// The frame types. Head starts a call and Reply starts its reply. Data carries a
// part of a body and End marks the body's end. Cancel cancels a call, or tells the
// client to send no more calls on the stream if its call ID is zero. Control
// carries one control message.
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
	// MaxHead limits the head of a call or reply.
	MaxHead = 256 << 10
	// MaxData limits the payload of one data frame.
	MaxData = 64 << 10
	// MaxEnd limits the payload of an end frame.
	MaxEnd = 4 << 10
	// MaxControl limits an encoded control message, after any compression.
	MaxControl = 4 << 20
	// MaxDecompressedControl limits a control message after decompression.
	MaxDecompressedControl = 16 << 20
	// CompressThreshold is the size above which control messages are compressed.
	CompressThreshold = 256
)

const (
	typeMask       = 0x0f
	flagCompressed = 0x10
)

// Errors for frames that violate the protocol. The stream must be closed.
var (
	// ErrMalformed means that a frame cannot be decoded.
	ErrMalformed = errors.New("malformed frame")
	// ErrTooLarge means that a frame exceeds the size limit of its type.
	ErrTooLarge = errors.New("frame too large")
	// ErrUnexpected means that a frame's type is not allowed at this point of the
	// stream.
	ErrUnexpected = errors.New("unexpected frame")
)

// FrameHeader precedes the payload of every frame.
type FrameHeader struct {
	Type FrameType
	// Compressed is only set on control frames.
	Compressed bool
	// Call is the ID of the call that the frame belongs to; zero on control frames.
	Call uint64
	// Length is the payload size in bytes. It never exceeds the limit of the type.
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

// maxPayload returns the size limit for payloads of the type, and false if there
// is no such type.
func (t FrameType) maxPayload() (size int, known bool) {
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
