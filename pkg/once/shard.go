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

// NumShards is the number of shards that the keys of one service are spread over.
const NumShards = 16

// MaxClaims bounds the claims in one shard object to which a new one is added.
const MaxClaims = 4096

// maxEntries bounds the claims in an object that is read. Two successive owners
// may each have filled it.
const maxEntries = 2 * MaxClaims

// claimBytes is the approximate size of one claim in an object.
const claimBytes = 40

// ErrMalformedClaims means that the content of a shard object is malformed.
var ErrMalformedClaims = errors.New("malformed claims")

// KeyHash identifies a service's key. It is a cryptographic hash, so collisions
// are infeasible, even with forged keys.
type KeyHash [16]byte

// Token identifies one attempt of a request and is unique to it.
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

// TokenOf returns the token of the attempt with that unique name.
func TokenOf(attempt string) (token Token) {
	sum := sha256.Sum256([]byte(attempt))
	copy(token[:], sum[:])
	return token
}

// Shard returns the shard of a service's key.
func Shard(id mesh.ServiceID, key string) uint32 {
	return HashKey(id, key).Shard()
}

// Shard returns the shard of the key.
func (h KeyHash) Shard() uint32 {
	return binary.BigEndian.Uint32(h[len(h)-4:]) % NumShards
}

// Owner returns the host that owns the shard, chosen by rendezvous hashing over
// the service's hosts. It returns false if there are none.
func Owner(id mesh.ServiceID, shard uint32, hosts []mesh.HostID) (owner mesh.HostID, ok bool) {
	var buffer [3*mesh.MaxNameLength + 8]byte
	prefix := append(buffer[:0], id.Customer...)
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

// GainedShards returns the shards that self owns after a change of membership and
// did not own before it. If there were no hosts before, as at startup, any host
// may have been the owner, so every shard that self owns counts as gained.
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

// Claim records that the request with the token may have been forwarded for the
// key.
type Claim struct {
	Key   KeyHash
	Token Token
	// Remaining is how long the claim stays in force from the time it is read. It
	// is positive.
	Remaining time.Duration
}

// Claims is the content of one shard object.
type Claims struct {
	// Entries is sorted by key, without duplicates. It has at most 2*MaxClaims
	// entries.
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

// Validate returns an error for the first defect found in claims that were read.
func (c Claims) Validate() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w: %w", ErrMalformedClaims, err)
		}
	}()
	if len(c.Entries) > maxEntries {
		return fmt.Errorf("%d claims exceed the limit of %d", len(c.Entries), maxEntries)
	}
	for i, e := range c.Entries {
		if e.Remaining <= 0 {
			return fmt.Errorf("claim %d has a remaining time of %s, want more than zero", i, e.Remaining)
		}
		if i > 0 && compareKeys(c.Entries[i-1].Key, e.Key) >= 0 {
			return fmt.Errorf("claim %d is a duplicate or out of order", i)
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
