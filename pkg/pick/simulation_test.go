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

// chooser is what the simulation compares.
type chooser interface {
	choose(now time.Time, set *CandidateSet) (c Candidate, end func(now time.Time, o Outcome))
}

type picking struct{ Picker }

func (p *picking) choose(now time.Time, set *CandidateSet) (c Candidate, end func(now time.Time, o Outcome)) {
	c, _ = p.Pick(now, Request{Set: set, From: home})
	return c, p.Begin(now, c.Host).End
}

// guessing is the baseline: any host of the zone, whatever is known of it.
type guessing struct{ random *rand.Rand }

func (g *guessing) choose(_ time.Time, set *CandidateSet) (c Candidate, end func(now time.Time, o Outcome)) {
	return set.Candidates()[g.random.IntN(len(set.Candidates()))], func(time.Time, Outcome) {}
}

// upstream serves in order of arrival on its slots.
type upstream struct {
	// free holds when each slot is free.
	free []time.Time
	// slower multiplies the service time.
	slower float64
	// failing answers at once with a failure until that time.
	failing time.Time
	served  int
}

func (u *upstream) serve(now time.Time, service time.Duration) (end time.Time, busy int) {
	i := 0
	for n, f := range u.free {
		if f.Before(u.free[i]) {
			i = n
		}
		if f.After(now) {
			busy++
		}
	}
	// The mean service time turns the wait for a slot into a number of requests.
	busy += int(max(u.free[i].Sub(now), 0) * simSlots / simService)
	begin := u.free[i]
	if begin.Before(now) {
		begin = now
	}
	u.free[i] = begin.Add(time.Duration(float64(service) * u.slower))
	u.served++
	return u.free[i], busy
}

type answer struct {
	at  time.Time
	end func()
}

type answers []answer

func (a answers) Len() int           { return len(a) }
func (a answers) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a answers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *answers) Push(x any)        { *a = append(*a, x.(answer)) }
func (a *answers) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

const (
	simHosts   = 8
	simSlots   = 9
	simCallers = 12
	simService = 20 * time.Millisecond
	simLength  = 16 * time.Second
)

// situation is what one host of the zone meets.
type situation struct {
	name    string
	load    float64
	slower  float64
	failing time.Duration
	// lies makes that host report no load.
	lies bool
}

var situations = []situation{
	{name: "all well at half of capacity", load: 0.5, slower: 1},
	{name: "all well at nine tenths", load: 0.9, slower: 1},
	{name: "one host six times slower", load: 0.6, slower: 6},
	{name: "one host six times slower that reports no load", load: 0.6, slower: 6, lies: true},
	{name: "one host fails at once", load: 0.6, slower: 1, failing: simLength / 2},
}

type figures struct {
	p50, p99 time.Duration
	// failed is the percent of requests that failed.
	failed float64
	// first is the percent that went to the host in trouble.
	first float64
}

func run(s situation, callers []chooser) (f figures) {
	set := makeSet(simSlots, map[mesh.Place]int{home: simHosts})
	hosts := make([]upstream, simHosts)
	for i := range hosts {
		hosts[i] = upstream{free: make([]time.Time, simSlots), slower: 1}
	}
	hosts[0].slower, hosts[0].failing = s.slower, start.Add(s.failing)
	var (
		pending   answers
		latencies []time.Duration
		random    = rand.New(rand.NewPCG(11, 11))
		gap       = float64(simService) / simSlots / simHosts / s.load
		failures  int
	)
	for now := start; now.Before(start.Add(simLength)); now = now.Add(time.Duration(random.ExpFloat64() * gap)) {
		for len(pending) > 0 && !pending[0].at.After(now) {
			heap.Pop(&pending).(answer).end()
		}
		c, end := callers[random.IntN(len(callers))].choose(now, set)
		i := slices.IndexFunc(set.Candidates(), func(x Candidate) bool { return x.Host == c.Host })
		if now.Before(hosts[i].failing) {
			failures++
			hosts[i].served++
			end(now, Outcome{Failed: true})
			continue
		}
		at, busy := hosts[i].serve(now, time.Duration(float64(simService)*(0.5+0.5*random.ExpFloat64())))
		latencies = append(latencies, at.Sub(now))
		if s.lies && i == 0 {
			busy = 0
		}
		outcome := Outcome{Latency: at.Sub(now), LoadPercent: busy * 100 / simSlots}
		heap.Push(&pending, answer{at: at, end: func() { end(at, outcome) }})
	}
	slices.SortFunc(latencies, cmp.Compare)
	total := float64(len(latencies) + failures)
	return figures{
		p50: latencies[len(latencies)/2], p99: latencies[len(latencies)*99/100],
		failed: 100 * float64(failures) / total, first: 100 * float64(hosts[0].served) / total,
	}
}

func pickers() (callers []chooser) {
	for i := range uint64(simCallers) {
		callers = append(callers, &picking{Picker{Random: rand.New(rand.NewPCG(i, i))}})
	}
	return callers
}

func guessers() (callers []chooser) {
	return []chooser{&guessing{random: seeded()}}
}

func TestPickingBeatsGuessing(t *testing.T) {
	for _, s := range situations {
		t.Run(s.name, func(t *testing.T) {
			picked, guessed := run(s, pickers()), run(s, guessers())
			if s.failing == 0 {
				// Guessing is as good as any choice while no host ever has a queue.
				assert.Assert(t, picked.p99 <= guessed.p99*105/100, "%+v %+v", picked, guessed)
			}
			assert.Assert(t, picked.failed <= guessed.failed/4, "%+v %+v", picked, guessed)
			if s.slower > 1 {
				assert.Assert(t, picked.first < guessed.first/2, "%+v %+v", picked, guessed)
			}
		})
	}
}

func BenchmarkSituations(b *testing.B) {
	for _, s := range situations {
		for _, c := range []struct {
			name string
			make func() []chooser
		}{{name: "picker", make: pickers}, {name: "random", make: guessers}} {
			b.Run(fmt.Sprintf("%s/%s", s.name, c.name), func(b *testing.B) {
				for range b.N {
					f := run(s, c.make())
					b.ReportMetric(float64(f.p50.Microseconds())/1000, "p50_ms")
					b.ReportMetric(float64(f.p99.Microseconds())/1000, "p99_ms")
					b.ReportMetric(f.failed, "failed_%")
					b.ReportMetric(f.first, "to_first_%")
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
			set := makeSet(9, map[mesh.Place]int{home: hosts, near: hosts, far: hosts})
			r := Request{Set: set, From: home, AllowOtherRegions: true}
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

func BenchmarkOwner(b *testing.B) {
	set := makeSet(9, map[mesh.Place]int{home: 6})
	b.ReportAllocs()
	for n := range uint32(b.N) {
		ShardOwner(set, n)
	}
}
