package ctrl

import (
	"cmp"
	"errors"
	"fmt"
	"maps"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// Reasons why a received configuration can't be staged.
var (
	errBaseMismatch   = errors.New("base mismatch")
	errDigestMismatch = errors.New("digest mismatch")
	errChunkMissing   = errors.New("wanted chunk is missing")
)

// stage applies a received configuration to a copy of the one in force. It
// returns a complete configuration that matches the received digest. If it returns an
// error, staged must not be used.
func stage(
	config cells.Config, m ctlmsg.Config, wanted func(manifest tree.Manifest) []tree.Path,
) (staged cells.Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("version %d: %w", m.Version, err)
		}
	}()
	staged.Manifest = tree.Manifest{Version: m.Version, Chunks: make(map[tree.Path]mesh.Digest)}
	if m.Base != 0 {
		if m.Base != config.Manifest.Version {
			return staged, errBaseMismatch
		}
		maps.Copy(staged.Manifest.Chunks, config.Manifest.Chunks)
	}
	chunks := make(map[tree.Path]*tree.Chunk)
	for _, s := range config.Tree.Scopes() {
		chunks[s] = config.Tree.Chunk(s)
	}
	for _, c := range m.Chunks {
		if err = applyChange(staged.Manifest, chunks, c); err != nil {
			return staged, fmt.Errorf("chunk %q: %w", c.Scope, err)
		}
	}
	if staged.Manifest.RootDigest() != m.RootDigest {
		return staged, errDigestMismatch
	}
	dropUnlisted(staged.Manifest, chunks)
	for _, s := range wanted(staged.Manifest) {
		if _, listed := staged.Manifest.Chunks[s]; listed && chunks[s] == nil {
			return staged, fmt.Errorf("chunk %q: %w", s, errChunkMissing)
		}
	}
	staged.Tree = tree.New(chunks)
	return staged, nil
}

// applyChange applies the change of one chunk to the manifest and the chunks.
func applyChange(manifest tree.Manifest, chunks map[tree.Path]*tree.Chunk, c ctlmsg.ChunkChange) (err error) {
	if c.Removed {
		delete(manifest.Chunks, c.Scope)
		return nil
	}
	manifest.Chunks[c.Scope] = c.Digest
	if c.DigestOnly {
		return nil
	}
	chunk := c.Chunk
	if chunk == nil {
		old := chunks[c.Scope]
		if old == nil || old.Digest() != c.Base {
			return errBaseMismatch
		}
		if chunk, err = old.Patch(c.Edits); err != nil {
			return err
		}
	}
	if chunk.Digest() != c.Digest {
		return errDigestMismatch
	}
	chunks[c.Scope] = chunk
	return nil
}

// dropUnlisted deletes the chunks whose digest differs from the manifest's.
func dropUnlisted(manifest tree.Manifest, chunks map[tree.Path]*tree.Chunk) {
	for s, c := range chunks {
		if manifest.Chunks[s] != c.Digest() {
			delete(chunks, s)
		}
	}
}

// compareServices orders services by customer, then by name.
func compareServices(a, b mesh.ServiceID) int {
	return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service))
}
