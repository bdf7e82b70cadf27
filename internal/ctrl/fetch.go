package ctrl

import (
	"maps"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// fetchRetry is the time until a failed read of chunks is tried again.
const fetchRetry = time.Second

// stored takes in the platform's answers about the configuration.
func (a *adoption) stored(e cells.StoreEvent, now time.Time) {
	switch e.Action {
	case cells.WatchHead:
		if e.Result == cells.StoreDone && e.Head.Version > a.head.Version {
			a.head = e.Head
			a.fetchAt = time.Time{}
		}
	case cells.ReadChunks:
		a.fetched(e, now)
	}
}

// follow brings a lead to the head that the platform told: by the edits that
// the head carries where they verify, else by the chunks that changed.
func (a *adoption) follow(now time.Time) {
	version := max(a.Config.Get().Manifest.Version, a.adopter.Status().Pending)
	if !a.Uplinks.Get().Lead || a.head.Version <= version || a.fetching != 0 {
		return
	}
	if a.adopter.Status().Refused == a.head.Version {
		return
	}
	if staged, ok := replay(a.Config.Get(), a.head); ok {
		a.offer(staged, a.head.RootDigest(), now)
		return
	}
	if now.Before(a.fetchAt) {
		a.alarm.SetIfEarlier(a.fetchAt)
		return
	}
	a.fetch()
}

// replay applies the edits of the head's recent changes to the configuration
// in force; ok is false when they do not lead to the head.
func replay(config cells.Config, head tree.Head) (staged cells.Config, ok bool) {
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

// fetch reads the chunks of the head that are not held.
func (a *adoption) fetch() {
	var refs []cells.ChunkRef
	for _, s := range slices.Sorted(maps.Keys(a.head.Chunks)) {
		digest := a.head.Chunks[s]
		if c := a.held(s, digest); c == nil {
			refs = append(refs, cells.ChunkRef{Scope: s, Digest: digest})
		}
	}
	a.fetching = a.head.Version
	a.StoreCommands.Send(cells.StoreCommand{Action: cells.ReadChunks, Chunks: refs})
}

// held returns a chunk that this node holds or held lately.
func (a *adoption) held(scope tree.Path, digest mesh.Digest) *tree.Chunk {
	if c := a.Config.Get().Tree.Chunk(scope); c != nil && c.Digest() == digest {
		return c
	}
	return a.ChunkHistory.Read().Find(scope, digest)
}

// fetched offers the head whose chunks were read, if they verify.
func (a *adoption) fetched(e cells.StoreEvent, now time.Time) {
	a.fetching = 0
	a.fetchAt = now.Add(fetchRetry)
	if e.Result != cells.StoreDone {
		return
	}
	read := make(map[tree.Path]*tree.Chunk, len(e.Chunks))
	for i, ref := range e.Command.Chunks {
		if i < len(e.Chunks) && e.Chunks[i].Digest() == ref.Digest {
			read[ref.Scope] = e.Chunks[i]
		}
	}
	chunks := make(map[tree.Path]*tree.Chunk, len(a.head.Chunks))
	for scope, digest := range a.head.Chunks {
		c := a.held(scope, digest)
		if c == nil {
			c = read[scope]
		}
		if c == nil || c.Digest() != digest {
			return
		}
		chunks[scope] = c
	}
	a.offer(cells.Config{Manifest: a.head.Manifest, Tree: tree.New(chunks)}, a.head.RootDigest(), now)
}
