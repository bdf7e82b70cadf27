package tree

import (
	"cmp"
	"fmt"
	"slices"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// MaxChunkBytes is the largest size of a chunk's canonical encoding.
const MaxChunkBytes = 384 << 10

// entry is one stored value.
type entry struct {
	path  Path
	key   Key
	value string
}

func (e entry) toEdit() Edit {
	return Edit{Path: e.path, Key: e.key, Value: e.value}
}

func compareEntries(a, b entry) int {
	return cmp.Or(cmp.Compare(a.path, b.path), cmp.Compare(a.key, b.key))
}

// Chunk is an immutable set of the values of one scope. The zero Chunk and a nil
// one are empty.
type Chunk struct {
	// entries are well formed, belong to one scope and are sorted by path, then by key.
	entries []entry
	// digest is the digest of the canonical encoding; unset if entries is empty.
	digest mesh.Digest
}

// newChunk returns a chunk that takes ownership of sorted, well-formed entries of
// one scope.
func newChunk(entries []entry) (chunk *Chunk, err error) {
	chunk = &Chunk{entries: entries}
	data := chunk.Encode()
	if len(data) > MaxChunkBytes {
		return nil, &LimitExceededError{Name: "chunk", Size: len(data), Limit: MaxChunkBytes}
	}
	chunk.digest = mesh.DigestOf(data)
	return chunk, nil
}

// Digest returns the digest of the canonical encoding.
func (c *Chunk) Digest() mesh.Digest {
	if c.Empty() {
		return mesh.DigestOf(c.Encode())
	}
	return c.digest
}

// Empty reports whether the chunk holds no value.
func (c *Chunk) Empty() bool {
	return c == nil || len(c.entries) == 0
}

// Scope returns the scope of the values. It is empty for an empty chunk, and for
// the chunk of the root.
func (c *Chunk) Scope() Path {
	if c.Empty() {
		return ""
	}
	return c.entries[0].path.Scope()
}

// Values returns every value as an edit that sets it, sorted.
func (c *Chunk) Values() []Edit {
	return DiffChunks(nil, c)
}

// entriesAt returns the entries of one path.
func (c *Chunk) entriesAt(path Path) []entry {
	if c.Empty() {
		return nil
	}
	start, _ := slices.BinarySearchFunc(c.entries, path, func(e entry, path Path) int {
		return cmp.Compare(e.path, path)
	})
	end := start
	for end < len(c.entries) && c.entries[end].path == path {
		end++
	}
	return c.entries[start:end]
}

// Patch returns a copy of the chunk with the edits applied; if several edits name
// the same key, the last one wins. All edits must belong to the scope of the
// chunk, or to one scope if the chunk is empty.
func (c *Chunk) Patch(edits []Edit) (patched *Chunk, err error) {
	defer func() { err = annotate(err, "patch chunk") }()
	sorted := slices.Clone(edits)
	slices.SortStableFunc(sorted, compareEdits)
	scope := c.Scope()
	for i, e := range sorted {
		if err = e.check(); err != nil {
			return nil, err
		}
		if c.Empty() && i == 0 {
			scope = e.Path.Scope()
		}
		if e.Path.Scope() != scope {
			return nil, fmt.Errorf("%s is outside of the scope %s", e.Path, scope)
		}
	}
	return newChunk(c.merge(sorted))
}

// merge returns the entries with the sorted edits applied.
func (c *Chunk) merge(sorted []Edit) (merged []entry) {
	var old []entry
	if c != nil {
		old = c.entries
	}
	merged = make([]entry, 0, len(old)+len(sorted))
	for i, e := range sorted {
		if i+1 < len(sorted) && compareEdits(e, sorted[i+1]) == 0 {
			continue
		}
		added := entry{path: e.Path, key: e.Key, value: e.Value}
		for len(old) > 0 && compareEntries(old[0], added) < 0 {
			merged = append(merged, old[0])
			old = old[1:]
		}
		if len(old) > 0 && compareEntries(old[0], added) == 0 {
			old = old[1:]
		}
		if !e.Unset {
			merged = append(merged, added)
		}
	}
	return append(merged, old...)
}

// DiffChunks returns the sorted edits that turn one chunk into the other.
// Either may be nil.
func DiffChunks(from, to *Chunk) (edits []Edit) {
	var old, added []entry
	if from != nil {
		old = from.entries
	}
	if to != nil {
		added = to.entries
	}
	for len(old) > 0 || len(added) > 0 {
		switch order := compareFirst(old, added); {
		case order < 0:
			edits = append(edits, Edit{Path: old[0].path, Key: old[0].key, Unset: true})
			old = old[1:]
		case order > 0:
			edits = append(edits, added[0].toEdit())
			added = added[1:]
		default:
			if old[0].value != added[0].value {
				edits = append(edits, added[0].toEdit())
			}
			old, added = old[1:], added[1:]
		}
	}
	return edits
}

// compareFirst compares the first entries of two lists; an empty list is greater.
func compareFirst(a, b []entry) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	default:
		return compareEntries(a[0], b[0])
	}
}
