package fakeup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestServiceTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name     string
		times    serviceTimes
		age      time.Duration
		min, max time.Duration
	}{
		{name: "fixed", times: serviceTimes{mean: time.Second}, min: time.Second, max: time.Second},
		{name: "start of cold start", times: serviceTimes{mean: time.Second, coldStart: time.Minute}, min: 4 * time.Second, max: 4 * time.Second},
		{name: "halfway through cold start", times: serviceTimes{mean: time.Second, coldStart: time.Minute}, age: 30 * time.Second, min: 2500 * time.Millisecond, max: 2500 * time.Millisecond},
		{name: "after cold start", times: serviceTimes{mean: time.Second, coldStart: time.Minute}, age: time.Minute, min: time.Second, max: time.Second},
		{name: "random", times: serviceTimes{mean: time.Second, seed: 7}, max: maxRandomFactor * time.Second},
	}
	for i := range tests {
		tt := &tests[i]
		t.Run(tt.name, func(t *testing.T) {
			tt.times.started = start
			sum := time.Duration(0)
			for range 1000 {
				got := tt.times.next(start.Add(tt.age))
				assert.Assert(t, got >= tt.min && got <= tt.max, "%v", got)
				sum += got
			}
			mean := sum / 1000
			assert.Assert(t, mean >= tt.times.mean*9/10, "%v", mean)
		})
	}
}
