package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/once"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// shard holds the keys of one shard and the calls that wait for their claims.
type shard struct {
	registry *Registry
	// ownedSince is when the host became the owner, if the shard is stored in memory
	// only; guarded by the registry's mutex.
	ownedSince time.Time
	// objectKey is the key of the shard's object in the platform.
	objectKey string

	mutex sync.Mutex
	// table makes the decisions; guarded by mutex.
	table once.KeyTable[serve.Response]
	// pendingGrants holds the channels of the calls that wait for a write, each with
	// room for one grant; guarded by mutex.
	pendingGrants map[once.Token]chan once.Grant
	// callEnded is closed when a call that holds a key ends; nil if no call waits for
	// that; guarded by mutex.
	callEnded chan struct{}
	// timer runs the next action of the table; nil until one is delayed; guarded by
	// mutex.
	timer *time.Timer
}

func newShard(registry *Registry, id shardID) *shard {
	s := &shard{
		registry:      registry,
		objectKey:     fmt.Sprintf("once/%s/%d", id.service, id.number),
		pendingGrants: make(map[once.Token]chan once.Grant),
	}
	s.table.Responses = &once.ResponseCache[serve.Response]{MaxBytes: maxCachedResponseBytes}
	s.table.InMemory = id.store == tree.MemoryStore
	return s
}

// claim claims the key and waits for the result. While another call with the key is
// running, it waits for the end of that call.
func (s *shard) claim(ctx context.Context, key claimKey) (result serve.ClaimResult, err error) {
	for {
		s.mutex.Lock()
		decision := s.table.Begin(time.Now(), key.hash, key.token, key.window)
		switch decision.Kind {
		case once.ClaimPending:
			granted := make(chan once.Grant, 1)
			s.pendingGrants[key.token] = granted
			s.runNextAction()
			s.mutex.Unlock()
			return s.awaitGrant(ctx, key, granted)
		case once.InProgress:
			ended := s.callEndedChan()
			s.mutex.Unlock()
			select {
			case <-ended:
			case <-ctx.Done():
				return serve.ClaimResult{Action: serve.InDoubt, Reason: reasonFirstRunning}, nil
			}
			continue
		default:
		}
		s.mutex.Unlock()
		return resultOf(decision)
	}
}

func resultOf(decision once.Decision[serve.Response]) (result serve.ClaimResult, err error) {
	switch decision.Kind {
	case once.Run:
		return serve.ClaimResult{Action: serve.Run}, nil
	case once.Replay:
		return serve.ClaimResult{Action: serve.Replay, Response: decision.Response}, nil
	case once.Full:
		return result, errTooManyKeys
	default:
		return serve.ClaimResult{Action: serve.InDoubt}, nil
	}
}

// awaitGrant waits for the result of a pending claim or the end of the call.
func (s *shard) awaitGrant(ctx context.Context, key claimKey, granted <-chan once.Grant) (result serve.ClaimResult, err error) {
	select {
	case g := <-granted:
		return s.useGrant(key, g)
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pendingGrants, key.token)
	select {
	case g := <-granted:
		if g.Kind == once.Run {
			s.table.Release(key.hash, key.token)
		}
	default:
		s.table.CancelClaim(key.hash, key.token)
	}
	s.notifyWaiters()
	return result, errNotClaimed
}

// useGrant converts a grant to a result. It releases a claim whose grant arrived too
// late to be used.
func (s *shard) useGrant(key claimKey, grant once.Grant) (result serve.ClaimResult, err error) {
	if grant.Kind != once.Run {
		return serve.ClaimResult{Action: serve.InDoubt}, nil
	}
	if time.Now().Before(grant.Until) {
		return serve.ClaimResult{Action: serve.Run}, nil
	}
	s.release(key)
	return result, errNotClaimed
}

// complete stores the response to the first call. If the response is too long to be
// stored, repeated calls are in doubt.
func (s *shard) complete(key claimKey, response serve.Response) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if response.Complete {
		s.table.Complete(key.hash, key.token, response, len(response.Body))
	} else {
		s.table.MarkInDoubt(key.hash, key.token)
	}
	s.notifyWaiters()
}

// markInherited puts new keys in doubt until the window has passed since the host
// became the owner, because the previous owner may have run them.
func (s *shard) markInherited(since time.Time, window time.Duration) {
	s.ownedSince = since
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.ExtendInDoubt(since, window)
}

func (s *shard) release(key claimKey) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.table.Release(key.hash, key.token)
	s.runNextAction()
	s.notifyWaiters()
}

// callEndedChan returns a channel that is closed when a call that holds a key ends.
// The caller must hold the mutex.
func (s *shard) callEndedChan() <-chan struct{} {
	if s.callEnded == nil {
		s.callEnded = make(chan struct{})
	}
	return s.callEnded
}

// notifyWaiters wakes the calls that wait for the end of another call. The caller
// must hold the mutex.
func (s *shard) notifyWaiters() {
	if s.callEnded != nil {
		close(s.callEnded)
		s.callEnded = nil
	}
}

// runNextAction executes the next action of the table. The caller must hold the
// mutex.
func (s *shard) runNextAction() {
	now := time.Now()
	switch action := s.table.NextAction(now).(type) {
	case once.WriteObject:
		s.registry.running.Go(func() { s.write(action) })
	case once.ReadObject:
		s.registry.running.Go(s.read)
	case once.Pause:
		if action.Until.IsZero() {
			return
		}
		if s.timer != nil {
			s.timer.Stop()
		}
		s.timer = time.AfterFunc(action.Until.Sub(now), s.handleTimer)
	}
}

func (s *shard) handleTimer() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.registry.context().Err() == nil {
		s.runNextAction()
	}
}

// write writes the claims to the shard's object if the object still has the expected
// version.
func (s *shard) write(action once.WriteObject) {
	ctx, value := s.registry.context(), encode(action.Claims)
	var object store.Object
	var err error
	if action.ExpectedVersion == 0 {
		object, err = s.registry.Objects.Create(ctx, s.objectKey, value)
	} else {
		object, err = s.registry.Objects.Update(ctx, s.objectKey, value, action.ExpectedVersion)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deliverGrants(s.table.HandleWrite(time.Now(), writeOutcome(err), object.Version))
	s.runNextAction()
}

func writeOutcome(err error) once.Outcome {
	switch {
	case err == nil:
		return once.Applied
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		return once.Conflict
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrInvalid):
		return once.Failed
	default:
		return once.Unknown
	}
}

// read reads the shard's object.
func (s *shard) read() {
	object, err := s.registry.Objects.Get(s.registry.context(), s.objectKey)
	var claims once.Claims
	if err == nil {
		claims, err = decode(object.Value)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		s.table.HandleReadError(now)
	} else {
		s.deliverGrants(s.table.HandleRead(now, object.Version, claims))
	}
	s.runNextAction()
}

// deliverGrants passes the grants to the waiting calls. The caller must hold the
// mutex.
func (s *shard) deliverGrants(grants []once.Grant) {
	for _, g := range grants {
		if granted, ok := s.pendingGrants[g.Token]; ok {
			delete(s.pendingGrants, g.Token)
			granted <- g
		}
	}
	if len(grants) > 0 {
		s.notifyWaiters()
	}
}

// context returns the context for calls to the platform.
func (r *Registry) context() context.Context {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.ctx
}
