package flood_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"arbutusstep.example/arbutusstep/internal/flood"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// benchServiceTime is so long that one machine can send ten times the capacity.
	benchServiceTime = 100 * time.Millisecond
	// benchCallTimeout is the time within which every call must be answered.
	benchCallTimeout = 2 * time.Second
	// warmUpTime passes under load before the measurement starts.
	warmUpTime = 3 * time.Second
	// regionBytesPerSecond is 30 Mbit/s.
	regionBytesPerSecond = 30_000_000 / 8
)

// priorityShares is the share of each priority in the calls sent, in percent. At ten
// times the capacity, the urgent calls alone take half of the capacity.
var priorityShares = [mesh.NumPriorities]int{mesh.Low: 40, mesh.Normal: 30, mesh.High: 25, mesh.Urgent: 5}

// deployments lists the sizes of the users' deployments, with the upstreams of each
// service by availability zone.
var deployments = []struct {
	name       string
	desk, memo [4]int
	slots      int
}{
	{name: "trauerhaus", desk: [4]int{2, 2, 2, 1}, memo: [4]int{1, 1, 1, 1}, slots: 9},
	{name: "kylvoelehti", desk: [4]int{2, 2, 2, 2}, memo: [4]int{1, 1, 1, 1}, slots: 12},
}

func hostSpecs(desk, memo [4]int) (hosts []hostSpec) {
	zones := [4]hostSpec{{zone: "a", region: "west"}, {zone: "b", region: "west"}, {zone: "c", region: "east"}, {zone: "d", region: "east"}}
	for i, zone := range zones {
		for range desk[i] {
			hosts = append(hosts, hostSpec{zone: zone.zone, region: zone.region, service: "desk"})
		}
		for range memo[i] {
			hosts = append(hosts, hostSpec{zone: zone.zone, region: zone.region, service: "memo"})
		}
	}
	return hosts
}

// benchSettings route GET calls to both services.
const benchSettings = `
customers:
  acme:
    settings:
      timeout: 2s
      floors: {low: 5, normal: 10, high: 20, urgent: 0}
      routes:
        desk: {path: /desk, methods: [GET], service: desk}
        memo: {path: /memo, methods: [GET], service: memo}
    regions:
      west:
        services:
          desk: {settings: {description: first}}
          memo: {settings: {description: second}}
      east:
        services:
          desk: {settings: {description: first}}
          memo: {settings: {description: second}}
`

// baseline sends calls directly to upstreams, for comparison: it chooses one at
// random, keeps a FIFO queue for each and retries at once.
type baseline struct {
	caller  flood.Caller
	queues  map[string][]*queue
	timeout time.Duration
}

// queue is the FIFO queue of one upstream.
type queue struct {
	addr  netip.AddrPort
	slots *semaphore.Weighted
}

func newBaseline(b *testbed) *baseline {
	bl := &baseline{queues: make(map[string][]*queue), timeout: benchCallTimeout / 2}
	for _, h := range b.hosts {
		path := "/" + string(h.spec.service)
		bl.queues[path] = append(bl.queues[path], &queue{
			addr: h.upstream.Addr(), slots: semaphore.NewWeighted(int64(b.config.slots)),
		})
	}
	return bl
}

// Send implements flood.Sender.
func (b *baseline) Send(ctx context.Context, call flood.Call) (result flood.Result) {
	start := time.Now()
	for range 3 {
		queues := b.queues[call.Path]
		result = b.attempt(ctx, queues[rand.IntN(len(queues))], call)
		if result.Outcome == flood.Answered {
			break
		}
	}
	result.Latency = time.Since(start)
	if result.Outcome == flood.Answered && result.Latency > benchCallTimeout {
		result.Outcome = flood.Lost
	}
	return result
}

func (b *baseline) attempt(ctx context.Context, q *queue, call flood.Call) flood.Result {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	if err := q.slots.Acquire(ctx, 1); err != nil {
		return flood.Result{Outcome: flood.Lost, Err: err}
	}
	defer q.slots.Release(1)
	return b.caller.Do(ctx, q.addr, call)
}

// streamsAtLoad returns streams of all priorities that together send loadFactor
// times the capacity.
func streamsAtLoad(b *testbed, loadFactor float64) (streams []flood.Stream) {
	upstreams := make(map[mesh.Service]int)
	for _, h := range b.hosts {
		upstreams[h.spec.service]++
	}
	for service, count := range upstreams {
		capacity := float64(count*b.config.slots) / benchServiceTime.Seconds()
		for priority, percent := range priorityShares {
			rate := capacity * loadFactor * float64(percent) / 100
			streams = append(streams, flood.Stream{Keyed: true, Interval: time.Duration(float64(time.Second) / rate), Call: flood.Call{
				Method: http.MethodGet, Path: "/" + string(service), Priority: mesh.Priority(priority), PaddingBytes: responsePadding, Timeout: benchCallTimeout,
			}})
		}
	}
	return streams
}

// counts holds how many calls of each priority were answered and have ended.
type counts struct {
	answered, ended [mesh.NumPriorities]int
}

func readCounts(l *flood.Load) (c counts) {
	for p := range l.Stats {
		c.answered[p], c.ended[p] = l.Stats[p].Count(flood.Answered), l.Stats[p].Total()
	}
	return c
}

// measure reports the answered calls of each priority, as a percentage of its calls
// and of the capacity.
func measure(b *testing.B, bed *testbed, sender flood.Sender, loadFactor float64) {
	load := flood.Start(b.Context(), sender, "s", streamsAtLoad(bed, loadFactor))
	time.Sleep(warmUpTime)
	start, before := time.Now(), readCounts(load)
	time.Sleep(measureDuration)
	after, elapsed := readCounts(load), time.Since(start).Seconds()
	load.Stop()
	capacity := float64(len(bed.hosts)*bed.config.slots) / benchServiceTime.Seconds()
	totalAnswered := 0
	for _, p := range mesh.Priorities() {
		answered, ended := after.answered[p]-before.answered[p], after.ended[p]-before.ended[p]
		totalAnswered += answered
		b.ReportMetric(100*float64(answered)/float64(max(ended, 1)), p.String()+"-%")
		b.ReportMetric(100*float64(answered)/elapsed/capacity, p.String()+"-%cap")
	}
	b.ReportMetric(100*float64(totalAnswered)/elapsed/capacity, "good-%cap")
	b.ReportMetric(float64(load.Total(flood.Foreign)), "foreign")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkShareByPriority(b *testing.B) {
	for _, size := range deployments {
		bed := newTestbed(b, testbedConfig{
			hosts: hostSpecs(size.desk, size.memo), slots: size.slots, serviceTime: benchServiceTime,
			settings: benchSettings, direct: true, regionLatency: 30 * time.Millisecond, regionRate: regionBytesPerSecond,
		})
		time.Sleep(slowStartTime)
		viaMesh := &flood.RoundRobin{Caller: &flood.Caller{Timeout: callerTimeout}}
		for _, h := range bed.hosts {
			viaMesh.Addrs = append(viaMesh.Addrs, h.callerAddr())
		}
		for _, target := range []struct {
			name   string
			sender flood.Sender
		}{{"mesh", viaMesh}, {"baseline", newBaseline(bed)}} {
			for _, loadFactor := range []float64{0.5, 1, 2, 10} {
				b.Run(fmt.Sprintf("%s/%s/times=%v", size.name, target.name, loadFactor), func(b *testing.B) {
					for range b.N {
						measure(b, bed, target.sender, loadFactor)
					}
				})
			}
		}
		bed.stop()
	}
}
