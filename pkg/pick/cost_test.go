package pick_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

var (
	home = mesh.Place{Region: "west", Zone: "west-a"}
	near = mesh.Place{Region: "west", Zone: "west-b"}
	away = mesh.Place{Region: "east", Zone: "east-a"}
)

// twoHosts returns a set of one host at each place.
func twoHosts(first, second mesh.Place) *pick.CandidateSet {
	return pick.NewCandidateSet(mesh.ServiceID{Service: "desk"}, []pick.Candidate{
		{Host: "h1", Place: first, Slots: 4}, {Host: "h2", Place: second, Slots: 4},
	})
}

// answer ends a request at the host that worked 100 ms.
func answer(p *pick.Picker, now time.Time, host mesh.HostID, outcome pick.Outcome) {
	flight := p.Begin(now, host)
	if outcome.Timings.ServiceTime == 0 {
		outcome.Timings = pick.Timings{Class: "c", ServiceTime: 100 * time.Millisecond, NodeTime: 100 * time.Millisecond}
		outcome.Latency = 101 * time.Millisecond
	}
	flight.End(now, outcome)
}

func TestCheapestHostIsChosen(t *testing.T) {
	start := time.Unix(1000, 0)
	places := pick.DistanceCosts{Host: 20 * time.Millisecond, Zone: 40 * time.Millisecond, Region: 500 * time.Millisecond}
	tests := []struct {
		name   string
		second mesh.Place
		long   bool
		// here is the caller's node, and peers how many nodes choose as it does.
		here  mesh.HostID
		peers int
		// happen is what the picker learns before, at the time that is returned.
		happen func(p *pick.Picker) (now time.Time)
		want   mesh.HostID
	}{
		{
			name: "the nearer one", second: near, want: "h1",
			happen: func(*pick.Picker) time.Time { return start },
		},
		{
			name: "the one with free slots", second: near, want: "h2",
			happen: func(p *pick.Picker) time.Time {
				for range 8 {
					p.Begin(start, "h1")
				}
				return start
			},
		},
		{
			name: "the faster one", second: near, want: "h2",
			happen: func(p *pick.Picker) time.Time {
				for range 20 {
					answer(p, start, "h1", pick.Outcome{
						Latency: 301 * time.Millisecond,
						Timings: pick.Timings{Class: "c", ServiceTime: 300 * time.Millisecond, NodeTime: 300 * time.Millisecond},
					})
					answer(p, start, "h2", pick.Outcome{})
				}
				return start
			},
		},
		{
			name: "the other one, once the nearer refused what it would not finish", second: near, want: "h2",
			happen: func(p *pick.Picker) time.Time {
				answer(p, start, "h2", pick.Outcome{})
				p.Begin(start, "h1").End(start, pick.Outcome{
					NotRun: true, Busy: true, Timings: pick.Timings{Class: "c", EstimatedServiceTime: time.Second},
				})
				return start
			},
		},
		{
			name: "the nearer one, long after it refused, while the other is busy", second: near, want: "h1",
			happen: func(p *pick.Picker) time.Time {
				answer(p, start, "h2", pick.Outcome{})
				for range 5 {
					p.Begin(start, "h1").End(start, pick.Outcome{
						NotRun: true, Busy: true, Timings: pick.Timings{Class: "c", EstimatedServiceTime: time.Second},
					})
				}
				for range 12 {
					p.Begin(start, "h2")
				}
				return start.Add(30 * time.Second)
			},
		},
		{
			name: "the one that answers, while the other leaves requests waiting", second: near, want: "h2",
			happen: func(p *pick.Picker) time.Time {
				p.BeginWithEstimate(start, "h1", 100*time.Millisecond, false)
				return start.Add(400 * time.Millisecond)
			},
		},
		{
			name: "the one that answers, once the other left requests without an answer", second: near, want: "h2",
			happen: func(p *pick.Picker) time.Time {
				now := start.Add(600 * time.Millisecond)
				for range 3 {
					p.BeginWithEstimate(start, "h1", 100*time.Millisecond, false).End(now, pick.Outcome{})
				}
				return now
			},
		},
		{
			name: "the nearer one again after a while", second: near, want: "h1",
			happen: func(p *pick.Picker) time.Time {
				now := start.Add(600 * time.Millisecond)
				for range 3 {
					p.BeginWithEstimate(start, "h1", 100*time.Millisecond, false).End(now, pick.Outcome{})
				}
				return now.Add(10 * time.Second)
			},
		},
		{
			name: "the nearer one, whose requests ended as their callers left", second: near, want: "h1",
			happen: func(p *pick.Picker) time.Time {
				now := start.Add(100 * time.Millisecond)
				for range 3 {
					p.BeginWithEstimate(start, "h1", 100*time.Millisecond, false).End(now, pick.Outcome{Canceled: true})
				}
				return now
			},
		},
		{
			name: "for a short answer, the nearer one whose long answers are late", second: near, want: "h1",
			happen: func(p *pick.Picker) time.Time {
				p.BeginWithEstimate(start, "h1", 100*time.Millisecond, true)
				return start.Add(time.Second)
			},
		},
		{
			name: "for a long answer, the one whose link is free", second: near, long: true, want: "h2",
			happen: func(p *pick.Picker) time.Time {
				answer(p, start, "h1", pick.Outcome{HasLinkWait: true, LinkWait: 300 * time.Millisecond})
				return start
			},
		},
		{
			name: "for a short answer, the nearer one whose link is busy", second: near, want: "h1",
			happen: func(p *pick.Picker) time.Time {
				answer(p, start, "h1", pick.Outcome{HasLinkWait: true, LinkWait: 300 * time.Millisecond})
				return start
			},
		},
		{
			name: "the one that is known to have room, although another got little of this node", second: near, peers: 60, want: "h2",
			happen: func(p *pick.Picker) time.Time {
				answer(p, start, "h2", pick.Outcome{LoadPercent: 25})
				p.Begin(start, "h1")
				return start
			},
		},
		{
			name: "the nearer one that refuses as all do, and not a far one that just came", second: away, want: "h1",
			happen: func(p *pick.Picker) time.Time {
				for range 40 {
					answer(p, start, "h1", pick.Outcome{NotRun: true, Busy: true, Shed: true})
				}
				return start
			},
		},
		{
			name: "the own one of two in the zone", second: home, here: "h2", want: "h2",
			happen: func(*pick.Picker) time.Time { return start },
		},
		{
			name: "the one in the region, although it is busy", second: away, want: "h1",
			happen: func(p *pick.Picker) time.Time {
				for range 6 {
					p.Begin(start, "h1")
				}
				return start
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &pick.Picker{Random: rand.New(rand.NewPCG(1, 2))}
			request := pick.CostRequest{Set: twoHosts(home, tt.second), From: home, FromHost: tt.here, CallerNodes: tt.peers, Class: "c", DistanceCosts: places, LargeResponse: tt.long}
			// What is learned is kept for the hosts of the sets that were asked for.
			_, _, err := p.PickCheapest(start, request)
			assert.NilError(t, err)
			now := tt.happen(p)
			got, _, err := p.PickCheapest(now, request)
			assert.NilError(t, err)
			assert.Equal(t, got.Host, tt.want)
		})
	}
}
