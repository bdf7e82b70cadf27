package tree

import (
	"maps"
	"slices"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Tree is an immutable settings tree. A tree derived from another shares its
// unchanged chunks. The zero Tree and a nil one are empty.
type Tree struct {
	// chunks maps each scope to its chunk; it holds no empty chunk.
	chunks map[Path]*Chunk
}

// New returns the tree that consists of the given chunks. It copies the map and
// skips empty chunks.
func New(chunks map[Path]*Chunk) *Tree {
	t := &Tree{chunks: make(map[Path]*Chunk, len(chunks))}
	for _, c := range chunks {
		if !c.Empty() {
			t.chunks[c.Scope()] = c
		}
	}
	return t
}

// Apply returns a copy of the tree with the edits applied; if several edits name
// the same key, the last one wins. It checks that the edits are well formed, but
// not that the result is valid; see Validate.
func (t *Tree) Apply(edits []Edit) (next *Tree, err error) {
	defer func() { err = annotate(err, "apply edits") }()
	groups := make(map[Path][]Edit)
	for _, e := range edits {
		groups[e.Path.Scope()] = append(groups[e.Path.Scope()], e)
	}
	next = &Tree{chunks: make(map[Path]*Chunk)}
	if t != nil {
		maps.Copy(next.chunks, t.chunks)
	}
	for _, scope := range slices.Sorted(maps.Keys(groups)) {
		chunk, errPatch := next.chunks[scope].Patch(groups[scope])
		if errPatch != nil {
			return nil, errPatch
		}
		if chunk.Empty() {
			delete(next.chunks, scope)
			continue
		}
		next.chunks[scope] = chunk
	}
	if len(next.chunks) > MaxScopes {
		return nil, &LimitExceededError{Name: "tree", Size: len(next.chunks), Limit: MaxScopes}
	}
	return next, nil
}

// Chunk returns the chunk of a scope, or nil if the scope has no values.
func (t *Tree) Chunk(scope Path) *Chunk {
	if t == nil {
		return nil
	}
	return t.chunks[scope]
}

// Scopes returns the scopes that have values, sorted.
func (t *Tree) Scopes() []Path {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.chunks))
}

// Manifest returns the manifest of the tree for the given version.
func (t *Tree) Manifest(version mesh.Version) Manifest {
	m := Manifest{Version: version, Chunks: make(map[Path]mesh.Digest)}
	for _, s := range t.Scopes() {
		m.Chunks[s] = t.chunks[s].Digest()
	}
	return m
}

// Values returns the values set at the path itself, without inherited ones,
// sorted by key.
func (t *Tree) Values(path Path) (values []Edit) {
	for _, e := range t.Chunk(path.Scope()).entriesAt(path) {
		values = append(values, e.toEdit())
	}
	return values
}

// Services returns the services of the customer that have a value in the region,
// sorted.
func (t *Tree) Services(customer mesh.Customer, region mesh.Region) (services []mesh.Service) {
	chunk := t.Chunk(Join(customer, region, ""))
	if region == "" || chunk.Empty() {
		return nil
	}
	for _, e := range chunk.entries {
		if s := e.path.Service(); s != "" && (len(services) == 0 || services[len(services)-1] != s) {
			services = append(services, s)
		}
	}
	return services
}

// Customers returns the customers that have a value at any level, sorted.
func (t *Tree) Customers() (customers []mesh.Customer) {
	for _, s := range t.Scopes() {
		if s != "" {
			customers = append(customers, s.Customer())
		}
	}
	slices.Sort(customers)
	return slices.Compact(customers)
}

// Regions returns the regions in which the customer has a value, sorted.
func (t *Tree) Regions(customer mesh.Customer) (regions []mesh.Region) {
	for _, s := range t.Scopes() {
		if s.Customer() == customer && s.Level() == RegionLevel {
			regions = append(regions, s.Region())
		}
	}
	return regions
}

// Diff returns the sorted edits that turn one tree into the other. It compares
// only the values of chunks whose digests differ.
func Diff(from, to *Tree) (edits []Edit) {
	scopes := append(from.Scopes(), to.Scopes()...)
	slices.Sort(scopes)
	for _, s := range slices.Compact(scopes) {
		old, new := from.Chunk(s), to.Chunk(s)
		if old == new || old.Digest() == new.Digest() {
			continue
		}
		edits = append(edits, DiffChunks(old, new)...)
	}
	slices.SortFunc(edits, compareEdits)
	return edits
}
