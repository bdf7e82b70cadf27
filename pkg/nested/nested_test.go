package nested_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/nested"
)

// load is the load of docs/HEAVYLOAD.md: requests of rank 0 whose nested calls are sent to
// a service that is full at times with its own requests of rank 2.
type load struct {
	name string
	// accounts is the share of requests of the most urgent accounts.
	accounts float64
	// others is the rate of other requests of rank 2 at the calling service, and
	// othersNested the share of them that makes such calls too.
	others, othersNested float64
	// silent is true if the requests of rank 0 make no nested calls.
	silent bool
	// ownRank is the rank of the called service's own requests.
	ownRank mesh.Priority
}

var loads = []load{
	{name: "no accounts", ownRank: 2},
	{name: "accounts", accounts: 0.3, ownRank: 2},
	{name: "accounts, others run", accounts: 0.3, others: 40, ownRank: 2},
	{name: "accounts, others call", accounts: 0.3, others: 40, othersNested: 0.3, ownRank: 2},
	{name: "urgent make no calls", accounts: 0.3, others: 100, othersNested: 1, silent: true, ownRank: 1},
	{name: "no accounts, urgent make no calls", others: 100, othersNested: 1, silent: true, ownRank: 1},
}

// policies are the ways to choose the priority of a nested call. lifted is that of
// before: the priority of its rule, lifted by one. exact is the bound: what a proxy would
// do that knew for which request each call is made.
var policies = []struct {
	name   string
	policy policy
}{
	{name: "lifted", policy: func(_ time.Time, _ *simHost, ruled, _ mesh.Priority) mesh.Priority {
		return min(ruled+1, mesh.Urgent)
	}},
	{name: "most urgent", policy: func(now time.Time, h *simHost, ruled, _ mesh.Priority) mesh.Priority {
		h.tracker.Report(now, "lesson", true)
		p, _ := h.tracker.Priority(now, "lesson", ruled)
		return p
	}},
	{name: "most calls", policy: func(now time.Time, h *simHost, _, _ mesh.Priority) mesh.Priority {
		return h.learner.recordCall(now)
	}},
	{name: "exact", policy: func(_ time.Time, _ *simHost, _, actual mesh.Priority) mesh.Priority { return actual }},
}

func simulate(l load, p policy, seed uint64) map[string]*worth {
	s := &sim{random: rand.New(rand.NewPCG(seed, seed)), accounts: l.accounts, result: map[string]*worth{}, calling: newHosts(), called: newHosts()}
	highest := mesh.Urgent
	if l.accounts > 0 {
		highest = mesh.High
	}
	s.ruled, s.policy = highest-1, p
	share := 0.7
	if l.silent {
		share = 0
	}
	lesson := &route{name: "lesson", service: 96 * time.Millisecond, target: 400 * time.Millisecond, timeout: 1200 * time.Millisecond}
	s.arrive(&route{name: "course-view", service: 390 * time.Millisecond, target: time.Second, timeout: 3 * time.Second, value: 1.5, perSecond: 100, nestedShare: share, priority: highest, ofAccounts: mesh.Urgent}, lesson, s.calling)
	if l.others > 0 {
		s.arrive(&route{name: "others", service: 200 * time.Millisecond, target: 3 * time.Second, timeout: 6 * time.Second, value: 0.8, perSecond: l.others, nestedShare: l.othersNested, priority: highest - 2, ofAccounts: mesh.Urgent}, lesson, s.calling)
	}
	s.arrive(&route{name: "own", service: 500 * time.Millisecond, target: 3 * time.Second, timeout: 6 * time.Second, value: 0.8, perSecond: 100, priority: highest - l.ownRank, ofAccounts: mesh.Urgent}, nil, s.called)
	s.run()
	return s.result
}

func total(result map[string]*worth) (all worth) {
	for _, w := range result {
		all.offered += w.offered
		all.earned += w.earned
	}
	return all
}

// TestPrioritiesOfNestedCalls guards against nested calls that lose to the requests of
// the called service, so that the requests they are made for fail.
func TestPrioritiesOfNestedCalls(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			earned := map[string]float64{}
			for _, p := range policies {
				result := simulate(l, p.policy, 7)
				row := fmt.Sprintf("%-13s all %.3f", p.name, total(result).share())
				for _, class := range []string{"course-view urgent", "course-view", "own urgent", "own", "others urgent", "others"} {
					if w := result[class]; w != nil {
						row += fmt.Sprintf(" | %s %.3f", class, w.share())
					}
				}
				t.Log(row)
				earned[p.name] = total(result).share()
			}
			for _, other := range []string{"lifted", "most calls"} {
				assert.Assert(t, earned["most urgent"] >= earned[other]-0.005, "%v", earned)
			}
		})
	}
}

// TestNestedCallsAreToldFromRequests guards against requests of callers that count as
// nested calls, and the reverse.
func TestNestedCallsAreToldFromRequests(t *testing.T) {
	for _, tc := range []struct {
		name     string
		running  []mesh.Priority
		reports  []bool
		elapsed  time.Duration
		priority mesh.Priority
		nested   bool
	}{
		{name: "idle upstream", reports: []bool{true}, priority: mesh.Normal},
		{name: "no report", running: []mesh.Priority{mesh.Urgent}, priority: mesh.Normal},
		{name: "callers use the route", running: []mesh.Priority{mesh.Urgent}, reports: []bool{true, false}, priority: mesh.Normal},
		{name: "old report", running: []mesh.Priority{mesh.Urgent}, reports: []bool{true}, elapsed: 11 * time.Minute, priority: mesh.Normal},
		{name: "most urgent", running: []mesh.Priority{mesh.Low, mesh.Urgent, mesh.High}, reports: []bool{true}, priority: mesh.Urgent, nested: true},
		{name: "less urgent than its rule", running: []mesh.Priority{mesh.Low}, reports: []bool{true}, priority: mesh.Low, nested: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tracker nested.Tracker
			tracker.Begin(mesh.Urgent)()
			for _, p := range tc.running {
				tracker.Begin(p)
			}
			for _, only := range tc.reports {
				tracker.Report(simStart, "lesson", only)
			}
			p, isNested := tracker.Priority(simStart.Add(tc.elapsed), "lesson", mesh.Normal)
			assert.Equal(t, p, tc.priority)
			assert.Equal(t, isNested, tc.nested)
		})
	}
}

// BenchmarkPriority measures the decision about one call while requests begin and end.
func BenchmarkPriority(b *testing.B) {
	var t nested.Tracker
	t.Begin(mesh.High)
	t.Report(simStart, "lesson", true)
	b.ReportAllocs()
	for b.Loop() {
		end := t.Begin(mesh.Urgent)
		t.Priority(simStart, "lesson", mesh.Normal)
		end()
	}
}
