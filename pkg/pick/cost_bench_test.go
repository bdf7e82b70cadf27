package pick

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// BenchmarkPickCheapest measures a choice among 160 candidates, with its 99th
// percentile.
func BenchmarkPickCheapest(b *testing.B) {
	set := newTestSet(18, map[mesh.Place]int{home: 40, near: 40, far: 80})
	p := &Picker{Random: rand.New(rand.NewPCG(1, 1))}
	request := CostRequest{Set: set, From: home, Class: "c", CallerNodes: 87, DistanceCosts: DistanceCosts{Zone: 40 * time.Millisecond, Region: 100 * time.Millisecond}}
	now, times := start, make([]time.Duration, 0, b.N)
	b.ReportAllocs()
	for range b.N {
		now = now.Add(10 * time.Millisecond)
		began := time.Now()
		c, expected, err := p.PickCheapest(now, request)
		times = append(times, time.Since(began))
		if err != nil {
			b.Fatal(err)
		}
		p.BeginWithExpectedLatency(now, c.Host, expected, false).End(now, Outcome{
			Latency: 400 * time.Millisecond, LoadPercent: 60,
			Timings: Timings{Class: "c", ServiceTime: 390 * time.Millisecond, NodeTime: 391 * time.Millisecond},
		})
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds()), "p99-ns")
}
