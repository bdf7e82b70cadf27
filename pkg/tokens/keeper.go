package tokens

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Source is where a node gets its tokens.
type Source struct {
	// Parent is the node to ask; empty if there is none, or if Owner is true.
	Parent mesh.HostID
	// Owner is true if the node has the buckets, and Share the fraction of the rates at
	// which they are filled.
	Owner bool
	Share float64
}

// Limits returns the limit of an account in the version in force.
type Limits func(account mesh.Account) (limit Limit, known bool)

// Answer is the answer to a Claim.
type Answer struct {
	Grant Grant
	// Decided is false if no owner decided.
	Decided bool
}

// decidedGrant returns the answer with that grant to an ask for needed tokens.
func decidedGrant(grant Grant, needed int) Answer {
	return Answer{Grant: grant, Decided: grant.Tokens >= needed || grant.RetryAfter > 0}
}

// Keeper decides on the requests of accounts at one node, and on the asks of its children.
// The zero Keeper has no source.
type Keeper struct {
	// Host is this node, and Nodes the number of all nodes.
	Host   mesh.HostID
	Nodes  int
	source Source
	// table is used while this node is the owner; stock and collector are used while it
	// has a parent, and local while no owner decides.
	table     Table
	stock     Stock
	collector Collector
	local     localBuckets
}

// Source returns where the node gets its tokens.
func (k *Keeper) Source() Source { return k.source }

// SetSource sets where the node gets its tokens. A new owner starts with empty buckets.
func (k *Keeper) SetSource(now time.Time, source Source) {
	if source.Owner != k.source.Owner {
		k.table.Reset()
	}
	if source.Parent != k.source.Parent {
		k.stock.DropReturns()
	}
	k.source = source
	if source.Owner {
		k.table.SetShare(now, source.Share)
	}
}

// Request asks for the token of a request. If the answer has to come from the parent, it
// returns a claim, and mayCall is true if NextCall may have a call; otherwise it returns
// the answer.
func (k *Keeper) Request(now time.Time, account mesh.Account, limit Limit) (answer Answer, claim *Claim, mayCall bool) {
	ask := Ask{Account: account, Needed: 1}
	switch {
	case k.source.Owner:
		return decidedGrant(k.table.Ask(now, limit, ask), 1), nil, false
	case k.source.Parent == "":
		return Answer{}, nil, false
	case k.stock.Take(now, account):
		return Answer{Grant: Grant{Account: account, Tokens: 1}, Decided: true}, nil, k.stock.NeedsCall(now, account)
	}
	if retryAfter, blocked := k.stock.Blocked(now, account); blocked {
		return Answer{Grant: Grant{Account: account, RetryAfter: retryAfter}, Decided: true}, nil, false
	}
	return Answer{}, k.Forward(ask), true
}

// Forward adds an ask to the next call to the parent.
func (k *Keeper) Forward(ask Ask) (claim *Claim) {
	claim = &Claim{Ask: ask, Answered: make(chan Answer, 1)}
	k.collector.Add(claim)
	return claim
}

// Abandon ends the wait for a claim and returns its answer if there is one. Tokens that
// arrive later go to the stock.
func (k *Keeper) Abandon(claim *Claim) (answer Answer) {
	select {
	case answer = <-claim.Answered:
	default:
		claim.abandoned = true
	}
	return answer
}

// Settle decides on a request by the answer to its claim. A request that is admitted runs
// after the wait. random is a random number within 0 and 1.
func (k *Keeper) Settle(now time.Time, limit Limit, timeout time.Duration, account mesh.Account, answer Answer, random float64) (decision Decision, wait time.Duration) {
	if !answer.Decided {
		k.local.start(now)
		if k.local.take(now, k.Host, account, limit, k.Nodes) {
			return Decision{Verdict: Admitted, Local: true}, 0
		}
		return Decision{RetryAfter: spreadOut(undecidedRetryAfter, random)}, 0
	}
	k.local.stop()
	switch wait = answer.Grant.Wait; {
	case answer.Grant.Tokens == 0:
		return Decision{Verdict: Exceeded, RetryAfter: spreadOut(answer.Grant.RetryAfter, random)}, 0
	case wait > TokenWait(timeout):
		k.Refund(now, account)
		return Decision{Verdict: Exceeded, RetryAfter: spreadOut(wait, random)}, 0
	}
	return Decision{Verdict: Admitted}, wait
}

// Refund gives back the token of a request that was not sent to any upstream. While no
// owner decides, the token was most likely a local one, which no bucket takes back.
func (k *Keeper) Refund(now time.Time, account mesh.Account) {
	switch {
	case k.local.active():
	case k.source.Owner:
		k.table.Refund(now, account)
	default:
		k.stock.Refund(now, account)
	}
}

// Serve answers the asks of a child as the owner.
func (k *Keeper) Serve(now time.Time, asks []Ask, limits Limits) (grants []Grant) {
	grants = make([]Grant, 0, len(asks))
	for _, a := range asks {
		limit, known := limits(a.Account)
		if !known {
			// The child has another version. Without a limit there is no decision.
			grants = append(grants, Grant{Account: a.Account})
			continue
		}
		grants = append(grants, k.table.Ask(now, limit, a))
	}
	return grants
}

// NextCall returns the next call to the parent, which is then under way until EndCall. If
// there is none now, the call is nil, and NextCall returns when to try again; zero for no
// such time.
func (k *Keeper) NextCall(now time.Time, withReturns bool) (call *Call, retryAt time.Time) {
	if k.source.Parent == "" {
		return nil, time.Time{}
	}
	return k.collector.Next(now, &k.stock, k.Nodes, withReturns)
}

// EndCall ends a call. answered is false if it failed.
func (k *Keeper) EndCall(now time.Time, call *Call, grants []Grant, answered bool) {
	k.collector.End(now, &k.stock, call, grants, answered)
}

// Upkeep must be called every ReturnInterval. It reports whether there are unused tokens
// to return, for which NextCall has a call.
func (k *Keeper) Upkeep(now time.Time) (hasReturns bool) {
	if k.source.Owner {
		k.table.Advance(now)
		return false
	}
	return k.stock.HasReturns(now)
}
