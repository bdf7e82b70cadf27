package tree

import (
	"encoding/binary"
	"errors"
	"fmt"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// chunkFormat begins the canonical encoding of a chunk: the format byte, the
// scope, then for each path the name below the scope (empty for the scope
// itself), the count of its values, and each key and value. Strings carry
// their length, and all numbers are unsigned varints.
const chunkFormat = 1

var errShort = errors.New("data ends early")

// Encode returns the canonical encoding: equal chunks have equal encodings.
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
			data = appendText(data, e.text)
		}
		rest = rest[count:]
	}
	return data
}

func appendText(data []byte, text string) []byte {
	data = binary.AppendUvarint(data, uint64(len(text)))
	return append(data, text...)
}

// DecodeChunk reads a canonical encoding; any other one is an error.
func DecodeChunk(data []byte) (chunk *Chunk, err error) {
	defer func() { err = annotate(err, "decode chunk") }()
	if len(data) > MaxChunkBytes {
		return nil, &LimitExceededError{Name: "chunk", Size: len(data), Limit: MaxChunkBytes}
	}
	if len(data) == 0 {
		return nil, errShort
	}
	if data[0] != chunkFormat {
		return nil, fmt.Errorf("unknown format %d", data[0])
	}
	if len(data) == 1 {
		return &Chunk{}, nil
	}
	r := reader{rest: string(data[1:])}
	entries, err := r.entries()
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

// reader takes apart the part of an encoding that it has not read yet.
type reader struct {
	rest string
}

func (r *reader) number() (number uint64, err error) {
	for i := 0; i < len(r.rest) && i < binary.MaxVarintLen64; i++ {
		b := r.rest[i]
		number |= uint64(b&0x7f) << (7 * i)
		if b < 0x80 {
			r.rest = r.rest[i+1:]
			return number, nil
		}
	}
	return 0, errShort
}

func (r *reader) text() (text string, err error) {
	length, err := r.number()
	if err != nil {
		return "", err
	}
	if length > uint64(len(r.rest)) {
		return "", errShort
	}
	text, r.rest = r.rest[:length], r.rest[length:]
	return text, nil
}

// entries reads the scope and its values, checked and strictly sorted.
func (r *reader) entries() (entries []entry, err error) {
	scope, err := r.text()
	if err != nil {
		return nil, err
	}
	if path, errPath := ParsePath(scope); errPath != nil || path != Path(scope) || path.Scope() != path {
		return nil, fmt.Errorf("%q is not a scope", scope)
	}
	for len(r.rest) > 0 {
		path, count, errGroup := r.group(Path(scope))
		if errGroup != nil {
			return nil, errGroup
		}
		for range count {
			e, errEntry := r.entry(path)
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

// group reads the path of the next values and their count.
func (r *reader) group(scope Path) (path Path, count uint64, err error) {
	service, err := r.text()
	if err != nil {
		return "", 0, err
	}
	if count, err = r.number(); err != nil {
		return "", 0, err
	}
	if service == "" {
		return scope, count, nil
	}
	if scope.Level() != RegionLevel {
		return "", 0, fmt.Errorf("%q has a service", string(scope))
	}
	return Join(scope.Customer(), scope.Region(), mesh.Service(service)), count, mesh.CheckName(service)
}

func (r *reader) entry(path Path) (e entry, err error) {
	key, err := r.text()
	if err != nil {
		return e, err
	}
	text, err := r.text()
	if err != nil {
		return e, err
	}
	e = entry{path: path, key: Key(key), text: text}
	return e, checkSetting(e.key, e.text)
}
