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

// configSender sends the configuration in force on each link whose far end requested
// it, as a delta from what the far end holds.
type configSender struct {
	*cells.Node
	// recipients holds what the far end of each link holds and wants.
	recipients map[cells.LinkID]*recipient
	// lastTree is the tree in force when all recipients were last served.
	lastTree *tree.Tree
}

// recipient is what the far end of a link holds and wants.
type recipient struct {
	// manifest is the manifest that the far end has in force or has been sent. Its
	// Version is zero if every chunk must be sent.
	manifest tree.Manifest
	// digests holds the digest of the far end's copy of each wanted chunk, zero if it
	// has none.
	digests map[tree.Path]mesh.Digest
	// wantsAll is true if the far end wants every chunk.
	wantsAll bool
	// pending is true while a message of the far end is unanswered.
	pending bool
}

// currentConfig is the configuration in force, with values that are computed once for
// all links.
type currentConfig struct {
	cells.Config
	rootDigest mesh.Digest
	// scopes are the manifest's scopes, sorted.
	scopes []tree.Path
}

func newConfigSender(node *cells.Node) board.Controller {
	s := &configSender{Node: node, recipients: make(map[cells.LinkID]*recipient)}
	return board.Controller{
		Name:   "configSender",
		Reads:  []board.Ref{&node.LinkEvents, &node.Config},
		Uses:   []board.Ref{&node.Peers, &node.ChunkHistory},
		Writes: []board.Ref{&node.LinkCommands},
		Step:   s.step,
	}
}

func (s *configSender) step(time.Time) {
	for _, e := range s.LinkEvents.Events() {
		s.handleEvent(e)
	}
	config := s.Config.Get()
	if config.Manifest.Version == 0 {
		return
	}
	links := s.pendingLinks(config)
	if len(links) == 0 {
		return
	}
	current := currentConfig{
		Config: config, rootDigest: config.Manifest.RootDigest(), scopes: slices.Sorted(maps.Keys(config.Manifest.Chunks)),
	}
	for _, l := range links {
		s.recipients[l].pending = false
		s.sendDifference(l, s.recipients[l], current)
	}
}

// pendingLinks returns the links to serve, sorted: all of them if the configuration
// in force has changed, otherwise those with an unanswered message.
func (s *configSender) pendingLinks(config cells.Config) (links []cells.LinkID) {
	changed := config.Tree != s.lastTree
	s.lastTree = config.Tree
	for l, r := range s.recipients {
		if changed || r.pending {
			links = append(links, l)
		}
	}
	slices.Sort(links)
	return links
}

func (s *configSender) handleEvent(e cells.LinkEvent) {
	if e.Kind == cells.LinkDown {
		delete(s.recipients, e.Link)
		return
	}
	switch m := e.Message.(type) {
	case ctlmsg.ConfigRequest:
		s.recipients[e.Link] = s.newRecipient(e.Link, m)
	case ctlmsg.Config:
		s.handleConfig(e.Link, m)
	}
}

func (s *configSender) newRecipient(link cells.LinkID, request ctlmsg.ConfigRequest) *recipient {
	r := &recipient{digests: make(map[tree.Path]mesh.Digest, len(request.Chunks)), pending: true}
	for _, c := range request.Chunks {
		r.digests[c.Scope] = c.Digest
	}
	if p := s.Peers.Read().Get(link); p != nil {
		r.wantsAll = p.Hello.WantsAll
	}
	r.manifest.Version = request.Version
	return r
}

// handleConfig records that the far end holds the version that it sent itself.
func (s *configSender) handleConfig(link cells.LinkID, config ctlmsg.Config) {
	r := s.recipients[link]
	if r == nil || config.Version < r.manifest.Version {
		return
	}
	r.manifest, r.pending = tree.Manifest{Version: config.Version}, true
	for _, c := range config.Chunks {
		if _, ok := r.digests[c.Scope]; ok || r.wantsAll {
			r.digests[c.Scope] = c.Digest
		}
	}
}

// sendDifference sends what the far end lacks, if anything.
func (s *configSender) sendDifference(link cells.LinkID, r *recipient, config currentConfig) {
	if r.manifest.Version > config.Manifest.Version {
		return
	}
	message := ctlmsg.Config{Version: config.Manifest.Version, RootDigest: config.rootDigest}
	base := r.manifest.Chunks
	if base != nil {
		message.Base = r.manifest.Version
	}
	for _, scope := range config.scopes {
		digest := config.Manifest.Chunks[scope]
		if c, ok := s.chunkChange(scope, digest, r, base, config); ok {
			message.Chunks = append(message.Chunks, c)
		}
	}
	for scope := range base {
		if _, ok := config.Manifest.Chunks[scope]; !ok {
			message.Chunks = append(message.Chunks, ctlmsg.ChunkChange{Scope: scope, Removed: true})
		}
	}
	if r.manifest.Version == config.Manifest.Version && !hasContent(message.Chunks) {
		r.manifest = config.Manifest
		return
	}
	for _, c := range message.Chunks {
		if !c.DigestOnly {
			r.digests[c.Scope] = c.Digest
		}
	}
	r.manifest = config.Manifest
	send(s.Node, link, message)
}

// hasContent reports whether any of the changes carries more than a digest.
func hasContent(chunks []ctlmsg.ChunkChange) bool {
	return slices.ContainsFunc(chunks, func(c ctlmsg.ChunkChange) bool { return !c.DigestOnly })
}

// chunkChange returns the change that brings one chunk of the far end up to date: edits
// if the far end's copy is in the chunk history, the full chunk if not, and only the
// digest if the far end has or does not want the chunk. ok is false if there is
// nothing to send.
func (s *configSender) chunkChange(
	scope tree.Path, digest mesh.Digest, r *recipient, base map[tree.Path]mesh.Digest, config currentConfig,
) (change ctlmsg.ChunkChange, ok bool) {
	change = ctlmsg.ChunkChange{Scope: scope, Digest: digest}
	held, wanted := r.digests[scope]
	chunk := config.Tree.Chunk(scope)
	if (!wanted && !r.wantsAll) || chunk == nil || held == digest {
		change.DigestOnly = true
		old, listed := base[scope]
		return change, !listed || old != digest
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
