package cells

import (
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// historyDepth is the number of chunks kept for each scope.
const historyDepth = 16

// ChunkHistory keeps the most recent chunks of each scope. The zero ChunkHistory
// is empty.
type ChunkHistory struct {
	// recent contains at most historyDepth chunks per scope, oldest first.
	recent map[tree.Path][]*tree.Chunk
}

// Add adds a chunk of the scope unless it equals the newest one.
func (l *ChunkHistory) Add(scope tree.Path, chunk *tree.Chunk) {
	if l.recent == nil {
		l.recent = make(map[tree.Path][]*tree.Chunk)
	}
	chunks := l.recent[scope]
	if len(chunks) > 0 && chunks[len(chunks)-1].Digest() == chunk.Digest() {
		return
	}
	if len(chunks) == historyDepth {
		chunks = chunks[1:]
	}
	l.recent[scope] = append(chunks, chunk)
}

// Find returns the chunk with the digest, or nil if it is not in the history.
func (l *ChunkHistory) Find(scope tree.Path, digest mesh.Digest) *tree.Chunk {
	for _, c := range l.recent[scope] {
		if c.Digest() == digest {
			return c
		}
	}
	return nil
}
