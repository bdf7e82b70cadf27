package tokens

import (
	"cmp"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// The minimum interval between two calls to the parent grows with the number of nodes, within
// these limits. Asks that arrive in the meantime share the next call. A parent has up to about
// 64 children, and at 30 ms, three levels of parents still answer within MaxWait.
const (
	minCallInterval     = 10 * time.Millisecond
	maxCallInterval     = 30 * time.Millisecond
	callIntervalPerNode = 100 * time.Microsecond
	// failedCallInterval is the interval after a call that failed, such as one to a process
	// that was killed.
	failedCallInterval = 50 * time.Millisecond
)

// Claim is an ask that waits for its answer: of a request at this node, or of a child.
type Claim struct {
	Ask Ask
	// Answered receives the answer once. It has room for it.
	Answered chan Answer
	// abandoned is true if the request waits no longer.
	abandoned bool
}

// maxCallsUnderWay limits the calls to the parent at one time. A call over two levels to
// another region takes some 80 ms, so calls that waited for each other would take longer
// than a request waits.
const maxCallsUnderWay = 16

// Collector gathers the claims at a node into calls to its parent. The zero Collector is
// empty.
type Collector struct {
	waiting []*Claim
	// underWay holds the calls under way, oldest first, at most maxCallsUnderWay.
	underWay []*Call
	// sentAt is the time of the last call.
	sentAt time.Time
	// failed is true if the call that ended last failed.
	failed bool
}

// Call is a call to the parent that is under way.
type Call struct {
	// Asks has one ask for each account, sorted by account; never empty.
	Asks   []Ask
	claims []*Claim
	sentAt time.Time
	// extra holds the extra tokens that the stock asked for.
	extra map[mesh.Account]int
}

// Add adds a claim to the next call.
func (c *Collector) Add(claim *Claim) {
	c.waiting = append(c.waiting, claim)
}

// Next returns the next call, which is then under way until End is called. Calls keep an
// interval that depends on the number of nodes. If there is none now, the call is nil, and
// Next returns the time at which to try again; zero if that is after End or Add.
func (c *Collector) Next(now time.Time, stock *Stock, nodes int, withReturns bool) (call *Call, retryAt time.Time) {
	if n := len(c.underWay); n >= maxCallsUnderWay || n > 0 && now.Sub(c.underWay[0].sentAt) > MaxWait {
		// A parent that has not answered for so long would not answer another call either.
		return nil, time.Time{}
	}
	interval := min(max(minCallInterval, time.Duration(nodes)*callIntervalPerNode), maxCallInterval)
	if c.failed {
		interval = failedCallInterval
	}
	if earliest := c.sentAt.Add(interval); now.Before(earliest) {
		return nil, earliest
	}
	list := askList{byAccount: make(map[mesh.Account]int)}
	for _, cl := range c.waiting {
		if cl.abandoned {
			continue
		}
		a := list.at(cl.Ask.Account)
		a.Needed += cl.Ask.Needed
		a.Extra += cl.Ask.Extra
		a.Returned += cl.Ask.Returned
	}
	call = &Call{sentAt: now, extra: make(map[mesh.Account]int)}
	addExtra := func(account mesh.Account) {
		if n := stock.AskExtra(now, account); n > 0 {
			list.at(account).Extra += n
			call.extra[account] = n
		}
	}
	for _, a := range slices.Clone(list.asks) {
		addExtra(a.Account)
	}
	stock.Low(now, addExtra)
	if withReturns || len(list.asks) > 0 {
		stock.Returns(now, func(account mesh.Account, n int) { list.at(account).Returned += n })
	}
	if len(list.asks) == 0 {
		c.waiting = c.waiting[:0]
		return nil, time.Time{}
	}
	slices.SortFunc(list.asks, func(a, b Ask) int { return cmp.Compare(a.Account, b.Account) })
	call.Asks, call.claims, c.waiting = list.asks, c.waiting, nil
	c.underWay = append(c.underWay, call)
	c.sentAt = now
	return call, time.Time{}
}

// End ends a call and answers its claims. answered is false if it failed; the claims then
// wait for the next one, as the link may be lost for a moment only.
func (c *Collector) End(now time.Time, stock *Stock, call *Call, grants []Grant, answered bool) {
	c.underWay = slices.DeleteFunc(c.underWay, func(o *Call) bool { return o == call })
	c.failed = !answered
	for account, n := range call.extra {
		stock.EndExtra(account, n)
	}
	if !answered {
		c.requeue(call)
		return
	}
	byAccount := make(map[mesh.Account]*share, len(grants))
	for _, g := range grants {
		byAccount[g.Account] = &share{Grant: g}
	}
	for _, cl := range call.claims {
		if s := byAccount[cl.Ask.Account]; s != nil && !cl.abandoned {
			s.needed += cl.Ask.Needed
		}
	}
	for _, s := range byAccount {
		s.needed = min(s.needed, s.Tokens)
	}
	for _, cl := range call.claims {
		if cl.abandoned {
			continue
		}
		s := byAccount[cl.Ask.Account]
		if s == nil {
			cl.Answered <- Answer{}
			continue
		}
		cl.Answered <- decidedGrant(s.take(cl.Ask), cl.Ask.Needed)
	}
	for account, s := range byAccount {
		if s.RetryAfter > 0 {
			stock.Block(now, account, s.RetryAfter)
		}
		stock.Put(now, account, s.Tokens, call.sentAt)
	}
}

// requeue makes the claims of a failed call wait for the next one. Tokens that they returned
// may have arrived, so they are not returned again.
func (c *Collector) requeue(call *Call) {
	for _, cl := range call.claims {
		cl.Ask.Returned = 0
	}
	c.waiting = append(call.claims, c.waiting...)
}

// share is the part of a grant that is not given to a claim yet.
type share struct {
	Grant
	// needed is the number of tokens for the claims of this account, and given the number
	// of them that claims got.
	needed, given int
}

// take gives a claim its tokens. The needed tokens become valid one after the other, the
// last one after Wait.
func (s *share) take(ask Ask) (grant Grant) {
	grant = Grant{Account: ask.Account, RetryAfter: s.RetryAfter}
	grant.Tokens = min(ask.Needed, s.needed-s.given)
	s.given += grant.Tokens
	if s.given > 0 && grant.Tokens > 0 {
		grant.Wait = s.Wait * time.Duration(s.given) / time.Duration(s.needed)
	}
	if extra := min(ask.Extra, s.Tokens-grant.Tokens-(s.needed-s.given)); extra > 0 {
		grant.Tokens += extra
	}
	s.Tokens -= grant.Tokens
	if grant.Tokens >= ask.Needed {
		grant.RetryAfter = 0
	}
	return grant
}

// askList is a list with one ask for each account.
type askList struct {
	asks      []Ask
	byAccount map[mesh.Account]int
}

func (l *askList) at(account mesh.Account) *Ask {
	i, ok := l.byAccount[account]
	if !ok {
		i = len(l.asks)
		l.byAccount[account] = i
		l.asks = append(l.asks, Ask{Account: account})
	}
	return &l.asks[i]
}
