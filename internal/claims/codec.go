package claims

import (
	"encoding/binary"
	"fmt"
	"time"

	"arbutusstep.example/arbutusstep/pkg/once"
)

// format is the first byte of an encoded shard object.
const format = 1

// entryBytes is the length of one encoded claim: key, token and the time left
// in milliseconds.
const entryBytes = len(once.KeyHash{}) + len(once.Token{}) + 8

// encode returns the content of a shard object.
func encode(claims once.Claims) []byte {
	data := make([]byte, 1, 1+len(claims.Entries)*entryBytes)
	data[0] = format
	for _, e := range claims.Entries {
		data = append(data, e.Key[:]...)
		data = append(data, e.Token[:]...)
		data = binary.BigEndian.AppendUint64(data, uint64((e.Remaining+time.Millisecond-1)/time.Millisecond))
	}
	return data
}

// decode reads the content of a shard object and checks it.
func decode(data []byte) (claims once.Claims, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode claims: %w", err)
		}
	}()
	if len(data) == 0 || data[0] != format || (len(data)-1)%entryBytes != 0 {
		return claims, fmt.Errorf("%w: %d bytes", once.ErrMalformedClaims, len(data))
	}
	for rest := data[1:]; len(rest) > 0; rest = rest[entryBytes:] {
		var e once.Claim
		n := copy(e.Key[:], rest)
		n += copy(e.Token[:], rest[n:])
		left := binary.BigEndian.Uint64(rest[n:])
		if left > uint64(maxLeft/time.Millisecond) {
			return claims, fmt.Errorf("%w: a claim of %d ms", once.ErrMalformedClaims, left)
		}
		e.Remaining = time.Duration(left) * time.Millisecond
		claims.Entries = append(claims.Entries, e)
	}
	return claims, claims.Validate()
}

// maxLeft bounds the time that a claim may stand.
const maxLeft = 366 * 24 * time.Hour
