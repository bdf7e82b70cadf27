package tokens

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// stallTime is the time without any use of the table after which the process has been
	// frozen. All reports of other nodes have expired by then, and another owner may have
	// replaced this one.
	stallTime = ReportAge
	// stallHold is how long the table grants nothing after a stall, until the share has
	// been computed again.
	stallHold = 250 * time.Millisecond
	// minRetryAfter is the least Retry-After value of a refusal.
	minRetryAfter = 50 * time.Millisecond
	// extraSlot is the resolution with which extra tokens are remembered. With two slots,
	// each is remembered for at least MaxAge.
	extraSlot = MaxAge
)

// emptyTime is the time on the clock of the buckets at which all are empty.
var emptyTime = time.Unix(0, 0)

// Table holds the buckets of all accounts at the owner. Its clock runs at the speed of the
// owner's share of all nodes, so that a change of the share changes the fill rate of all
// buckets at once. The zero Table has empty buckets and grants nothing until SetShare is
// called.
type Table struct {
	share float64
	// updatedAt is the time of the last use, and filled the time that has passed on the
	// clock of the buckets since all were empty.
	updatedAt time.Time
	filled    time.Duration
	// holdUntil is the time until which nothing is granted.
	holdUntil time.Time
	buckets   map[mesh.Account]*bucket
}

// SetShare sets the fraction of the rates at which the buckets are filled.
func (t *Table) SetShare(now time.Time, share float64) {
	t.Advance(now)
	t.share = min(max(share, 0), 1)
}

// Reset empties all buckets.
func (t *Table) Reset() {
	*t = Table{}
}

// Advance fills the buckets. The table must be used at least once in stallTime, or it takes
// the process as having been frozen, and empties the buckets: a new owner may have granted
// tokens in the meantime.
func (t *Table) Advance(now time.Time) {
	elapsed := now.Sub(t.updatedAt)
	first := t.updatedAt.IsZero()
	switch {
	case elapsed <= 0:
		return
	case first || elapsed > stallTime:
		t.buckets, t.filled = nil, 0
		if !first {
			t.holdUntil = now.Add(stallHold)
		}
	case now.Before(t.holdUntil):
	default:
		t.filled += time.Duration(float64(elapsed) * t.share)
	}
	t.updatedAt = now
}

// Ask answers an ask for tokens of an account with that limit.
func (t *Table) Ask(now time.Time, limit Limit, ask Ask) (grant Grant) {
	t.Advance(now)
	ask = ask.Bounded()
	grant.Account = ask.Account
	if limit.Rate <= 0 {
		grant.Tokens = ask.Needed
		return grant
	}
	if t.share == 0 || now.Before(t.holdUntil) {
		return grant
	}
	clock := t.clock()
	b := t.bucket(ask.Account)
	b.configure(clock, now, limit, t.share)
	b.add(clock, ask.Returned)
	maxWait := time.Duration(float64(MaxWait) * t.share)
	for grant.Tokens < ask.Needed {
		wait := b.wait(clock)
		if wait > maxWait {
			// The share may still grow, so the caller is not told to wait for longer
			// than at the full rate.
			grant.RetryAfter = max(wait, minRetryAfter)
			return grant
		}
		b.take(clock)
		grant.Tokens++
		grant.Wait = time.Duration(float64(wait) / t.share)
	}
	for range ask.Extra {
		if !b.hasExtra(clock) {
			break
		}
		b.take(clock)
		b.addExtra(now)
		grant.Tokens++
	}
	return grant
}

// Refund puts back the token of a request of this node that was not sent to an upstream.
func (t *Table) Refund(now time.Time, account mesh.Account) {
	t.Advance(now)
	if b := t.buckets[account]; b != nil {
		b.add(t.clock(), 1)
	}
}

// clock returns the time on the clock of the buckets.
func (t *Table) clock() time.Time { return emptyTime.Add(t.filled) }

func (t *Table) bucket(account mesh.Account) *bucket {
	b := t.buckets[account]
	if b == nil {
		if t.buckets == nil {
			t.buckets = make(map[mesh.Account]*bucket)
		}
		b = &bucket{}
		t.buckets[account] = b
	}
	return b
}

// bucket holds the tokens of one account. All its times are of the table's clock unless
// they are called now. The zero bucket is empty.
type bucket struct {
	limiter rate.Limiter
	limit   Limit
	// capacity is the capacity at the share, at least 1, of which extra tokens that other
	// nodes may hold are subtracted. Without that, the account could use them on top of a
	// full bucket.
	capacity float64
	// extras counts the extra tokens granted in the current slot and in the one before.
	extras    [2]int
	slotStart time.Time
}

// configure applies the limit, the share and the extra tokens that are outstanding. The
// tokens above the capacity are lost.
func (b *bucket) configure(clock, now time.Time, limit Limit, share float64) {
	b.expireExtras(now)
	b.capacity = max(1, limit.Burst*share)
	if b.limit == (Limit{}) {
		// The bucket of an account that was idle has been filled like all others.
		b.limiter.SetLimitAt(emptyTime, rate.Limit(limit.Rate))
		b.limiter.SetBurstAt(emptyTime, b.burst())
	}
	if limit.Rate != b.limit.Rate {
		b.limiter.SetLimitAt(clock, rate.Limit(limit.Rate))
	}
	b.limit = limit
	b.limiter.SetBurstAt(clock, b.burst())
}

// burst returns the number of tokens that the bucket may hold while nodes hold extra ones.
func (b *bucket) burst() int {
	return int(min(max(1, b.capacity-float64(b.extras[0]+b.extras[1])), math.MaxInt32))
}

// add puts tokens back. The limiter takes a negative reservation as an addition.
func (b *bucket) add(clock time.Time, n int) {
	for n > 0 {
		part := min(n, b.burst())
		b.limiter.ReserveN(clock, -part)
		n -= part
	}
	b.limiter.SetBurstAt(clock, b.burst())
}

// wait returns the time until there is a token.
func (b *bucket) wait(clock time.Time) time.Duration {
	missing := 1 - b.limiter.TokensAt(clock)
	if missing <= 0 {
		return 0
	}
	return time.Duration(min(missing/b.limit.Rate, math.MaxInt32) * float64(time.Second))
}

// take takes a token, which may be one that is filled later.
func (b *bucket) take(clock time.Time) {
	b.limiter.ReserveN(clock, 1)
}

// hasExtra reports whether the bucket is still half full after one more extra token.
func (b *bucket) hasExtra(clock time.Time) bool {
	tokens := b.limiter.TokensAt(clock)
	return tokens >= 1 && tokens-1 >= b.capacity/2
}

func (b *bucket) addExtra(now time.Time) {
	b.expireExtras(now)
	b.extras[0]++
}

func (b *bucket) expireExtras(now time.Time) {
	switch elapsed := now.Sub(b.slotStart); {
	case elapsed >= 2*extraSlot:
		b.extras = [2]int{}
		b.slotStart = now
	case elapsed >= extraSlot:
		b.extras = [2]int{0, b.extras[0]}
		b.slotStart = b.slotStart.Add(extraSlot)
	}
}
