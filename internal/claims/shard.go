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

// shard is one shard's ledger with the calls that wait for it.
type shard struct {
	keeper *Registry
	// inherited is when the host came to own a shard that is kept in memory;
	// guarded by the keeper's mutex.
	inherited time.Time
	// object is the key of the shard's object in the platform.
	object string

	mutex sync.Mutex
	// ledger decides; guarded by mutex.
	ledger once.KeyTable[serve.Response]
	// grants holds where the calls that wait for a write are told; guarded by mutex.
	grants map[once.Token]chan once.Grant
	// changed is closed when a call in hand ends; nil while nobody waits; guarded by mutex.
	changed chan struct{}
	// timer asks for the next batch; nil while none is due; guarded by mutex.
	timer *time.Timer
}

func newShard(keeper *Registry, id shardID) *shard {
	s := &shard{
		keeper: keeper,
		object: fmt.Sprintf("once/%s/%d", id.id, id.number),
		grants: make(map[once.Token]chan once.Grant),
	}
	s.ledger.Responses = &once.ResponseCache[serve.Response]{MaxBytes: answerBytes}
	s.ledger.InMemory = id.store == tree.MemoryStore
	return s
}

// claim decides what a call may do, and waits until that is known.
func (s *shard) claim(ctx context.Context, key keyed) (verdict serve.ClaimResult, err error) {
	for {
		s.mutex.Lock()
		decision := s.ledger.Begin(time.Now(), key.hash, key.token, key.window)
		switch decision.Kind {
		case once.ClaimPending:
			granted := make(chan once.Grant, 1)
			s.grants[key.token] = granted
			s.pump()
			s.mutex.Unlock()
			return s.awaitGrant(ctx, key, granted)
		case once.InProgress:
			ended := s.ended()
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
		return verdictOf(decision)
	}
}

func verdictOf(decision once.Decision[serve.Response]) (verdict serve.ClaimResult, err error) {
	switch decision.Kind {
	case once.Run:
		return serve.ClaimResult{Action: serve.Run}, nil
	case once.Replay:
		return serve.ClaimResult{Action: serve.Replay, Response: decision.Response}, nil
	case once.Full:
		return verdict, errFull
	default:
		return serve.ClaimResult{Action: serve.InDoubt}, nil
	}
}

// awaitGrant waits until the claim is known to stand, or the call ends first.
func (s *shard) awaitGrant(ctx context.Context, key keyed, granted <-chan once.Grant) (verdict serve.ClaimResult, err error) {
	select {
	case g := <-granted:
		return s.used(key, g)
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.grants, key.token)
	select {
	case g := <-granted:
		if g.Kind == once.Run {
			s.ledger.Release(key.hash, key.token)
		}
	default:
		s.ledger.CancelClaim(key.hash, key.token)
	}
	s.tell()
	return verdict, errWaiting
}

// used turns a grant into a verdict; one that came too late is given back.
func (s *shard) used(key keyed, grant once.Grant) (verdict serve.ClaimResult, err error) {
	if grant.Kind != once.Run {
		return serve.ClaimResult{Action: serve.InDoubt}, nil
	}
	if time.Now().Before(grant.Until) {
		return serve.ClaimResult{Action: serve.Run}, nil
	}
	s.release(key)
	return verdict, errWaiting
}

// finish takes in the first answer; one that is too long to keep leaves the key
// answered without it, so that repeats are in doubt.
func (s *shard) finish(key keyed, answer serve.Response) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if answer.Complete {
		s.ledger.Complete(key.hash, key.token, answer, len(answer.Body))
	} else {
		s.ledger.MarkInDoubt(key.hash, key.token)
	}
	s.tell()
}

// inherit puts new keys in doubt for a window from when the host came to own
// the shard, since an earlier owner may have run them.
func (s *shard) inherit(since time.Time, window time.Duration) {
	s.inherited = since
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ledger.ExtendInDoubt(since, window)
}

func (s *shard) release(key keyed) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ledger.Release(key.hash, key.token)
	s.pump()
	s.tell()
}

// ended returns a channel that is closed when a call in hand ends.
func (s *shard) ended() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// tell wakes the repeats that wait.
func (s *shard) tell() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// pump carries out what the ledger intends. The lock is held.
func (s *shard) pump() {
	now := time.Now()
	switch i := s.ledger.NextAction(now).(type) {
	case once.WriteObject:
		s.keeper.running.Go(func() { s.write(i) })
	case once.ReadObject:
		s.keeper.running.Go(s.read)
	case once.Pause:
		if i.Until.IsZero() {
			return
		}
		if s.timer != nil {
			s.timer.Stop()
		}
		s.timer = time.AfterFunc(i.Until.Sub(now), s.pumpLater)
	}
}

func (s *shard) pumpLater() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.keeper.context().Err() == nil {
		s.pump()
	}
}

// write stores the shard's claims on condition of the object's version.
func (s *shard) write(intention once.WriteObject) {
	ctx, value := s.keeper.context(), encode(intention.Claims)
	var object store.Object
	var err error
	if intention.ExpectedVersion == 0 {
		object, err = s.keeper.Objects.Create(ctx, s.object, value)
	} else {
		object, err = s.keeper.Objects.Update(ctx, s.object, value, intention.ExpectedVersion)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deliver(s.ledger.HandleWrite(time.Now(), outcomeOf(err), object.Version))
	s.pump()
}

func outcomeOf(err error) once.Outcome {
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

// read takes in the shard's object.
func (s *shard) read() {
	object, err := s.keeper.Objects.Get(s.keeper.context(), s.object)
	var claims once.Claims
	if err == nil {
		claims, err = decode(object.Value)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		s.ledger.HandleReadError(now)
	} else {
		s.deliver(s.ledger.HandleRead(now, object.Version, claims))
	}
	s.pump()
}

// deliver tells the waiting calls what became of their claims.
func (s *shard) deliver(grants []once.Grant) {
	for _, g := range grants {
		if granted, ok := s.grants[g.Token]; ok {
			delete(s.grants, g.Token)
			granted <- g
		}
	}
	if len(grants) > 0 {
		s.tell()
	}
}

// context returns the context of the keeper's calls to the platform.
func (k *Registry) context() context.Context {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.ctx
}
