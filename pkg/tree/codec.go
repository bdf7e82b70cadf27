package tree

import (
	"encoding/binary"
	"errors"
	"fmt"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// chunkFormat is the first byte of the canonical encoding of a chunk. After it
// come the scope and, for each path, the service name below the scope (empty for
// the scope itself), the number of values, and each key and value. Strings are
// prefixed with their length, and all numbers are unsigned varints. The encoding
// of an empty chunk is the format byte alone.
const chunkFormat = 1

var errTruncated = errors.New("data is truncated")

// Encode returns the canonical encoding; equal chunks have equal encodings.
func (c *Chunk) Encode() (data []byte) {
	data = append(data, chunkFormat)
	if c.Empty() {
		return data
	}
	data = appendText(data, string(c.Scope()))
	for rest := c.entries; len(rest) > 0; {
		count := 1
		for count < len(rest) && rest[count].path == rest[0].path {
			count++
		}
		data = appendText(data, string(rest[0].path.Service()))
		data = binary.AppendUvarint(data, uint64(count))
		for _, e := range rest[:count] {
			data = appendText(data, string(e.key))
			data = appendText(data, e.value)
		}
		rest = rest[count:]
	}
	return data
}

func appendText(data []byte, text string) []byte {
	data = binary.AppendUvarint(data, uint64(len(text)))
	return append(data, text...)
}

// DecodeChunk decodes a canonical encoding. Data that decodes but is not
// canonical is an error, since its digest would not match.
func DecodeChunk(data []byte) (chunk *Chunk, err error) {
	defer func() { err = annotate(err, "decode chunk") }()
	if len(data) > MaxChunkBytes {
		return nil, &LimitExceededError{Name: "chunk", Size: len(data), Limit: MaxChunkBytes}
	}
	if len(data) == 0 {
		return nil, errTruncated
	}
	if data[0] != chunkFormat {
		return nil, fmt.Errorf("unknown format %d", data[0])
	}
	if len(data) == 1 {
		return &Chunk{}, nil
	}
	decoder := chunkDecoder{remaining: string(data[1:])}
	entries, err := decoder.entries()
	if err != nil {
		return nil, err
	}
	chunk, err = newChunk(entries)
	if err != nil {
		return nil, err
	}
	if chunk.digest != mesh.DigestOf(data) {
		return nil, errors.New("encoding is not canonical")
	}
	return chunk, nil
}

// chunkDecoder decodes the body of a chunk's encoding.
type chunkDecoder struct {
	// remaining is the part that is not decoded yet.
	remaining string
}

func (d *chunkDecoder) uvarint() (value uint64, err error) {
	for i := 0; i < len(d.remaining) && i < binary.MaxVarintLen64; i++ {
		b := d.remaining[i]
		value |= uint64(b&0x7f) << (7 * i)
		if b < 0x80 {
			d.remaining = d.remaining[i+1:]
			return value, nil
		}
	}
	return 0, errTruncated
}

func (d *chunkDecoder) text() (text string, err error) {
	length, err := d.uvarint()
	if err != nil {
		return "", err
	}
	if length > uint64(len(d.remaining)) {
		return "", errTruncated
	}
	text, d.remaining = d.remaining[:length], d.remaining[length:]
	return text, nil
}

// entries decodes the scope and its values. It rejects values that are malformed
// or not in strictly ascending order.
func (d *chunkDecoder) entries() (entries []entry, err error) {
	scope, err := d.text()
	if err != nil {
		return nil, err
	}
	if path, errPath := ParsePath(scope); errPath != nil || path != Path(scope) || path.Scope() != path {
		return nil, fmt.Errorf("%q is not a scope", scope)
	}
	for len(d.remaining) > 0 {
		path, count, errGroup := d.group(Path(scope))
		if errGroup != nil {
			return nil, errGroup
		}
		for range count {
			e, errEntry := d.entry(path)
			if errEntry != nil {
				return nil, errEntry
			}
			if len(entries) > 0 && compareEntries(entries[len(entries)-1], e) >= 0 {
				return nil, fmt.Errorf("%s %s is out of order", e.path, e.key)
			}
			entries = append(entries, e)
		}
	}
	return entries, nil
}

// group decodes the path of the next values and their number.
func (d *chunkDecoder) group(scope Path) (path Path, count uint64, err error) {
	service, err := d.text()
	if err != nil {
		return "", 0, err
	}
	if count, err = d.uvarint(); err != nil {
		return "", 0, err
	}
	if service == "" {
		return scope, count, nil
	}
	if scope.Level() != RegionLevel {
		return "", 0, fmt.Errorf("scope %q can't hold a service", string(scope))
	}
	return Join(scope.Customer(), scope.Region(), mesh.Service(service)), count, mesh.CheckName(service)
}

func (d *chunkDecoder) entry(path Path) (e entry, err error) {
	key, err := d.text()
	if err != nil {
		return e, err
	}
	text, err := d.text()
	if err != nil {
		return e, err
	}
	e = entry{path: path, key: Key(key), value: text}
	return e, checkSetting(e.key, e.value)
}
