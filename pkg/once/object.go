package once

import (
	"slices"
	"time"
)

// Action is what a KeyTable asks its caller to do: WriteObject, ReadObject or
// Pause.
type Action interface {
	action()
}

// WriteObject asks for an update that is conditional on the object's version.
type WriteObject struct {
	// ExpectedVersion is zero if the object must not exist.
	ExpectedVersion uint64
	Claims          Claims
}

// ReadObject asks for a read of the object.
type ReadObject struct{}

// Pause asks the caller to wait until the given time or, if it is zero, until
// another method of the table was called.
type Pause struct {
	Until time.Time
}

func (WriteObject) action() {}
func (ReadObject) action()  {}
func (Pause) action()       {}

// Outcome is the result of a write.
type Outcome uint8

// Outcomes of a write.
const (
	// Applied means that the write took effect.
	Applied Outcome = iota
	// Conflict means that the object had a version other than the expected one.
	Conflict
	// Failed means that the write did not take effect and never will.
	Failed
	// Unknown means that the write may have taken effect or still may.
	Unknown
)

// NextAction returns what the caller is to do now. Every WriteObject and
// ReadObject is returned once and must be followed by HandleWrite, HandleRead or
// HandleReadError. At most one is outstanding.
func (t *KeyTable[R]) NextAction(now time.Time) Action {
	switch {
	case t.InMemory || t.writing || t.reading || t.pending == 0 && !t.readNeeded && !t.staleClaims:
		return Pause{}
	case now.Before(t.nextAt):
		return Pause{Until: t.nextAt}
	case !t.loaded || t.readNeeded:
		t.reading = true
		return ReadObject{}
	default:
		return t.write(now)
	}
}

// write returns the next content of the object: all claims in force, and pending
// ones as long as there is room.
func (t *KeyTable[R]) write(now time.Time) Action {
	t.removeExpired(now)
	claims := Claims{Entries: make([]Claim, 0, len(t.keys))}
	unsent := make([]KeyHash, 0, t.pending)
	for hash, k := range t.keys {
		switch {
		case k.state == released:
			k.removalSent = true
		case k.state == pending && !k.claimSent:
			unsent = append(unsent, hash)
		default:
			claims.Entries = k.appendClaim(now, hash, claims.Entries)
		}
	}
	t.nextAt = now.Add(t.interval(len(claims.Entries) + len(unsent)))
	room := max(t.maxKeys()-len(claims.Entries), 0)
	if room == 0 && t.pending > 0 && len(unsent) == t.pending {
		return Pause{Until: t.nextAt}
	}
	slices.SortFunc(unsent, compareKeys)
	for _, hash := range unsent[:min(room, len(unsent))] {
		entry := t.keys[hash]
		entry.claimSent, entry.expires = true, now.Add(entry.window)
		claims.Entries = entry.appendClaim(now, hash, claims.Entries)
	}
	claims.sort()
	t.writing, t.staleClaims = true, false
	return WriteObject{ExpectedVersion: t.version, Claims: claims}
}

// appendClaim appends the key's claim unless it has expired.
func (k *keyEntry) appendClaim(now time.Time, hash KeyHash, claims []Claim) []Claim {
	left := k.expires.Sub(now)
	if k.state == running {
		left = max(left, k.window)
	}
	if left <= 0 {
		return claims
	}
	return append(claims, Claim{Key: hash, Token: k.claim, Remaining: left})
}

// interval returns the time to leave between a write of that many claims and the
// next read or write. It doubles while reads and writes fail.
func (t *KeyTable[R]) interval(claims int) time.Duration {
	interval, bandwidth := t.MinInterval, t.Bandwidth
	if interval == 0 {
		interval = DefaultMinInterval
	}
	if bandwidth == 0 {
		bandwidth = DefaultBandwidth
	}
	interval <<= min(t.failures, maxDoublings)
	return max(interval, time.Duration(claims*claimBytes)*time.Second/time.Duration(bandwidth))
}

// HandleWrite processes the result of a write, with the object's new version if
// it was applied. It returns the grants of the claims that are now confirmed.
func (t *KeyTable[R]) HandleWrite(now time.Time, outcome Outcome, version uint64) (grants []Grant) {
	t.writing = false
	t.staleClaims = t.staleClaims || outcome != Applied
	switch outcome {
	case Applied:
		t.version, t.failures = version, 0
		return t.grantWritten(now)
	case Conflict:
		t.readNeeded = true
	case Failed:
		// The next write expects the same version, since the object did not
		// change.
		t.backOff(now)
	default:
		t.readNeeded = true
		t.backOff(now)
	}
	return nil
}

// grantWritten grants the keys whose claims were written, and removes released
// keys whose claims were dropped.
func (t *KeyTable[R]) grantWritten(now time.Time) (grants []Grant) {
	for hash, k := range t.keys {
		switch {
		case k.state == pending && k.claimSent:
			grants = t.grant(now, grants, hash, k)
		case k.state == released && k.removalSent:
			t.remove(hash)
		}
	}
	return sortGrants(grants)
}

// grant ends the wait for a pending key whose claim is confirmed.
func (t *KeyTable[R]) grant(now time.Time, grants []Grant, hash KeyHash, entry *keyEntry) []Grant {
	t.pending--
	result := Grant{Key: hash, Token: entry.attempt, Kind: Run, Until: entry.expires}
	switch {
	case !now.Before(entry.expires):
		entry.state, result.Kind = inDoubt, InDoubt
	case entry.canceled:
		entry.state = released
	default:
		entry.state = running
	}
	if entry.canceled {
		return grants
	}
	return append(grants, result)
}

// HandleRead processes the object as it was read; version zero means that it does
// not exist. It returns the grants of pending claims that are confirmed, and
// InDoubt for those of keys that are already claimed.
func (t *KeyTable[R]) HandleRead(now time.Time, version uint64, claims Claims) (grants []Grant) {
	t.reading, t.readNeeded, t.failures = false, false, 0
	changed := !t.loaded || version != t.version
	t.loaded, t.version = true, version
	for _, c := range claims.Entries {
		grants = t.applyClaim(now, grants, c)
	}
	if changed {
		t.removeUnclaimed(claims)
	}
	return sortGrants(grants)
}

// applyClaim merges one claim that was read into the state of its key.
func (t *KeyTable[R]) applyClaim(now time.Time, grants []Grant, claim Claim) []Grant {
	expires := now.Add(claim.Remaining)
	entry, ok := t.keys[claim.Key]
	if !ok {
		if t.keys == nil {
			t.keys = make(map[KeyHash]*keyEntry)
		}
		t.keys[claim.Key] = &keyEntry{state: inDoubt, claim: claim.Token, expires: expires}
		return grants
	}
	switch {
	case entry.state == pending && entry.claimSent && entry.claim == claim.Token:
		return t.grant(now, grants, claim.Key, entry)
	case entry.state == pending:
		t.pending--
		if !entry.canceled {
			grants = append(grants, Grant{Key: claim.Key, Token: entry.attempt, Kind: InDoubt})
		}
		*entry = keyEntry{state: inDoubt, claim: claim.Token, expires: expires}
	case entry.state == inDoubt && entry.claim == claim.Token:
		entry.expires = later(entry.expires, expires)
	case (entry.state == running || entry.state == completed) && entry.claim != claim.Token:
		entry.claim, entry.claimedElsewhere, entry.expires = claim.Token, true, later(entry.expires, expires)
	case entry.state == inDoubt, entry.state == released && (entry.removalSent || entry.claim != claim.Token):
		*entry = keyEntry{state: inDoubt, claim: claim.Token, expires: later(entry.expires, expires)}
	}
	return grants
}

// removeUnclaimed removes the released keys that a changed object no longer
// claims.
func (t *KeyTable[R]) removeUnclaimed(claims Claims) {
	for hash, k := range t.keys {
		if k.state != released {
			continue
		}
		if _, ok := claims.Find(hash); !ok {
			t.remove(hash)
		}
	}
}

// Refresh requests a read of the object before any key needs it, for example when
// a host becomes the owner.
func (t *KeyTable[R]) Refresh() {
	t.readNeeded = true
}

// HandleReadError records that a read failed.
func (t *KeyTable[R]) HandleReadError(now time.Time) {
	t.reading, t.readNeeded = false, true
	t.backOff(now)
}

// backOff postpones the next read or write.
func (t *KeyTable[R]) backOff(now time.Time) {
	t.failures++
	t.nextAt = later(t.nextAt, now.Add(t.interval(0)))
}

// ExtendInDoubt makes an in-memory table answer InDoubt for new keys until the
// window has passed. It is for an owner that succeeds another one without having
// received its claims.
func (t *KeyTable[R]) ExtendInDoubt(now time.Time, window time.Duration) {
	t.inDoubtUntil = later(t.inDoubtUntil, now.Add(window))
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
