package gate

import (
	"context"
	"fmt"
	"testing"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// loadMixes offer up to ten times the capacity. The urgent requests alone exceed
// it only in the last one.
var loadMixes = []struct {
	name    string
	offered [mesh.NumPriorities]float64
}{
	{name: "0.5x", offered: [mesh.NumPriorities]float64{0.2, 0.15, 0.1, 0.05}},
	{name: "1x", offered: [mesh.NumPriorities]float64{0.4, 0.3, 0.2, 0.1}},
	{name: "2x", offered: [mesh.NumPriorities]float64{0.8, 0.5, 0.3, 0.4}},
	{name: "10x", offered: [mesh.NumPriorities]float64{6.5, 2, 1, 0.5}},
	{name: "10x urgent", offered: [mesh.NumPriorities]float64{0.4, 0.3, 0.3, 9}},
}

// newWarmQueue returns a queue without slow start.
func newWarmQueue() admissionQueue {
	q := &Queue{}
	q.Configure(simStart, Config{Slots: simSlots, Floors: simFloors})
	return q
}

func newFIFO() admissionQueue { return &fifo{} }

var queues = []struct {
	name string
	make func() admissionQueue
}{
	{name: "gate", make: newWarmQueue},
	{name: "fifo", make: newFIFO},
}

func report(b *testing.B, result [mesh.NumPriorities]tally, length time.Duration) {
	capacity := float64(length) / float64(simServiceTime) * simSlots
	wasted := 0
	for p, t := range result {
		if t.offered > 0 {
			b.ReportMetric(100*t.share(), mesh.Priority(p).String()+"_%")
		}
		wasted += t.wasted
	}
	b.ReportMetric(100*float64(goodput(result))/capacity, "goodput_%")
	b.ReportMetric(100*float64(wasted)/capacity, "wasted_%")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkOverload(b *testing.B) {
	shapes := []struct {
		name     string
		deadline time.Duration
		tail     bool
	}{{name: "even", deadline: 10 * simServiceTime}, {name: "tail", deadline: 4 * simServiceTime, tail: true}}
	for _, m := range loadMixes {
		for _, shape := range shapes {
			s := scenario{length: time.Minute, countFrom: 5 * time.Second, offered: m.offered, deadline: shape.deadline, tail: shape.tail}
			compareQueues(b, m.name+"/"+shape.name, s)
		}
	}
}

func compareQueues(b *testing.B, name string, s scenario) {
	for _, q := range queues {
		b.Run(fmt.Sprintf("%s/%s", name, q.name), func(b *testing.B) {
			for range b.N {
				report(b, simulate(q.make(), s), s.length-s.countFrom)
			}
		})
	}
}

// degradations are the ways in which an upstream is degraded for a third of a run.
var degradations = []struct {
	name       string
	rate       func(at time.Duration, running int) float64
	shedsAbove func(at time.Duration) int
}{
	{name: "3 of 9 cores", rate: whileDegraded(func(running int) float64 { return min(3/float64(running), 1) })},
	{name: "contention", rate: whileDegraded(func(running int) float64 {
		return min(3/float64(running), 1) * (1 - 0.08*float64(max(running-3, 0)))
	})},
	{name: "4 times slower", rate: whileDegraded(func(int) float64 { return 0.25 })},
	{name: "sheds above 4", shedsAbove: func(at time.Duration) int {
		if !degraded(at) {
			return simSlots
		}
		return 4
	}},
}

func whileDegraded(rate func(running int) float64) func(at time.Duration, running int) float64 {
	return func(at time.Duration, running int) float64 {
		if !degraded(at) {
			return 1
		}
		return rate(running)
	}
}

func degraded(at time.Duration) bool {
	return at >= 10*time.Second && at < 20*time.Second
}

func BenchmarkDegradedUpstream(b *testing.B) {
	for _, t := range degradations {
		compareQueues(b, t.name, scenario{
			length: 30 * time.Second, offered: [mesh.NumPriorities]float64{0.3, 0.2, 0.2, 0.1},
			deadline: 10 * simServiceTime, rate: t.rate, shedsAbove: t.shedsAbove, countFrom: 10 * time.Second,
		})
	}
}

func BenchmarkFullQueue(b *testing.B) {
	q := newWarmQueue().(*Queue)
	deadline := simStart.Add(time.Hour)
	for range simSlots * defaultQueuePerSlot {
		q.Offer(simStart, &Request{Deadline: deadline})
	}
	b.ReportAllocs()
	for b.Loop() {
		r := &Request{Priority: mesh.Urgent, Deadline: deadline}
		q.Offer(simStart, r)
		q.Cancel(simStart, r)
		q.NextWakeup(simStart)
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	var g Gate
	g.Configure(Config{Slots: simSlots, Floors: simFloors})
	ctx := context.Background()
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		permit, err := g.Acquire(ctx, mesh.Urgent, deadline)
		if err != nil {
			b.Fatal(err)
		}
		permit.Release(Result{})
	}
}
