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

func TestBudgetHoldsBackCalls(t *testing.T) {
	tests := []struct {
		name   string
		budget *store.RateLimiter
		calls  int
		urgent int
		// want is how long the ordinary calls and then the urgent ones take.
		want time.Duration
	}{
		{name: "burst goes at once", budget: &store.RateLimiter{Rate: 5, Burst: 20, Reserve: 0.2}, calls: 16},
		{name: "then at the rate", budget: &store.RateLimiter{Rate: 5, Burst: 20, Reserve: 0.2}, calls: 20, want: time.Second},
		{name: "urgent calls use the reserve", budget: &store.RateLimiter{Rate: 5, Burst: 20, Reserve: 0.2}, calls: 16, urgent: 4},
		{name: "and are held back beyond it", budget: &store.RateLimiter{Rate: 5, Burst: 20, Reserve: 0.5}, calls: 10, urgent: 11, want: 400 * time.Millisecond},
		{name: "zero value", budget: new(store.RateLimiter), calls: 16, urgent: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begin := time.Now()
				for range tt.calls {
					assert.NilError(t, tt.budget.Wait(t.Context()))
				}
				for range tt.urgent {
					assert.NilError(t, tt.budget.Wait(store.WithUrgency(t.Context())))
				}
				assert.Equal(t, time.Since(begin).Round(time.Millisecond), tt.want)
			})
		})
	}
}

func TestBudgetRefusesWhatCanNotBeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := store.RateLimiter{Rate: 1, Burst: 2, Reserve: 0.5}
		assert.NilError(t, budget.Wait(t.Context()))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		assert.ErrorIs(t, budget.Wait(ctx), store.ErrUnavailable)
		assert.Equal(t, time.Since(begin), time.Duration(0))
	})
}

func TestBackoffHasFullJitter(t *testing.T) {
	b := store.Backoff{Base: time.Second, Max: 8 * time.Second, Random: rand.New(rand.NewPCG(1, 2))}
	for round := range 100 {
		for _, bound := range []time.Duration{1, 2, 4, 8, 8, 8} {
			wait := b.Next()
			assert.Assert(t, wait >= 0 && wait <= bound*time.Second, "round %d: %v", round, wait)
		}
		b.Reset()
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		wait := store.Backoff{Base: time.Hour}
		assert.ErrorIs(t, wait.Wait(ctx), context.Canceled)
	})
}
