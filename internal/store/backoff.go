package store

import (
	"context"
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/internal/pause"
)

// Defaults of Backoff.
const (
	DefaultBackoffBase = 200 * time.Millisecond
	DefaultBackoffMax  = 30 * time.Second
)

// Backoff implements exponential backoff with full jitter: each delay is random
// between zero and a bound that doubles with each failure. The zero Backoff is
// ready to use. It is not safe for concurrent use.
type Backoff struct {
	// Base is the bound of the first delay; zero means DefaultBackoffBase.
	Base time.Duration
	// Max is the maximum bound of a delay; zero means DefaultBackoffMax.
	Max time.Duration
	// Random is the source of randomness, for reproducible delays; nil means the
	// global source of math/rand/v2.
	Random *rand.Rand

	// bound is the bound of the last delay, zero before the first.
	bound time.Duration
}

// Next returns the next delay.
func (b *Backoff) Next() (wait time.Duration) {
	base, limit := b.Base, b.Max
	if base == 0 {
		base = DefaultBackoffBase
	}
	if limit == 0 {
		limit = DefaultBackoffMax
	}
	switch {
	case b.bound == 0:
		b.bound = min(base, limit)
	case b.bound > limit/2:
		b.bound = limit
	default:
		b.bound *= 2
	}
	if b.Random != nil {
		return time.Duration(b.Random.Int64N(int64(b.bound) + 1))
	}
	return time.Duration(rand.Int64N(int64(b.bound) + 1))
}

// Reset makes the next delay start from Base again. It is called after a success.
func (b *Backoff) Reset() {
	b.bound = 0
}

// Wait sleeps for the next delay. It returns the context's error when the
// context ends first.
func (b *Backoff) Wait(ctx context.Context) (err error) {
	return pause.For(ctx, b.Next())
}
