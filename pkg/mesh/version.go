package mesh

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Version is the number of an accepted configuration. Each accepted change raises
// it; zero means that there is none.
type Version uint64

// ChangeID identifies a change of the configuration. The submitting client chooses
// it, so that a repeated submission of the same change is recognised.
type ChangeID string

// Digest is the SHA-256 digest of a canonical encoding.
type Digest [sha256.Size]byte

// DigestOf returns the digest of the data.
func DigestOf(data []byte) Digest {
	return sha256.Sum256(data)
}

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() (text []byte, err error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) (err error) {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("digest has %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err = hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("decode digest: %w", err)
	}
	return nil
}

// Stamp is the version stamp of a record that a host publishes about itself.
type Stamp struct {
	// Incarnation increases each time that the node's process starts.
	Incarnation uint64
	// Sequence increases with each record of the same incarnation.
	Sequence uint64
}

// After reports whether s is later than t. Both must come from the same host.
func (s Stamp) After(t Stamp) bool {
	if s.Incarnation != t.Incarnation {
		return s.Incarnation > t.Incarnation
	}
	return s.Sequence > t.Sequence
}
