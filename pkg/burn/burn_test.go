package burn_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	orders = mesh.ServiceID{Customer: "kylvolehti", Service: "orders"}
)

// event is a recorded sample for the naive count.
type event struct {
	at   time.Time
	good bool
}

// countWindow counts the events in the window that ends with the current bucket.
func countWindow(events []event, now time.Time, bucket, window time.Duration) (count burn.Count) {
	end := now.Truncate(bucket).Add(bucket)
	for _, e := range events {
		if e.at.Before(end.Add(-window)) {
			continue
		}
		count.Total++
		if e.good {
			count.Good++
		}
	}
	return count
}

func TestWindowsMatchNaiveCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			first, second burn.Recorder
			samples       = rapid.IntRange(1, 100).Draw(t, "samples")
			events        = make([]event, 0, samples)
			now           = start
		)
		for range samples {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Second)
			sample := burn.Sample{
				Outcome: burn.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
				Latency: time.Duration(rapid.IntRange(0, 2000).Draw(t, "latency")) * time.Millisecond,
			}
			recorder := &first
			if rapid.Bool().Draw(t, "second") {
				recorder = &second
			}
			recorder.Record(now, orders, mesh.High, sample)
			good := sample.Outcome == burn.Answered && sample.Latency <= burn.DefaultObjective.Latency
			events = append(events, event{at: now, good: good})
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Second)
		report := burn.Merge(first.Report(now), second.Report(now))
		assert.Equal(t, len(report.Rows), 1)
		assert.Equal(t, report.Rows[0].ShortWindow, countWindow(events, now, 10*time.Second, 5*time.Minute))
		assert.Equal(t, report.Rows[0].LongWindow, countWindow(events, now, time.Minute, time.Hour))
	})
}

func TestRowsAreSortedBySeverity(t *testing.T) {
	bad, good := burn.Sample{Outcome: burn.Failed}, burn.Sample{}
	tests := []struct {
		name string
		// before are the samples from 30 minutes ago, recent the current ones.
		before, recent map[mesh.Service][]burn.Sample
		want           []mesh.Service
	}{
		{
			name:   "higher burn rate first",
			recent: map[mesh.Service][]burn.Sample{"a": {bad, good, good}, "b": {bad, bad, good}},
			want:   []mesh.Service{"b", "a"},
		},
		{
			name:   "ongoing fault before a fault that is over",
			before: map[mesh.Service][]burn.Sample{"a": {bad, bad}},
			recent: map[mesh.Service][]burn.Sample{"a": {good}, "b": {bad, good}},
			want:   []mesh.Service{"b", "a"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var recorder burn.Recorder
			now := start.Add(30 * time.Minute)
			for at, samples := range map[time.Time]map[mesh.Service][]burn.Sample{start: tt.before, now: tt.recent} {
				for service, list := range samples {
					for _, s := range list {
						recorder.Record(at, mesh.ServiceID{Service: service}, mesh.Normal, s)
					}
				}
			}
			rows := recorder.Report(now).Rows
			got := make([]mesh.Service, 0, len(rows))
			for _, r := range rows {
				got = append(got, r.Service.Service)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

func TestPercentilesAreAccurate(t *testing.T) {
	var (
		one, other burn.Recorder
		exact      = make([]time.Duration, 0, 10000)
	)
	for i := range cap(exact) {
		latency := time.Duration(math.Pow(1.001, float64(i%9000))*100) * time.Microsecond
		recorder := &one
		if i%3 == 0 {
			recorder = &other
		}
		recorder.Record(start, orders, mesh.Urgent, burn.Sample{Latency: latency})
		exact = append(exact, latency)
	}
	slices.Sort(exact)
	report := burn.Merge(one.Report(start), other.Report(start))
	tests := []struct {
		percent float64
		want    time.Duration
	}{
		{percent: 50, want: exact[len(exact)/2-1]},
		{percent: 99, want: exact[len(exact)*99/100-1]},
	}
	for _, tt := range tests {
		got := report.Percentile(mesh.Urgent, tt.percent)
		assert.Assert(t, math.Abs(float64(got-tt.want)) <= 0.02*float64(tt.want), "percentile is %s, want %s", got, tt.want)
	}
	assert.Equal(t, report.Percentile(mesh.Low, 50), time.Duration(0))
	assert.Equal(t, one.Report(start.Add(15*time.Minute)).Percentile(mesh.Urgent, 50), time.Duration(0))
}

func recordServices(recorder *burn.Recorder, services int) {
	for i := range services {
		for _, p := range mesh.Priorities() {
			recorder.Record(start, mesh.ServiceID{Service: mesh.Service(fmt.Sprint(i))}, p, burn.Sample{})
		}
	}
}

func TestNumberOfServicesIsBounded(t *testing.T) {
	var recorder burn.Recorder
	recordServices(&recorder, 2000)
	report := recorder.Report(start)
	assert.Assert(t, len(report.Rows) <= 257*mesh.NumPriorities)
	var total int64
	for _, r := range report.Rows {
		total += r.LongWindow.Total
	}
	assert.Equal(t, total, int64(2000*mesh.NumPriorities))
}

func TestIdleServicesAreEvicted(t *testing.T) {
	var recorder burn.Recorder
	recordServices(&recorder, 2000)
	later := start.Add(2 * time.Hour)
	recorder.Record(later, orders, mesh.Low, burn.Sample{})
	rows := recorder.Report(later).Rows
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Service, orders)
}

func BenchmarkRecord(b *testing.B) {
	var recorder burn.Recorder
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			recorder.Record(start, orders, mesh.Urgent, burn.Sample{Latency: time.Millisecond})
		}
	})
}

func BenchmarkMemoryWhenFull(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var recorder burn.Recorder
		recordServices(&recorder, 300)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KiB")
		recorder.Report(start)
	}
	b.ReportMetric(0, "ns/op")
}

func BenchmarkReport(b *testing.B) {
	var recorder burn.Recorder
	recordServices(&recorder, 300)
	for b.Loop() {
		recorder.Report(start)
	}
}
