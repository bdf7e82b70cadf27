package once

import (
	"slices"
	"time"
)

// Action is what a ledger asks its caller to do: a WriteObject, ReadObject or
// Pause.
type Action interface {
	intention()
}

// WriteObject asks for an update that is conditional on the object's version.
type WriteObject struct {
	// ExpectedVersion is zero when the object must not exist.
	ExpectedVersion uint64
	Claims          Claims
}

// ReadObject asks for a read of the object.
type ReadObject struct{}

// Pause asks for nothing until that time, or until something else is taken in
// when the time is zero.
type Pause struct {
	Until time.Time
}

func (WriteObject) intention() {}
func (ReadObject) intention()  {}
func (Pause) intention()       {}

// Outcome is how a write ended.
type Outcome uint8

// The outcomes of a write.
const (
	// Applied means that the write took effect.
	Applied Outcome = iota
	// Conflict means that the object's version was another.
	Conflict
	// Failed means that the write did not take effect and never will.
	Failed
	// Unknown means that the write may have taken effect or still may.
	Unknown
)

// NextAction returns what to do now. Each WriteObject and ReadObject is returned once
// and answered by Written, Read or ReadFailed; there is one at a time.
func (l *KeyTable[A]) NextAction(now time.Time) Action {
	switch {
	case l.InMemory || l.flight || l.reading || l.pending == 0 && !l.doubt && !l.unclean:
		return Pause{}
	case now.Before(l.next):
		return Pause{Until: l.next}
	case !l.loaded || l.doubt:
		l.reading = true
		return ReadObject{}
	default:
		return l.write(now)
	}
}

// write hands out the next content: every claim that stands, and pending ones as
// long as there is room.
func (l *KeyTable[A]) write(now time.Time) Action {
	l.purge(now)
	claims := Claims{Entries: make([]Claim, 0, len(l.keys))}
	fresh := make([]KeyHash, 0, l.pending)
	for hash, k := range l.keys {
		switch {
		case k.state == released:
			k.dropping = true
		case k.state == pending && !k.sent:
			fresh = append(fresh, hash)
		default:
			claims.Entries = k.appendClaim(now, hash, claims.Entries)
		}
	}
	l.next = now.Add(l.gap(len(claims.Entries) + len(fresh)))
	room := max(l.limit()-len(claims.Entries), 0)
	if room == 0 && l.pending > 0 && len(fresh) == l.pending {
		return Pause{Until: l.next}
	}
	slices.SortFunc(fresh, compareKeys)
	for _, hash := range fresh[:min(room, len(fresh))] {
		entry := l.keys[hash]
		entry.sent, entry.expires = true, now.Add(entry.window)
		claims.Entries = entry.appendClaim(now, hash, claims.Entries)
	}
	claims.sort()
	l.flight, l.unclean = true, false
	return WriteObject{ExpectedVersion: l.version, Claims: claims}
}

// appendClaim appends the key's claim as long as it counts.
func (k *key) appendClaim(now time.Time, hash KeyHash, claims []Claim) []Claim {
	left := k.expires.Sub(now)
	if k.state == running {
		left = max(left, k.window)
	}
	if left <= 0 {
		return claims
	}
	return append(claims, Claim{Key: hash, Token: k.claim, Remaining: left})
}

// gap returns the time to the next read or write after one of that many claims.
// It doubles while reads and writes fail.
func (l *KeyTable[A]) gap(claims int) time.Duration {
	gap, bandwidth := l.MinInterval, l.Bandwidth
	if gap == 0 {
		gap = DefaultMinInterval
	}
	if bandwidth == 0 {
		bandwidth = DefaultBandwidth
	}
	gap <<= min(l.failures, maxDoublings)
	return max(gap, time.Duration(claims*claimBytes)*time.Second/time.Duration(bandwidth))
}

// HandleWrite takes in how the write ended, and the object's new version when it was
// applied. It returns the grants of the claims that stand.
func (l *KeyTable[A]) HandleWrite(now time.Time, outcome Outcome, version uint64) (grants []Grant) {
	l.flight = false
	l.unclean = l.unclean || outcome != Applied
	switch outcome {
	case Applied:
		l.version, l.failures = version, 0
		return l.settle(now)
	case Conflict:
		l.doubt = true
	case Failed:
		// The next write expects the same version: nothing else changed.
		l.failed(now)
	default:
		l.doubt = true
		l.failed(now)
	}
	return nil
}

// settle grants the keys of a write that was applied.
func (l *KeyTable[A]) settle(now time.Time) (grants []Grant) {
	for hash, k := range l.keys {
		switch {
		case k.state == pending && k.sent:
			grants = l.grant(now, grants, hash, k)
		case k.state == released && k.dropping:
			l.remove(hash)
		}
	}
	return sortGrants(grants)
}

// grant ends the wait of a pending key whose claim stands.
func (l *KeyTable[A]) grant(now time.Time, grants []Grant, hash KeyHash, entry *key) []Grant {
	l.pending--
	result := Grant{Key: hash, Token: entry.attempt, Kind: Run, Until: entry.expires}
	switch {
	case !now.Before(entry.expires):
		entry.state, result.Kind = foreign, InDoubt
	case entry.orphan:
		entry.state = released
	default:
		entry.state = running
	}
	if entry.orphan {
		return grants
	}
	return append(grants, result)
}

// HandleRead takes in the object as a read showed it; version zero means that there is
// none. It returns the grants of the claims that stand, and of those that can't.
func (l *KeyTable[A]) HandleRead(now time.Time, version uint64, claims Claims) (grants []Grant) {
	l.reading, l.doubt, l.failures = false, false, 0
	moved := !l.loaded || version != l.version
	l.loaded, l.version = true, version
	for _, c := range claims.Entries {
		grants = l.meet(now, grants, c)
	}
	if moved {
		l.dropAbsent(claims)
	}
	return sortGrants(grants)
}

// meet compares one claim of the object with what is known of its key.
func (l *KeyTable[A]) meet(now time.Time, grants []Grant, claim Claim) []Grant {
	expires := now.Add(claim.Remaining)
	entry, ok := l.keys[claim.Key]
	if !ok {
		if l.keys == nil {
			l.keys = make(map[KeyHash]*key)
		}
		l.keys[claim.Key] = &key{state: foreign, claim: claim.Token, expires: expires}
		return grants
	}
	switch {
	case entry.state == pending && entry.sent && entry.claim == claim.Token:
		return l.grant(now, grants, claim.Key, entry)
	case entry.state == pending:
		l.pending--
		if !entry.orphan {
			grants = append(grants, Grant{Key: claim.Key, Token: entry.attempt, Kind: InDoubt})
		}
		*entry = key{state: foreign, claim: claim.Token, expires: expires}
	case entry.state == foreign && entry.claim == claim.Token:
		entry.expires = later(entry.expires, expires)
	case (entry.state == running || entry.state == answered) && entry.claim != claim.Token:
		entry.claim, entry.taken, entry.expires = claim.Token, true, later(entry.expires, expires)
	case entry.state == foreign, entry.state == released && (entry.dropping || entry.claim != claim.Token):
		*entry = key{state: foreign, claim: claim.Token, expires: later(entry.expires, expires)}
	}
	return grants
}

// dropAbsent forgets the released keys that another version of the object no
// longer claims.
func (l *KeyTable[A]) dropAbsent(claims Claims) {
	for hash, k := range l.keys {
		if k.state != released {
			continue
		}
		if _, ok := claims.Find(hash); !ok {
			l.remove(hash)
		}
	}
}

// Refresh asks for a read of the object before a key needs it, as at the start
// of an ownership.
func (l *KeyTable[A]) Refresh() {
	l.doubt = true
}

// HandleReadError takes in that a read got no answer.
func (l *KeyTable[A]) HandleReadError(now time.Time) {
	l.reading, l.doubt = false, true
	l.failed(now)
}

// failed puts off the next read or write.
func (l *KeyTable[A]) failed(now time.Time) {
	l.failures++
	l.next = later(l.next, now.Add(l.gap(0)))
}

// ExtendInDoubt takes in that an owner in memory only follows another whose claims it
// was not handed: new keys are in doubt for the window.
func (l *KeyTable[A]) ExtendInDoubt(now time.Time, window time.Duration) {
	l.doubtUntil = later(l.doubtUntil, now.Add(window))
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

func sortGrants(grants []Grant) []Grant {
	slices.SortFunc(grants, func(left, right Grant) int { return compareKeys(left.Key, right.Key) })
	return grants
}
