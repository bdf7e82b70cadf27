package cells

import (
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// libraryDepth is how many recent chunks of each scope are kept.
const libraryDepth = 16

// ChunkHistory keeps recent chunks by scope. The zero Library is empty.
type ChunkHistory struct {
	// recent holds at most libraryDepth chunks a scope, the oldest first.
	recent map[tree.Path][]*tree.Chunk
}

// Add adds a chunk of the scope unless the newest one is the same.
func (l *ChunkHistory) Add(scope tree.Path, chunk *tree.Chunk) {
	if l.recent == nil {
		l.recent = make(map[tree.Path][]*tree.Chunk)
	}
	chunks := l.recent[scope]
	if len(chunks) > 0 && chunks[len(chunks)-1].Digest() == chunk.Digest() {
		return
	}
	if len(chunks) == libraryDepth {
		chunks = chunks[1:]
	}
	l.recent[scope] = append(chunks, chunk)
}

// Find returns the chunk of that digest, nil when it is not kept.
func (l *ChunkHistory) Find(scope tree.Path, digest mesh.Digest) *tree.Chunk {
	for _, c := range l.recent[scope] {
		if c.Digest() == digest {
			return c
		}
	}
	return nil
}
