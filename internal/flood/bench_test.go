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
	// responsePadding makes responses of about 2 KB.
	responsePadding = 1900
	// measureDuration is the duration of one measurement.
	measureDuration = 5 * time.Second
	// slowStartTime is how long a new upstream gets less than its full share.
	slowStartTime = 11 * time.Second
)

// sameZone has an entry node and an upstream's node in one availability zone.
var sameZone = testbedConfig{
	hosts: []hostSpec{{zone: "a", region: "west"}, {zone: "a", region: "west", service: "desk"}},
	slots: 64, direct: true,
}

var pageCall = flood.Call{Method: http.MethodGet, Path: "/pages/1", PaddingBytes: responsePadding, Priority: mesh.Normal}

// fixedSender sends every call to one address.
type fixedSender struct {
	caller  *flood.Caller
	address netip.AddrPort
}

func (a *fixedSender) Send(ctx context.Context, call flood.Call) flood.Result {
	return a.caller.Do(ctx, a.address, call)
}

// reportAdded reports the latencies through the mesh and directly, and their
// difference.
func reportAdded(b *testing.B, viaMesh, direct *flood.Stats) {
	for _, q := range []struct {
		name    string
		percent float64
	}{{"p50", 50}, {"p99", 99}} {
		meshLatency, directLatency := viaMesh.Latency(q.percent), direct.Latency(q.percent)
		b.ReportMetric(float64(meshLatency.Microseconds()), "mesh-"+q.name+"-us")
		b.ReportMetric(float64(directLatency.Microseconds()), "direct-"+q.name+"-us")
		b.ReportMetric(float64((meshLatency - directLatency).Microseconds()), "added-"+q.name+"-us")
	}
	b.ReportMetric(float64(viaMesh.Total()-viaMesh.Count(flood.Answered)), "mesh-failed")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkAddedLatencyAtTwoYearRate(b *testing.B) {
	bed := newTestbed(b, sameZone)
	mesh, direct := &fixedSender{&flood.Caller{}, bed.hosts[0].callerAddr()}, &fixedSender{&flood.Caller{}, bed.hosts[1].upstream.Addr()}
	streams := []flood.Stream{{Call: pageCall, Keyed: true, Interval: time.Second / 255}}
	for range b.N {
		meshLoad := flood.Start(b.Context(), mesh, "m", streams)
		time.Sleep(streams[0].Interval / 2)
		directLoad := flood.Start(b.Context(), direct, "d", streams)
		time.Sleep(measureDuration)
		meshLoad.Stop()
		directLoad.Stop()
		reportAdded(b, &meshLoad.Stats[pageCall.Priority], &directLoad.Stats[pageCall.Priority])
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// saturate has that many callers send without a pause. It returns the calls per
// second and the CPU time per call.
func saturate(b *testing.B, callers int, stats *flood.Stats, sender flood.Sender) (perSecond float64, cpu time.Duration) {
	ctx, cancel := context.WithTimeout(b.Context(), measureDuration)
	defer cancel()
	start, before := time.Now(), cpuTime(b)
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			call := pageCall
			for i := 0; ctx.Err() == nil; i++ {
				call.Key = fmt.Sprintf("%d-%d", n, i)
				stats.Add(sender.Send(b.Context(), call))
			}
		})
	}
	running.Wait()
	return float64(stats.Total()) / time.Since(start).Seconds(), (cpuTime(b) - before) / time.Duration(stats.Total())
}

func BenchmarkSaturation(b *testing.B) {
	bed := newTestbed(b, sameZone)
	time.Sleep(slowStartTime)
	for _, callers := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			mesh, direct := &fixedSender{&flood.Caller{}, bed.hosts[0].callerAddr()}, &fixedSender{&flood.Caller{}, bed.hosts[1].upstream.Addr()}
			for range b.N {
				var meshStats, directStats flood.Stats
				meshRate, meshCPU := saturate(b, callers, &meshStats, mesh)
				directRate, directCPU := saturate(b, callers, &directStats, direct)
				reportAdded(b, &meshStats, &directStats)
				b.ReportMetric(meshRate, "mesh-calls/s")
				b.ReportMetric(directRate, "direct-calls/s")
				b.ReportMetric(float64((meshCPU-directCPU).Microseconds())/2, "node-cpu-us/call")
			}
		})
	}
}

func BenchmarkMemoryInFlight(b *testing.B) {
	const calls = 250
	config := sameZone
	config.serviceTime = 2 * time.Second
	bed := newTestbed(b, config)
	memoryInUse := func(sender flood.Sender, n int) float64 {
		ctx, cancel := context.WithCancel(b.Context())
		var running sync.WaitGroup
		for i := range n {
			call := pageCall
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
	mesh, direct := &fixedSender{&flood.Caller{}, bed.hosts[0].callerAddr()}, &fixedSender{&flood.Caller{}, bed.hosts[1].upstream.Addr()}
	for range b.N {
		// The first round fills the pools, so that they don't count.
		memoryInUse(mesh, calls)
		memoryInUse(direct, calls)
		idle := memoryInUse(mesh, 0)
		meshBytes := memoryInUse(mesh, calls) - idle
		idle = memoryInUse(direct, 0)
		directBytes := memoryInUse(direct, calls) - idle
		b.ReportMetric(meshBytes/calls, "mesh-B/call")
		b.ReportMetric(directBytes/calls, "direct-B/call")
		b.ReportMetric((meshBytes-directBytes)/calls, "added-B/call")
		b.ReportMetric(0, "ns/op")
	}
}

func BenchmarkRegionLink(b *testing.B) {
	const calls = 2000
	config := sameZone
	config.hosts = []hostSpec{{zone: "a", region: "west"}, {zone: "c", region: "east", service: "desk"}}
	bed := newTestbed(b, config)
	caller := &fixedSender{&flood.Caller{}, bed.hosts[0].callerAddr()}
	for range b.N {
		sent, received := bed.regionBytes()
		for i := range calls {
			call := pageCall
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

// regionBytes returns the bytes that the first host sent to other regions, and
// received from them.
func (b *testbed) regionBytes() (sent, received int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for key, l := range b.links {
		if key.from == b.hosts[0] {
			sent += l.Bytes(faulty.ToTarget)
			received += l.Bytes(faulty.FromTarget)
		}
	}
	return sent, received
}
