package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBreakerKeepsWorkFromAnUpstreamThatFailsNearlyAll(t *testing.T) {
	tests := []struct {
		name string
		// every is which work fails, 1 for all and 2 for each second one; 0 for none.
		every      int
		ends       int
		repeatable bool
		// after is how long after the last end work is offered.
		after time.Duration
		want  bool
	}{
		{name: "nothing has ended", repeatable: true, want: true},
		{name: "all is well", ends: 100, want: true},
		{name: "half fails", every: 2, ends: 100, want: true},
		{name: "a few failures", every: 1, ends: 10, want: true},
		{name: "all fails", every: 1, ends: 20, repeatable: true},
		{name: "all fails, a while later", every: 1, ends: 20, repeatable: true, after: ProbeInterval, want: true},
		{name: "all fails, a while later, work that must not run twice", every: 1, ends: 20, after: ProbeInterval},
		{name: "all fails, later, work that must not run twice", every: 1, ends: 20, after: riskyProbeTime, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Breaker
			for i := range tt.ends {
				b.Record(simStart, "c", tt.every > 0 && i%tt.every == 0)
			}
			assert.Equal(t, b.Allow(simStart.Add(tt.after), "c", tt.repeatable), tt.want)
		})
	}
}

func TestBreakerAdmitsOneWorkAtATimeUntilOneEndsWell(t *testing.T) {
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

func TestClassThatRunsWellIsNotHeldBackByOthers(t *testing.T) {
	tests := []struct {
		name  string
		class string
		want  bool
	}{
		{name: "the class that fails", class: "bad"},
		{name: "one that ended well", class: "good", want: true},
		{name: "one that failed a few times", class: "new"},
		{name: "one that is not known", class: "other"},
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
