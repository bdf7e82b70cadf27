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

// Backoff spreads repeats by full jitter: each wait is random between zero and
// a bound that doubles with each failure. The zero Backoff is ready to use by
// one goroutine.
type Backoff struct {
	// Base bounds the first wait; zero means DefaultBackoffBase.
	Base time.Duration
	// Max bounds every wait; zero means DefaultBackoffMax.
	Max time.Duration
	// Random makes the waits repeatable; nil means a shared random source.
	Random *rand.Rand

	// bound is that of the last wait, zero before the first.
	bound time.Duration
}

// Next returns the next time to wait.
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

// Reset starts again from Base, after a success.
func (b *Backoff) Reset() {
	b.bound = 0
}

// Wait waits for the next time, or returns the context's error when it ends first.
func (b *Backoff) Wait(ctx context.Context) (err error) {
	return pause.For(ctx, b.Next())
}
