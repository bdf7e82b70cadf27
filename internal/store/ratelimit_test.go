package store_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/store"
)

func TestRateLimiterDelaysCalls(t *testing.T) {
	tests := []struct {
		name    string
		limiter *store.RateLimiter
		calls   int
		urgent  int
		// want is the total time of the normal calls followed by the urgent ones.
		want time.Duration
	}{
		{name: "burst without delay", limiter: &store.RateLimiter{Rate: 5, Burst: 20, Reserve: 0.2}, calls: 16},
		{name: "normal calls beyond the burst", limiter: &store.RateLimiter{Rate: 5, Burst: 20, Reserve: 0.2}, calls: 20, want: time.Second},
		{name: "urgent calls use the reserve", limiter: &store.RateLimiter{Rate: 5, Burst: 20, Reserve: 0.2}, calls: 16, urgent: 4},
		{name: "urgent calls beyond the reserve", limiter: &store.RateLimiter{Rate: 5, Burst: 20, Reserve: 0.5}, calls: 10, urgent: 11, want: 400 * time.Millisecond},
		{name: "zero value", limiter: new(store.RateLimiter), calls: 16, urgent: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				for range tt.calls {
					assert.NilError(t, tt.limiter.Wait(t.Context()))
				}
				for range tt.urgent {
					assert.NilError(t, tt.limiter.Wait(store.WithUrgency(t.Context())))
				}
				assert.Equal(t, time.Since(begin).Round(time.Millisecond), tt.want)
			})
		})
	}
}

func TestRateLimiterFailsWhenDeadlineIsTooSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := store.RateLimiter{Rate: 1, Burst: 2, Reserve: 0.5}
		assert.NilError(t, limiter.Wait(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		assert.ErrorIs(t, limiter.Wait(ctx), store.ErrUnavailable)
		assert.Equal(t, time.Since(begin), time.Duration(0))
	})
}

func TestBackoffHasFullJitter(t *testing.T) {
	b := store.Backoff{Base: time.Second, Max: 8 * time.Second, Random: rand.New(rand.NewPCG(1, 2))}
	for round := range 100 {
		for _, bound := range []time.Duration{1, 2, 4, 8, 8, 8} {
			delay := b.Next()
			assert.Assert(t, delay >= 0 && delay <= bound*time.Second, "round %d: %v", round, delay)
		}
		b.Reset()
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		delay := store.Backoff{Base: time.Hour}
		assert.ErrorIs(t, delay.Wait(ctx), context.Canceled)
	})
}
