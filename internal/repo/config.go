package repo

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// maxSubmitAttempts limits how often a change is attempted when concurrent
// changes update the head, or when the outcome of an attempt is unknown.
const maxSubmitAttempts = 20

// ChunkCache finds chunks that this process already holds in memory. Find
// returns nil when the chunk is not held.
type ChunkCache interface {
	Find(scope tree.Path, digest mesh.Digest) *tree.Chunk
}

// ConfigStore reads the stored configuration and applies operators' changes. A
// change is atomic: one conditional update of the head makes it visible. A
// ConfigStore is safe for concurrent use.
type ConfigStore struct {
	Objects Objects
	// Cache saves reads of chunks; nil means no cache.
	Cache ChunkCache
}

// Head returns the head and the version of its object. Both are zero when no
// configuration is stored.
func (s *ConfigStore) Head(ctx context.Context) (head tree.Head, version uint64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read head: %w", err)
		}
	}()
	var object store.Object
	err = retryUnavailable(ctx, func() (err error) {
		object, err = s.Objects.Get(ctx, headKey)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return head, 0, nil
	}
	if err != nil {
		return head, 0, err
	}
	head, err = sheet.DecodeHead(object.Value)
	return head, object.Version, err
}

// Read returns the head, the configuration tree that it refers to, and the
// version of the head's object. All are empty when no configuration is stored.
func (s *ConfigStore) Read(ctx context.Context) (head tree.Head, config *tree.Tree, version uint64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read configuration: %w", err)
		}
	}()
	if head, version, err = s.Head(ctx); err != nil {
		return head, nil, 0, err
	}
	config, err = s.readTree(ctx, head)
	return head, config, version, err
}

func (s *ConfigStore) readTree(ctx context.Context, head tree.Head) (config *tree.Tree, err error) {
	chunks := make(map[tree.Path]*tree.Chunk, len(head.Chunks))
	var refs []cells.ChunkRef
	for _, scope := range slices.Sorted(maps.Keys(head.Chunks)) {
		digest := head.Chunks[scope]
		if s.Cache != nil {
			chunks[scope] = s.Cache.Find(scope, digest)
		}
		if chunks[scope] == nil {
			refs = append(refs, cells.ChunkRef{Scope: scope, Digest: digest})
		}
	}
	read, err := ReadChunks(ctx, s.Objects, refs)
	if err != nil {
		return nil, err
	}
	for i, ref := range refs {
		if read[i].Digest() != ref.Digest {
			return nil, fmt.Errorf("chunk %q: content does not match its digest", ref.Scope)
		}
		chunks[ref.Scope] = read[i]
	}
	return tree.New(chunks), nil
}

// Submit applies the change and returns the version that contains it. Errors
// are those of tree.Head.Accept and of package store. Submit is idempotent: it
// succeeds when a change with the same ID was accepted before.
func (s *ConfigStore) Submit(ctx context.Context, change tree.Change) (version mesh.Version, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("change %q: %w", change.ID, err)
		}
	}()
	var backoff relay.Backoff
	maybeApplied := false
	for range maxSubmitAttempts {
		version, err = s.submitOnce(ctx, change)
		maybeApplied = maybeApplied || errors.Is(err, store.ErrOutcomeUnknown)
		if maybeApplied && errors.Is(err, store.ErrUnavailable) {
			// This attempt had no effect, but an earlier one may have.
			return 0, fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, err)
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			return version, err
		}
		select {
		case <-ctx.Done():
			return 0, errors.Join(err, ctx.Err())
		case <-time.After(backoff.Next()):
		}
	}
	return 0, err
}

// submitOnce applies the change to the current head. If an earlier attempt took
// effect but its response was lost, the head already contains the change.
func (s *ConfigStore) submitOnce(ctx context.Context, change tree.Change) (version mesh.Version, err error) {
	head, current, objectVersion, err := s.Read(ctx)
	if err != nil {
		return 0, err
	}
	next, nextTree, err := head.Accept(current, change, time.Now())
	var accepted *tree.AlreadyAcceptedError
	if errors.As(err, &accepted) {
		return accepted.Version, nil
	}
	if err != nil {
		return 0, err
	}
	if err = s.writeChunks(ctx, head, next, nextTree); err != nil {
		return 0, err
	}
	value, err := sheet.EncodeHead(next)
	if err != nil {
		return 0, err
	}
	err = retryUnavailable(ctx, func() (err error) {
		if objectVersion == 0 {
			_, err = s.Objects.Create(ctx, headKey, value)
		} else {
			_, err = s.Objects.Update(ctx, headKey, value, objectVersion)
		}
		return err
	})
	if err != nil {
		return 0, err
	}
	return next.Version, nil
}

// writeChunks stores the chunks to which next refers and current does not.
// Chunks are content-addressed, so an existing object with the same key has the
// same content and a conflict is not an error.
func (s *ConfigStore) writeChunks(ctx context.Context, current, next tree.Head, nextTree *tree.Tree) (err error) {
	for _, scope := range slices.Sorted(maps.Keys(next.Chunks)) {
		digest := next.Chunks[scope]
		if current.Chunks[scope] == digest {
			continue
		}
		value, err := sheet.EncodeChunk(nextTree.Chunk(scope))
		if err != nil {
			return err
		}
		err = retryUnavailable(ctx, func() error {
			_, createErr := s.Objects.Create(ctx, chunkKey(digest), value)
			return createErr
		})
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return fmt.Errorf("store chunk %q: %w", scope, err)
		}
	}
	return nil
}
