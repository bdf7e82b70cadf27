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

// Collector gathers the claims at a node into calls to its parent, of which one at a time
// is under way. The zero Collector is empty.
type Collector struct {
	waiting, sent []*Claim
	underWay      bool
	sentAt        time.Time
	// failed is true if the last call failed.
	failed bool
}

// Add adds a claim to the next call.
func (c *Collector) Add(claim *Claim) {
	c.waiting = append(c.waiting, claim)
}

// Next returns the asks of the next call, which is then under way until End is called.
// Calls keep an interval that depends on the number of nodes. If there is none now, it returns the time at which to try again; zero if that is after
// End or Add.
func (c *Collector) Next(now time.Time, stock *Stock, nodes int, withReturns bool) (asks []Ask, retryAt time.Time) {
	if c.underWay {
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
	for i := range list.asks {
		list.asks[i].Extra += stock.Extra(now, list.asks[i].Account)
	}
	stock.Low(now, func(account mesh.Account) {
		if _, listed := list.byAccount[account]; !listed {
			list.at(account).Extra = stock.Extra(now, account)
		}
	})
	if withReturns || len(list.asks) > 0 {
		stock.Returns(now, func(account mesh.Account, n int) { list.at(account).Returned += n })
	}
	if len(list.asks) == 0 {
		c.waiting = c.waiting[:0]
		return nil, time.Time{}
	}
	slices.SortFunc(list.asks, func(a, b Ask) int { return cmp.Compare(a.Account, b.Account) })
	c.waiting, c.sent = nil, c.waiting
	c.underWay, c.sentAt = true, now
	return list.asks, time.Time{}
}

// End ends the call under way and answers its claims. answered is false if it failed; the
// claims then wait for the next one, as the link may be lost for a moment only.
func (c *Collector) End(now time.Time, stock *Stock, grants []Grant, answered bool) {
	c.underWay, c.failed = false, !answered
	if !answered {
		c.requeue()
		return
	}
	byAccount := make(map[mesh.Account]*share, len(grants))
	for _, g := range grants {
		byAccount[g.Account] = &share{Grant: g}
	}
	sent := c.sent
	c.sent = nil
	for _, cl := range sent {
		if s := byAccount[cl.Ask.Account]; s != nil && !cl.abandoned {
			s.needed += cl.Ask.Needed
		}
	}
	for _, s := range byAccount {
		s.needed = min(s.needed, s.Tokens)
	}
	for _, cl := range sent {
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
		stock.Put(now, account, s.Tokens, c.sentAt)
	}
}

// requeue makes the claims of a failed call wait for the next one. Tokens that they returned
// may have arrived, so they are not returned again.
func (c *Collector) requeue() {
	for _, cl := range c.sent {
		cl.Ask.Returned = 0
	}
	c.waiting = append(c.sent, c.waiting...)
	c.sent = nil
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
