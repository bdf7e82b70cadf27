package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/retry"
)

func TestWindowsOfAllNodesTogetherKeepTheBound(t *testing.T) {
	bound := retry.Allowance{Span: 10 * time.Second, Ratio: 0.2, Slack: 56}
	const nodes = 11
	windows := make([]retry.Window, nodes)
	for i := range windows {
		windows[i].Configure(bound)
	}
	random := rand.New(rand.NewPCG(7, 7))
	begin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var requests, repeats []time.Time
	for now := begin; now.Before(begin.Add(40 * time.Second)); now = now.Add(3 * time.Millisecond) {
		w := &windows[random.IntN(nodes)]
		w.Request(now, "orders")
		requests = append(requests, now)
		for range 3 {
			if w.Take(now, "orders", nodes) {
				repeats = append(repeats, now)
			}
		}
	}
	within := func(times []time.Time, from time.Time) (count int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(bound.Span)) {
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

func TestZeroWindowAllowsNoRepeat(t *testing.T) {
	var w retry.Window
	now := time.Now()
	w.Request(now, "orders")
	assert.Assert(t, !w.Take(now, "orders", 1))
}
