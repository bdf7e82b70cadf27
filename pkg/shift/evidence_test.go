package shift_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

// usual returns the counts of requests that took 100 ms, twice or half as long as often.
func usual(n uint64) shift.Count {
	log, deviation := math.Log(100), math.Log(2)
	return shift.Count{
		Responses: n, Timed: n, Started: n, Ended: n, LogSum: float64(n) * log, LogSquares: float64(n) * (log*log + deviation*deviation/2),
	}
}

// TestQuickResponsesProveNothing guards against a version that is judged by its quick responses,
// before the slow ones can have arrived.
func TestQuickResponsesProveNothing(t *testing.T) {
	target, others := shift.Key{Release: "v2", Route: "r"}, shift.Key{Release: "v1", Route: "r"}
	pending := usual(60)
	pending.Started += 20
	refused := usual(60)
	refused.Started, refused.Ended, refused.Refused = 160, 160, 100
	mixed := usual(60)
	// A third of the requests took eight times as long.
	mixed.LogSum += 20 * math.Log(8)
	mixed.LogSquares += 20 * (2*math.Log(100)*math.Log(8) + math.Log(8)*math.Log(8))
	tests := []struct {
		name   string
		counts shift.Count
		after  time.Duration
		// matured is the number of requests that count.
		matured uint64
		// reason is a part of why the version is bad; empty if it is not.
		reason string
	}{
		{name: "at once", counts: usual(60)},
		{name: "after a while", counts: usual(60), after: 2 * time.Second, matured: 60},
		{name: "some pending at once", counts: pending},
		{name: "some pending after a while", counts: pending, after: 2 * time.Second, matured: 80, reason: "20 requests late"},
		{name: "some refused", counts: refused, after: 2 * time.Second, matured: 60},
		{name: "a part slow", counts: mixed, after: 2 * time.Second, matured: 60, reason: "vary"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			var evidence shift.Evidence
			evidence.Add(now, shift.Counts{target: tt.counts, others: usual(1000)})
			now = now.Add(tt.after)
			assert.Equal(t, evidence.Matured(now, mesh.Release("v2"))["r"], tt.matured)
			reason := evidence.Judge(now, "v2")
			assert.Equal(t, reason != "", tt.reason != "", reason)
			assert.Assert(t, strings.Contains(reason, tt.reason), reason)
		})
	}
}
