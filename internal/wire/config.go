package wire

import (
	"fmt"

	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

func encodeConfig(m ctlmsg.Config) *Config {
	c := &Config{Base: uint64(m.Base), Version: uint64(m.Version), Root: encodeDigest(m.RootDigest)}
	for _, k := range m.Chunks {
		c.Chunks = append(c.Chunks, encodeChunk(k))
	}
	return c
}

func encodeChunk(k ctlmsg.ChunkChange) *ChunkChange {
	c := &ChunkChange{
		Scope: string(k.Scope), Digest: encodeDigest(k.Digest), Base: encodeDigest(k.Base),
		Removed: k.Removed, DigestOnly: k.DigestOnly,
	}
	if k.Chunk != nil {
		c.Content = k.Chunk.Encode()
	}
	for _, e := range k.Edits {
		c.Edits = append(c.Edits, &Edit{Path: string(e.Path), Key: string(e.Key), Value: e.Value, Unset: e.Unset})
	}
	return c
}

func decodeConfig(c *Config) (message ctlmsg.Message, err error) {
	m := ctlmsg.Config{Base: mesh.Version(c.GetBase()), Version: mesh.Version(c.GetVersion())}
	if m.RootDigest, err = decodeDigest(c.GetRoot()); err != nil {
		return nil, err
	}
	for _, k := range c.GetChunks() {
		change, err := decodeChunk(k)
		if err != nil {
			return nil, fmt.Errorf("chunk %q: %w", k.GetScope(), err)
		}
		m.Chunks = append(m.Chunks, change)
	}
	return m, nil
}

func decodeChunk(c *ChunkChange) (change ctlmsg.ChunkChange, err error) {
	change = ctlmsg.ChunkChange{Removed: c.GetRemoved(), DigestOnly: c.GetDigestOnly()}
	if change.Scope, err = tree.ParsePath(c.GetScope()); err != nil {
		return change, err
	}
	if change.Digest, err = decodeDigest(c.GetDigest()); err != nil {
		return change, err
	}
	if change.Base, err = decodeDigest(c.GetBase()); err != nil {
		return change, err
	}
	if len(c.GetContent()) > 0 {
		if change.Chunk, err = tree.DecodeChunk(c.GetContent()); err != nil {
			return change, err
		}
	}
	for _, e := range c.GetEdits() {
		edit := tree.Edit{Key: tree.Key(e.GetKey()), Value: e.GetValue(), Unset: e.GetUnset()}
		if edit.Path, err = tree.ParsePath(e.GetPath()); err != nil {
			return change, err
		}
		change.Edits = append(change.Edits, edit)
	}
	return change, nil
}
