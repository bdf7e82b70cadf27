package store

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/time/rate"
)

// Defaults of RateLimiter.
const (
	// DefaultRate is in calls a second.
	DefaultRate = 5
	// DefaultBurst is in calls.
	DefaultBurst = 20
	// DefaultReserve is the share of rate and burst that only urgent calls use.
	DefaultReserve = 0.2
)

// RateLimiter bounds the rate of calls of one process by token buckets. Ordinary
// calls wait for their share; urgent calls take from it as well, and from a
// reserved share when it is used up. The zero RateLimiter has the default rates.
type RateLimiter struct {
	// Rate bounds all calls together, in calls a second; zero means DefaultRate.
	Rate float64
	// Burst bounds the calls at once, urgent ones included; zero means DefaultBurst.
	Burst int
	// Reserve is the share for urgent calls, above zero and below one; zero
	// means DefaultReserve.
	Reserve float64

	once sync.Once
	// ordinary and reserved sum up to Rate and Burst; they are set by once.
	ordinary, reserved *rate.Limiter
}

type urgentKey struct{}

// WithUrgency returns a context whose calls may use the reserved share: for a
// renewal of a lease, which is of no use when it is late.
func WithUrgency(ctx context.Context) context.Context {
	return context.WithValue(ctx, urgentKey{}, true)
}

// Wait waits for the turn of a call, without spinning. It fails with
// ErrUnavailable when the turn can't come before the context's deadline.
func (b *RateLimiter) Wait(ctx context.Context) (err error) {
	b.once.Do(b.fill)
	limiter := b.ordinary
	if ctx.Value(urgentKey{}) != nil {
		if b.ordinary.Allow() {
			return nil
		}
		limiter = b.reserved
	}
	if err = limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: budget of calls used up: %w", ErrUnavailable, err)
	}
	return nil
}

func (b *RateLimiter) fill() {
	perSecond, burst, reserve := b.Rate, b.Burst, b.Reserve
	if perSecond == 0 {
		perSecond = DefaultRate
	}
	if burst == 0 {
		burst = DefaultBurst
	}
	if reserve == 0 {
		reserve = DefaultReserve
	}
	kept := max(int(float64(burst)*reserve), 1)
	b.ordinary = rate.NewLimiter(rate.Limit(perSecond*(1-reserve)), max(burst-kept, 1))
	b.reserved = rate.NewLimiter(rate.Limit(perSecond*reserve), kept)
}
