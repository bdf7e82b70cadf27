package pick

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Without the prediction, a request that no host has time for is sent to four hosts one
// after the other. A prediction that is too broad refuses requests that a host has room
// for.
func TestRequestIsNotSentToHostsExpectedToRefuseIt(t *testing.T) {
	request := Admission{Class: RequestClass{Rule: "r", Account: "a", Priority: mesh.Normal}, StartWithin: 200 * time.Millisecond}
	other := func(change func(a *Admission)) Admission {
		a := request
		change(&a)
		return a
	}
	tests := []struct {
		name string
		// refused is what the hosts refused, by index, with load percent of their slots used.
		refused []Admission
		load    int
		// idle is the number of hosts after them that report no load.
		idle  int
		tried int
		age   time.Duration
		busy  bool
	}{
		{name: "nothing refused"},
		{name: "first attempt after one refusal", refused: []Admission{request}, load: 300},
		{name: "first attempt after refusals of three hosts", refused: []Admission{request, request, request}, load: 300, busy: true},
		{name: "first attempt long after them", refused: []Admission{request, request, request}, load: 300, age: time.Second},
		{name: "first attempt while a host is idle", refused: []Admission{request, request, request}, load: 300, idle: 1},
		{name: "second attempt", refused: []Admission{request, request, request}, tried: 1, load: 300, busy: true},
		{name: "second attempt while other hosts are unknown", refused: []Admission{request}, tried: 1, load: 300},
		{name: "second attempt while a host is idle", refused: []Admission{request, request}, tried: 2, load: 300, idle: 1},
		{name: "second attempt after a refusal without load", refused: []Admission{request, request, request}, tried: 1, load: 20},
		{name: "refusals of another account", load: 300, refused: []Admission{request, request, other(func(a *Admission) { a.Class.Account = "b" })}},
		{name: "refusals of a less urgent request", load: 300, refused: []Admission{request, request, other(func(a *Admission) { a.Class.Priority = mesh.Low })}},
		{name: "refusals of a request with less time", load: 300, refused: []Admission{request, request, other(func(a *Admission) { a.StartWithin /= 2 })}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &Picker{Random: newSeededRand()}
			set := newTestSet(18, map[mesh.Place]int{home: 5})
			r := CostRequest{Set: set, From: home, Class: "r", Admission: request}
			_, _, err := p.PickCheapest(start, r)
			assert.NilError(t, err)
			for i, a := range tt.refused {
				p.Begin(start, set.candidates[i].Host).End(start, Outcome{NotRun: true, Busy: true, LoadPercent: tt.load, Admission: a})
			}
			for i := range tt.idle {
				p.Begin(start, set.candidates[len(tt.refused)+i].Host).End(start, Outcome{Latency: time.Millisecond})
			}
			for i := range tt.tried {
				r.Tried = append(r.Tried, set.candidates[i].Host)
			}
			got, _, err := p.PickCheapest(start.Add(tt.age), r)
			var busy *AllBusyError
			assert.Equal(t, errors.As(err, &busy), tt.busy, "%v", err)
			if tt.idle > 0 && tt.tried > 0 {
				assert.Equal(t, got.Host, set.candidates[len(tt.refused)].Host)
			}
		})
	}
}

// Choices consider a part of large sets. A service whose reachable hosts are few must not
// seem to have none.
func TestOnlyAvailableHostOfLargeSetIsFound(t *testing.T) {
	p := &Picker{Random: newSeededRand()}
	set := newTestSet(18, map[mesh.Place]int{home: 160})
	for _, c := range set.Candidates()[1:] {
		p.MarkUnreachable(c.Host)
	}
	for range 50 {
		got, _, err := p.PickCheapest(start, CostRequest{Set: set, From: home, Class: "r"})
		assert.NilError(t, err)
		assert.Equal(t, got.Host, set.candidates[0].Host)
	}
}

// Callers read the clock before they wait for the mutex of the picker. With a negative age
// of all reports, no host was found.
func TestHostIsFoundByReportsLaterThanTheChoice(t *testing.T) {
	p := &Picker{Random: newSeededRand()}
	set := newTestSet(9, map[mesh.Place]int{home: 5})
	r := CostRequest{Set: set, From: home, Class: "r"}
	_, _, err := p.PickCheapest(start, r)
	assert.NilError(t, err)
	for _, c := range set.Candidates() {
		p.Begin(start, c.Host).End(start.Add(time.Millisecond), Outcome{LoadPercent: 89})
	}
	_, _, err = p.PickCheapest(start, r)
	assert.NilError(t, err)
}

// The spread must not count that slower hosts are busier, and must not hide that equal
// ones are unevenly busy.
func TestBalanceComparesHostsOfEqualSpeed(t *testing.T) {
	tests := []struct {
		name        string
		loads       []int
		slow        bool
		want        float64
		hasFreeSlot bool
	}{
		{name: "no report"},
		{name: "even", loads: []int{50, 50, 50, 50}, hasFreeSlot: true},
		{name: "uneven", loads: []int{20, 80, 20, 80}, want: 0.3, hasFreeSlot: true},
		{name: "slower hosts are busier", loads: []int{20, 80, 20, 80}, slow: true, hasFreeSlot: true},
		{name: "only the excluded host has a free slot", loads: []int{50, 100, 120, 200}, want: 0.2165},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &Picker{Random: newSeededRand()}
			set := newTestSet(10, map[mesh.Place]int{home: 4})
			p.view(start, set)
			for range 30 {
				for i, load := range tt.loads {
					serviceTime := 100 * time.Millisecond
					if tt.slow && i%2 == 1 {
						serviceTime *= 3
					}
					p.Begin(start, set.candidates[i].Host).End(start, Outcome{LoadPercent: load, Timings: Timings{Class: "r", ServiceTime: serviceTime}})
				}
			}
			got := p.Balance(start, service, set.candidates[0].Host)
			assert.Equal(t, got.Hosts, len(tt.loads))
			assert.Assert(t, got.Spread > tt.want-0.001 && got.Spread < tt.want+0.001, "%v", got.Spread)
			assert.Equal(t, got.HasFreeSlot, tt.hasFreeSlot)
		})
	}
}
