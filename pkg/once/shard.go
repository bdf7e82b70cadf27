package once

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// NumShards is the count of shards that the keys of one service fall into.
const NumShards = 16

// MaxClaims bounds the claims in one shard object to which a new one is added.
const MaxClaims = 4096

// maxEntries bounds the claims in an object that is read: two owners that follow
// each other may each have filled it.
const maxEntries = 2 * MaxClaims

// claimBytes is about what one claim takes in an object.
const claimBytes = 40

// ErrMalformedClaims means that the content of a shard object is not well formed.
var ErrMalformedClaims = errors.New("malformed claims")

// KeyHash stands for a service's key: collisions of honest or forged keys are
// out of reach.
type KeyHash [16]byte

// Token names one attempt of a request; no two attempts share one.
type Token [16]byte

// HashKey returns the hash of a service's key.
func HashKey(id mesh.ServiceID, key string) (hash KeyHash) {
	data := make([]byte, 0, len(id.Customer)+len(id.Service)+len(key)+2)
	data = append(data, id.Customer...)
	data = append(data, 0)
	data = append(data, id.Service...)
	data = append(data, 0)
	data = append(data, key...)
	sum := sha256.Sum256(data)
	copy(hash[:], sum[:])
	return hash
}

// TokenOf returns the token of an attempt with a unique name.
func TokenOf(attempt string) (token Token) {
	sum := sha256.Sum256([]byte(attempt))
	copy(token[:], sum[:])
	return token
}

// Shard returns the shard of a service's key.
func Shard(id mesh.ServiceID, key string) uint32 {
	return HashKey(id, key).Shard()
}

// Shard returns the shard that the key falls into.
func (h KeyHash) Shard() uint32 {
	return binary.BigEndian.Uint32(h[len(h)-4:]) % NumShards
}

// Owner returns the host that owns the shard, by rendezvous hashing over the
// service's hosts; ok is false when there are none.
func Owner(id mesh.ServiceID, shard uint32, hosts []mesh.HostID) (owner mesh.HostID, ok bool) {
	var space [3*mesh.MaxNameLength + 8]byte
	prefix := append(space[:0], id.Customer...)
	prefix = append(prefix, '/')
	prefix = append(prefix, id.Service...)
	prefix = binary.BigEndian.AppendUint32(prefix, shard)
	var best uint64
	for _, h := range hosts {
		score := xxhash.Sum64(append(prefix, h...))
		if !ok || score > best || score == best && h < owner {
			owner, best, ok = h, score, true
		}
	}
	return owner, ok
}

// GainedShards returns the shards that self owns among the hosts after a change of
// membership and did not own before it. Without hosts before, as at a start, an
// earlier owner can't be excluded and every shard owned is gained.
func GainedShards(id mesh.ServiceID, self mesh.HostID, before, after []mesh.HostID) (shards []uint32) {
	for shard := range uint32(NumShards) {
		owner, ok := Owner(id, shard, after)
		if !ok || owner != self {
			continue
		}
		if earlier, ok := Owner(id, shard, before); !ok || earlier != self {
			shards = append(shards, shard)
		}
	}
	return shards
}

// Claim says that the owner with the token may have handed the key over.
type Claim struct {
	Key   KeyHash
	Token Token
	// Remaining is how long the claim stands from when it is read; it is above zero.
	Remaining time.Duration
}

// Claims is the content of one shard object.
type Claims struct {
	// Entries is sorted by key, without repeats, at most 2*MaxClaims long.
	Entries []Claim
}

// Find returns the claim of the key.
func (c Claims) Find(key KeyHash) (claim Claim, ok bool) {
	index, ok := slices.BinarySearchFunc(c.Entries, key, func(entry Claim, wanted KeyHash) int {
		return compareKeys(entry.Key, wanted)
	})
	if !ok {
		return Claim{}, false
	}
	return c.Entries[index], true
}

// Validate reports the first fault of a content that was read.
func (c Claims) Validate() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w: %w", ErrMalformedClaims, err)
		}
	}()
	if len(c.Entries) > maxEntries {
		return fmt.Errorf("%d entries, want at most %d", len(c.Entries), maxEntries)
	}
	for i, e := range c.Entries {
		if e.Remaining <= 0 {
			return fmt.Errorf("entry %d has %s left", i, e.Remaining)
		}
		if i > 0 && compareKeys(c.Entries[i-1].Key, e.Key) >= 0 {
			return fmt.Errorf("entry %d is out of order", i)
		}
	}
	return nil
}

func (c Claims) sort() {
	slices.SortFunc(c.Entries, func(left, right Claim) int { return compareKeys(left.Key, right.Key) })
}

func compareKeys(left, right KeyHash) int {
	return cmp.Or(
		cmp.Compare(binary.BigEndian.Uint64(left[:8]), binary.BigEndian.Uint64(right[:8])),
		cmp.Compare(binary.BigEndian.Uint64(left[8:]), binary.BigEndian.Uint64(right[8:])),
	)
}
