package tokens_test

import (
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

// simNode is a node of a sim.
type simNode struct {
	number   int
	keeper   tokens.Keeper
	contacts tokens.Contacts
	selector tokens.Selector
	choice   tokens.Choice
	nextTick time.Duration
	// pending holds the claims without an answer.
	pending []*pendingClaim
	// lostAt contains since when other nodes have been unreachable.
	lostAt map[int]time.Duration
	// limiters, counts, demand, average and shares are used by the designs that are compared.
	limiters       map[mesh.Account]*rate.Limiter
	counts, others map[mesh.Account]*slots
	demand, shares map[mesh.Account]float64
	average        map[mesh.Account]float64
}

// pendingClaim is a claim with what follows its answer.
type pendingClaim struct {
	claim *tokens.Claim
	done  func(tokens.Answer)
}

func newSimNode(s *sim, number int) *simNode {
	n := &simNode{
		number: number, lostAt: make(map[int]time.Duration), limiters: make(map[mesh.Account]*rate.Limiter), counts: make(map[mesh.Account]*slots),
		others: make(map[mesh.Account]*slots), demand: make(map[mesh.Account]float64), shares: make(map[mesh.Account]float64), average: make(map[mesh.Account]float64),
	}
	n.keeper.Host, n.keeper.Nodes = hostOf(number), simNodes
	n.nextTick = time.Duration(s.random.Int64N(int64(probeInterval)))
	return n
}

func hostOf(node int) mesh.HostID { return mesh.HostID(strconv.Itoa(node)) }

func nodeOf(host mesh.HostID) int {
	n, _ := strconv.Atoi(string(host))
	return n
}

// preferred returns the first owner that the node does not take as unreachable.
func (n *simNode) preferred(s *sim) int {
	roots := s.design.roots(regionOf(n.number))
	if s.failing() && s.fail.secondRecords && n.number%2 == 1 {
		roots = roots[1:]
	}
	for _, r := range roots {
		if r == n.number {
			return r
		}
		if !s.isIsolated(n.number, r) {
			delete(n.lostAt, r)
			return r
		}
		if _, lost := n.lostAt[r]; !lost {
			n.lostAt[r] = s.now
		}
		silence := detectTime
		if s.isStopped(r) && !s.fail.frozen {
			silence = resetTime
		}
		if s.now-n.lostAt[r] < silence {
			return r
		}
	}
	return -1
}

// tickTree does what the controller does: it chooses the source of tokens and reports.
func tickTree(s *sim, n *simNode) {
	preferred := n.preferred(s)
	situation := tokens.Situation{Owner: preferred == n.number, Hold: tokens.ReportAge}
	if preferred >= 0 && !situation.Owner {
		situation.Preferred = hostOf(preferred)
	}
	if host := n.selector.Host(); host != "" {
		situation.Reachable = !s.isIsolated(n.number, nodeOf(host))
	}
	situation.Contacts, _ = n.contacts.Nodes(s.time())
	n.choice = n.selector.Select(s.time(), situation)
	n.applySource(s)
	if n.keeper.Upkeep(s.time()) {
		n.pump(s, true)
	}
	if s.now < n.nextTick || n.choice.Host == "" || !n.choice.Counted {
		return
	}
	n.nextTick = s.now + probeInterval
	nodes, _ := n.contacts.Nodes(s.time())
	parent, sentAt := s.nodes[nodeOf(n.choice.Host)], s.now+time.Hour
	s.send(n.number, parent.number, 0, func() {
		parent.contacts.Report(s.time(), hostOf(n.number), 1, sentAt, 1+nodes)
		parent.applySource(s)
	})
}

func (n *simNode) applySource(s *sim) {
	source := tokens.Source{Parent: n.choice.Host, Owner: n.choice.Owner}
	if n.choice.Owner && n.choice.Counted {
		nodes, _ := n.contacts.Nodes(s.time())
		source.Share = min(1, float64(1+nodes)/simNodes)
	}
	if source != n.keeper.Source() {
		n.keeper.SetSource(s.time(), source)
	}
}

// requestTree does what package grants does.
func requestTree(s *sim, n *simNode, a *simAccount, done func(admitted bool, wait time.Duration)) {
	settle := func(answer tokens.Answer) {
		decision, wait := n.keeper.Settle(s.time(), s.limitAt(a), requestTimeout, a.name, answer, 0)
		done(decision.Verdict == tokens.Admitted, wait)
	}
	answer, claim, mayCall := n.keeper.Request(s.time(), a.name, s.limitAt(a))
	if mayCall {
		n.pump(s, false)
	}
	if claim == nil {
		settle(answer)
		return
	}
	n.await(s, claim, tokens.AnswerWait(requestTimeout), settle)
}

func (n *simNode) await(s *sim, claim *tokens.Claim, wait time.Duration, done func(tokens.Answer)) {
	p := &pendingClaim{claim, done}
	n.pending = append(n.pending, p)
	s.after(wait, func() {
		if p.done != nil {
			p.done = nil
			done(n.keeper.Abandon(claim))
		}
	})
}

// pump makes the next call of a node to its parent.
func (n *simNode) pump(s *sim, withReturns bool) {
	call, retryAt := n.keeper.NextCall(s.time(), withReturns)
	if !retryAt.IsZero() {
		s.after(retryAt.Sub(s.time()), func() { n.pump(s, false) })
	}
	if call == nil {
		return
	}
	asks := call.Asks
	s.calls++
	ended := false
	end := func(grants []tokens.Grant, answered bool) {
		if ended {
			return
		}
		ended = true
		n.keeper.EndCall(s.time(), call, grants, answered)
		n.settlePending()
		n.pump(s, false)
	}
	parent := s.nodes[nodeOf(n.keeper.Source().Parent)]
	s.after(callTimeout, func() { end(nil, false) })
	s.send(n.number, parent.number, len(asks), func() {
		parent.serve(s, asks, func(grants []tokens.Grant, answered bool) {
			s.send(parent.number, n.number, len(grants), func() { end(grants, answered) })
		})
	})
}

func (n *simNode) settlePending() {
	pending := n.pending
	n.pending = nil
	for _, p := range pending {
		select {
		case answer := <-p.claim.Answered:
			if done := p.done; done != nil {
				p.done = nil
				done(answer)
			}
		default:
			if p.done != nil {
				n.pending = append(n.pending, p)
			}
		}
	}
}

// serve answers the asks of another node, or forwards them.
func (n *simNode) serve(s *sim, asks []tokens.Ask, reply func(grants []tokens.Grant, answered bool)) {
	switch source := n.keeper.Source(); {
	case source.Owner:
		for _, a := range asks {
			n.demand[a.Account] += float64(a.Needed)
		}
		reply(n.keeper.Serve(s.time(), asks, func(name mesh.Account) (tokens.Limit, bool) { return n.limit(s, s.byName[name]), true }), true)
		return
	case source.Parent == "":
		reply(nil, false)
		return
	}
	var grants []tokens.Grant
	for _, a := range asks {
		n.await(s, n.keeper.Forward(a), tokens.MaxWait, func(answer tokens.Answer) {
			answer.Grant.Account = a.Account
			if grants = append(grants, answer.Grant); len(grants) == len(asks) {
				reply(grants, true)
			}
		})
	}
	n.pump(s, false)
}

// limit returns the part of the limit that an owner enforces. Owners of regions share it
// by the demand that they have exchanged.
func (n *simNode) limit(s *sim, a *simAccount) tokens.Limit {
	limit := s.limitAt(a)
	if part, ok := n.shares[a.name]; ok {
		limit.Rate, limit.Burst = limit.Rate*part, limit.Burst*part
	}
	return limit
}
