package shift_test

import (
	"testing"
	"time"

	"arbutusstep.example/arbutusstep/pkg/shift"
)

// BenchmarkRequest measures what a request costs while an order runs: the choice between
// the releases, and the count of the outcome.
func BenchmarkRequest(b *testing.B) {
	now := time.Now()
	trial := shift.Trial{Share: 0.07, RouteShares: map[string]float64{"r0": 0.02, "r1": 0.04, "r2": 0.07, "r3": 0.1, "r4": 0.5}, Until: now.Add(time.Hour)}
	counts := make(shift.Counts)
	b.ReportAllocs()
	for i := range b.N {
		route := routes[i%len(routes)]
		key := shift.Key{Release: "v1", Route: route}
		if trial.Takes(now, route, float64(i%100)/100) {
			key.Release = "v2"
		}
		counts.RecordStart(key)
		counts.RecordEnd(key, false)
		counts.Record(key, shift.Outcome{ServiceTime: 20 * time.Millisecond})
	}
}
