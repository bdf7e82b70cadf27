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
		{name: "all fails, a while later", every: 1, ends: 20, repeatable: true, after: ProbeTime, want: true},
		{name: "all fails, a while later, work that must not run twice", every: 1, ends: 20, after: ProbeTime},
		{name: "all fails, later, work that must not run twice", every: 1, ends: 20, after: riskyProbeTime, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Breaker
			for i := range tt.ends {
				b.Ended(simStart, tt.every > 0 && i%tt.every == 0)
			}
			assert.Equal(t, b.Admits(simStart.Add(tt.after), tt.repeatable), tt.want)
		})
	}
}

func TestBreakerAdmitsOneWorkAtATimeUntilOneEndsWell(t *testing.T) {
	var b Breaker
	for range 20 {
		b.Ended(simStart, true)
	}
	later := simStart.Add(ProbeTime)
	assert.Assert(t, b.Admits(later, true))
	assert.Assert(t, !b.Admits(later.Add(ProbeTime/2), true))
	assert.Assert(t, b.Admits(later.Add(ProbeTime), true))
	b.Ended(later, false)
	assert.Assert(t, b.Admits(later.Add(ProbeTime), true))
	assert.Assert(t, b.Admits(later.Add(ProbeTime), false))
}
