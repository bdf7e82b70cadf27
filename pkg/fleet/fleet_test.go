package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	first  = start.Add(-time.Hour)
	second = start.Add(-time.Minute)
)

func word(instance string, born time.Time, sequence uint64, state member.State) fleet.Report {
	return fleet.Report{Upstream: fleet.Upstream{
		Instance: instance, StartedAt: born, Sequence: sequence, State: state, Service: "orders", Slots: 9,
	}}
}

func farewell(instance string) fleet.Report {
	return fleet.Report{Upstream: fleet.Upstream{Instance: instance}, Deregister: true}
}

func TestGuestTakesWordsInTheOrderOfLifetimes(t *testing.T) {
	ready, draining := member.Ready, member.Draining
	tests := []struct {
		name     string
		recorded fleet.Upstream
		words    []fleet.Report
		verdicts []fleet.ReportResult
		instance string
		state    member.State
	}{
		{
			name:  "first word",
			words: []fleet.Report{word("i", first, 1, ready)}, verdicts: []fleet.ReportResult{fleet.Changed}, instance: "i", state: ready,
		},
		{
			name:     "renewal",
			words:    []fleet.Report{word("i", first, 1, ready), word("i", first, 2, ready)},
			verdicts: []fleet.ReportResult{fleet.Changed, fleet.Renewed}, instance: "i", state: ready,
		},
		{
			name:     "late word after draining",
			words:    []fleet.Report{word("i", first, 5, draining), word("i", first, 4, ready)},
			verdicts: []fleet.ReportResult{fleet.Changed, fleet.Stale}, instance: "i", state: draining,
		},
		{
			name:     "draining does not end",
			words:    []fleet.Report{word("i", first, 5, draining), word("i", first, 6, ready)},
			verdicts: []fleet.ReportResult{fleet.Changed, fleet.Renewed}, instance: "i", state: draining,
		},
		{
			name:     "word after the farewell",
			words:    []fleet.Report{word("i", first, 1, ready), farewell("i"), word("i", first, 9, ready)},
			verdicts: []fleet.ReportResult{fleet.Changed, fleet.Changed, fleet.Stale}, instance: "i", state: member.Left,
		},
		{
			name:     "later lifetime under another name",
			words:    []fleet.Report{word("i", first, 9, ready), word("k", second, 1, ready), word("i", first, 10, ready)},
			verdicts: []fleet.ReportResult{fleet.Changed, fleet.Changed, fleet.Stale}, instance: "k", state: ready,
		},
		{
			name:     "later lifetime under the same name counts anew",
			words:    []fleet.Report{word("i", first, 9, draining), word("i", second, 1, ready), word("i", first, 10, draining)},
			verdicts: []fleet.ReportResult{fleet.Changed, fleet.Changed, fleet.Stale}, instance: "i", state: ready,
		},
		{
			name:     "farewell of another lifetime",
			words:    []fleet.Report{word("k", second, 1, ready), farewell("i")},
			verdicts: []fleet.ReportResult{fleet.Changed, fleet.Stale}, instance: "k", state: ready,
		},
		{
			name:     "late word to a process that recalls the farewell",
			recorded: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 7, State: member.Left, Service: "orders"},
			words:    []fleet.Report{word("i", first, 6, ready)}, verdicts: []fleet.ReportResult{fleet.Stale}, instance: "i", state: member.Left,
		},
		{
			name:     "newer word to a process that recalls a ready upstream",
			recorded: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 7, State: ready, Service: "orders", Slots: 9},
			words:    []fleet.Report{word("i", first, 8, ready)}, verdicts: []fleet.ReportResult{fleet.Changed}, instance: "i", state: ready,
		},
		{
			name:     "recalled upstream takes no work by itself",
			recorded: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 7, State: ready, Service: "orders"}, instance: "i", state: member.Lost,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g fleet.UpstreamTracker
			g.Restore(tt.recorded)
			for i, w := range tt.words {
				assert.Equal(t, g.HandleReport(start.Add(time.Duration(i)*time.Second), w), tt.verdicts[i], "word %d", i)
			}
			assert.Equal(t, g.Upstream().Instance, tt.instance)
			assert.Equal(t, g.Upstream().State, tt.state)
		})
	}
}

func TestRecallYieldsToALaterWordAndBindsAnEarlierOne(t *testing.T) {
	tests := []struct {
		name     string
		heard    fleet.Report
		recorded fleet.Upstream
		want     member.State
	}{
		{
			name: "word newer than the record", heard: word("i", first, 9, member.Ready),
			recorded: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 8, State: member.Ready}, want: member.Ready,
		},
		{
			name: "late word, the record says draining", heard: word("i", first, 3, member.Ready),
			recorded: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 8, State: member.Draining}, want: member.Draining,
		},
		{
			name: "word of a later lifetime", heard: word("k", second, 1, member.Ready),
			recorded: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 8, State: member.Left}, want: member.Ready,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g fleet.UpstreamTracker
			g.HandleReport(start, tt.heard)
			g.Restore(tt.recorded)
			assert.Equal(t, g.Upstream().State, tt.want)
		})
	}
}

func TestGuestThatServedIsFoundAgainOnlyByItsName(t *testing.T) {
	recorded := fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 8, State: member.Ready}
	tests := []struct {
		name     string
		recorded fleet.Upstream
		// heard is heard before the answer; nil for nothing.
		heard *fleet.Report
		found string
		want  member.State
		// doubted is true when it may be asked again.
		doubted bool
	}{
		{name: "it answers", recorded: recorded, found: "i", want: member.Ready},
		{name: "another one answers", recorded: recorded, found: "k", want: member.Lost, doubted: true},
		{name: "nobody answers", recorded: recorded, want: member.Lost, doubted: true},
		{name: "it said before that it leaves", recorded: recorded, heard: new(word("i", first, 9, member.Draining)), found: "i", want: member.Draining},
		{name: "it left before", recorded: recorded, heard: &fleet.Report{Upstream: fleet.Upstream{Instance: "i", StartedAt: first}, Deregister: true}, found: "i", want: member.Left},
		{name: "it was recorded as draining", recorded: fleet.Upstream{Instance: "i", StartedAt: first, Sequence: 8, State: member.Draining}, found: "i", want: member.Draining},
		{name: "nothing was recorded", found: "", want: member.Warming},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g fleet.UpstreamTracker
			g.Restore(tt.recorded)
			if tt.heard != nil {
				g.HandleReport(start, *tt.heard)
			}
			g.Confirm(start, tt.found)
			_, doubted := g.Unconfirmed()
			assert.Equal(t, g.Upstream().State, tt.want)
			assert.Equal(t, doubted, tt.doubted)
			if tt.want == member.Ready {
				assert.Assert(t, g.Expire(start.Add(3*time.Second), 3*time.Second), "it is lost when it does not speak")
			}
		})
	}
}

func TestSilentGuestIsLostUntilItSpeaks(t *testing.T) {
	var g fleet.UpstreamTracker
	g.HandleReport(start, word("i", first, 1, member.Ready))
	assert.Assert(t, !g.Expire(start.Add(2*time.Second), 3*time.Second))
	assert.Assert(t, g.Expire(start.Add(3*time.Second), 3*time.Second))
	assert.Equal(t, g.Upstream().State, member.Lost)
	assert.Equal(t, g.HandleReport(start.Add(4*time.Second), word("i", first, 2, member.Ready)), fleet.Changed)
	assert.Assert(t, g.MarkUnreachable())
	assert.Equal(t, g.Upstream().State, member.Lost)
	assert.Assert(t, g.ExpiresAt(time.Second).IsZero())
}

// nodes returns that many nodes near the platform and far from it.
func nodes(near, far int) (list []fleet.Node) {
	for i := range near + far {
		trip := 2 * time.Millisecond
		if i >= near {
			trip = 60 * time.Millisecond
		}
		list = append(list, fleet.Node{Host: mesh.HostID(fmt.Sprintf("n%02d", i)), PlatformRTT: trip})
	}
	return list
}

// wide gives the nodes at those indices a link twenty times as wide as the others'.
func wide(list []fleet.Node, indices ...int) []fleet.Node {
	for i := range list {
		list[i].LinkRate = 1_000_000
	}
	for _, i := range indices {
		list[i].LinkRate = 20_000_000
	}
	return list
}

func TestReadersStandNearThePlatform(t *testing.T) {
	nobody := func(mesh.HostID) bool { return false }
	tests := []struct {
		name  string
		nodes []fleet.Node
		out   func(mesh.HostID) bool
		want  int
		near  bool
		// hosts are the readers, in any order; nil means any.
		hosts []mesh.HostID
	}{
		{name: "near ones first", nodes: nodes(4, 8), out: nobody, want: 2, near: true},
		{name: "far ones alone", nodes: nodes(0, 8), out: nobody, want: 2},
		{name: "near ones out of reach", nodes: nodes(2, 8), out: func(h mesh.HostID) bool { return h < "n02" }, want: 2},
		{name: "fewer than wanted", nodes: nodes(1, 0), out: nobody, want: 1, near: true},
		{name: "none", out: nobody},
		{name: "near ones with a wide link first", nodes: wide(nodes(6, 2), 3, 5), out: nobody, want: 2, near: true, hosts: []mesh.HostID{"n03", "n05"}},
		{name: "a narrow one where there is but one wide", nodes: wide(nodes(2, 2), 1), out: nobody, want: 2, near: true},
		{name: "a wide one that is far gives nothing", nodes: wide(nodes(2, 2), 3), out: nobody, want: 2, near: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			readers := fleet.SelectReaders(tt.nodes, 2, tt.out)
			assert.Equal(t, len(readers), tt.want)
			for _, r := range readers {
				assert.Equal(t, r.PlatformRTT < 10*time.Millisecond, tt.near)
				assert.Assert(t, tt.hosts == nil || slices.Contains(tt.hosts, r.Host), "%s", r.Host)
			}
		})
	}
	all := nodes(6, 0)
	before := fleet.SelectReaders(all, 2, nobody)
	without := fleet.SelectReaders(all, 2, func(h mesh.HostID) bool { return h == before[0].Host })
	assert.Equal(t, without[0].Host, before[1].Host, "the other reader stays")
}
