package ctrl

import (
	"maps"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// spread sends the configuration in force to every link whose far end said
// what it holds, as the difference from that.
type spread struct {
	*cells.Set
	// served holds what the far end of each link holds and wants.
	served map[cells.LinkID]*served
	// tree is the one that every link in served was last served from.
	tree *tree.Tree
}

// served is what the far end of a link holds and wants.
type served struct {
	// manifest is the one the far end has in force or is about to; its Version
	// is zero when it must be told every chunk.
	manifest tree.Manifest
	// scopes holds the digest of each wanted chunk, zero when it is not held.
	scopes map[tree.Path]mesh.Digest
	// whole is true when the far end wants every chunk.
	whole bool
	// due is true when the far end said something that was not answered yet.
	due bool
}

// source is the configuration in force, with what is worked out from it once
// for all links.
type source struct {
	cells.Config
	root mesh.Digest
	// scopes holds the manifest's scopes, sorted.
	scopes []tree.Path
}

func newSpread(set *cells.Set) board.Controller {
	s := &spread{Set: set, served: make(map[cells.LinkID]*served)}
	return board.Controller{
		Name:   "spread",
		Reads:  []board.Ref{&set.LinkEvents, &set.Config},
		Uses:   []board.Ref{&set.Peers, &set.ChunkHistory},
		Writes: []board.Ref{&set.LinkCommands},
		Step:   s.step,
	}
}

func (s *spread) step(time.Time) {
	for _, e := range s.LinkEvents.Events() {
		s.event(e)
	}
	config := s.Config.Get()
	if config.Manifest.Version == 0 {
		return
	}
	links := s.due(config)
	if len(links) == 0 {
		return
	}
	from := source{
		Config: config, root: config.Manifest.RootDigest(), scopes: slices.Sorted(maps.Keys(config.Manifest.Chunks)),
	}
	for _, l := range links {
		s.served[l].due = false
		s.serve(l, s.served[l], from)
	}
}

// due lists the links to serve, sorted: all after a change of the configuration
// in force, else those whose far end said something.
func (s *spread) due(config cells.Config) (links []cells.LinkID) {
	moved := config.Tree != s.tree
	s.tree = config.Tree
	for l, v := range s.served {
		if moved || v.due {
			links = append(links, l)
		}
	}
	slices.Sort(links)
	return links
}

func (s *spread) event(e cells.LinkEvent) {
	if e.Kind == cells.LinkDown {
		delete(s.served, e.Link)
		return
	}
	switch m := e.Message.(type) {
	case ctlmsg.ConfigRequest:
		s.served[e.Link] = s.newServed(e.Link, m)
	case ctlmsg.Config:
		s.told(e.Link, m)
	}
}

func (s *spread) newServed(link cells.LinkID, held ctlmsg.ConfigRequest) *served {
	v := &served{scopes: make(map[tree.Path]mesh.Digest, len(held.Chunks)), due: true}
	for _, c := range held.Chunks {
		v.scopes[c.Scope] = c.Digest
	}
	if p := s.Peers.Read().Get(link); p != nil {
		v.whole = p.Hello.WantsAll
	}
	v.manifest.Version = held.Version
	return v
}

// told notes that the far end itself holds the version that it sent.
func (s *spread) told(link cells.LinkID, config ctlmsg.Config) {
	v := s.served[link]
	if v == nil || config.Version < v.manifest.Version {
		return
	}
	v.manifest, v.due = tree.Manifest{Version: config.Version}, true
	for _, c := range config.Chunks {
		if _, ok := v.scopes[c.Scope]; ok || v.whole {
			v.scopes[c.Scope] = c.Digest
		}
	}
}

// serve sends what the far end lacks, if anything.
func (s *spread) serve(link cells.LinkID, v *served, config source) {
	if v.manifest.Version > config.Manifest.Version {
		return
	}
	message := ctlmsg.Config{Version: config.Manifest.Version, RootDigest: config.root}
	base := v.manifest.Chunks
	if base != nil {
		message.Base = v.manifest.Version
	}
	for _, scope := range config.scopes {
		digest := config.Manifest.Chunks[scope]
		if c, ok := s.change(scope, digest, v, base, config); ok {
			message.Chunks = append(message.Chunks, c)
		}
	}
	for scope := range base {
		if _, ok := config.Manifest.Chunks[scope]; !ok {
			message.Chunks = append(message.Chunks, ctlmsg.ChunkChange{Scope: scope, Removed: true})
		}
	}
	if v.manifest.Version == config.Manifest.Version && !lacksChunk(message.Chunks) {
		v.manifest = config.Manifest
		return
	}
	for _, c := range message.Chunks {
		if !c.DigestOnly {
			v.scopes[c.Scope] = c.Digest
		}
	}
	v.manifest = config.Manifest
	send(s.Set, link, message)
}

// lacksChunk reports whether a change brings a chunk itself.
func lacksChunk(chunks []ctlmsg.ChunkChange) bool {
	return slices.ContainsFunc(chunks, func(c ctlmsg.ChunkChange) bool { return !c.DigestOnly })
}

// change returns what brings one chunk of the far end up to date; ok is false
// when there is nothing to tell.
func (s *spread) change(
	scope tree.Path, digest mesh.Digest, v *served, base map[tree.Path]mesh.Digest, config source,
) (change ctlmsg.ChunkChange, ok bool) {
	change = ctlmsg.ChunkChange{Scope: scope, Digest: digest}
	held, wanted := v.scopes[scope]
	chunk := config.Tree.Chunk(scope)
	if (!wanted && !v.whole) || chunk == nil || held == digest {
		change.DigestOnly = true
		old, told := base[scope]
		return change, !told || old != digest
	}
	old := s.ChunkHistory.Read().Find(scope, held)
	if old == nil {
		change.Chunk = chunk
		return change, true
	}
	change.Base = held
	change.Edits = tree.DiffChunks(old, chunk)
	return change, true
}
