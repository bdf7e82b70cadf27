package tokens_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

var epoch = time.Unix(1_000_000, 0)

// TestTableGrants guards against grants beyond the bucket, promises that no request can
// wait for, and extra tokens that leave none to other nodes.
func TestTableGrants(t *testing.T) {
	limit := tokens.Limit{Rate: 10, Burst: 8}
	tests := []struct {
		name  string
		share float64
		// fill is the time before the ask, in which the bucket is filled from empty.
		fill time.Duration
		ask  tokens.Ask
		want tokens.Grant
	}{
		{name: "empty bucket promises the next tokens", share: 1, ask: tokens.Ask{Needed: 2}, want: tokens.Grant{Tokens: 2, Wait: 200 * time.Millisecond}},
		{name: "promises are limited", share: 1, ask: tokens.Ask{Needed: 3}, want: tokens.Grant{Tokens: 2, Wait: 200 * time.Millisecond, RetryAfter: 300 * time.Millisecond}},
		{name: "half of the nodes fill half as fast", share: 0.5, ask: tokens.Ask{Needed: 2}, want: tokens.Grant{Tokens: 1, Wait: 200 * time.Millisecond, RetryAfter: 200 * time.Millisecond}},
		{name: "half of the nodes have half of the burst", share: 0.5, fill: 9 * time.Second, ask: tokens.Ask{Needed: 5}, want: tokens.Grant{Tokens: 5, Wait: 200 * time.Millisecond}},
		{name: "no contact with others decides nothing", share: 0, fill: 9 * time.Second, ask: tokens.Ask{Needed: 1}, want: tokens.Grant{}},
		{name: "extra tokens from the upper half", share: 1, fill: 9 * time.Second, ask: tokens.Ask{Needed: 1, Extra: 9}, want: tokens.Grant{Tokens: 4}},
		{name: "no extra tokens from the lower half", share: 1, fill: 400 * time.Millisecond, ask: tokens.Ask{Extra: 9}, want: tokens.Grant{}},
		{name: "returned tokens fill no more than the bucket", share: 1, fill: 9 * time.Second, ask: tokens.Ask{Needed: 11, Returned: 50}, want: tokens.Grant{Tokens: 10, Wait: 200 * time.Millisecond, RetryAfter: 300 * time.Millisecond}},
		{name: "returned tokens are granted again", share: 1, ask: tokens.Ask{Needed: 3, Returned: 3}, want: tokens.Grant{Tokens: 3}},
		{name: "negative numbers", share: 1, ask: tokens.Ask{Needed: -3, Extra: -3, Returned: -3}, want: tokens.Grant{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table tokens.Table
			now := epoch
			table.SetShare(now, tt.share)
			for end := now.Add(tt.fill); now.Before(end); {
				now = now.Add(100 * time.Millisecond)
				table.Advance(now)
			}
			got := table.Ask(now, limit, tt.ask)
			got.Wait, got.RetryAfter = got.Wait.Round(time.Millisecond), got.RetryAfter.Round(time.Millisecond)
			assert.DeepEqual(t, got, tt.want)
		})
	}
}

// TestTableAfterChanges guards against tokens that outlive what they were granted by: the
// limit of an older version, a larger share, or the time before the process was frozen.
func TestTableAfterChanges(t *testing.T) {
	limit := tokens.Limit{Rate: 10, Burst: 100}
	tests := []struct {
		name   string
		change func(table *tokens.Table, now time.Time) (later time.Time)
		limit  tokens.Limit
		most   int
	}{
		{name: "no change", limit: limit, most: 102, change: func(_ *tokens.Table, now time.Time) time.Time { return now }},
		{name: "limit lowered to a tenth", limit: tokens.Limit{Rate: 1, Burst: 10}, most: 10, change: func(_ *tokens.Table, now time.Time) time.Time { return now }},
		{name: "share lowered to a tenth", limit: limit, most: 10, change: func(table *tokens.Table, now time.Time) time.Time {
			table.SetShare(now, 0.1)
			return now
		}},
		{name: "frozen for five seconds", limit: limit, most: 0, change: func(_ *tokens.Table, now time.Time) time.Time { return now.Add(5 * time.Second) }},
		{name: "new owner", limit: limit, most: 2, change: func(table *tokens.Table, now time.Time) time.Time {
			table.Reset()
			table.SetShare(now, 1)
			return now
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table tokens.Table
			now := epoch
			table.SetShare(now, 1)
			for range 150 {
				now = now.Add(100 * time.Millisecond)
				table.Ask(now, limit, tokens.Ask{Account: "a"})
			}
			now = tt.change(&table, now)
			assert.Equal(t, table.Ask(now, tt.limit, tokens.Ask{Account: "a", Needed: 200}).Tokens, tt.most)
		})
	}
}

// TestSelectorIsCountedOnce guards against a node that two owners count at the same time,
// each of which then fills its buckets for it.
func TestSelectorIsCountedOnce(t *testing.T) {
	type step struct {
		after     time.Duration
		situation tokens.Situation
		want      tokens.Choice
	}
	const hold = time.Second
	onA := tokens.Situation{Preferred: "a", Reachable: true, Hold: hold}
	countedByA := []step{{situation: onA, want: tokens.Choice{Host: "a"}}, {after: hold, situation: onA, want: tokens.Choice{Host: "a", Counted: true}}}
	tests := []struct {
		name  string
		steps []step
	}{
		{name: "parent lost", steps: append(countedByA[:2:2],
			step{situation: tokens.Situation{Preferred: "b", Hold: hold}, want: tokens.Choice{Host: "b"}},
			step{after: hold, situation: tokens.Situation{Preferred: "b", Reachable: true, Hold: hold}, want: tokens.Choice{Host: "b", Counted: true}})},
		{name: "better parent appears", steps: append(countedByA[:2:2],
			step{situation: tokens.Situation{Preferred: "b", Reachable: true, Hold: hold}, want: tokens.Choice{Host: "a"}},
			step{after: hold, situation: tokens.Situation{Preferred: "b", Reachable: true, Hold: hold}, want: tokens.Choice{Host: "b", Counted: true}})},
		{name: "other parent of the same owner", steps: append(countedByA[:2:2],
			step{situation: tokens.Situation{Preferred: "b", Reachable: true, SameOwner: true, Hold: hold}, want: tokens.Choice{Host: "b", Counted: true}})},
		{name: "other parent whose owner becomes known later", steps: append(countedByA[:2:2],
			step{situation: tokens.Situation{Preferred: "b", Reachable: true, Hold: hold}, want: tokens.Choice{Host: "a"}},
			step{after: hold / 4, situation: tokens.Situation{Preferred: "b", Reachable: true, SameOwner: true, Hold: hold}, want: tokens.Choice{Host: "b", Counted: true}})},
		{name: "becomes the owner", steps: append(countedByA[:2:2],
			step{situation: tokens.Situation{Owner: true, Hold: hold}, want: tokens.Choice{Owner: true}},
			step{after: hold, situation: tokens.Situation{Owner: true, Hold: hold}, want: tokens.Choice{Owner: true, Counted: true}},
			step{situation: onA, want: tokens.Choice{Host: "a", Counted: true}})},
		{name: "owner whose nodes change to another", steps: []step{
			{situation: tokens.Situation{Owner: true, Hold: hold}, want: tokens.Choice{Owner: true}},
			{after: hold, situation: tokens.Situation{Owner: true, Hold: hold}, want: tokens.Choice{Owner: true, Counted: true}},
			{situation: tokens.Situation{Preferred: "a", Contacts: 3, Hold: hold}, want: tokens.Choice{Owner: true, Counted: true}},
			{after: hold, situation: tokens.Situation{Preferred: "a", Hold: hold}, want: tokens.Choice{Host: "a", Counted: true}},
		}},
		{name: "owner whose nodes cannot change", steps: []step{
			{situation: tokens.Situation{Owner: true, Hold: hold}, want: tokens.Choice{Owner: true}},
			{after: hold, situation: tokens.Situation{Preferred: "a", Contacts: 3, Hold: hold}, want: tokens.Choice{Owner: true, Counted: true}},
			{after: 2 * hold, situation: tokens.Situation{Preferred: "a", Contacts: 3, Hold: hold}, want: tokens.Choice{Host: "a", Counted: true}},
		}},
		{name: "nothing reachable for a while", steps: append(countedByA[:2:2],
			step{situation: tokens.Situation{Hold: hold}, want: tokens.Choice{}},
			step{after: 3 * hold, situation: onA, want: tokens.Choice{Host: "a", Counted: true}})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var selector tokens.Selector
			now := epoch
			for _, s := range tt.steps {
				now = now.Add(s.after)
				got := selector.Select(now, s.situation)
				got.Next = time.Time{}
				if got.Host == "" && !got.Owner {
					got.Counted = false
				}
				assert.DeepEqual(t, got, s.want)
			}
		})
	}
}

// TestContactsExpire guards against nodes that are counted after they may have changed to
// another owner, above all those of reports that a frozen owner finds when it continues.
func TestContactsExpire(t *testing.T) {
	tests := []struct {
		name string
		// late is how long the second report was on its way, and after the time since it
		// arrived.
		late, after time.Duration
		link        uint64
		nodes       int
		want        int
	}{
		{name: "in time", link: 1, nodes: 3, want: 3},
		{name: "half a second late", late: 500 * time.Millisecond, after: 400 * time.Millisecond, link: 1, nodes: 3, want: 3},
		{name: "half a second late and old", late: 500 * time.Millisecond, after: 600 * time.Millisecond, link: 1, nodes: 3},
		{name: "found after five seconds", late: 5 * time.Second, link: 1, nodes: 3},
		{name: "restarted with another clock", late: -time.Hour, link: 2, nodes: 3, want: 3},
		{name: "not counted here any more", link: 1, after: 400 * time.Millisecond, want: 2},
		{name: "not counted here for a second", link: 1, after: 600 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var contacts tokens.Contacts
			contacts.Report(epoch, "h", 1, time.Minute, 2)
			now := epoch.Add(500*time.Millisecond + max(tt.late, 0))
			contacts.Report(now, "h", tt.link, time.Minute+500*time.Millisecond+min(tt.late, 0), tt.nodes)
			nodes, _ := contacts.Nodes(now.Add(tt.after))
			assert.Equal(t, nodes, tt.want)
		})
	}
}

// TestKeeperUsesAndReturnsTokens guards against tokens that are used after their time, kept
// by a node that does not need them, or lost with a request that gave up.
func TestKeeperUsesAndReturnsTokens(t *testing.T) {
	limit := tokens.Limit{Rate: 100, Burst: 100}
	tests := []struct {
		name string
		// after is the time between the call and the next request.
		after time.Duration
		// abandoned is true if the request that caused the call gave up before its answer.
		abandoned        bool
		wantFromStock    bool
		wantReturnsLater int
	}{
		{name: "extra token", after: 400 * time.Millisecond, wantFromStock: true, wantReturnsLater: 1},
		{name: "extra token too old", after: 600 * time.Millisecond, wantReturnsLater: 2},
		{name: "token of a request that gave up", after: 400 * time.Millisecond, abandoned: true, wantFromStock: true, wantReturnsLater: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var keeper tokens.Keeper
			keeper.SetSource(epoch, tokens.Source{Parent: "p"})
			_, claim, mayCall := keeper.Request(epoch, "a", limit)
			assert.Assert(t, mayCall)
			call, _ := keeper.NextCall(epoch, false)
			assert.DeepEqual(t, call.Asks, []tokens.Ask{{Account: "a", Needed: 1}})
			if tt.abandoned {
				keeper.Abandon(claim)
			}
			keeper.EndCall(epoch.Add(10*time.Millisecond), call, []tokens.Grant{{Account: "a", Tokens: 3}}, true)
			now := epoch.Add(tt.after)
			answer, _, _ := keeper.Request(now, "a", limit)
			assert.Equal(t, answer.Decided, tt.wantFromStock)
			now = epoch.Add(time.Second)
			assert.Assert(t, keeper.Upkeep(now))
			call, _ = keeper.NextCall(now, true)
			assert.Equal(t, call.Asks[0].Returned, tt.wantReturnsLater)
		})
	}
}

// TestKeeperAfterAnswers guards against a node that asks for an account again and again
// that has used up its quota, refuses it for long after that, or gives up its requests when
// one call fails.
func TestKeeperAfterAnswers(t *testing.T) {
	limit := tokens.Limit{Rate: 100, Burst: 100}
	refused := []tokens.Grant{{Account: "a", RetryAfter: time.Minute}}
	tests := []struct {
		name     string
		grants   []tokens.Grant
		answered bool
		// after is the time after the answer at which another request arrives.
		after       time.Duration
		wantDecided bool
		// wantNeeded is the number of tokens of the next call; zero if there is none.
		wantNeeded int
	}{
		{name: "refused", grants: refused, answered: true, after: 100 * time.Millisecond, wantDecided: true},
		{name: "refused a while ago", grants: refused, answered: true, after: 600 * time.Millisecond, wantNeeded: 1},
		{name: "call failed", after: 100 * time.Millisecond, wantNeeded: 2},
		{name: "call failed just now", after: 30 * time.Millisecond},
		{name: "parent has another version", grants: []tokens.Grant{{Account: "a"}}, answered: true, after: 30 * time.Millisecond, wantNeeded: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var keeper tokens.Keeper
			keeper.SetSource(epoch, tokens.Source{Parent: "p"})
			_, first, _ := keeper.Request(epoch, "a", limit)
			call, _ := keeper.NextCall(epoch, false)
			keeper.EndCall(epoch, call, tt.grants, tt.answered)
			assert.Equal(t, len(first.Answered) > 0, tt.answered)
			now := epoch.Add(tt.after)
			answer, _, _ := keeper.Request(now, "a", limit)
			assert.Equal(t, answer.Decided, tt.wantDecided)
			needed := 0
			if call, _ = keeper.NextCall(now, false); call != nil {
				needed = call.Asks[0].Needed
			}
			assert.Equal(t, needed, tt.wantNeeded)
		})
	}
}

// TestLocalTokensStayWithinTheirPart guards against nodes that each keep a token for the
// time when no owner answers: 87 of them would be more than the limit of most accounts.
func TestLocalTokensStayWithinTheirPart(t *testing.T) {
	const nodes = 87
	tests := []struct {
		name string
		rate float64
		// idle is the time without an owner and without requests.
		idle time.Duration
		most int
	}{
		{name: "small account", rate: 5, idle: time.Second, most: 5},
		{name: "small account after an hour", rate: 5, idle: time.Hour, most: 9},
		{name: "large account after an hour", rate: 510, idle: time.Hour, most: 250},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			admitted := 0
			for n := range nodes {
				keeper := tokens.Keeper{Host: mesh.HostID(fmt.Sprint("h", n)), Nodes: nodes}
				limit := tokens.Limit{Rate: tt.rate}
				keeper.Settle(epoch, limit, time.Second, "a", tokens.Answer{}, 0)
				for step := range 50 {
					now := epoch.Add(tt.idle + time.Duration(step)*100*time.Millisecond)
					if decision, _ := keeper.Settle(now, limit, time.Second, "a", tokens.Answer{}, 0); decision.Verdict == tokens.Admitted {
						admitted++
					}
				}
			}
			assert.Assert(t, admitted > 0 && admitted <= tt.most, "%d", admitted)
		})
	}
}

// BenchmarkDecision measures one decision at the owner, and one from the stock, each with
// 86 accounts. The bound is 10 µs.
func BenchmarkDecision(b *testing.B) {
	tests := []struct {
		name   string
		source tokens.Source
	}{
		{name: "owner", source: tokens.Source{Owner: true, Share: 1}},
		{name: "parent", source: tokens.Source{Parent: "p"}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			keeper, limit, now := &tokens.Keeper{Nodes: 87}, tokens.Limit{Rate: 1e6, Burst: 1e6}, epoch
			keeper.SetSource(now, tt.source)
			accounts := benchAccounts()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				answer, claim, _ := keeper.Request(now, accounts[i%len(accounts)], limit)
				if claim != nil {
					if call, _ := keeper.NextCall(now, true); call != nil {
						keeper.EndCall(now, call, []tokens.Grant{{Account: call.Asks[0].Account, Tokens: 1 + call.Asks[0].Extra}}, true)
					}
					answer = keeper.Abandon(claim)
				}
				keeper.Settle(now, limit, time.Second, accounts[i%len(accounts)], answer, 0)
			}
		})
	}
}

func benchAccounts() (accounts []mesh.Account) {
	for i := range 86 {
		accounts = append(accounts, mesh.Account(fmt.Sprint("account-", i)))
	}
	return accounts
}

// BenchmarkMemory measures the memory of the buckets and reports of an owner of 87 nodes,
// and of the stock of another node, with 86 accounts. The bound is 2 MB.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		owner, child, contacts := &tokens.Keeper{}, &tokens.Keeper{}, &tokens.Contacts{}
		owner.SetSource(epoch, tokens.Source{Owner: true, Share: 1})
		child.SetSource(epoch, tokens.Source{Parent: "p"})
		for n := range 87 {
			contacts.Report(epoch, mesh.HostID(fmt.Sprint("h", n)), uint64(n), time.Second, 1)
		}
		for _, a := range benchAccounts() {
			owner.Request(epoch, a, tokens.Limit{Rate: 5, Burst: 5})
			child.Request(epoch, a, tokens.Limit{Rate: 5, Burst: 5})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
		runtime.KeepAlive([]any{owner, child, contacts})
	}
}
