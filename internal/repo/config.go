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

// submitTries bounds how often a change is tried against a head that moved.
const submitTries = 20

// ChunkCache finds chunks that this process holds already.
type ChunkCache interface {
	Find(scope tree.Path, digest mesh.Digest) *tree.Chunk
}

// ConfigStore accepts operators' changes: whole, by one conditional update of the
// head, or not at all. It is safe for concurrent use.
type ConfigStore struct {
	Objects Objects
	// Cache is nil when there is none.
	Cache ChunkCache
}

// Head returns the head with the version of its object. With no configuration
// yet, both are zero.
func (s *ConfigStore) Head(ctx context.Context) (head tree.Head, version uint64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read head: %w", err)
		}
	}()
	var object store.Object
	err = patiently(ctx, func() (err error) {
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

// Read returns the head and its whole tree. With no configuration yet, both
// are empty.
func (s *ConfigStore) Read(ctx context.Context) (head tree.Head, whole *tree.Tree, version uint64, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read configuration: %w", err)
		}
	}()
	if head, version, err = s.Head(ctx); err != nil {
		return head, nil, 0, err
	}
	whole, err = s.readTree(ctx, head)
	return head, whole, version, err
}

func (s *ConfigStore) readTree(ctx context.Context, head tree.Head) (whole *tree.Tree, err error) {
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
			return nil, fmt.Errorf("chunk %q: digest does not match", ref.Scope)
		}
		chunks[ref.Scope] = read[i]
	}
	return tree.New(chunks), nil
}

// Submit accepts the change, or returns why it is refused: one of the errors of
// tree.Head.Accept or of the platform. A change that was accepted before under
// the same ID is reported as accepted.
func (s *ConfigStore) Submit(ctx context.Context, change tree.Change) (version mesh.Version, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("change %q: %w", change.ID, err)
		}
	}()
	var backoff relay.Backoff
	doubt := false
	for range submitTries {
		version, err = s.try(ctx, change)
		doubt = doubt || errors.Is(err, store.ErrOutcomeUnknown)
		if doubt && errors.Is(err, store.ErrUnavailable) {
			// An earlier try may have taken effect.
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

// try accepts the change against the present head. After a lost answer the next
// try finds the change in the head, if it took effect.
func (s *ConfigStore) try(ctx context.Context, change tree.Change) (version mesh.Version, err error) {
	head, whole, objectVersion, err := s.Read(ctx)
	if err != nil {
		return 0, err
	}
	next, nextTree, err := head.Accept(whole, change, time.Now())
	var already *tree.AlreadyAcceptedError
	if errors.As(err, &already) {
		return already.Version, nil
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
	err = patiently(ctx, func() (err error) {
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

// writeChunks stores the chunks that the next head names and the present one
// does not. They are named by content, so that one that is there already is right.
func (s *ConfigStore) writeChunks(ctx context.Context, head, next tree.Head, nextTree *tree.Tree) (err error) {
	for _, scope := range slices.Sorted(maps.Keys(next.Chunks)) {
		digest := next.Chunks[scope]
		if head.Chunks[scope] == digest {
			continue
		}
		value, err := sheet.EncodeChunk(nextTree.Chunk(scope))
		if err != nil {
			return err
		}
		err = patiently(ctx, func() error {
			_, createErr := s.Objects.Create(ctx, chunkKey(digest), value)
			return createErr
		})
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return fmt.Errorf("store chunk %q: %w", scope, err)
		}
	}
	return nil
}
