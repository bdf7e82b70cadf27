package claims

import (
	"encoding/binary"
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/pkg/once"
)

// formatVersion is the first byte of an encoded shard object.
const formatVersion = 1

// entrySize is the size of an encoded claim in bytes: key hash, token and remaining
// time in milliseconds.
const entrySize = len(once.KeyHash{}) + len(once.Token{}) + 8

// encode encodes the content of a shard object. Remaining times are rounded up, so
// that no claim ends early.
func encode(claims once.Claims) []byte {
	data := make([]byte, 1, 1+len(claims.Entries)*entrySize)
	data[0] = formatVersion
	for _, e := range claims.Entries {
		data = append(data, e.Key[:]...)
		data = append(data, e.Token[:]...)
		data = binary.BigEndian.AppendUint64(data, uint64((e.Remaining+time.Millisecond-1)/time.Millisecond))
	}
	return data
}

// decode decodes and validates the content of a shard object.
func decode(data []byte) (claims once.Claims, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode claims: %w", err)
		}
	}()
	if len(data) == 0 || data[0] != formatVersion || (len(data)-1)%entrySize != 0 {
		return claims, fmt.Errorf("%w: %d bytes", once.ErrMalformedClaims, len(data))
	}
	for rest := data[1:]; len(rest) > 0; rest = rest[entrySize:] {
		var e once.Claim
		n := copy(e.Key[:], rest)
		n += copy(e.Token[:], rest[n:])
		remaining := binary.BigEndian.Uint64(rest[n:])
		if remaining > uint64(maxRemaining/time.Millisecond) {
			return claims, fmt.Errorf("%w: remaining time of %d ms is too long", once.ErrMalformedClaims, remaining)
		}
		e.Remaining = time.Duration(remaining) * time.Millisecond
		claims.Entries = append(claims.Entries, e)
	}
	return claims, claims.Validate()
}

// maxRemaining is the maximum remaining time of a claim.
const maxRemaining = 366 * 24 * time.Hour
