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
func (h *ChunkHistory) Add(scope tree.Path, chunk *tree.Chunk) {
	if h.recent == nil {
		h.recent = make(map[tree.Path][]*tree.Chunk)
	}
	chunks := h.recent[scope]
	if len(chunks) > 0 && chunks[len(chunks)-1].Digest() == chunk.Digest() {
		return
	}
	if len(chunks) == historyDepth {
		chunks = chunks[1:]
	}
	h.recent[scope] = append(chunks, chunk)
}

// Find returns the chunk with the digest, or nil if it is not in the history.
func (h *ChunkHistory) Find(scope tree.Path, digest mesh.Digest) *tree.Chunk {
	for _, c := range h.recent[scope] {
		if c.Digest() == digest {
			return c
		}
	}
	return nil
}
