package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/retry"
)

func TestNodesTogetherKeepTheSharedLimit(t *testing.T) {
	limit := retry.SharedLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}
	const nodes = 11
	budgets := make([]retry.SharedBudget, nodes)
	for i := range budgets {
		budgets[i].Configure(limit)
	}
	random := rand.New(rand.NewPCG(7, 7))
	begin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var requests, retries []time.Time
	for now := begin; now.Before(begin.Add(40 * time.Second)); now = now.Add(3 * time.Millisecond) {
		b := &budgets[random.IntN(nodes)]
		b.RecordRequest(now, "orders")
		requests = append(requests, now)
		for range 3 {
			if b.TryWithdraw(now, "orders", nodes) {
				retries = append(retries, now)
			}
		}
	}
	within := func(times []time.Time, from time.Time) (count int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(limit.Window)) {
				count++
			}
		}
		return count
	}
	assert.Assert(t, len(retries) > 0)
	for from := begin; from.Before(begin.Add(30 * time.Second)); from = from.Add(100 * time.Millisecond) {
		allowed := limit.Ratio*float64(within(requests, from)) + limit.Slack
		assert.Assert(t, float64(within(retries, from)) <= allowed, "from %v", from.Sub(begin))
	}
}

func TestRetriesCountAgainstTheLimitOfCalledServices(t *testing.T) {
	const fanOut = 1.4
	limit := retry.SharedLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}
	tests := []struct {
		name string
		// views and lookups are the number of retries attempted per request to each.
		views, lookups int
	}{
		{name: "views fail", views: 3},
		{name: "lookups fail", lookups: 3},
		{name: "both fail", views: 3, lookups: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b retry.SharedBudget
			b.Configure(limit)
			begin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			var views, viewRetries, lookupRetries float64
			for i := range 4000 {
				now := begin.Add(time.Duration(i) * 2 * time.Millisecond)
				b.RecordRequest(now, "views")
				b.RecordRun(now)
				for range 7 * (i % 2) / 5 {
					b.RecordRequest(now, "lookups")
				}
				if i%5 < 2 {
					b.RecordRequest(now, "lookups")
				}
				b.RecordFanOut(now, "views", fanOut)
				views++
				for range tt.views {
					if b.TryWithdraw(now, "views", 1) {
						viewRetries++
						lookupRetries += fanOut
					}
				}
				for range tt.lookups {
					if b.TryWithdraw(now, "lookups", 1) {
						lookupRetries++
					}
				}
			}
			lookups := views*2/5 + views/2
			assert.Assert(t, viewRetries <= limit.Ratio*views+limit.Slack)
			assert.Assert(t, lookupRetries <= limit.Ratio*lookups+limit.Slack, "%v retries of %v requests", lookupRetries, lookups)
			assert.Assert(t, lookupRetries > 0)
		})
	}
}

func TestMaxFanOut(t *testing.T) {
	tests := []struct {
		name string
		// requests is the number of requests to each service per round.
		requests map[mesh.Service]int
		runs     int
		want     float64
	}{
		{name: "no runs", requests: map[mesh.Service]int{"lookups": 3}, want: 0},
		{name: "no calls", requests: map[mesh.Service]int{"views": 2}, runs: 1, want: 0},
		{name: "two calls per run", requests: map[mesh.Service]int{"views": 1, "lookups": 2}, runs: 1, want: 2},
		{name: "most called service counts", requests: map[mesh.Service]int{"prints": 1, "lookups": 2}, runs: 1, want: 2},
		{name: "fan-out is capped", requests: map[mesh.Service]int{"lookups": 100}, runs: 1, want: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b retry.SharedBudget
			b.Configure(retry.SharedLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 56})
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			for range 10 {
				for service, n := range tt.requests {
					for range n {
						b.RecordRequest(now, service)
					}
				}
				for range tt.runs {
					b.RecordRun(now)
				}
			}
			assert.Equal(t, b.MaxFanOut(now, "views"), tt.want)
			assert.Equal(t, b.MaxFanOut(now.Add(time.Minute), "views"), 0.0)
		})
	}
}

// TestRequestMayArriveBeforeTheFirstUse guards against an index below zero, which ended
// the process: a request that waits for the first version is recorded with the time of
// its arrival, which may lie before the first use of the budget.
func TestRequestMayArriveBeforeTheFirstUse(t *testing.T) {
	first := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	tests := []struct {
		name    string
		earlier time.Duration
	}{
		{name: "within the first bucket", earlier: 100 * time.Millisecond},
		{name: "several buckets", earlier: 2 * time.Second},
		{name: "more than the window", earlier: time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b retry.SharedBudget
			b.Configure(retry.SharedLimit{Window: 10 * time.Second, Ratio: 1, Slack: 0})
			b.RecordRun(first)
			b.RecordRequest(first.Add(-tt.earlier), "orders")
			b.RecordFanOut(first.Add(-tt.earlier), "views", 1)
			assert.Assert(t, !b.TryWithdraw(first.Add(-tt.earlier), "lookups", 1))
			b.RecordRequest(first, "orders")
			assert.Assert(t, b.TryWithdraw(first, "orders", 1), "both requests count")
			assert.Equal(t, b.MaxFanOut(first.Add(-tt.earlier), "views"), 2.0)
		})
	}
}

func TestZeroSharedBudgetAllowsNoRetries(t *testing.T) {
	var b retry.SharedBudget
	now := time.Now()
	b.RecordRequest(now, "orders")
	assert.Assert(t, !b.TryWithdraw(now, "orders", 1))
}
