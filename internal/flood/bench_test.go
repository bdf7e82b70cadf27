package flood_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/faulty"
	"arbutusstep.example/arbutusstep/internal/flood"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// answerFiller makes answers of about 2 KB.
	answerFiller = 1900
	// measureTime is that of one reading.
	measureTime = 5 * time.Second
	// coldTime is how long a new upstream has less than its full share.
	coldTime = 11 * time.Second
)

// pair is an entry node and an upstream's node in one availability zone.
var pair = shape{
	hosts: []place{{zone: "a", region: "west"}, {zone: "a", region: "west", service: "desk"}},
	slots: 64, direct: true,
}

var page = flood.Call{Method: http.MethodGet, Path: "/pages/1", PaddingBytes: answerFiller, Priority: mesh.Normal}

// at sends every call to one address.
type at struct {
	caller *flood.Caller
	addr   netip.AddrPort
}

func (a *at) Send(ctx context.Context, call flood.Call) flood.Result {
	return a.caller.Do(ctx, a.addr, call)
}

// reportAdded reports the latencies of both ways and what the mesh adds.
func reportAdded(b *testing.B, mesh, direct *flood.Stats) {
	for _, q := range []struct {
		name    string
		percent float64
	}{{"p50", 50}, {"p99", 99}} {
		through, straight := mesh.Latency(q.percent), direct.Latency(q.percent)
		b.ReportMetric(float64(through.Microseconds()), "mesh-"+q.name+"-us")
		b.ReportMetric(float64(straight.Microseconds()), "direct-"+q.name+"-us")
		b.ReportMetric(float64((through - straight).Microseconds()), "added-"+q.name+"-us")
	}
	b.ReportMetric(float64(mesh.Total()-mesh.Count(flood.Answered)), "mesh-failed")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkAddedLatencyAtTwoYearRate(b *testing.B) {
	bed := newBed(b, pair)
	mesh, direct := &at{&flood.Caller{}, bed.sites[0].addr()}, &at{&flood.Caller{}, bed.sites[1].upstream.Addr()}
	kinds := []flood.Stream{{Call: page, Keyed: true, Interval: time.Second / 255}}
	for range b.N {
		through := flood.Start(b.Context(), mesh, "m", kinds)
		time.Sleep(kinds[0].Interval / 2)
		straight := flood.Start(b.Context(), direct, "d", kinds)
		time.Sleep(measureTime)
		through.Stop()
		straight.Stop()
		reportAdded(b, &through.Stats[page.Priority], &straight.Stats[page.Priority])
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// saturate keeps that many callers busy and returns the calls a second and the
// processor time of a call.
func saturate(b *testing.B, callers int, tally *flood.Stats, sender flood.Sender) (perSecond float64, cpu time.Duration) {
	ctx, cancel := context.WithTimeout(b.Context(), measureTime)
	defer cancel()
	start, before := time.Now(), cpuTime(b)
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			call := page
			for i := 0; ctx.Err() == nil; i++ {
				call.Key = fmt.Sprintf("%d-%d", n, i)
				tally.Add(sender.Send(b.Context(), call))
			}
		})
	}
	running.Wait()
	return float64(tally.Total()) / time.Since(start).Seconds(), (cpuTime(b) - before) / time.Duration(tally.Total())
}

func BenchmarkSaturation(b *testing.B) {
	bed := newBed(b, pair)
	time.Sleep(coldTime)
	for _, callers := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			mesh, direct := &at{&flood.Caller{}, bed.sites[0].addr()}, &at{&flood.Caller{}, bed.sites[1].upstream.Addr()}
			for range b.N {
				var through, straight flood.Stats
				meshRate, meshCPU := saturate(b, callers, &through, mesh)
				directRate, directCPU := saturate(b, callers, &straight, direct)
				reportAdded(b, &through, &straight)
				b.ReportMetric(meshRate, "mesh-calls/s")
				b.ReportMetric(directRate, "direct-calls/s")
				b.ReportMetric(float64((meshCPU-directCPU).Microseconds())/2, "node-cpu-us/call")
			}
		})
	}
}

func BenchmarkMemoryInFlight(b *testing.B) {
	const calls = 250
	wanted := pair
	wanted.serviceTime = 2 * time.Second
	bed := newBed(b, wanted)
	inUse := func(sender flood.Sender, n int) float64 {
		ctx, cancel := context.WithCancel(b.Context())
		var running sync.WaitGroup
		for i := range n {
			call := page
			call.Key = fmt.Sprint(i)
			running.Go(func() { sender.Send(ctx, call) })
		}
		time.Sleep(time.Second)
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		cancel()
		running.Wait()
		return float64(stats.HeapAlloc + stats.StackInuse)
	}
	mesh, direct := &at{&flood.Caller{}, bed.sites[0].addr()}, &at{&flood.Caller{}, bed.sites[1].upstream.Addr()}
	for range b.N {
		// The first round fills the pools that stay.
		inUse(mesh, calls)
		inUse(direct, calls)
		idle := inUse(mesh, 0)
		through := inUse(mesh, calls) - idle
		idle = inUse(direct, 0)
		straight := inUse(direct, calls) - idle
		b.ReportMetric(through/calls, "mesh-B/call")
		b.ReportMetric(straight/calls, "direct-B/call")
		b.ReportMetric((through-straight)/calls, "added-B/call")
		b.ReportMetric(0, "ns/op")
	}
}

func BenchmarkRegionLink(b *testing.B) {
	const calls = 2000
	wanted := pair
	wanted.hosts = []place{{zone: "a", region: "west"}, {zone: "c", region: "east", service: "desk"}}
	bed := newBed(b, wanted)
	caller := &at{&flood.Caller{}, bed.sites[0].addr()}
	for range b.N {
		sent, received := bed.regionBytes()
		for i := range calls {
			call := page
			call.Key = fmt.Sprint(i)
			result := caller.Send(b.Context(), call)
			assert.Equal(b, result.Outcome, flood.Answered, "%+v", result)
		}
		sentAfter, receivedAfter := bed.regionBytes()
		b.ReportMetric(float64(sentAfter-sent)/calls, "request-B/call")
		b.ReportMetric(float64(receivedAfter-received)/calls, "answer-B/call")
		b.ReportMetric(0, "ns/op")
	}
}

// regionBytes returns what crossed from the first site to other regions, and back.
func (b *bed) regionBytes() (sent, received int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for h, l := range b.links {
		if h.from == b.sites[0] {
			sent += l.Bytes(faulty.ToTarget)
			received += l.Bytes(faulty.FromTarget)
		}
	}
	return sent, received
}
