package once

import "time"

// The ledger's defaults.
const (
	DefaultMinInterval = 50 * time.Millisecond
	// DefaultBandwidth is in bytes a second.
	DefaultBandwidth = 64 << 10
	// maxDoublings bounds how often Gap doubles while the platform fails.
	maxDoublings = 6
)

// Kind is what a request of a key may do.
type Kind uint8

// The kinds of a decision.
const (
	// ClaimPending means that the key's claim is to be written: a Grant follows.
	ClaimPending Kind = iota
	// Run means that the request may be handed over.
	Run
	// Replay means that the first request's answer is given.
	Replay
	// InProgress means that the first request is still in hand.
	InProgress
	// InDoubt means that the key may have been handed over: its outcome is unknown.
	InDoubt
	// Full means that no further key can be claimed here now: the request is not run.
	Full
)

var kindNames = [...]string{"write", "run", "replay", "wait", "inDoubt", "full"}

// String returns the name used in counters.
func (k Kind) String() string {
	return kindNames[k]
}

// Decision is the answer to Begin.
type Decision[A any] struct {
	Kind Kind
	// Response is the first answer when Kind is Replay.
	Response A
	// Until is when a Run must have been handed over.
	Until time.Time
}

// Grant tells a request that Begin told to Write what became of its claim: Run
// or InDoubt.
type Grant struct {
	Key   KeyHash
	Token Token
	Kind  Kind
	// Until is when a Run must have been handed over.
	Until time.Time
}

// KeyTable decides for one shard at its owner. The zero KeyTable is ready to use.
type KeyTable[A any] struct {
	// MinInterval is the least time between two writes; it doubles a few times while reads
	// and writes fail. Zero means DefaultGap.
	MinInterval time.Duration
	// Bandwidth bounds the bytes written a second, by longer gaps between
	// larger writes; zero means DefaultBandwidth.
	Bandwidth int
	// MaxKeys bounds the keys; zero or more than MaxClaims means MaxClaims.
	MaxKeys int
	// Responses holds the first answers; nil holds none.
	Responses *ResponseCache[A]
	// InMemory grants without the platform.
	InMemory bool

	// keys holds what is known of each key.
	keys map[KeyHash]*key
	// version is the object's version as last read or written; zero when the
	// object does not exist.
	version uint64
	// loaded is true once the object was read.
	loaded bool
	// pending is how many keys are in state pending.
	pending int
	// flight is true while a write is not answered.
	flight bool
	// reading is true while a read is not answered.
	reading bool
	// doubt is true when only a read can tell what the object holds.
	doubt bool
	// unclean is true while a released claim may stand in the object, where
	// another owner would find its key in doubt.
	unclean bool
	// next is the earliest time of the next read or write.
	next time.Time
	// failures counts the reads and writes that failed in a row.
	failures int
	// doubtUntil is when an owner in memory may grant new keys.
	doubtUntil time.Time
	// closed is true once the claims were exported.
	closed bool
}

// keyState is what is known of one key.
type keyState uint8

const (
	// pending waits for its claim to be known to stand.
	pending keyState = iota
	// running is granted and not answered.
	running
	// answered had its answer.
	answered
	// released was granted and not handed over.
	released
	// foreign may have been handed over, by whomever.
	foreign
)

// key is one key's entry.
type key struct {
	state keyState
	// claim is what stands in the object for the key, or is to stand there.
	claim Token
	// taken is true once another owner claimed the key while it ran here, which
	// it may after the window.
	taken bool
	// attempt is the request that holds the key.
	attempt Token
	// orphan is true when that request gave up while pending.
	orphan bool
	// sent is true once a write with the claim was handed out.
	sent bool
	// dropping is true once a write without the released claim was handed out.
	dropping bool
	// window is how long the key counts from its first write.
	window time.Duration
	// expires is zero until the first write of the claim.
	expires time.Time
}

// expired reports whether the key counts no longer. A pending key that a request
// still waits for and a running one always count.
func (k *key) expired(now time.Time) bool {
	if k.state == running || k.state == pending && !k.orphan {
		return false
	}
	return !now.Before(k.expires)
}

// Begin decides what a request of the key may do. The token is the request's
// own; the window is how long a repeat must meet this request.
func (l *KeyTable[A]) Begin(now time.Time, hash KeyHash, token Token, window time.Duration) Decision[A] {
	entry, ok := l.keys[hash]
	if ok && entry.expired(now) {
		l.remove(hash)
		ok = false
	}
	if !ok {
		return l.first(now, hash, token, window)
	}
	switch entry.state {
	case pending:
		if !entry.orphan {
			return Decision[A]{Kind: InProgress}
		}
		entry.attempt, entry.orphan = token, false
		return Decision[A]{Kind: ClaimPending}
	case running:
		return Decision[A]{Kind: InProgress}
	case answered:
		return l.replay(now, hash)
	case released:
		if l.closed {
			return Decision[A]{Kind: Full}
		}
		return l.again(entry, token, window)
	default:
		return Decision[A]{Kind: InDoubt}
	}
}

// first decides for a key that nothing is known of.
func (l *KeyTable[A]) first(now time.Time, hash KeyHash, token Token, window time.Duration) Decision[A] {
	if l.InMemory && now.Before(l.doubtUntil) {
		return Decision[A]{Kind: InDoubt}
	}
	if len(l.keys) >= l.limit() {
		l.purge(now)
	}
	if l.closed || len(l.keys) >= l.limit() {
		return Decision[A]{Kind: Full}
	}
	entry := &key{claim: token, attempt: token, window: window}
	if l.keys == nil {
		l.keys = make(map[KeyHash]*key)
	}
	l.keys[hash] = entry
	if !l.InMemory {
		l.pending++
		return Decision[A]{Kind: ClaimPending}
	}
	entry.state, entry.expires = running, now.Add(window)
	return Decision[A]{Kind: Run, Until: entry.expires}
}

// replay returns the first answer as long as it is held.
func (l *KeyTable[A]) replay(now time.Time, hash KeyHash) Decision[A] {
	if l.Responses != nil {
		if answer, ok := l.Responses.Get(now, hash); ok {
			return Decision[A]{Kind: Replay, Response: answer}
		}
	}
	return Decision[A]{Kind: InDoubt}
}

// again decides for a released key. Its claim still stands unless a write
// without it was handed out; then the key is claimed anew.
func (l *KeyTable[A]) again(entry *key, token Token, window time.Duration) Decision[A] {
	if !entry.dropping {
		entry.state, entry.attempt = running, token
		return Decision[A]{Kind: Run, Until: entry.expires}
	}
	*entry = key{claim: token, attempt: token, window: window}
	l.pending++
	return Decision[A]{Kind: ClaimPending}
}

// CancelClaim takes in that a request told to Write gave up; it was not run.
func (l *KeyTable[A]) CancelClaim(hash KeyHash, token Token) {
	entry, ok := l.keys[hash]
	if !ok || entry.state != pending || entry.attempt != token {
		return
	}
	if entry.sent {
		entry.orphan = true
		return
	}
	l.remove(hash)
}

// Release takes in that a granted request was not handed over.
func (l *KeyTable[A]) Release(hash KeyHash, token Token) {
	entry := l.inHand(hash, token)
	switch {
	case entry == nil:
	case l.InMemory:
		l.remove(hash)
	case entry.taken:
		entry.state = foreign
	default:
		entry.state = released
		l.unclean = true
	}
}

// Complete takes in the answer of a granted request, and its size in bytes.
func (l *KeyTable[A]) Complete(hash KeyHash, token Token, answer A, size int) {
	if entry := l.inHand(hash, token); entry != nil {
		entry.state = answered
		if l.Responses != nil {
			l.Responses.Put(hash, answer, size, entry.expires)
		}
	}
}

// MarkInDoubt takes in that a granted request was handed over and has no answer.
func (l *KeyTable[A]) MarkInDoubt(hash KeyHash, token Token) {
	if entry := l.inHand(hash, token); entry != nil {
		entry.state = foreign
	}
}

// inHand returns the running key of that request, or nil.
func (l *KeyTable[A]) inHand(hash KeyHash, token Token) *key {
	entry, ok := l.keys[hash]
	if !ok || entry.state != running || entry.attempt != token {
		return nil
	}
	return entry
}

// Len returns how many keys are known.
func (l *KeyTable[A]) Len() int {
	return len(l.keys)
}

// Running returns how many keys are in hand: granted, not answered.
func (l *KeyTable[A]) Running() (count int) {
	for _, k := range l.keys {
		if k.state == running {
			count++
		}
	}
	return count
}

func (l *KeyTable[A]) limit() int {
	if l.MaxKeys <= 0 || l.MaxKeys > MaxClaims {
		return MaxClaims
	}
	return l.MaxKeys
}

// remove forgets a key.
func (l *KeyTable[A]) remove(hash KeyHash) {
	if l.keys[hash].state == pending {
		l.pending--
	}
	delete(l.keys, hash)
	if l.Responses != nil {
		l.Responses.Delete(hash)
	}
}

// purge forgets the expired keys.
func (l *KeyTable[A]) purge(now time.Time) {
	for hash, k := range l.keys {
		if k.expired(now) {
			l.remove(hash)
		}
	}
}
