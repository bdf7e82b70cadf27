package fakeup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestServiceTimes(t *testing.T) {
	started := time.Unix(1000, 0)
	tests := []struct {
		name     string
		clock    serviceClock
		age      time.Duration
		min, max time.Duration
	}{
		{name: "fixed", clock: serviceClock{mean: time.Second}, min: time.Second, max: time.Second},
		{name: "just started", clock: serviceClock{mean: time.Second, cold: time.Minute}, min: 4 * time.Second, max: 4 * time.Second},
		{name: "half warm", clock: serviceClock{mean: time.Second, cold: time.Minute}, age: 30 * time.Second, min: 2500 * time.Millisecond, max: 2500 * time.Millisecond},
		{name: "warm", clock: serviceClock{mean: time.Second, cold: time.Minute}, age: time.Minute, min: time.Second, max: time.Second},
		{name: "random", clock: serviceClock{mean: time.Second, seed: 7}, max: maxSpread * time.Second},
	}
	for i := range tests {
		tt := &tests[i]
		t.Run(tt.name, func(t *testing.T) {
			tt.clock.started = started
			sum := time.Duration(0)
			for range 1000 {
				got := tt.clock.next(started.Add(tt.age))
				assert.Assert(t, got >= tt.min && got <= tt.max, "%v", got)
				sum += got
			}
			mean := sum / 1000
			assert.Assert(t, mean >= tt.clock.mean*9/10, "%v", mean)
		})
	}
}
