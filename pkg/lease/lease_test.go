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
	// Rare orders of events need many runs; each is short.
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

func TestObserverJudgesByItsOwnClock(t *testing.T) {
	type sight struct {
		at    time.Duration
		fence lease.Fence
		token lease.Token
	}
	live := lease.DefaultTimeToLive
	tests := []struct {
		name   string
		sights []sight
		at     time.Duration
		want   lease.Status
	}{
		{name: "never read", want: lease.Unseen},
		{name: "no object", sights: []sight{{}}, want: lease.Vacant},
		{name: "released", sights: []sight{{fence: 3}}, want: lease.Vacant},
		{name: "just seen", sights: []sight{{fence: 3, token: "a"}}, at: live - 1, want: lease.Held},
		{name: "did not move", sights: []sight{{0, 3, "a"}, {live - 1, 3, "a"}}, at: live, want: lease.Stale},
		{name: "moved", sights: []sight{{0, 3, "a"}, {live - 1, 4, "a"}}, at: live, want: lease.Held},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o lease.Observer
			for _, s := range tt.sights {
				o.Observe(epoch.Add(s.at), s.fence, s.token)
			}
			assert.Equal(t, o.Status(epoch.Add(tt.at)), tt.want)
		})
	}
}

// write is a write on its way to the store.
type write struct {
	from     int
	expected lease.Fence
	token    lease.Token
}

// node is one contender with its own clock.
type node struct {
	holder lease.Holder
	seen   lease.Observer
	// skew and rate relate its clock to true time.
	skew time.Duration
	rate float64
	// flight is its write that is not answered; nil when there is none.
	flight  *write
	reading bool
}

type world struct {
	*rapid.T
	now   time.Duration
	nodes []*node
	fence lease.Fence
	token lease.Token
	late  []write
	// old holds what was overwritten; a read may still show it.
	old  []write
	wins int
	// healed is true once the store answers everything.
	healed bool
}

func (w *world) local(n *node) time.Time {
	return epoch.Add(n.skew + time.Duration(float64(w.now)*n.rate))
}

func (w *world) apply(wr write) bool {
	if wr.expected != w.fence {
		return false
	}
	w.old = append(w.old, write{expected: w.fence, token: w.token})
	w.fence++
	w.token = wr.token
	return true
}

func (w *world) step(i int) {
	n := w.nodes[i]
	if n.flight != nil {
		w.answer(n)
		return
	}
	if n.reading {
		n.reading = false
		if w.draw(5, "readFails") == 0 {
			n.holder.HandleReadError(w.local(n))
			return
		}
		w.read(n)
		return
	}
	switch in := n.holder.NextAction(w.local(n), &n.seen).(type) {
	case lease.Claim:
		n.flight = &write{from: i, expected: in.Expected, token: in.Token}
	case lease.Renew:
		n.flight = &write{from: i, expected: in.Expected, token: in.Token}
	case lease.ReadObject:
		n.reading = true
	case lease.Wait:
		// A watch or another read shows the object now and then.
		if w.draw(2, "watch") != 1 {
			w.read(n)
		}
	}
}

// read shows a node the object, now and then one of its last versions.
func (w *world) read(n *node) {
	shown := write{expected: w.fence, token: w.token}
	if w.draw(9, "stale") == 0 && len(w.old) > 0 {
		shown = w.old[max(0, len(w.old)-rapid.IntRange(1, 3).Draw(w.T, "versions"))]
	}
	n.holder.HandleRead(w.local(n), &n.seen, shown.expected, shown.token)
}

func (w *world) answer(n *node) {
	wr := *n.flight
	n.flight = nil
	answer := lease.WriteResult{Token: wr.token, Outcome: lease.Unknown}
	switch []string{"failed", "lost answer", "late", "lost", "answered", "answered"}[w.draw(5, "fate")] {
	case "answered":
		answer.Outcome = lease.Conflict
		if w.apply(wr) {
			answer.Outcome, answer.Fence = lease.Applied, w.fence
		}
	case "lost answer":
		w.apply(wr)
	case "late":
		w.late = append(w.late, wr)
	case "failed":
		answer.Outcome = lease.Failed
	}
	n.holder.HandleWrite(w.local(n), &n.seen, answer)
}

// draw draws what befalls a read or write; the highest number is no fault.
func (w *world) draw(highest int, what string) int {
	if w.healed {
		return highest
	}
	return rapid.IntRange(0, highest).Draw(w.T, what)
}

// heal lets every node work undisturbed; one of them must come to hold the lease.
func (w *world) heal() {
	w.healed = true
	end := w.now + 2*lease.DefaultTimeToLive
	for w.now < end {
		w.now += 200 * time.Millisecond
		for i := range w.nodes {
			w.step(i)
		}
		w.check()
	}
	for _, n := range w.nodes {
		if n.holder.Valid(w.local(n)) {
			return
		}
	}
	w.Fatalf("nobody holds the lease")
}

func (w *world) check() {
	holders := 0
	for _, n := range w.nodes {
		if n.holder.Valid(w.local(n)) {
			holders++
		}
	}
	if holders > 1 {
		w.Fatalf("%d holders are valid at once", holders)
	}
	w.wins += holders
}

func TestNeverTwoValidHolders(t *testing.T) {
	wins := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{T: rt}
		for i := range 3 {
			w.nodes = append(w.nodes, &node{
				holder: lease.Holder{Name: fmt.Sprint("host-", i)},
				skew:   time.Duration(i) * time.Hour,
				rate:   1 + float64(rapid.IntRange(-10, 10).Draw(rt, "rate"))/100,
			})
		}
		for range rapid.IntRange(20, 200).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "node")
			switch rapid.IntRange(0, 11).Draw(rt, "action") {
			case 0:
				w.now += time.Duration(rapid.IntRange(0, int(20*time.Second)).Draw(rt, "pause"))
			case 1:
				if n := len(w.late); n > 0 {
					w.apply(w.late[rapid.IntRange(0, n-1).Draw(rt, "arrives")])
				}
			case 2:
				n := w.nodes[i]
				if release, needed := n.holder.Release(); needed && n.flight == nil {
					w.apply(write{expected: release.Expected})
				}
			default:
				w.now += time.Duration(rapid.IntRange(0, int(time.Second)).Draw(rt, "time"))
				w.step(i)
			}
			w.check()
		}
		w.heal()
		wins += w.wins
	})
	assert.Assert(t, wins > 100, "a lease was valid in %d steps only", wins)
	t.Logf("a lease was valid in %d steps", wins)
}

func TestHolderKeepsItsLeaseWhileItRenews(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []lease.Outcome
		want     lease.State
	}{
		{name: "answered", outcomes: []lease.Outcome{lease.Applied, lease.Applied, lease.Applied}, want: lease.Holding},
		{name: "answer lost once", outcomes: []lease.Outcome{lease.Applied, lease.Unknown, lease.Applied}, want: lease.Holding},
		{name: "failed once", outcomes: []lease.Outcome{lease.Applied, lease.Failed, lease.Applied}, want: lease.Holding},
		{name: "never again", outcomes: []lease.Outcome{lease.Applied}, want: lease.Lost},
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
