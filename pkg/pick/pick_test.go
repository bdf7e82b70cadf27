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

// newTestSet returns a set with the given number of hosts in each place, named by
// zone and number.
func newTestSet(slots int, counts map[mesh.Place]int) *CandidateSet {
	var candidates []Candidate
	for place, count := range counts {
		for i := range count {
			host := mesh.HostID(fmt.Sprintf("%s-%d", place.Zone, i))
			candidates = append(candidates, Candidate{Host: host, Place: place, Slots: slots})
		}
	}
	return NewCandidateSet(service, candidates)
}

func newSeededRand() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

// naiveCandidates returns the hosts that Pick may return, computed by checking every
// host at each level.
func naiveCandidates(p *Picker, now time.Time, r Request) (hosts []mesh.HostID) {
	v := p.view(now, r.Set)
	crossRegion := r.AllowCrossRegion && p.linkBudget.allows(now, r.Priority)
	levels := []struct {
		within  func(c Candidate) bool
		quality quality
	}{
		{within: func(c Candidate) bool { return c.Place == r.From }, quality: hasCapacity},
		{within: func(c Candidate) bool { return c.Place.Region == r.From.Region }, quality: hasCapacity},
		{within: func(Candidate) bool { return crossRegion }, quality: hasCapacity},
		{within: func(c Candidate) bool { return c.Place.Region == r.From.Region }, quality: saturated},
		{within: func(Candidate) bool { return crossRegion }, quality: saturated},
		{within: func(c Candidate) bool { return c.Place.Region == r.From.Region }, quality: unavailable},
		{within: func(Candidate) bool { return crossRegion }, quality: unavailable},
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

func naiveQuality(h *hostState, now time.Time, c Candidate) quality {
	switch {
	case now.Before(h.ejectedUntil) || now.Before(h.backoffUntil):
		return unavailable
	case h.inFlight > 0 && float64(h.inFlight) > float64(c.Slots)*h.weight(now, c.ReadySince)-1:
		return saturated
	case h.decayedMeanLoad(now) > saturatedLoad:
		return saturated
	}
	return hasCapacity
}

func TestPickMatchesNaiveChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := newTestSet(rapid.IntRange(1, 3).Draw(t, "slots"), map[mesh.Place]int{
			home: rapid.IntRange(0, 3).Draw(t, "home"), near: rapid.IntRange(0, 3).Draw(t, "near"),
			far: rapid.IntRange(0, 3).Draw(t, "far"),
		})
		p := Picker{Random: newSeededRand()}
		p.SetLinkBudget(1000)
		now := start
		var attempts []Attempt
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if len(attempts) > 0 && rapid.Bool().Draw(t, "end") {
				i := rapid.IntRange(0, len(attempts)-1).Draw(t, "attempt")
				attempts[i].End(now, Outcome{
					Failed: rapid.Bool().Draw(t, "failed"), LoadPercent: rapid.IntRange(0, 400).Draw(t, "load"),
					RetryAfter: time.Duration(rapid.IntRange(0, 1).Draw(t, "retryAfter")) * time.Second, Latency: time.Millisecond,
				})
				attempts = slices.Delete(attempts, i, i+1)
			}
			r := Request{Set: set, From: home, AllowCrossRegion: rapid.Bool().Draw(t, "remote"), Priority: mesh.Priority(rapid.IntRange(0, 3).Draw(t, "priority"))}
			for _, c := range set.Candidates() {
				if rapid.IntRange(0, 4).Draw(t, "tried") == 0 {
					r.Tried = append(r.Tried, c.Host)
				}
			}
			want := naiveCandidates(&p, now, r)
			got, err := p.Pick(now, r)
			if (err != nil) != (len(want) == 0) {
				t.Fatalf("error %v, want one of %v", err, want)
			}
			if err != nil {
				continue
			}
			probe := got.Place == home && p.hosts[got.Host].lastProbe.Equal(now)
			if !probe && !slices.Contains(want, got.Host) {
				t.Fatalf("picked %s, want one of %v", got.Host, want)
			}
			p.SpendLinkBudget(rapid.IntRange(0, 400).Draw(t, "bytes"))
			attempts = append(attempts, p.Begin(now, got.Host))
		}
	})
}

func TestPickAvoidsFailingAndSlowHosts(t *testing.T) {
	set := newTestSet(9, map[mesh.Place]int{home: 3, near: 2, far: 2})
	fail := func(p *Picker, now time.Time, host mesh.HostID, o Outcome) {
		for range maxConsecutiveFailures {
			p.Begin(now, host).End(now.Add(time.Millisecond), o)
		}
	}
	failed := Outcome{Failed: true}
	tests := []struct {
		name    string
		prepare func(p *Picker)
		request Request
		elapsed time.Duration
		// want lists the hosts that may be chosen; each must be chosen at least once in 200
		// picks.
		want []mesh.HostID
	}{
		{name: "own zone is preferred", want: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"}},
		{
			name: "host is ejected after failures", want: []mesh.HostID{"lsn-a-1", "lsn-a-2"}, elapsed: baseEjectionTime / 2,
			prepare: func(p *Picker) { fail(p, start, "lsn-a-0", failed) },
		},
		{
			name: "host returns after the ejection", want: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"}, elapsed: 2 * baseEjectionTime,
			prepare: func(p *Picker) { fail(p, start, "lsn-a-0", failed) },
		},
		{
			name: "refused requests do not eject", want: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"},
			prepare: func(p *Picker) { fail(p, start, "lsn-a-0", Outcome{NotRun: true}) },
		},
		{
			name: "failure and retry-after of a busy host are ignored", want: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"},
			prepare: func(p *Picker) {
				fail(p, start, "lsn-a-0", Outcome{Failed: true, NotRun: true, Busy: true, RetryAfter: time.Minute})
			},
		},
		{
			name: "concurrent failures eject only once", want: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"}, elapsed: baseEjectionTime,
			prepare: func(p *Picker) {
				attempts := make([]Attempt, 0, 3*maxConsecutiveFailures)
				for range cap(attempts) {
					attempts = append(attempts, p.Begin(start, "lsn-a-0"))
				}
				for _, a := range attempts {
					a.End(start.Add(time.Millisecond), failed)
				}
			},
		},
		{
			name: "next zone when the own zone reports queued requests", want: []mesh.HostID{"gva-b-0", "gva-b-1"},
			prepare: func(p *Picker) {
				for _, h := range []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"} {
					for range 10 {
						p.Begin(start, h).End(start, Outcome{LoadPercent: 400})
					}
				}
			},
		},
		{
			name: "no requests during the requested retry-after", want: []mesh.HostID{"lsn-a-1", "lsn-a-2"}, elapsed: time.Second,
			prepare: func(p *Picker) { fail(p, start, "lsn-a-0", Outcome{NotRun: true, RetryAfter: time.Minute}) },
		},
		{
			name: "next zone, plus a probe, when the whole own zone is ejected", elapsed: baseEjectionTime / 2,
			want: []mesh.HostID{"gva-b-0", "gva-b-1", "lsn-a-0"},
			prepare: func(p *Picker) {
				for i, h := range []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"} {
					fail(p, start.Add(time.Duration(i)*time.Millisecond), h, failed)
				}
			},
		},
		{
			name:    "other region when no other host remains",
			request: Request{AllowCrossRegion: true, Tried: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2", "gva-b-0", "gva-b-1"}},
			want:    []mesh.HostID{"zrh-a-0", "zrh-a-1"},
		},
		{
			name:    "no upstream when the link budget is used up",
			request: Request{AllowCrossRegion: true, Tried: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2", "gva-b-0", "gva-b-1"}},
			prepare: func(p *Picker) { p.SetLinkBudget(1000); p.SpendLinkBudget(600) },
		},
		{
			name:    "urgent request when the link budget is used up for others",
			request: Request{AllowCrossRegion: true, Priority: mesh.Urgent, Tried: []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2", "gva-b-0", "gva-b-1"}},
			prepare: func(p *Picker) { p.SetLinkBudget(1000); p.SpendLinkBudget(600) },
			want:    []mesh.HostID{"zrh-a-0", "zrh-a-1"},
		},
		{
			name: "persistently slow host is ejected", elapsed: slowEjectionDelay,
			want: []mesh.HostID{"lsn-a-1", "lsn-a-2"},
			prepare: func(p *Picker) {
				for i, h := range []mesh.HostID{"lsn-a-0", "lsn-a-1", "lsn-a-2"} {
					for range minLatencySamples {
						p.Begin(start, h).End(start, Outcome{Latency: []time.Duration{50, 10, 10}[i] * time.Millisecond})
					}
				}
				for n := range 200 {
					now := start.Add(time.Millisecond + time.Duration(n/100)*slowEjectionDelay)
					_, _ = p.Pick(now, Request{Set: set, From: home})
				}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := Picker{Random: newSeededRand()}
			tt.request.Set, tt.request.From = set, home
			_, _ = p.Pick(start, tt.request)
			if tt.prepare != nil {
				tt.prepare(&p)
			}
			var got []mesh.HostID
			for range 200 {
				c, err := p.Pick(start.Add(tt.elapsed+2*time.Millisecond), tt.request)
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

func TestEjectionTimeGrowsAndDecays(t *testing.T) {
	var h hostState
	now := start
	attempt := func(o Outcome) {
		h.inFlight++
		startedAt := now
		now = now.Add(time.Millisecond)
		h.updateHealth(now, startedAt, o)
	}
	attempt(Outcome{Failed: true})
	attempt(Outcome{Failed: true})
	tests := []struct {
		name string
		// healthy is how long requests succeed before the host fails again.
		healthy time.Duration
		want    time.Duration
	}{
		{name: "first", want: time.Second},
		{name: "failure immediately after the return", want: 2 * time.Second},
		{name: "failure in the slow start", healthy: slowStartWindow / 2, want: 4 * time.Second},
		{name: "failure after one ejection has decayed", healthy: slowStartWindow + 100*time.Millisecond, want: 4 * time.Second},
	}
	for _, tt := range tests {
		for range tt.healthy / (100 * time.Millisecond) {
			attempt(Outcome{Latency: time.Millisecond})
			now = now.Add(99 * time.Millisecond)
		}
		for h.available(now) {
			attempt(Outcome{Failed: true})
		}
		assert.Equal(t, h.ejectedUntil.Sub(now), tt.want, tt.name)
		now = h.ejectedUntil.Add(time.Millisecond)
	}
}

func TestReturningHostGetsTrafficGradually(t *testing.T) {
	p := Picker{Random: newSeededRand()}
	set := newTestSet(9, map[mesh.Place]int{home: 2})
	_, _ = p.Pick(start, Request{Set: set, From: home})
	p.hosts["lsn-a-0"].eject(start)
	tests := []struct {
		after       time.Duration
		least, most int
	}{
		{after: baseEjectionTime - 1, least: 0, most: 0},
		{after: baseEjectionTime, least: 20, most: 90},
		{after: baseEjectionTime + slowStartWindow/2, least: 180, most: 320},
		{after: baseEjectionTime + slowStartWindow, least: 400, most: 600},
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

func TestStateOfRemovedHostsIsFreed(t *testing.T) {
	var p Picker
	_, err := p.Pick(start, Request{Set: newTestSet(9, map[mesh.Place]int{home: 3}), From: home})
	assert.NilError(t, err)
	attempt := p.Begin(start, "lsn-a-2")
	_, err = p.Pick(start, Request{Set: newTestSet(9, map[mesh.Place]int{home: 2}), From: home})
	assert.NilError(t, err)
	assert.Equal(t, len(p.hosts), 3)
	attempt.End(start, Outcome{})
	assert.Equal(t, len(p.hosts), 2)
}

func TestPickerIsSafeForConcurrentUse(t *testing.T) {
	var (
		p    Picker
		done sync.WaitGroup
	)
	for i := range 8 {
		done.Go(func() {
			for n := range 300 {
				set := newTestSet(2, map[mesh.Place]int{home: 2 + n/100})
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

func TestShardOwnerMovesOnlyShardsOfRemovedHost(t *testing.T) {
	full, fewer := newTestSet(9, map[mesh.Place]int{home: 5}), newTestSet(9, map[mesh.Place]int{home: 4})
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
