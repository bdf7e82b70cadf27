// Package claims claims the idempotency keys of calls to this host's upstream, so
// that calls with the same key run at most once. Package once makes the decisions
// for each shard of keys; this package reads and writes the shards' objects and
// makes calls wait until their key is claimed. Its state belongs to calls in
// progress, so traffic threads access it directly, with one lock per shard.
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

// maxCachedResponseBytes is the maximum size of the cached responses of one shard.
const maxCachedResponseBytes = 256 << 10

// Reasons why the key of a call was not claimed.
var (
	errTooManyKeys = errors.New("too many idempotency keys in the shard")
	errNotClaimed  = errors.New("call ended before its key was claimed")
)

// reasonFirstRunning is the reason if a repeated call ends while the first call
// with its key is still running.
const reasonFirstRunning = "first-call-running"

// Objects accesses the objects of the platform.
type Objects interface {
	Get(ctx context.Context, key string) (store.Object, error)
	Create(ctx context.Context, key string, value []byte) (store.Object, error)
	Update(ctx context.Context, key string, value []byte, version uint64) (store.Object, error)
}

// Registry implements serve.Claims. Its fields must be set before first use.
type Registry struct {
	Objects Objects
	// Host is the host of this node.
	Host mesh.HostID

	// running counts the reads and writes in progress.
	running sync.WaitGroup

	mutex sync.Mutex
	// ctx is cancelled by Close; nil until first use; guarded by mutex.
	ctx    context.Context
	cancel context.CancelFunc
	// shards holds the shards for which there was a call; guarded by mutex.
	shards map[shardID]*shard
	// started is the time of first use; guarded by mutex.
	started time.Time
	// hosts holds the hosts of each service; guarded by mutex.
	hosts map[mesh.ServiceID][]mesh.HostID
	// gainedAt holds the times at which this host became the owner of a shard; guarded
	// by mutex.
	gainedAt map[gainedShard]time.Time
}

// gainedShard identifies a shard that this host has become the owner of. Ownership
// does not depend on the store.
type gainedShard struct {
	service mesh.ServiceID
	number  uint32
}

// shardID identifies a shard of a service's keys in one store.
type shardID struct {
	service mesh.ServiceID
	number  uint32
	store   tree.IdempotencyStore
}

// claimKey is the idempotency key of a call, as given by the head of the call.
type claimKey struct {
	shardID
	hash   once.KeyHash
	token  once.Token
	window time.Duration
}

func newClaimKey(call *peer.Call) claimKey {
	service := mesh.ServiceID{
		Customer: mesh.Customer(call.Head.GetCustomer()), Service: mesh.Service(call.Head.GetService()),
	}
	hash := once.HashKey(service, call.Head.GetKey())
	return claimKey{
		shardID: shardID{service: service, number: hash.Shard(), store: tree.IdempotencyStore(call.Head.GetKeyStore())},
		hash:    hash,
		token:   once.TokenOf(call.Head.GetAttempt()),
		window:  time.Duration(call.Head.GetKeyWindowMicros()) * time.Microsecond,
	}
}

// Claim implements serve.Claims.
func (r *Registry) Claim(ctx context.Context, call *peer.Call) (result serve.ClaimResult, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("claim key: %w", err)
		}
	}()
	key := newClaimKey(call)
	return r.shard(key).claim(ctx, key)
}

// Complete implements serve.Claims.
func (r *Registry) Complete(call *peer.Call, response serve.Response) {
	key := newClaimKey(call)
	r.shard(key).complete(key, response)
}

// Release implements serve.Claims.
func (r *Registry) Release(call *peer.Call) {
	key := newClaimKey(call)
	r.shard(key).release(key)
}

// Close cancels the reads and writes in progress and waits for them to end.
func (r *Registry) Close() {
	r.mutex.Lock()
	if r.cancel != nil {
		r.cancel()
	}
	r.mutex.Unlock()
	r.running.Wait()
}

// shard returns the shard of the key and creates it on first use.
func (r *Registry) shard(key claimKey) *shard {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.init()
	s := r.shards[key.shardID]
	if s == nil {
		s = newShard(r, key.shardID)
		r.shards[key.shardID] = s
	}
	if since := r.ownedSince(key.shardID); key.store == tree.MemoryStore && since.After(s.ownedSince) {
		s.markInherited(since, key.window)
	}
	return s
}

func (r *Registry) init() {
	if r.ctx != nil {
		return
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.shards = make(map[shardID]*shard)
	r.hosts = make(map[mesh.ServiceID][]mesh.HostID)
	r.gainedAt = make(map[gainedShard]time.Time)
	r.started = time.Now()
}

// ownedSince returns when this host became the owner of the shard, or the time of
// first use if that is not known.
func (r *Registry) ownedSince(id shardID) time.Time {
	if at, ok := r.gainedAt[gainedShard{service: id.service, number: id.number}]; ok {
		return at
	}
	return r.started
}

// SetHosts sets the hosts of a service, over which its shards are distributed.
func (r *Registry) SetHosts(now time.Time, service mesh.ServiceID, hosts []mesh.HostID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.init()
	for _, number := range once.GainedShards(service, r.Host, r.hosts[service], hosts) {
		r.gainedAt[gainedShard{service: service, number: number}] = now
	}
	r.hosts[service] = hosts
}
