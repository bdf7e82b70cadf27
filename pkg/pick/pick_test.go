package pick

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

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
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	service = mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}
	home    = mesh.Place{Region: "ch-west", Zone: "lsn-a"}
	near    = mesh.Place{Region: "ch-west", Zone: "gva-b"}
	far     = mesh.Place{Region: "ch-east", Zone: "zrh-a"}
)

// makeSet returns a set of that many hosts in each place, named by zone and number.
func makeSet(slots int, counts map[mesh.Place]int) *CandidateSet {
	var candidates []Candidate
	for place, count := range counts {
		for i := range count {
			host := mesh.HostID(fmt.Sprintf("%s-%d", place.Zone, i))
			candidates = append(candidates, Candidate{Host: host, Place: place, Slots: slots})
		}
	}
	return NewCandidateSet(service, candidates)
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

// wanted returns the candidates that a choice may fall on, found the long way.
func wanted(p *Picker, now time.Time, r Request) (hosts []mesh.HostID) {
	v := p.view(now, r.Set)
	remote := r.AllowOtherRegions && p.link.allows(now, r.Priority)
	levels := []struct {
		within  func(c Candidate) bool
		quality quality
	}{
		{within: func(c Candidate) bool { return c.Place == r.From }, quality: open},
		{within: func(c Candidate) bool { return c.Place.Region == r.From.Region }, quality: open},
		{within: func(Candidate) bool { return remote }, quality: open},
		{within: func(c Candidate) bool { return c.Place.Region == r.From.Region }, quality: usable},
		{within: func(Candidate) bool { return remote }, quality: usable},
		{within: func(c Candidate) bool { return c.Place.Region == r.From.Region }, quality: barred},
		{within: func(Candidate) bool { return remote }, quality: barred},
	}
	for _, level := range levels {
		for i, c := range r.Set.Candidates() {
			if level.within(c) && !slices.Contains(r.Tried, c.Host) && naiveQuality(v.hosts[i], now, c) >= level.quality {
				hosts = append(hosts, c.Host)
			}
		}
		if len(hosts) > 0 {
			return hosts
		}
	}
	return nil
}

func naiveQuality(h *host, now time.Time, c Candidate) quality {
	switch {
	case now.Before(h.ejectedUntil) || now.Before(h.heldUntil):
		return barred
	case h.inFlight > 0 && float64(h.inFlight) > float64(c.Slots)*h.weight(now, c.ReadySince)-1:
		return usable
	case h.report(now) > fullReport:
		return usable
	}
	return open
}

func TestPickAgreesWithNaiveChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := makeSet(rapid.IntRange(1, 3).Draw(t, "slots"), map[mesh.Place]int{
			home: rapid.IntRange(0, 3).Draw(t, "home"), near: rapid.IntRange(0, 3).Draw(t, "near"),
			far: rapid.IntRange(0, 3).Draw(t, "far"),
		})
		p := Picker{Random: seeded()}
		p.SetLinkBudget(1000)
		now := start
		var flights []Attempt
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if len(flights) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(flights)-1).Draw(t, "flight")
				flights[i].End(now, Outcome{
					Failed: rapid.Bool().Draw(t, "failed"), LoadPercent: rapid.IntRange(0, 400).Draw(t, "load"),
					RetryAfter: time.Duration(rapid.IntRange(0, 1).Draw(t, "hold")) * time.Second, Latency: time.Millisecond,
				})
				flights = slices.Delete(flights, i, i+1)
			}
			r := Request{Set: set, From: home, AllowOtherRegions: rapid.Bool().Draw(t, "remote"), Priority: mesh.Priority(rapid.IntRange(0, 3).Draw(t, "priority"))}
			for _, c := range set.Candidates() {
				if rapid.IntRange(0, 4).Draw(t, "tried") == 0 {
					r.Tried = append(r.Tried, c.Host)
				}
			}
			want := wanted(&p, now, r)
			got, err := p.Pick(now, r)
			if (err != nil) != (len(want) == 0) {
				t.Fatalf("error %v, want one of %v", err, want)
			}
			if err != nil {
				continue
			}
			trial := got.Place == home && p.hosts[got.Host].trialAt.Equal(now)
			if !trial && !slices.Contains(want, got.Host) {
				t.Fatalf("picked %s, want one of %v", got.Host, want)
			}
			p.SpendLinkBudget(rapid.IntRange(0, 400).Draw(t, "bytes"))
			flights = append(flights, p.Begin(now, got.Host))
		}
	})
}

func TestPickGoesAroundTrouble(t *testing.T) {
	set := makeSet(9, map[mesh.Place]int{home: 3, near: 2, far: 2})
	fail := func(p *Picker, at time.Time, host mesh.HostID, o Outcome) {
		for range maxFailures {
			p.Begin(at, host).End(at.Add(time.Millisecond), o)
		}
	}
	failed := Outcome{Failed: true}
	tests := []struct {
		name    string
		prepare func(p *Picker)
		request Request
		after   time.Duration
		// want lists the hosts that may be chosen, each at least once in 200 picks.
		want []mesh.HostID
	}{
		{name: "own zone first", want: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"}},
		{
			name: "ejected after failures", want: []mesh.HostID{"lsn-a-1", "lsn-a-2"}, after: firstEjection / 2,
			prepare: func(p *Picker) { fail(p, start, "lsn-a-0", failed) },
		},
		{
			name: "back after the ejection", want: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"}, after: 2 * firstEjection,
			prepare: func(p *Picker) { fail(p, start, "lsn-a-0", failed) },
		},
		{
			name: "refusals do not eject", want: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"},
			prepare: func(p *Picker) { fail(p, start, "lsn-a-0", Outcome{NotRun: true}) },
		},
		{
			name: "a busy host neither fails nor stands aside", want: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"},
			prepare: func(p *Picker) {
				fail(p, start, "lsn-a-0", Outcome{Failed: true, NotRun: true, Busy: true, RetryAfter: time.Minute})
			},
		},
		{
			name: "failures of one moment eject once", want: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"}, after: firstEjection,
			prepare: func(p *Picker) {
				flights := make([]Attempt, 0, 3*maxFailures)
				for range cap(flights) {
					flights = append(flights, p.Begin(start, "lsn-a-0"))
				}
				for _, f := range flights {
					f.End(start.Add(time.Millisecond), failed)
				}
			},
		},
		{
			name: "next zone when the own one reports a queue", want: []mesh.HostID{"gva-b-0", "gva-b-1"},
			prepare: func(p *Picker) {
				for _, h := range []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"} {
					for range 10 {
						p.Begin(start, h).End(start, Outcome{LoadPercent: 400})
					}
				}
			},
		},
		{
			name: "left alone as asked", want: []mesh.HostID{"lsn-a-1", "lsn-a-2"}, after: time.Second,
			prepare: func(p *Picker) { fail(p, start, "lsn-a-0", Outcome{NotRun: true, RetryAfter: time.Minute}) },
		},
		{
			name: "next zone, and a trial in a zone that is all ejected", after: firstEjection / 2,
			want: []mesh.HostID{"gva-b-0", "gva-b-1", "lsn-a-0"},
			prepare: func(p *Picker) {
				for i, h := range []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"} {
					fail(p, start.Add(time.Duration(i)*time.Millisecond), h, failed)
				}
			},
		},
		{
			name:    "other region when nothing else is left",
			request: Request{AllowOtherRegions: true, Tried: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2", "gva-b-0", "gva-b-1"}},
			want:    []mesh.HostID{"zrh-a-0", "zrh-a-1"},
		},
		{
			name:    "not over a link that is used up",
			request: Request{AllowOtherRegions: true, Tried: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2", "gva-b-0", "gva-b-1"}},
			prepare: func(p *Picker) { p.SetLinkBudget(1000); p.SpendLinkBudget(600) },
		},
		{
			name:    "urgent work over a link that others used up",
			request: Request{AllowOtherRegions: true, Priority: mesh.Urgent, Tried: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2", "gva-b-0", "gva-b-1"}},
			prepare: func(p *Picker) { p.SetLinkBudget(1000); p.SpendLinkBudget(600) },
			want:    []mesh.HostID{"zrh-a-0", "zrh-a-1"},
		},
		{
			name: "away from what its neighbours outrun for long", after: slowFor,
			want: []mesh.HostID{"lsn-a-1", "lsn-a-2"},
			prepare: func(p *Picker) {
				for i, h := range []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"} {
					for range slowSamples {
						p.Begin(start, h).End(start, Outcome{Latency: []time.Duration{50, 10, 10}[i] * time.Millisecond})
					}
				}
				for n := range 200 {
					at := start.Add(time.Millisecond + time.Duration(n/100)*slowFor)
					_, _ = p.Pick(at, Request{Set: set, From: home})
				}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := Picker{Random: seeded()}
			tt.request.Set, tt.request.From = set, home
			_, _ = p.Pick(start, tt.request)
			if tt.prepare != nil {
				tt.prepare(&p)
			}
			var got []mesh.HostID
			for range 200 {
				c, err := p.Pick(start.Add(tt.after+2*time.Millisecond), tt.request)
				var none *NoUpstreamError
				assert.Equal(t, errors.As(err, &none), len(tt.want) == 0)
				if err == nil && !slices.Contains(got, c.Host) {
					got = append(got, c.Host)
				}
			}
			slices.Sort(got)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

func TestEjectionsGrowAndAreForgiven(t *testing.T) {
	var h host
	now := start
	once := func(o Outcome) {
		h.inFlight++
		began := now
		now = now.Add(time.Millisecond)
		h.end(now, began, o)
	}
	once(Outcome{Failed: true})
	once(Outcome{Failed: true})
	tests := []struct {
		name string
		// healthy is how long answers go well before the host fails again.
		healthy time.Duration
		want    time.Duration
	}{
		{name: "first", want: time.Second},
		{name: "failure on return", want: 2 * time.Second},
		{name: "failure in the slow start", healthy: slowStart / 2, want: 4 * time.Second},
		{name: "failure after one is forgiven", healthy: slowStart + 100*time.Millisecond, want: 4 * time.Second},
	}
	for _, tt := range tests {
		for range tt.healthy / (100 * time.Millisecond) {
			once(Outcome{Latency: time.Millisecond})
			now = now.Add(99 * time.Millisecond)
		}
		for h.usable(now) {
			once(Outcome{Failed: true})
		}
		assert.Equal(t, h.ejectedUntil.Sub(now), tt.want, tt.name)
		now = h.ejectedUntil.Add(time.Millisecond)
	}
}

func TestReturningHostIsHandedBackGradually(t *testing.T) {
	p := Picker{Random: seeded()}
	set := makeSet(9, map[mesh.Place]int{home: 2})
	_, _ = p.Pick(start, Request{Set: set, From: home})
	p.hosts["lsn-a-0"].eject(start)
	tests := []struct {
		after       time.Duration
		least, most int
	}{
		{after: firstEjection - 1, least: 0, most: 0},
		{after: firstEjection, least: 20, most: 90},
		{after: firstEjection + slowStart/2, least: 180, most: 320},
		{after: firstEjection + slowStart, least: 400, most: 600},
	}
	for _, tt := range tests {
		got := 0
		for range 1000 {
			c, err := p.Pick(start.Add(tt.after), Request{Set: set, From: home})
			assert.NilError(t, err)
			if c.Host == "lsn-a-0" {
				got++
			}
		}
		assert.Assert(t, got >= tt.least && got <= tt.most, "%d of 1000 after %s", got, tt.after)
	}
}

func TestHostsThatLeftAreForgotten(t *testing.T) {
	var p Picker
	_, err := p.Pick(start, Request{Set: makeSet(9, map[mesh.Place]int{home: 3}), From: home})
	assert.NilError(t, err)
	flight := p.Begin(start, "lsn-a-2")
	_, err = p.Pick(start, Request{Set: makeSet(9, map[mesh.Place]int{home: 2}), From: home})
	assert.NilError(t, err)
	assert.Equal(t, len(p.hosts), 3)
	flight.End(start, Outcome{})
	assert.Equal(t, len(p.hosts), 2)
}

func TestPickerForManyThreads(t *testing.T) {
	var (
		p    Picker
		done sync.WaitGroup
	)
	for i := range 8 {
		done.Go(func() {
			for n := range 300 {
				set := makeSet(2, map[mesh.Place]int{home: 2 + n/100})
				c, err := p.Pick(start, Request{Set: set, From: home})
				assert.Check(t, err)
				p.Begin(start, c.Host).End(start, Outcome{Failed: (n+i)%3 == 0})
			}
		})
	}
	done.Wait()
	assert.Equal(t, len(p.hosts), 4)
	for _, h := range p.hosts {
		assert.Equal(t, h.inFlight, 0)
		assert.Equal(t, h.views, 1)
	}
}

func TestOwnerMovesOnlyTheShardsOfTheHostThatLeft(t *testing.T) {
	full, fewer := makeSet(9, map[mesh.Place]int{home: 5}), makeSet(9, map[mesh.Place]int{home: 4})
	owned := make(map[mesh.HostID]int)
	for shard := range uint32(5000) {
		before, _ := ShardOwner(full, shard)
		after, _ := ShardOwner(fewer, shard)
		assert.Assert(t, before == after || before == "lsn-a-4")
		owned[before]++
	}
	for h, n := range owned {
		assert.Assert(t, n > 800 && n < 1200, "%s owns %d", h, n)
	}
	_, found := ShardOwner(nil, 1)
	assert.Assert(t, !found)
}
