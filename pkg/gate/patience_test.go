package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// TestFloodOfRequestsWithAShortTarget offers twice the capacity of requests whose latency
// target is short against their timeout. What is started must be in time: a queue that is
// as long as the timeout allows answers everything late.
func TestFloodOfRequestsWithAShortTarget(t *testing.T) {
	tests := []struct {
		name string
		// target and timeout are in multiples of the service time.
		target, timeout float64
	}{
		{name: "target of three service times, timeout of sixteen", target: 3.1, timeout: 15.6},
		{name: "target of three service times, timeout of nine", target: 3.1, timeout: 9.4},
		{name: "target of four service times, timeout of seventeen", target: 4.2, timeout: 16.7},
		{name: "target of four service times, timeout of fourteen", target: 3.8, timeout: 14.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target, timeout := time.Duration(tt.target*float64(simServiceTime)), time.Duration(tt.timeout*float64(simServiceTime))
			queue := &Queue{}
			queue.Configure(simStart, Config{Slots: simSlots, FixedLimit: true, PredictWait: true})
			result := simulate(queue, scenario{
				length: 20 * time.Second, offered: [mesh.NumPriorities]float64{mesh.Normal: 2}, countFrom: time.Second,
				deadline: timeout, target: target, startWithin: StartWithin(target, timeout, simServiceTime),
			})[mesh.Normal]
			inTime := float64(result.good) / float64(result.granted)
			assert.Check(t, inTime >= 0.9, "%.2f of the started requests were in time", inTime)
			// Half of the offered requests fit.
			assert.Check(t, result.share() >= 0.9*0.5, "%.2f of the offered requests were in time", result.share())
		})
	}
}

func TestStartWithin(t *testing.T) {
	const second = time.Second
	tests := []struct {
		name                           string
		target, timeout, typical, want time.Duration
	}{
		{name: "ample target", target: 2500 * time.Millisecond, timeout: 5 * second, typical: 400 * time.Millisecond, want: 1500 * time.Millisecond},
		{name: "short target", target: 500 * time.Millisecond, timeout: 2500 * time.Millisecond, typical: 160 * time.Millisecond, want: 255 * time.Millisecond},
		{name: "short timeout", target: 500 * time.Millisecond, timeout: 400 * time.Millisecond, typical: 160 * time.Millisecond, want: 100 * time.Millisecond},
		{name: "target of the service time", target: 100 * time.Millisecond, timeout: second, typical: 100 * time.Millisecond},
		{name: "target below the service time", target: 50 * time.Millisecond, timeout: second, typical: 100 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, StartWithin(tt.target, tt.timeout, tt.typical), tt.want)
		})
	}
}

// TestOverdueRequestsYield mixes requests that come back after a refusal, too late for
// their latency target, with new ones. Under overload the new ones must be served as if
// the others were not there; otherwise both are served.
func TestOverdueRequestsYield(t *testing.T) {
	const target, timeout = 3 * simServiceTime, 15 * simServiceTime
	tests := []struct {
		name string
		// load is the offered load as a multiple of the capacity, half of it overdue.
		load float64
		// timely and overdue are the smallest shares that must be answered; those that
		// are not overdue must be in time.
		timely, overdue float64
		// maxOverdue is the largest share of overdue requests that may take a slot.
		maxOverdue float64
	}{
		{name: "room for all", load: 0.8, timely: 0.95, overdue: 0.95, maxOverdue: 1},
		{name: "room for the timely ones alone", load: 1.9, timely: 0.75, maxOverdue: 0.25},
		{name: "no room for the timely ones", load: 4, timely: 0.43, maxOverdue: 0.03},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			queue := &Queue{}
			queue.Configure(simStart, Config{Slots: simSlots, FixedLimit: true, PredictWait: true})
			var overdue tally
			timely := simulate(queue, scenario{
				length: 20 * time.Second, offered: [mesh.NumPriorities]float64{mesh.Normal: tt.load}, countFrom: time.Second,
				deadline: timeout, target: target, startWithin: StartWithin(target, timeout, simServiceTime),
				overdueShare: 0.5, overdueWithin: MaxWait(timeout), overdue: &overdue,
			})[mesh.Normal]
			assert.Check(t, timely.share() >= tt.timely, "%.2f of the timely requests were in time", timely.share())
			answered := float64(overdue.good+overdue.wasted) / float64(overdue.offered)
			assert.Check(t, answered >= tt.overdue && answered <= tt.maxOverdue, "%.2f of the overdue requests were answered", answered)
		})
	}
}
