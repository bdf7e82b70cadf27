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

// newTwoHostSet returns a set of host h1 at the first place and h2 at the second.
func newTwoHostSet(first, second mesh.Place) *pick.CandidateSet {
	return pick.NewCandidateSet(mesh.ServiceID{Service: "desk"}, []pick.Candidate{
		{Host: "h1", Place: first, Slots: 4}, {Host: "h2", Place: second, Slots: 4},
	})
}

// runAttempt begins and ends an attempt at the host, by default with a service time
// of 100 ms.
func runAttempt(p *pick.Picker, now time.Time, host mesh.HostID, outcome pick.Outcome) {
	attempt := p.Begin(now, host)
	if outcome.Timings.ServiceTime == 0 {
		outcome.Timings = pick.Timings{Class: "c", ServiceTime: 100 * time.Millisecond, NodeTime: 100 * time.Millisecond}
		outcome.Latency = 101 * time.Millisecond
	}
	attempt.End(now, outcome)
}

func TestPickCheapestChoosesLowestCost(t *testing.T) {
	start := time.Unix(1000, 0)
	distanceCosts := pick.DistanceCosts{Host: 20 * time.Millisecond, Zone: 40 * time.Millisecond, Region: 500 * time.Millisecond}
	tests := []struct {
		name          string
		secondPlace   mesh.Place
		largeResponse bool
		// fromHost is the host of the caller, and callerNodes the number of nodes that
		// choose among the hosts.
		fromHost    mesh.HostID
		callerNodes int
		// prepare feeds the picker before the choice and returns the time of the choice.
		prepare func(p *pick.Picker) (now time.Time)
		want    mesh.HostID
	}{
		{
			name: "nearer host", secondPlace: near, want: "h1",
			prepare: func(*pick.Picker) time.Time { return start },
		},
		{
			name: "host with free slots", secondPlace: near, want: "h2",
			prepare: func(p *pick.Picker) time.Time {
				for range 8 {
					p.Begin(start, "h1")
				}
				return start
			},
		},
		{
			name: "faster host", secondPlace: near, want: "h2",
			prepare: func(p *pick.Picker) time.Time {
				for range 20 {
					runAttempt(p, start, "h1", pick.Outcome{
						Latency: 301 * time.Millisecond,
						Timings: pick.Timings{Class: "c", ServiceTime: 300 * time.Millisecond, NodeTime: 300 * time.Millisecond},
					})
					runAttempt(p, start, "h2", pick.Outcome{})
				}
				return start
			},
		},
		{
			name: "other host after the nearer one refused a request it could not finish in time", secondPlace: near, want: "h2",
			prepare: func(p *pick.Picker) time.Time {
				runAttempt(p, start, "h2", pick.Outcome{})
				p.Begin(start, "h1").End(start, pick.Outcome{
					NotRun: true, Busy: true, Timings: pick.Timings{Class: "c", ExpectedServiceTime: time.Second},
				})
				return start
			},
		},
		{
			name: "nearer host long after its refusals, while the other is busy", secondPlace: near, want: "h1",
			prepare: func(p *pick.Picker) time.Time {
				runAttempt(p, start, "h2", pick.Outcome{})
				for range 5 {
					p.Begin(start, "h1").End(start, pick.Outcome{
						NotRun: true, Busy: true, Timings: pick.Timings{Class: "c", ExpectedServiceTime: time.Second},
					})
				}
				for range 12 {
					p.Begin(start, "h2")
				}
				return start.Add(30 * time.Second)
			},
		},
		{
			name: "responsive host while requests to the other are overdue", secondPlace: near, want: "h2",
			prepare: func(p *pick.Picker) time.Time {
				p.BeginWithExpectedLatency(start, "h1", 100*time.Millisecond, false)
				return start.Add(400 * time.Millisecond)
			},
		},
		{
			name: "responsive host after late responses of the other", secondPlace: near, want: "h2",
			prepare: func(p *pick.Picker) time.Time {
				now := start.Add(600 * time.Millisecond)
				for range 3 {
					p.BeginWithExpectedLatency(start, "h1", 100*time.Millisecond, false).End(now, pick.Outcome{})
				}
				return now
			},
		},
		{
			name: "nearer host again once its lateness has decayed", secondPlace: near, want: "h1",
			prepare: func(p *pick.Picker) time.Time {
				now := start.Add(600 * time.Millisecond)
				for range 3 {
					p.BeginWithExpectedLatency(start, "h1", 100*time.Millisecond, false).End(now, pick.Outcome{})
				}
				return now.Add(10 * time.Second)
			},
		},
		{
			name: "nearer host whose requests were canceled by their callers", secondPlace: near, want: "h1",
			prepare: func(p *pick.Picker) time.Time {
				now := start.Add(100 * time.Millisecond)
				for range 3 {
					p.BeginWithExpectedLatency(start, "h1", 100*time.Millisecond, false).End(now, pick.Outcome{Canceled: true})
				}
				return now
			},
		},
		{
			name: "small response: nearer host whose large responses are late", secondPlace: near, want: "h1",
			prepare: func(p *pick.Picker) time.Time {
				p.BeginWithExpectedLatency(start, "h1", 100*time.Millisecond, true)
				return start.Add(time.Second)
			},
		},
		{
			name: "large response: host with an idle link", secondPlace: near, largeResponse: true, want: "h2",
			prepare: func(p *pick.Picker) time.Time {
				runAttempt(p, start, "h1", pick.Outcome{HasLinkWait: true, LinkWait: 300 * time.Millisecond})
				return start
			},
		},
		{
			name: "small response: nearer host with a busy link", secondPlace: near, want: "h1",
			prepare: func(p *pick.Picker) time.Time {
				runAttempt(p, start, "h1", pick.Outcome{HasLinkWait: true, LinkWait: 300 * time.Millisecond})
				return start
			},
		},
		{
			name: "host with a recent load report rather than one of unknown load, with many caller nodes", secondPlace: near, callerNodes: 60, want: "h2",
			prepare: func(p *pick.Picker) time.Time {
				runAttempt(p, start, "h2", pick.Outcome{LoadPercent: 25})
				p.Begin(start, "h1")
				return start
			},
		},
		{
			name: "nearer host that sheds requests rather than a distant one without samples", secondPlace: away, want: "h1",
			prepare: func(p *pick.Picker) time.Time {
				for range 40 {
					runAttempt(p, start, "h1", pick.Outcome{NotRun: true, Busy: true, Shed: true})
				}
				return start
			},
		},
		{
			name: "own host of two in the zone", secondPlace: home, fromHost: "h2", want: "h2",
			prepare: func(*pick.Picker) time.Time { return start },
		},
		{
			name: "busy host in the own region rather than a distant one", secondPlace: away, want: "h1",
			prepare: func(p *pick.Picker) time.Time {
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
			request := pick.CostRequest{Set: newTwoHostSet(home, tt.secondPlace), From: home, FromHost: tt.fromHost, CallerNodes: tt.callerNodes, Class: "c", DistanceCosts: distanceCosts, LargeResponse: tt.largeResponse}
			// Statistics are kept only for hosts of sets that the picker has seen.
			_, _, err := p.PickCheapest(start, request)
			assert.NilError(t, err)
			now := tt.prepare(p)
			got, _, err := p.PickCheapest(now, request)
			assert.NilError(t, err)
			assert.Equal(t, got.Host, tt.want)
		})
	}
}
