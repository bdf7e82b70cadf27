package pick

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// chooser is a selection strategy that the simulation compares.
type chooser interface {
	choose(now time.Time, set *CandidateSet) (c Candidate, end func(now time.Time, o Outcome))
}

type pickerChooser struct{ Picker }

func (p *pickerChooser) choose(now time.Time, set *CandidateSet) (c Candidate, end func(now time.Time, o Outcome)) {
	c, _ = p.Pick(now, Request{Set: set, From: home})
	return c, p.Begin(now, c.Host).End
}

// randomChooser is the baseline: it chooses any host at random.
type randomChooser struct{ random *rand.Rand }

func (r *randomChooser) choose(_ time.Time, set *CandidateSet) (c Candidate, end func(now time.Time, o Outcome)) {
	return set.Candidates()[r.random.IntN(len(set.Candidates()))], func(time.Time, Outcome) {}
}

// simUpstream serves requests in order of arrival on a fixed number of slots.
type simUpstream struct {
	// slotFreeAt holds the time at which each slot becomes free.
	slotFreeAt []time.Time
	// slowdown multiplies the service time.
	slowdown float64
	// Until failingUntil, every request fails immediately.
	failingUntil time.Time
	served       int
}

func (u *simUpstream) serve(now time.Time, serviceTime time.Duration) (end time.Time, used int) {
	i := 0
	for n, freeAt := range u.slotFreeAt {
		if freeAt.Before(u.slotFreeAt[i]) {
			i = n
		}
		if freeAt.After(now) {
			used++
		}
	}
	// Dividing by the mean service time converts the wait for a slot to a number of
	// queued requests.
	used += int(max(u.slotFreeAt[i].Sub(now), 0) * simSlots / simService)
	startAt := u.slotFreeAt[i]
	if startAt.Before(now) {
		startAt = now
	}
	u.slotFreeAt[i] = startAt.Add(time.Duration(float64(serviceTime) * u.slowdown))
	u.served++
	return u.slotFreeAt[i], used
}

type response struct {
	at  time.Time
	end func()
}

type responseHeap []response

func (h responseHeap) Len() int           { return len(h) }
func (h responseHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h responseHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *responseHeap) Push(x any)        { *h = append(*h, x.(response)) }
func (h *responseHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	simHosts    = 8
	simSlots    = 9
	simCallers  = 12
	simService  = 20 * time.Millisecond
	simDuration = 16 * time.Second
)

// scenario describes the load on the zone and the fault of its first host.
type scenario struct {
	name       string
	load       float64
	slowdown   float64
	failingFor time.Duration
	// reportsNoLoad makes the first host always report zero load.
	reportsNoLoad bool
}

var scenarios = []scenario{
	{name: "all hosts healthy at 50% load", load: 0.5, slowdown: 1},
	{name: "all hosts healthy at 90% load", load: 0.9, slowdown: 1},
	{name: "one host six times slower", load: 0.6, slowdown: 6},
	{name: "one host six times slower that reports no load", load: 0.6, slowdown: 6, reportsNoLoad: true},
	{name: "one host fails immediately", load: 0.6, slowdown: 1, failingFor: simDuration / 2},
}

type scenarioResult struct {
	p50, p99 time.Duration
	// failedPercent is the percentage of requests that failed.
	failedPercent float64
	// firstHostPercent is the percentage of requests that went to the first host, which
	// has the fault.
	firstHostPercent float64
}

func runScenario(s scenario, callers []chooser) (result scenarioResult) {
	set := newTestSet(simSlots, map[mesh.Place]int{home: simHosts})
	hosts := make([]simUpstream, simHosts)
	for i := range hosts {
		hosts[i] = simUpstream{slotFreeAt: make([]time.Time, simSlots), slowdown: 1}
	}
	hosts[0].slowdown, hosts[0].failingUntil = s.slowdown, start.Add(s.failingFor)
	var (
		pending   responseHeap
		latencies []time.Duration
		random    = rand.New(rand.NewPCG(11, 11))
		meanGap   = float64(simService) / simSlots / simHosts / s.load
		failures  int
	)
	for now := start; now.Before(start.Add(simDuration)); now = now.Add(time.Duration(random.ExpFloat64() * meanGap)) {
		for len(pending) > 0 && !pending[0].at.After(now) {
			heap.Pop(&pending).(response).end()
		}
		c, end := callers[random.IntN(len(callers))].choose(now, set)
		i := slices.IndexFunc(set.Candidates(), func(x Candidate) bool { return x.Host == c.Host })
		if now.Before(hosts[i].failingUntil) {
			failures++
			hosts[i].served++
			end(now, Outcome{Failed: true})
			continue
		}
		at, used := hosts[i].serve(now, time.Duration(float64(simService)*(0.5+0.5*random.ExpFloat64())))
		latencies = append(latencies, at.Sub(now))
		if s.reportsNoLoad && i == 0 {
			used = 0
		}
		outcome := Outcome{Latency: at.Sub(now), LoadPercent: used * 100 / simSlots}
		heap.Push(&pending, response{at: at, end: func() { end(at, outcome) }})
	}
	slices.SortFunc(latencies, cmp.Compare)
	total := float64(len(latencies) + failures)
	return scenarioResult{
		p50: latencies[len(latencies)/2], p99: latencies[len(latencies)*99/100],
		failedPercent: 100 * float64(failures) / total, firstHostPercent: 100 * float64(hosts[0].served) / total,
	}
}

func pickerChoosers() (callers []chooser) {
	for i := range uint64(simCallers) {
		callers = append(callers, &pickerChooser{Picker{Random: rand.New(rand.NewPCG(i, i))}})
	}
	return callers
}

func randomChoosers() (callers []chooser) {
	return []chooser{&randomChooser{random: newSeededRand()}}
}

func TestPickerBeatsRandomChoice(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			withPicker, withRandom := runScenario(s, pickerChoosers()), runScenario(s, randomChoosers())
			if s.failingFor == 0 {
				// While no host ever queues requests, a random choice is as good as any other.
				assert.Assert(t, withPicker.p99 <= withRandom.p99*105/100, "%+v %+v", withPicker, withRandom)
			}
			assert.Assert(t, withPicker.failedPercent <= withRandom.failedPercent/4, "%+v %+v", withPicker, withRandom)
			if s.slowdown > 1 {
				assert.Assert(t, withPicker.firstHostPercent < withRandom.firstHostPercent/2, "%+v %+v", withPicker, withRandom)
			}
		})
	}
}

func BenchmarkScenarios(b *testing.B) {
	for _, s := range scenarios {
		for _, c := range []struct {
			name string
			make func() []chooser
		}{{name: "picker", make: pickerChoosers}, {name: "random", make: randomChoosers}} {
			b.Run(fmt.Sprintf("%s/%s", s.name, c.name), func(b *testing.B) {
				for range b.N {
					result := runScenario(s, c.make())
					b.ReportMetric(float64(result.p50.Microseconds())/1000, "p50_ms")
					b.ReportMetric(float64(result.p99.Microseconds())/1000, "p99_ms")
					b.ReportMetric(result.failedPercent, "failed_%")
					b.ReportMetric(result.firstHostPercent, "to_first_%")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, hosts := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var p Picker
			set := newTestSet(9, map[mesh.Place]int{home: hosts, near: hosts, far: hosts})
			r := Request{Set: set, From: home, AllowCrossRegion: true}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				now := start
				for pb.Next() {
					c, err := p.Pick(now, r)
					if err != nil {
						b.Error(err)
						return
					}
					p.Begin(now, c.Host).End(now, Outcome{Latency: time.Millisecond, LoadPercent: 10})
				}
			})
		})
	}
}

func BenchmarkShardOwner(b *testing.B) {
	set := newTestSet(9, map[mesh.Place]int{home: 6})
	b.ReportAllocs()
	for n := range uint32(b.N) {
		ShardOwner(set, n)
	}
}
