// Package claims keeps the idempotency keys of the calls that this host's
// upstream runs. It carries out what package once decides for each shard of
// keys, and makes calls wait for their claims. Its state belongs to calls in
// progress, so traffic threads share it under a lock, one lock a shard.
package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/serve"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/once"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// answerBytes bounds the first answers held for repeats in one shard.
const answerBytes = 256 << 10

// Why a keyed call was not run.
var (
	errFull    = errors.New("too many keys are remembered")
	errWaiting = errors.New("the call ended before its key was claimed")
)

// reasonFirstRunning is told to a repeat that ends while the first call runs.
const reasonFirstRunning = "first-call-running"

// Objects is what this package asks of the platform.
type Objects interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Create(ctx context.Context, key string, value []byte) (store.Object, error)
	Update(ctx context.Context, key string, value []byte, version uint64) (store.Object, error)
}

// Registry implements serve.Claims. Its fields must be set before its first use.
type Registry struct {
	Objects Objects
	// Host is this node's.
	Host mesh.HostID

	running sync.WaitGroup

	mutex sync.Mutex
	// ctx ends when the keeper is closed; nil until first use; guarded by mutex.
	ctx    context.Context
	cancel context.CancelFunc
	// shards holds the shards that calls have come for; guarded by mutex.
	shards map[shardID]*shard
	// started is when the keeper was first used; guarded by mutex.
	started time.Time
	// owners holds the hosts of each service as last told; guarded by mutex.
	owners map[mesh.ServiceID][]mesh.HostID
	// gained holds when this host became a shard's owner; guarded by mutex.
	gained map[gain]time.Time
}

// gain names a shard that this host came to own.
type gain struct {
	id     mesh.ServiceID
	number uint32
}

// shardID names one shard of a service's keys.
type shardID struct {
	id     mesh.ServiceID
	number uint32
	store  tree.IdempotencyStore
}

// keyed is what a call's head says of its key.
type keyed struct {
	shardID
	hash   once.KeyHash
	token  once.Token
	window time.Duration
}

func keyedOf(call *peer.Call) keyed {
	id := mesh.ServiceID{
		Customer: mesh.Customer(call.Head.GetCustomer()), Service: mesh.Service(call.Head.GetService()),
	}
	hash := once.HashKey(id, call.Head.GetKey())
	return keyed{
		shardID: shardID{id: id, number: hash.Shard(), store: tree.IdempotencyStore(call.Head.GetKeyStore())},
		hash:    hash,
		token:   once.TokenOf(call.Head.GetAttempt()),
		window:  time.Duration(call.Head.GetKeyWindowMicros()) * time.Microsecond,
	}
}

// Claim implements serve.Claims.
func (k *Registry) Claim(ctx context.Context, call *peer.Call) (verdict serve.ClaimResult, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("claim key: %w", err)
		}
	}()
	key := keyedOf(call)
	return k.shard(key).claim(ctx, key)
}

// Complete implements serve.Claims.
func (k *Registry) Complete(call *peer.Call, answer serve.Response) {
	key := keyedOf(call)
	k.shard(key).finish(key, answer)
}

// Release implements serve.Claims.
func (k *Registry) Release(call *peer.Call) {
	key := keyedOf(call)
	k.shard(key).release(key)
}

// Close ends the writes underway and waits for them.
func (k *Registry) Close() {
	k.mutex.Lock()
	if k.cancel != nil {
		k.cancel()
	}
	k.mutex.Unlock()
	k.running.Wait()
}

// shard returns the shard of the key, which begins when its first call comes.
func (k *Registry) shard(key keyed) *shard {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.init()
	s := k.shards[key.shardID]
	if s == nil {
		s = newShard(k, key.shardID)
		k.shards[key.shardID] = s
	}
	if since := k.ownedSince(key.shardID); key.store == tree.MemoryStore && since.After(s.inherited) {
		s.inherit(since, key.window)
	}
	return s
}

func (k *Registry) init() {
	if k.ctx != nil {
		return
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.shards = make(map[shardID]*shard)
	k.owners = make(map[mesh.ServiceID][]mesh.HostID)
	k.gained = make(map[gain]time.Time)
	k.started = time.Now()
}

// ownedSince returns when this host came to own the shard.
func (k *Registry) ownedSince(id shardID) time.Time {
	if at, ok := k.gained[gain{id: id.id, number: id.number}]; ok {
		return at
	}
	return k.started
}

// SetHosts takes in the hosts of a service among which its shards are spread.
func (k *Registry) SetHosts(now time.Time, id mesh.ServiceID, hosts []mesh.HostID) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.init()
	for _, number := range once.GainedShards(id, k.Host, k.owners[id], hosts) {
		k.gained[gain{id: id, number: number}] = now
	}
	k.owners[id] = hosts
}
