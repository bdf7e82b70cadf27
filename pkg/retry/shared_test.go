package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/retry"
)

func TestWindowsOfAllNodesTogetherKeepTheBound(t *testing.T) {
	bound := retry.SharedLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}
	const nodes = 11
	windows := make([]retry.SharedBudget, nodes)
	for i := range windows {
		windows[i].Configure(bound)
	}
	random := rand.New(rand.NewPCG(7, 7))
	begin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var requests, repeats []time.Time
	for now := begin; now.Before(begin.Add(40 * time.Second)); now = now.Add(3 * time.Millisecond) {
		w := &windows[random.IntN(nodes)]
		w.RecordRequest(now, "orders")
		requests = append(requests, now)
		for range 3 {
			if w.TryWithdraw(now, "orders", nodes) {
				repeats = append(repeats, now)
			}
		}
	}
	within := func(times []time.Time, from time.Time) (count int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(bound.Window)) {
				count++
			}
		}
		return count
	}
	assert.Assert(t, len(repeats) > 0)
	for from := begin; from.Before(begin.Add(30 * time.Second)); from = from.Add(100 * time.Millisecond) {
		most := bound.Ratio*float64(within(requests, from)) + bound.Slack
		assert.Assert(t, float64(within(repeats, from)) <= most, "from %v", from.Sub(begin))
	}
}

func TestCallsOfRepeatedRunsCountAtTheServiceThatIsCalled(t *testing.T) {
	const calls = 1.4
	bound := retry.SharedLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 56}
	tests := []struct {
		name string
		// views and lookups are how many repeats of each are tried a request.
		views, lookups int
	}{
		{name: "views fail", views: 3},
		{name: "lookups fail", lookups: 3},
		{name: "both fail", views: 3, lookups: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w retry.SharedBudget
			w.Configure(bound)
			begin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			var views, repeats, extra float64
			for i := range 4000 {
				now := begin.Add(time.Duration(i) * 2 * time.Millisecond)
				w.RecordRequest(now, "views")
				w.RecordRun(now)
				for range 7 * (i % 2) / 5 {
					w.RecordRequest(now, "lookups")
				}
				if i%5 < 2 {
					w.RecordRequest(now, "lookups")
				}
				w.RecordFanOut(now, "views", calls)
				views++
				for range tt.views {
					if w.TryWithdraw(now, "views", 1) {
						repeats++
						extra += calls
					}
				}
				for range tt.lookups {
					if w.TryWithdraw(now, "lookups", 1) {
						extra++
					}
				}
			}
			lookups := views*2/5 + views/2
			assert.Assert(t, repeats <= bound.Ratio*views+bound.Slack)
			assert.Assert(t, extra <= bound.Ratio*lookups+bound.Slack, "%v of %v", extra, lookups)
			assert.Assert(t, extra > 0)
		})
	}
}

func TestRunsTellHowManyCallsTheyMake(t *testing.T) {
	tests := []struct {
		name string
		// requests of each service come for every run.
		requests map[mesh.Service]int
		runs     int
		want     float64
	}{
		{name: "nothing ran", requests: map[mesh.Service]int{"lookups": 3}, want: 0},
		{name: "no calls", requests: map[mesh.Service]int{"views": 2}, runs: 1, want: 0},
		{name: "two calls a run", requests: map[mesh.Service]int{"views": 1, "lookups": 2}, runs: 1, want: 2},
		{name: "the service that is called most", requests: map[mesh.Service]int{"prints": 1, "lookups": 2}, runs: 1, want: 2},
		{name: "more than is believed", requests: map[mesh.Service]int{"lookups": 100}, runs: 1, want: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var w retry.SharedBudget
			w.Configure(retry.SharedLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 56})
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			for range 10 {
				for service, n := range tt.requests {
					for range n {
						w.RecordRequest(now, service)
					}
				}
				for range tt.runs {
					w.RecordRun(now)
				}
			}
			assert.Equal(t, w.MaxFanOut(now, "views"), tt.want)
			assert.Equal(t, w.MaxFanOut(now.Add(time.Minute), "views"), 0.0)
		})
	}
}

func TestZeroWindowAllowsNoRepeat(t *testing.T) {
	var w retry.SharedBudget
	now := time.Now()
	w.RecordRequest(now, "orders")
	assert.Assert(t, !w.TryWithdraw(now, "orders", 1))
}
