package ctrl

import (
	"maps"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// fetchRetryDelay is the delay before the chunks of the same head are read again.
const fetchRetryDelay = time.Second

// handleStoreEvent handles new heads and chunks read from the platform.
func (a *adoption) handleStoreEvent(e cells.StoreEvent, now time.Time) {
	switch e.Action {
	case cells.WatchHead:
		if e.Result == cells.StoreDone && e.Head.Version > a.head.Version {
			a.head = e.Head
			a.fetchRetryAt = time.Time{}
		}
	case cells.ReadChunks:
		a.handleChunks(e, now)
	}
}

// followHead offers the newest head of the platform to the adopter if this node is a
// lead. It applies the edits that the head contains if the result matches the head's
// digest, otherwise it reads the chunks that changed.
func (a *adoption) followHead(now time.Time) {
	newest := max(a.Config.Get().Manifest.Version, a.adopter.Status().Pending)
	if !a.Uplinks.Get().Lead || a.head.Version <= newest || a.fetchingVersion != 0 {
		return
	}
	if a.adopter.Status().Refused == a.head.Version {
		return
	}
	if staged, ok := applyRecentChanges(a.Config.Get(), a.head); ok {
		a.offer(staged, a.head.RootDigest(), now)
		return
	}
	if now.Before(a.fetchRetryAt) {
		a.alarm.SetIfEarlier(a.fetchRetryAt)
		return
	}
	a.fetchChunks()
}

// applyRecentChanges applies the edits of the head's recent changes to the
// configuration in force; ok is false if the result is not the head's version.
func applyRecentChanges(config cells.Config, head tree.Head) (staged cells.Config, ok bool) {
	next := config.Manifest.Version + 1
	current := config.Tree
	for _, c := range head.Recent {
		if c.Version < next {
			continue
		}
		if c.Version != next {
			return staged, false
		}
		applied, err := current.Apply(c.Edits)
		if err != nil {
			return staged, false
		}
		current = applied
		next++
	}
	if next != head.Version+1 || current.Manifest(head.Version).RootDigest() != head.RootDigest() {
		return staged, false
	}
	return cells.Config{Manifest: head.Manifest, Tree: current}, true
}

// fetchChunks reads the chunks of the head that this node does not have.
func (a *adoption) fetchChunks() {
	var refs []cells.ChunkRef
	for _, s := range slices.Sorted(maps.Keys(a.head.Chunks)) {
		digest := a.head.Chunks[s]
		if c := a.findChunk(s, digest); c == nil {
			refs = append(refs, cells.ChunkRef{Scope: s, Digest: digest})
		}
	}
	a.fetchingVersion = a.head.Version
	a.StoreCommands.Send(cells.StoreCommand{Action: cells.ReadChunks, Chunks: refs})
}

// findChunk returns a chunk from the configuration in force or from the chunk
// history, nil if it is in neither.
func (a *adoption) findChunk(scope tree.Path, digest mesh.Digest) *tree.Chunk {
	if c := a.Config.Get().Tree.Chunk(scope); c != nil && c.Digest() == digest {
		return c
	}
	return a.ChunkHistory.Read().Find(scope, digest)
}

// handleChunks offers the head's configuration if the read chunks complete it and
// match their digests.
func (a *adoption) handleChunks(e cells.StoreEvent, now time.Time) {
	a.fetchingVersion = 0
	a.fetchRetryAt = now.Add(fetchRetryDelay)
	if e.Result != cells.StoreDone {
		return
	}
	fetched := make(map[tree.Path]*tree.Chunk, len(e.Chunks))
	for i, ref := range e.Command.Chunks {
		if i < len(e.Chunks) && e.Chunks[i].Digest() == ref.Digest {
			fetched[ref.Scope] = e.Chunks[i]
		}
	}
	chunks := make(map[tree.Path]*tree.Chunk, len(a.head.Chunks))
	for scope, digest := range a.head.Chunks {
		c := a.findChunk(scope, digest)
		if c == nil {
			c = fetched[scope]
		}
		if c == nil || c.Digest() != digest {
			return
		}
		chunks[scope] = c
	}
	a.offer(cells.Config{Manifest: a.head.Manifest, Tree: tree.New(chunks)}, a.head.RootDigest(), now)
}
