package once

import (
	"slices"
	"time"
)

// Snapshot is the state that an owner transfers to its successor at a planned
// shutdown.
type Snapshot[R any] struct {
	// Claims holds every key that may have been forwarded, including running
	// ones.
	Claims Claims
	// Responses holds the first responses that are still cached, sorted by key.
	// Claims has an entry for each of their keys.
	Responses []CachedResponse[R]
	// InDoubtFor is how much longer the exporting owner would have answered
	// InDoubt for new keys.
	InDoubtFor time.Duration
}

// CachedResponse is the response to the first request of a key.
type CachedResponse[R any] struct {
	Key      KeyHash
	Response R
	// Size is the memory that the response takes, in bytes.
	Size int
}

// Export returns the state for the next owner. The table grants nothing
// afterwards. With the platform store a transfer only preserves the responses; in
// memory-only mode it also lets the next owner grant new keys without waiting for
// the window to pass.
func (t *KeyTable[R]) Export(now time.Time) (snapshot Snapshot[R]) {
	t.removeExpired(now)
	for hash, k := range t.keys {
		if k.state == pending || k.state == released {
			continue
		}
		snapshot.Claims.Entries = k.appendClaim(now, hash, snapshot.Claims.Entries)
		if k.state != completed || t.Responses == nil {
			continue
		}
		if response, size, ok := t.Responses.lookup(now, hash); ok {
			snapshot.Responses = append(snapshot.Responses, CachedResponse[R]{Key: hash, Response: response, Size: size})
		}
	}
	snapshot.Claims.sort()
	slices.SortFunc(snapshot.Responses, func(left, right CachedResponse[R]) int {
		return compareKeys(left.Key, right.Key)
	})
	snapshot.InDoubtFor = max(t.inDoubtUntil.Sub(now), 0)
	t.exported = true
	return snapshot
}

// Import loads the snapshot of the previous owner. The snapshot's InDoubtFor
// replaces the time set by ExtendInDoubt. A key that this table already knows
// keeps its state, except that a missing response is added. Import returns the
// grants for requests that waited for a key which the previous owner had claimed;
// all of them are InDoubt.
func (t *KeyTable[R]) Import(now time.Time, snapshot Snapshot[R]) (grants []Grant) {
	for _, c := range snapshot.Claims.Entries {
		grants = t.applyClaim(now, grants, c)
	}
	for _, a := range snapshot.Responses {
		entry, ok := t.keys[a.Key]
		claim, claimed := snapshot.Claims.Find(a.Key)
		if !ok || !claimed || entry.state != inDoubt || entry.claim != claim.Token || t.Responses == nil {
			continue
		}
		entry.state = completed
		t.Responses.Put(a.Key, a.Response, a.Size, entry.expires)
	}
	t.inDoubtUntil = now.Add(snapshot.InDoubtFor)
	return sortGrants(grants)
}
