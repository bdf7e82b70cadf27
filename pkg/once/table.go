package once

import "time"

// Defaults of a KeyTable.
const (
	DefaultMinInterval = 50 * time.Millisecond
	// DefaultBandwidth is in bytes per second.
	DefaultBandwidth = 64 << 10
	// maxDoublings bounds how often MinInterval doubles while reads and writes fail.
	maxDoublings = 6
)

// Kind says how a request with a key is to proceed.
type Kind uint8

// Kinds of a Decision or Grant.
const (
	// ClaimPending means that the key's claim must be written first; a Grant
	// follows.
	ClaimPending Kind = iota
	// Run means that the request may be forwarded.
	Run
	// Replay means that the request gets the response of the first request.
	Replay
	// InProgress means that the first request has not finished.
	InProgress
	// InDoubt means that a request with this key may have been forwarded; its
	// outcome is unknown.
	InDoubt
	// Full means that no further key can be claimed here now; the request is not
	// run.
	Full
)

var kindNames = [...]string{"write", "run", "replay", "wait", "inDoubt", "full"}

// String returns the name used in counters.
func (k Kind) String() string {
	return kindNames[k]
}

// Decision is the result of Begin.
type Decision[R any] struct {
	Kind Kind
	// Response is the response of the first request, if Kind is Replay.
	Response R
	// Until is the time by which a request must be forwarded, if Kind is Run.
	Until time.Time
}

// Grant is the result of a pending claim: Run or InDoubt.
type Grant struct {
	Key   KeyHash
	Token Token
	Kind  Kind
	// Until is the time by which the request must be forwarded, if Kind is Run.
	Until time.Time
}

// KeyTable holds the idempotency keys of one shard at its owner and decides on
// requests with these keys. The zero KeyTable is ready to use.
type KeyTable[R any] struct {
	// MinInterval is the minimum time between two writes. It doubles up to
	// maxDoublings times while reads and writes fail. Zero means
	// DefaultMinInterval.
	MinInterval time.Duration
	// Bandwidth bounds the bytes written per second by leaving more time between
	// larger writes. Zero means DefaultBandwidth.
	Bandwidth int
	// MaxKeys bounds the number of keys. Zero, or more than MaxClaims, means
	// MaxClaims.
	MaxKeys int
	// Responses caches the first responses. If nil, none are cached.
	Responses *ResponseCache[R]
	// InMemory makes the table grant keys without the platform.
	InMemory bool

	// keys holds the state of each known key.
	keys map[KeyHash]*keyEntry
	// version is the object's version as last read or written; zero if the object
	// does not exist.
	version uint64
	// loaded is true once the object was read.
	loaded bool
	// pending is the number of keys in state pending.
	pending int
	// writing is true while the result of a write is outstanding.
	writing bool
	// reading is true while the result of a read is outstanding.
	reading bool
	// readNeeded is true when only a read can tell what the object holds.
	readNeeded bool
	// staleClaims is true while the object may still hold the claim of a released
	// key. Another owner would find that key in doubt.
	staleClaims bool
	// nextAt is the earliest time of the next read or write.
	nextAt time.Time
	// failures is the number of consecutive failed reads and writes.
	failures int
	// inDoubtUntil is the time from which an in-memory table may grant new keys.
	inDoubtUntil time.Time
	// exported is true once Export was called.
	exported bool
}

// keyState is the state of one key.
type keyState uint8

const (
	// pending means that the key's claim is not confirmed yet.
	pending keyState = iota
	// running means that a request was granted and has not finished.
	running
	// completed means that the first request got its response.
	completed
	// released means that a request was granted but not forwarded.
	released
	// inDoubt means that a request may have been forwarded, by this owner or
	// another.
	inDoubt
)

// keyEntry is the state of one key.
type keyEntry struct {
	state keyState
	// claim is the token of the key's claim that is, or is to be, in the object.
	claim Token
	// claimedElsewhere is true once another owner claimed the key while its
	// request was still running here. That can happen after the window.
	claimedElsewhere bool
	// attempt is the token of the request that currently holds the key.
	attempt Token
	// canceled is true if that request gave up while pending.
	canceled bool
	// claimSent is true once a write that includes the claim was returned.
	claimSent bool
	// removalSent is true once a write that omits the released claim was
	// returned.
	removalSent bool
	// window is how long the key is kept, counted from the first write of its
	// claim.
	window time.Duration
	// expires is zero until the first write of the claim.
	expires time.Time
}

// expired reports whether the key's window has passed. A running key never
// expires, nor does a pending one whose request still waits.
func (k *keyEntry) expired(now time.Time) bool {
	if k.state == running || k.state == pending && !k.canceled {
		return false
	}
	return !now.Before(k.expires)
}

// Begin decides how a request with the key is to proceed. The token must be
// unique to this request. The window is how long repeats of this request are
// recognized.
func (t *KeyTable[R]) Begin(now time.Time, hash KeyHash, token Token, window time.Duration) Decision[R] {
	entry, ok := t.keys[hash]
	if ok && entry.expired(now) {
		t.remove(hash)
		ok = false
	}
	if !ok {
		return t.beginNew(now, hash, token, window)
	}
	switch entry.state {
	case pending:
		if !entry.canceled {
			return Decision[R]{Kind: InProgress}
		}
		entry.attempt, entry.canceled = token, false
		return Decision[R]{Kind: ClaimPending}
	case running:
		return Decision[R]{Kind: InProgress}
	case completed:
		return t.replay(now, hash)
	case released:
		if t.exported {
			return Decision[R]{Kind: Full}
		}
		return t.beginReleased(entry, token, window)
	default:
		return Decision[R]{Kind: InDoubt}
	}
}

// beginNew decides on a request whose key is unknown.
func (t *KeyTable[R]) beginNew(now time.Time, hash KeyHash, token Token, window time.Duration) Decision[R] {
	if t.InMemory && now.Before(t.inDoubtUntil) {
		return Decision[R]{Kind: InDoubt}
	}
	if len(t.keys) >= t.maxKeys() {
		t.removeExpired(now)
	}
	if t.exported || len(t.keys) >= t.maxKeys() {
		return Decision[R]{Kind: Full}
	}
	entry := &keyEntry{claim: token, attempt: token, window: window}
	if t.keys == nil {
		t.keys = make(map[KeyHash]*keyEntry)
	}
	t.keys[hash] = entry
	if !t.InMemory {
		t.pending++
		return Decision[R]{Kind: ClaimPending}
	}
	entry.state, entry.expires = running, now.Add(window)
	return Decision[R]{Kind: Run, Until: entry.expires}
}

// replay returns the first response if it is still cached.
func (t *KeyTable[R]) replay(now time.Time, hash KeyHash) Decision[R] {
	if t.Responses != nil {
		if response, ok := t.Responses.Get(now, hash); ok {
			return Decision[R]{Kind: Replay, Response: response}
		}
	}
	return Decision[R]{Kind: InDoubt}
}

// beginReleased decides on a request whose key is released. The claim is still in
// the object unless a write that omits it was returned; in that case the key is
// claimed again.
func (t *KeyTable[R]) beginReleased(entry *keyEntry, token Token, window time.Duration) Decision[R] {
	if !entry.removalSent {
		entry.state, entry.attempt = running, token
		return Decision[R]{Kind: Run, Until: entry.expires}
	}
	*entry = keyEntry{claim: token, attempt: token, window: window}
	t.pending++
	return Decision[R]{Kind: ClaimPending}
}

// CancelClaim records that the request of a pending claim gave up; it was not
// run.
func (t *KeyTable[R]) CancelClaim(hash KeyHash, token Token) {
	entry, ok := t.keys[hash]
	if !ok || entry.state != pending || entry.attempt != token {
		return
	}
	if entry.claimSent {
		entry.canceled = true
		return
	}
	t.remove(hash)
}

// Release records that a granted request was not forwarded.
func (t *KeyTable[R]) Release(hash KeyHash, token Token) {
	entry := t.runningEntry(hash, token)
	switch {
	case entry == nil:
	case t.InMemory:
		t.remove(hash)
	case entry.claimedElsewhere:
		entry.state = inDoubt
	default:
		entry.state = released
		t.staleClaims = true
	}
}

// Complete records the response of a granted request and the response's size in
// bytes.
func (t *KeyTable[R]) Complete(hash KeyHash, token Token, response R, size int) {
	if entry := t.runningEntry(hash, token); entry != nil {
		entry.state = completed
		if t.Responses != nil {
			t.Responses.Put(hash, response, size, entry.expires)
		}
	}
}

// MarkInDoubt records that a granted request was forwarded and its response is
// not available.
func (t *KeyTable[R]) MarkInDoubt(hash KeyHash, token Token) {
	if entry := t.runningEntry(hash, token); entry != nil {
		entry.state = inDoubt
	}
}

// runningEntry returns the key's entry if the request with the token is running,
// else nil.
func (t *KeyTable[R]) runningEntry(hash KeyHash, token Token) *keyEntry {
	entry, ok := t.keys[hash]
	if !ok || entry.state != running || entry.attempt != token {
		return nil
	}
	return entry
}

// Len returns the number of known keys.
func (t *KeyTable[R]) Len() int {
	return len(t.keys)
}

// Running returns the number of keys whose request was granted and has not
// finished.
func (t *KeyTable[R]) Running() (count int) {
	for _, k := range t.keys {
		if k.state == running {
			count++
		}
	}
	return count
}

func (t *KeyTable[R]) maxKeys() int {
	if t.MaxKeys <= 0 || t.MaxKeys > MaxClaims {
		return MaxClaims
	}
	return t.MaxKeys
}

func (t *KeyTable[R]) remove(hash KeyHash) {
	if t.keys[hash].state == pending {
		t.pending--
	}
	delete(t.keys, hash)
	if t.Responses != nil {
		t.Responses.Delete(hash)
	}
}

func (t *KeyTable[R]) removeExpired(now time.Time) {
	for hash, k := range t.keys {
		if k.expired(now) {
			t.remove(hash)
		}
	}
}
