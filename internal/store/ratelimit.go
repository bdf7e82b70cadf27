package store

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/time/rate"
)

// Defaults of RateLimiter.
const (
	// DefaultRate is in calls per second.
	DefaultRate = 5
	// DefaultBurst is a number of calls.
	DefaultBurst = 20
	// DefaultReserve is the fraction of Rate and Burst reserved for urgent calls.
	DefaultReserve = 0.2
)

// RateLimiter limits the rate of calls with two token buckets. Normal calls
// wait for a token of the normal bucket. Urgent calls take a token of the normal
// bucket when there is one, and otherwise wait for one of the reserved bucket.
// The zero RateLimiter has the default rates.
type RateLimiter struct {
	// Rate limits all calls together, in calls per second; zero means DefaultRate.
	Rate float64
	// Burst is the maximum burst of all calls together; zero means DefaultBurst.
	Burst int
	// Reserve is the fraction of Rate and Burst reserved for urgent calls. It is
	// less than one; zero means DefaultReserve.
	Reserve float64

	once sync.Once
	// normal and reserved add up to Rate and Burst; they are set by once.
	normal, reserved *rate.Limiter
}

type urgentKey struct{}

// WithUrgency returns a context whose calls may use the reserved bucket. It is
// for calls that are useless when late, such as renewing a lease.
func WithUrgency(ctx context.Context) context.Context {
	return context.WithValue(ctx, urgentKey{}, true)
}

// Wait blocks until the call may proceed. It fails with ErrUnavailable as soon
// as it is clear that this cannot happen before the context's deadline.
func (l *RateLimiter) Wait(ctx context.Context) (err error) {
	l.once.Do(l.initLimiters)
	limiter := l.normal
	if ctx.Value(urgentKey{}) != nil {
		if l.normal.Allow() {
			return nil
		}
		limiter = l.reserved
	}
	if err = limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: client rate limit: %w", ErrUnavailable, err)
	}
	return nil
}

func (l *RateLimiter) initLimiters() {
	limit, burst, reserve := l.Rate, l.Burst, l.Reserve
	if limit == 0 {
		limit = DefaultRate
	}
	if burst == 0 {
		burst = DefaultBurst
	}
	if reserve == 0 {
		reserve = DefaultReserve
	}
	reservedBurst := max(int(float64(burst)*reserve), 1)
	l.normal = rate.NewLimiter(rate.Limit(limit*(1-reserve)), max(burst-reservedBurst, 1))
	l.reserved = rate.NewLimiter(rate.Limit(limit*reserve), reservedBurst)
}
