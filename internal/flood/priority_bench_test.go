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
	// shareServiceTime makes ten times the capacity fit one machine.
	shareServiceTime = 100 * time.Millisecond
	// inTime is the agreed window of every call.
	inTime = 2 * time.Second
	// settleTime passes under load before counting begins.
	settleTime = 3 * time.Second
	// regionRate is 30 Mbit/s.
	regionRate = 30_000_000 / 8
)

// mix is the share of each priority in what callers send, in percent: the most
// urgent alone is half of the capacity at ten times the capacity.
var mix = [mesh.NumPriorities]int{mesh.Low: 40, mesh.Normal: 30, mesh.High: 25, mesh.Urgent: 5}

// today lists the sizes of today; the counts are by availability zone.
var today = []struct {
	name       string
	desk, memo [4]int
	slots      int
}{
	{name: "trauerhaus", desk: [4]int{2, 2, 2, 1}, memo: [4]int{1, 1, 1, 1}, slots: 9},
	{name: "kylvoelehti", desk: [4]int{2, 2, 2, 2}, memo: [4]int{1, 1, 1, 1}, slots: 12},
}

func hostsOf(desk, memo [4]int) (hosts []place) {
	zones := [4]place{{zone: "a", region: "west"}, {zone: "b", region: "west"}, {zone: "c", region: "east"}, {zone: "d", region: "east"}}
	for i, z := range zones {
		for range desk[i] {
			hosts = append(hosts, place{zone: z.zone, region: z.region, service: "desk"})
		}
		for range memo[i] {
			hosts = append(hosts, place{zone: z.zone, region: z.region, service: "memo"})
		}
	}
	return hosts
}

// shareSettings lead GET calls to both services.
const shareSettings = `
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

// baseline calls upstreams straight: plain random choice, one queue in order of
// arrival for each upstream, and plain retries.
type baseline struct {
	caller  flood.Caller
	queues  map[string][]*queue
	timeout time.Duration
}

// queue stands in front of one upstream.
type queue struct {
	addr  netip.AddrPort
	slots *semaphore.Weighted
}

func newBaseline(b *bed) *baseline {
	base := &baseline{queues: make(map[string][]*queue), timeout: inTime / 2}
	for _, s := range b.sites {
		path := "/" + string(s.place.service)
		base.queues[path] = append(base.queues[path], &queue{
			addr: s.upstream.Addr(), slots: semaphore.NewWeighted(int64(b.shape.slots)),
		})
	}
	return base
}

// Send implements flood.Sender.
func (b *baseline) Send(ctx context.Context, call flood.Call) (result flood.Result) {
	start := time.Now()
	for range 3 {
		queues := b.queues[call.Path]
		result = b.try(ctx, queues[rand.IntN(len(queues))], call)
		if result.Outcome == flood.Answered {
			break
		}
	}
	result.Latency = time.Since(start)
	if result.Outcome == flood.Answered && result.Latency > inTime {
		result.Outcome = flood.Lost
	}
	return result
}

func (b *baseline) try(ctx context.Context, q *queue, call flood.Call) flood.Result {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	if err := q.slots.Acquire(ctx, 1); err != nil {
		return flood.Result{Outcome: flood.Lost, Err: err}
	}
	defer q.slots.Release(1)
	return b.caller.Do(ctx, q.addr, call)
}

// mixed returns the calls of all priorities at that multiple of the capacity.
func mixed(b *bed, times float64) (kinds []flood.Stream) {
	upstreams := make(map[mesh.Service]int)
	for _, s := range b.sites {
		upstreams[s.place.service]++
	}
	for service, n := range upstreams {
		capacity := float64(n*b.shape.slots) / shareServiceTime.Seconds()
		for p, percent := range mix {
			rate := capacity * times * float64(percent) / 100
			kinds = append(kinds, flood.Stream{Keyed: true, Interval: time.Duration(float64(time.Second) / rate), Call: flood.Call{
				Method: http.MethodGet, Path: "/" + string(service), Priority: mesh.Priority(p), PaddingBytes: answerFiller, Timeout: inTime,
			}})
		}
	}
	return kinds
}

// reading is what calls of each priority got in the time measured.
type reading struct {
	answered, ended [mesh.NumPriorities]int
}

func read(l *flood.Load) (r reading) {
	for p := range l.Stats {
		r.answered[p], r.ended[p] = l.Stats[p].Count(flood.Answered), l.Stats[p].Total()
	}
	return r
}

// measure reports what each priority got, as percent of its calls and in answers
// a second against the capacity.
func measure(b *testing.B, bed *bed, sender flood.Sender, times float64) {
	load := flood.Start(b.Context(), sender, "s", mixed(bed, times))
	time.Sleep(settleTime)
	start, before := time.Now(), read(load)
	time.Sleep(measureTime)
	after, elapsed := read(load), time.Since(start).Seconds()
	load.Stop()
	capacity := float64(len(bed.sites)*bed.shape.slots) / shareServiceTime.Seconds()
	sum := 0
	for _, p := range mesh.Priorities() {
		answered, ended := after.answered[p]-before.answered[p], after.ended[p]-before.ended[p]
		sum += answered
		b.ReportMetric(100*float64(answered)/float64(max(ended, 1)), p.String()+"-%")
		b.ReportMetric(100*float64(answered)/elapsed/capacity, p.String()+"-%cap")
	}
	b.ReportMetric(100*float64(sum)/elapsed/capacity, "good-%cap")
	b.ReportMetric(float64(load.Total(flood.Foreign)), "foreign")
	b.ReportMetric(0, "ns/op")
}

func BenchmarkShareByPriority(b *testing.B) {
	for _, size := range today {
		bed := newBed(b, shape{
			hosts: hostsOf(size.desk, size.memo), slots: size.slots, serviceTime: shareServiceTime,
			settings: shareSettings, direct: true, latency: 30 * time.Millisecond, rate: regionRate,
		})
		time.Sleep(coldTime)
		through := &flood.RoundRobin{Caller: &flood.Caller{Timeout: patience}}
		for _, s := range bed.sites {
			through.Addrs = append(through.Addrs, s.addr())
		}
		for _, way := range []struct {
			name   string
			sender flood.Sender
		}{{"mesh", through}, {"baseline", newBaseline(bed)}} {
			for _, times := range []float64{0.5, 1, 2, 10} {
				b.Run(fmt.Sprintf("%s/%s/times=%v", size.name, way.name, times), func(b *testing.B) {
					for range b.N {
						measure(b, bed, way.sender, times)
					}
				})
			}
		}
		bed.stop()
	}
}
