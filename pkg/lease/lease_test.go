package lease_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/lease"
)

func TestMain(m *testing.M) {
	// Rare event orders need many runs; each run is short.
	for name, value := range map[string]string{"rapid.seed": "20260102", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleHolder() {
	var seen lease.Observer
	holder := lease.Holder{Name: "host-a/1"}
	fmt.Printf("%T\n", holder.NextAction(epoch, &seen))
	holder.HandleRead(epoch, &seen, 0, "")
	claim, _ := holder.NextAction(epoch, &seen).(lease.Claim)
	fmt.Println("claim from", claim.Expected)
	holder.HandleWrite(epoch, &seen, lease.WriteResult{Token: claim.Token, Outcome: lease.Applied, Fence: 1})
	fmt.Println(holder.State(), holder.Fence(), holder.Valid(epoch.Add(11*time.Second)), holder.Valid(epoch.Add(12*time.Second)))
	// Output:
	// lease.ReadObject
	// claim from 0
	// held 1 true false
}

func TestObserverUsesItsOwnClock(t *testing.T) {
	type observation struct {
		at    time.Duration
		fence lease.Fence
		token lease.Token
	}
	ttl := lease.DefaultTimeToLive
	tests := []struct {
		name         string
		observations []observation
		at           time.Duration
		want         lease.Status
	}{
		{name: "never read", want: lease.Unseen},
		{name: "no object", observations: []observation{{}}, want: lease.Vacant},
		{name: "released", observations: []observation{{fence: 3}}, want: lease.Vacant},
		{name: "just read", observations: []observation{{fence: 3, token: "a"}}, at: ttl - 1, want: lease.Held},
		{name: "did not change", observations: []observation{{0, 3, "a"}, {ttl - 1, 3, "a"}}, at: ttl, want: lease.Stale},
		{name: "changed", observations: []observation{{0, 3, "a"}, {ttl - 1, 4, "a"}}, at: ttl, want: lease.Held},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o lease.Observer
			for _, s := range tt.observations {
				o.Observe(epoch.Add(s.at), s.fence, s.token)
			}
			assert.Equal(t, o.Status(epoch.Add(tt.at)), tt.want)
		})
	}
}

// write is a write that is on its way to the store.
type write struct {
	from     int
	expected lease.Fence
	token    lease.Token
}

// node is a contender for the lease with its own clock.
type node struct {
	holder lease.Holder
	seen   lease.Observer
	// skew and rate relate its clock to the simulated time.
	skew time.Duration
	rate float64
	// pending is its outstanding write, if any.
	pending *write
	reading bool
}

type simulation struct {
	*rapid.T
	now     time.Duration
	nodes   []*node
	fence   lease.Fence
	token   lease.Token
	delayed []write
	// previous holds the overwritten versions, which a read may still return.
	previous   []write
	validSteps int
	// healthy is true once the store no longer fails.
	healthy bool
}

func (s *simulation) clock(n *node) time.Time {
	return epoch.Add(n.skew + time.Duration(float64(s.now)*n.rate))
}

func (s *simulation) apply(wr write) bool {
	if wr.expected != s.fence {
		return false
	}
	s.previous = append(s.previous, write{expected: s.fence, token: s.token})
	s.fence++
	s.token = wr.token
	return true
}

func (s *simulation) step(i int) {
	n := s.nodes[i]
	if n.pending != nil {
		s.finishWrite(n)
		return
	}
	if n.reading {
		n.reading = false
		if s.drawFault(5, "readFails") == 0 {
			n.holder.HandleReadError(s.clock(n))
			return
		}
		s.read(n)
		return
	}
	switch in := n.holder.NextAction(s.clock(n), &n.seen).(type) {
	case lease.Claim:
		n.pending = &write{from: i, expected: in.Expected, token: in.Token}
	case lease.Renew:
		n.pending = &write{from: i, expected: in.Expected, token: in.Token}
	case lease.ReadObject:
		n.reading = true
	case lease.Wait:
		// Sometimes a watch or another read returns the object.
		if s.drawFault(2, "watch") != 1 {
			s.read(n)
		}
	}
}

// read returns the object to a node, sometimes in one of its latest older
// versions.
func (s *simulation) read(n *node) {
	shown := write{expected: s.fence, token: s.token}
	if s.drawFault(9, "stale") == 0 && len(s.previous) > 0 {
		shown = s.previous[max(0, len(s.previous)-rapid.IntRange(1, 3).Draw(s.T, "versions"))]
	}
	n.holder.HandleRead(s.clock(n), &n.seen, shown.expected, shown.token)
}

func (s *simulation) finishWrite(n *node) {
	wr := *n.pending
	n.pending = nil
	result := lease.WriteResult{Token: wr.token, Outcome: lease.Unknown}
	switch []string{"failed", "response lost", "delayed", "request lost", "delivered", "delivered"}[s.drawFault(5, "result")] {
	case "delivered":
		result.Outcome = lease.Conflict
		if s.apply(wr) {
			result.Outcome, result.Fence = lease.Applied, s.fence
		}
	case "response lost":
		s.apply(wr)
	case "delayed":
		s.delayed = append(s.delayed, wr)
	case "failed":
		result.Outcome = lease.Failed
	}
	n.holder.HandleWrite(s.clock(n), &n.seen, result)
}

// drawFault draws the fault of a read or write; the highest number means no
// fault.
func (s *simulation) drawFault(highest int, what string) int {
	if s.healthy {
		return highest
	}
	return rapid.IntRange(0, highest).Draw(s.T, what)
}

// recoverStore ends the faults and checks that a node then acquires the lease.
func (s *simulation) recoverStore() {
	s.healthy = true
	end := s.now + 2*lease.DefaultTimeToLive
	for s.now < end {
		s.now += 200 * time.Millisecond
		for i := range s.nodes {
			s.step(i)
		}
		s.check()
	}
	for _, n := range s.nodes {
		if n.holder.Valid(s.clock(n)) {
			return
		}
	}
	s.Fatalf("no node holds the lease after the store recovered")
}

func (s *simulation) check() {
	holders := 0
	for _, n := range s.nodes {
		if n.holder.Valid(s.clock(n)) {
			holders++
		}
	}
	if holders > 1 {
		s.Fatalf("%d holders are valid at the same time", holders)
	}
	s.validSteps += holders
}

func TestAtMostOneHolderIsValid(t *testing.T) {
	validSteps := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{T: rt}
		for i := range 3 {
			s.nodes = append(s.nodes, &node{
				holder: lease.Holder{Name: fmt.Sprint("host-", i)},
				skew:   time.Duration(i) * time.Hour,
				rate:   1 + float64(rapid.IntRange(-10, 10).Draw(rt, "rate"))/100,
			})
		}
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")
			switch rapid.IntRange(0, 11).Draw(rt, "action") {
			case 0:
				s.now += time.Duration(rapid.IntRange(0, int(20*time.Second)).Draw(rt, "pause"))
			case 1:
				if n := len(s.delayed); n > 0 {
					s.apply(s.delayed[rapid.IntRange(0, n-1).Draw(rt, "arrives")])
				}
			case 2:
				n := s.nodes[i]
				if release, needed := n.holder.Release(); needed && n.pending == nil {
					s.apply(write{expected: release.Expected})
				}
			default:
				s.now += time.Duration(rapid.IntRange(0, int(time.Second)).Draw(rt, "time"))
				s.step(i)
			}
			s.check()
		}
		s.recoverStore()
		validSteps += s.validSteps
	})
	assert.Assert(t, validSteps > 100, "a lease was valid in only %d steps, want more than 100", validSteps)
	t.Logf("a lease was valid in %d steps", validSteps)
}

func TestHolderKeepsItsLeaseWhileRenewalsSucceed(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []lease.Outcome
		want     lease.State
	}{
		{name: "applied", outcomes: []lease.Outcome{lease.Applied, lease.Applied, lease.Applied}, want: lease.Holding},
		{name: "response lost once", outcomes: []lease.Outcome{lease.Applied, lease.Unknown, lease.Applied}, want: lease.Holding},
		{name: "failed once", outcomes: []lease.Outcome{lease.Applied, lease.Failed, lease.Applied}, want: lease.Holding},
		{name: "fails for good", outcomes: []lease.Outcome{lease.Applied}, want: lease.Lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var seen lease.Observer
			holder := lease.Holder{Name: "a"}
			var fence lease.Fence
			var token lease.Token
			now, writes := epoch, 0
			for range 200 {
				var sent lease.Token
				switch in := holder.NextAction(now, &seen).(type) {
				case lease.ReadObject:
					holder.HandleRead(now, &seen, fence, token)
				case lease.Claim:
					sent = in.Token
				case lease.Renew:
					sent = in.Token
				}
				if sent != "" {
					outcome := lease.Failed
					if writes < len(tt.outcomes) {
						outcome = tt.outcomes[writes]
					} else if tt.want == lease.Holding {
						outcome = lease.Applied
					}
					writes++
					if outcome != lease.Failed {
						fence, token = fence+1, sent
					}
					holder.HandleWrite(now, &seen, lease.WriteResult{Token: sent, Outcome: outcome, Fence: fence})
				}
				now = now.Add(100 * time.Millisecond)
				if holder.State() == lease.Lost {
					break
				}
			}
			assert.Equal(t, holder.State(), tt.want)
		})
	}
}
