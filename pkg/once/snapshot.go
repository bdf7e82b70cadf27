package once

import (
	"slices"
	"time"
)

// Snapshot is what an owner hands to the next one at a planned stop.
type Snapshot[A any] struct {
	// Claims holds every key that may have been handed over, running ones too.
	Claims Claims
	// Responses holds the first answers that are still held, sorted by key; each
	// key stands in Claims.
	Responses []CachedResponse[A]
	// InDoubtFor is how long the owner itself would have answered new keys in doubt.
	InDoubtFor time.Duration
}

// CachedResponse is the first answer of a key.
type CachedResponse[A any] struct {
	Key      KeyHash
	Response A
	// Size is what the answer takes in memory, in bytes.
	Size int
}

// Export returns what the next owner is to be handed. The ledger grants nothing
// after it. With the platform a hand-over only saves the answers; in memory only
// it also spares the next owner the doubt.
func (l *KeyTable[A]) Export(now time.Time) (handover Snapshot[A]) {
	l.purge(now)
	for hash, k := range l.keys {
		if k.state == pending || k.state == released {
			continue
		}
		handover.Claims.Entries = k.appendClaim(now, hash, handover.Claims.Entries)
		if k.state != answered || l.Responses == nil {
			continue
		}
		if answer, size, ok := l.Responses.find(now, hash); ok {
			handover.Responses = append(handover.Responses, CachedResponse[A]{Key: hash, Response: answer, Size: size})
		}
	}
	handover.Claims.sort()
	slices.SortFunc(handover.Responses, func(left, right CachedResponse[A]) int {
		return compareKeys(left.Key, right.Key)
	})
	handover.InDoubtFor = max(l.doubtUntil.Sub(now), 0)
	l.closed = true
	return handover
}

// Import takes over from an owner that exported. It puts that owner's doubt in
// place of what Inherit set. A key that this ledger knows already keeps what is
// known of it, but for an answer that was missing. It returns the grants of the
// requests that waited for a key that the earlier owner claimed: all in doubt.
func (l *KeyTable[A]) Import(now time.Time, handover Snapshot[A]) (grants []Grant) {
	for _, c := range handover.Claims.Entries {
		grants = l.meet(now, grants, c)
	}
	for _, a := range handover.Responses {
		entry, ok := l.keys[a.Key]
		claim, claimed := handover.Claims.Find(a.Key)
		if !ok || !claimed || entry.state != foreign || entry.claim != claim.Token || l.Responses == nil {
			continue
		}
		entry.state = answered
		l.Responses.Put(a.Key, a.Response, a.Size, entry.expires)
	}
	l.doubtUntil = now.Add(handover.InDoubtFor)
	return sortGrants(grants)
}
