package tokens_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

// oneBucket is the bound of what a design can reach: one bucket that all nodes use at once.
var oneBucket = design{
	name: "one bucket without delay", immune: true,
	request: func(s *sim, _ *simNode, a *simAccount, done func(bool, time.Duration)) {
		owner := &s.nodes[0].keeper
		if !owner.Source().Owner {
			owner.SetSource(s.time(), tokens.Source{Owner: true, Share: 1})
		}
		answer, _, _ := owner.Request(s.time(), a.name, s.limitAt(a))
		decision, wait := owner.Settle(s.time(), s.limitAt(a), requestTimeout, a.name, answer, 0)
		done(decision.Verdict == tokens.Admitted, wait)
	},
}

var equalShares = design{
	name: "equal shares", immune: true,
	request: func(s *sim, n *simNode, a *simAccount, done func(bool, time.Duration)) {
		l, limit := n.limiters[a.name], s.limitAt(a)
		if l == nil {
			l = rate.NewLimiter(rate.Limit(limit.Rate/simNodes), max(1, int(limit.Burst/simNodes)))
			n.limiters[a.name] = l
		}
		if l.Limit() != rate.Limit(limit.Rate/simNodes) {
			l.SetLimitAt(s.time(), rate.Limit(limit.Rate/simNodes))
		}
		done(l.AllowN(s.time(), 1), 0)
	},
}

// slots counts requests in the last window, in slots of a second.
type slots [7]float64

func (c *slots) sum(now time.Duration) (sum float64) {
	for i := range len(c) - 1 {
		sum += c[(int(now/time.Second)+len(c)-i)%len(c)]
	}
	return sum
}

// exchangedCounts lets each node count what it admitted, and sends all counts through the
// first root once a second.
var exchangedCounts = design{
	name: "exchanged counts",
	request: func(s *sim, n *simNode, a *simAccount, done func(bool, time.Duration)) {
		if n.counts[a.name] == nil {
			n.counts[a.name], n.others[a.name] = &slots{}, &slots{}
		}
		limit := s.limitAt(a)
		admitted := n.counts[a.name].sum(s.now)+n.others[a.name].sum(s.now) < limit.Rate*window.Seconds()+limit.Burst
		if admitted {
			n.counts[a.name][int(s.now/time.Second)%len(slots{})]++
		}
		done(admitted, 0)
	},
	tick: func(s *sim, n *simNode) {
		slot := int(s.now / time.Second)
		if s.now < n.nextTick {
			return
		}
		n.nextTick = s.now + time.Second
		for name, c := range n.counts {
			c[(slot+1)%len(c)], n.others[name][(slot+1)%len(c)] = 0, 0
		}
		// Each node sends its counts to the root, which sends it those of all others.
		s.send(n.number, 0, len(n.counts), func() {
			s.send(0, n.number, len(s.accounts), func() { sumOthers(s, n) })
		})
	},
}

func sumOthers(s *sim, n *simNode) {
	for _, a := range s.accounts {
		if n.counts[a.name] == nil {
			n.counts[a.name], n.others[a.name] = &slots{}, &slots{}
		}
		sum := &slots{}
		for _, other := range s.nodes {
			if c := other.counts[a.name]; c != nil && other != n && !s.isIsolated(0, other.number) {
				for i := range sum {
					sum[i] += c[i]
				}
			}
		}
		n.others[a.name] = sum
	}
}

var oneOwner = design{
	name: "tokens of one owner", request: requestTree, tick: tickTree,
	roots: func(int) []int { return []int{0, 1, 3, 7} },
}

// regionalOwners has an owner in each region. They tell each other once a second how many
// requests of each account they had, and share the rates accordingly.
var regionalOwners = design{
	name: "an owner in each region", request: requestTree,
	roots: func(region int) []int { return [][]int{{0, 1, 2, 3}, {2, 3, 0, 1}}[region] },
	tick: func(s *sim, n *simNode) {
		tickTree(s, n)
		if n.keeper.Source().Owner {
			n.keeper.SetSource(s.time(), tokens.Source{Owner: true, Share: 1})
		}
		if n.number != 0 && n.number != 2 || int(s.now/tickInterval)%10 != 0 {
			return
		}
		other := s.nodes[2-n.number]
		const kept = 0.7
		sent := make(map[mesh.Account]float64, len(s.accounts))
		for _, a := range s.accounts {
			n.average[a.name] = kept*n.average[a.name] + (1-kept)*n.demand[a.name]
			sent[a.name] = n.average[a.name]
			n.demand[a.name] = 0
		}
		s.send(n.number, other.number, len(sent), func() {
			for _, a := range s.accounts {
				own, theirs := other.average[a.name], sent[a.name]
				other.shares[a.name] = (own + 0.1) / (own + theirs + 0.2)
			}
		})
	},
}

func failures() []failure {
	apart := func(zones func(node int) bool) func(from, to int) bool {
		return func(from, to int) bool { return zones(from) != zones(to) }
	}
	return []failure{
		{name: "none", stopped: -1},
		{name: "owner killed", stopped: 0},
		{name: "owner frozen", stopped: 0, frozen: true},
		{name: "two owners", stopped: -1, secondRecords: true},
		{name: "regions apart", stopped: -1, isolated: apart(func(n int) bool { return regionOf(n) == 0 })},
		{name: "zone cut off", stopped: -1, isolated: apart(func(n int) bool { return n%4 == 3 })},
		{name: "limit lowered to a tenth", stopped: -1, lowered: 0.1},
	}
}

// TestDesignsOnTheSameArrivals guards against a design that lets an account run more than
// its limit in any window, or refuses accounts below their limits, while one thing fails.
// With -v it prints the comparison of docs/design/quotas.md.
func TestDesignsOnTheSameArrivals(t *testing.T) {
	designs := []design{oneBucket, equalShares, exchangedCounts, oneOwner, regionalOwners}
	var table strings.Builder
	for _, f := range failures() {
		var best *sim
		for _, d := range designs {
			if d.immune && f.name != "none" && f.lowered == 0 {
				continue
			}
			s := newSim(d, f, 7, mixedAccounts())
			s.run()
			fmt.Fprintf(&table, "| %s | %s | %.2f | %.2f | %.0f | %.2f | %.0f | %.2f |\n", f.name, d.name, s.overrun(), s.refusedBelow(), s.used(),
				float64(s.crossMessages)/float64(s.requests), float64(s.crossBytes)/float64(s.requests), float64(s.calls)/float64(s.requests))
			switch d.name {
			case oneBucket.name:
				best = s
				assert.Check(t, s.overrun() <= 1, "%s: %.2f of the limit", f.name, s.overrun())
			case oneOwner.name:
				assert.Check(t, s.overrun() <= 1, "%s: %.2f of the limit", f.name, s.overrun())
				if f.name == "none" {
					assert.Check(t, s.refusedBelow() < best.refusedBelow()+0.5, "%.2f%% refused", s.refusedBelow())
					assert.Check(t, s.used() > 0.9*best.used(), "%.0f%% used", s.used())
				}
			}
		}
	}
	t.Logf("\n| failure | design | largest window, of the limit | refused below the limit, %% | part of its limit that a flooded account got, %% | messages between regions per request | bytes | calls for tokens per request |\n|---|---|---|---|---|---|---|---|\n%s", table.String())
}

// TestClumpsBelowTheRateAreNotRefused guards against refusals of an account that uses 62%
// of its rate, but whose requests arrive together and at few of the nodes.
func TestClumpsBelowTheRateAreNotRefused(t *testing.T) {
	tests := []struct {
		name                string
		rate, burst, demand float64
		clump               float64
	}{
		{name: "largest account", rate: 510, burst: 510, demand: 510 * 0.62, clump: 20},
		{name: "small account", rate: 8, burst: 40, demand: 8 * 0.62, clump: 4},
		{name: "account with a request in 30 s at each node", rate: 4.7, burst: 20, demand: 2.9, clump: 1.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(oneOwner, failures()[0], 5, []*simAccount{{limit: tokens.Limit{Rate: tt.rate, Burst: tt.burst}, demand: tt.demand, clump: tt.clump}})
			s.run()
			assert.Assert(t, s.accounts[0].arrivals > 30)
			assert.Equal(t, s.accounts[0].refused, 0, "of %d", s.accounts[0].arrivals)
		})
	}
}
