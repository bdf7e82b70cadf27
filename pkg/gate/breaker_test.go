package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBreakerOpensWhenNearlyAllRequestsFail(t *testing.T) {
	tests := []struct {
		name string
		// failEvery makes every nth request fail: 1 for all, 2 for every other one, 0 for none.
		failEvery  int
		results    int
		idempotent bool
		// after is the time from the last result to the call of Allow.
		after time.Duration
		want  bool
	}{
		{name: "no results", idempotent: true, want: true},
		{name: "all requests succeed", results: 100, want: true},
		{name: "half of the requests fail", failEvery: 2, results: 100, want: true},
		{name: "a few failures", failEvery: 1, results: 10, want: true},
		{name: "open, at once", failEvery: 1, results: 20, idempotent: true},
		{name: "open, after the probe interval", failEvery: 1, results: 20, idempotent: true, after: ProbeInterval, want: true},
		{name: "open, after the probe interval, not idempotent", failEvery: 1, results: 20, after: ProbeInterval},
		{name: "open, after the longer probe interval, not idempotent", failEvery: 1, results: 20, after: nonIdempotentProbeInterval, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Breaker
			for i := range tt.results {
				b.Record(simStart, "c", tt.failEvery > 0 && i%tt.failEvery == 0)
			}
			assert.Equal(t, b.Allow(simStart.Add(tt.after), "c", tt.idempotent), tt.want)
		})
	}
}

func TestOpenBreakerProbesUntilARequestSucceeds(t *testing.T) {
	var b Breaker
	for range 20 {
		b.Record(simStart, "c", true)
	}
	later := simStart.Add(ProbeInterval)
	assert.Assert(t, b.Allow(later, "c", true))
	assert.Assert(t, !b.Allow(later.Add(ProbeInterval/2), "c", true))
	assert.Assert(t, b.Allow(later.Add(ProbeInterval), "c", true))
	b.Record(later, "c", false)
	assert.Assert(t, b.Allow(later.Add(ProbeInterval), "c", true))
	assert.Assert(t, b.Allow(later.Add(ProbeInterval), "c", false))
}

func TestOpenBreakerAllowsHealthyClasses(t *testing.T) {
	tests := []struct {
		name  string
		class string
		want  bool
	}{
		{name: "class that fails", class: "bad"},
		{name: "class that succeeded", class: "good", want: true},
		{name: "class with a few failures", class: "new"},
		{name: "class without results", class: "other"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Breaker
			b.Record(simStart, "good", false)
			for range 3 {
				b.Record(simStart, "new", true)
			}
			for range 30 {
				b.Record(simStart, "bad", true)
			}
			assert.Equal(t, b.Allow(simStart, tt.class, true), tt.want)
		})
	}
}
