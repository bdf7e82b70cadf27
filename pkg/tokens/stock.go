package tokens

import (
	"math"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// horizon is the time for whose requests a node asks for extra tokens.
	horizon = 300 * time.Millisecond
	// averageTime is the time constant of the average rate of requests.
	averageTime = time.Second
	// minBlock and maxBlock limit the time for which a node refuses an account by itself
	// after the owner refused it. Without minBlock, a flood makes each of 87 nodes call the
	// owner 100 times a second. Without maxBlock, an account with a low rate would be refused
	// for long after its limit was raised, or tokens were returned.
	minBlock = 50 * time.Millisecond
	maxBlock = 500 * time.Millisecond
	// minRefill is the number of expected requests from which a call is made for extra tokens
	// alone. For fewer, there would be almost a call for each request.
	minRefill = 4
	// idleTime is how long an account is kept after its last request.
	idleTime = 10 * time.Second
)

// Stock holds the tokens of a node that is not the owner. The zero Stock is empty.
type Stock struct {
	accounts map[mesh.Account]*holding
}

// holding is what a node holds for one account.
type holding struct {
	// lots are the tokens in hand, in the order in which they expire.
	lots []lot
	// returned is the number of tokens to give back, and asked that of the extra tokens in
	// calls that are under way.
	returned, asked int
	// level is the average number of requests per second at the time usedAt.
	level  float64
	usedAt time.Time
	// low is true if there are fewer tokens than half of those expected to be used.
	low bool
	// blockedUntil is the time until which the node refuses the account by itself, and
	// retryAt the time at which the account has capacity.
	blockedUntil, retryAt time.Time
}

// lot is a number of tokens that expire together.
type lot struct {
	count   int
	expires time.Time
}

// Take records a request of an account and takes a token for it.
func (s *Stock) Take(now time.Time, account mesh.Account) (taken bool) {
	h := s.holding(account)
	h.level = h.average(now) + 1/averageTime.Seconds()
	h.usedAt = now
	h.expire(now)
	if len(h.lots) > 0 {
		taken = true
		if h.lots[0].count--; h.lots[0].count == 0 {
			h.lots = h.lots[1:]
		}
	}
	h.low = 2*h.inHand() < h.target(now)
	return taken
}

// Put adds tokens that were asked for at a time.
func (s *Stock) Put(now time.Time, account mesh.Account, n int, askedAt time.Time) {
	if n <= 0 {
		return
	}
	h := s.holding(account)
	h.usedAt = latest(h.usedAt, now)
	if expires := askedAt.Add(MaxAge); now.Before(expires) {
		h.lots = append(h.lots, lot{n, expires})
		slices.SortStableFunc(h.lots, func(a, b lot) int { return a.expires.Compare(b.expires) })
		return
	}
	h.returned += n
}

// Refund gives back the token of a request that was not sent to any upstream.
func (s *Stock) Refund(now time.Time, account mesh.Account) {
	h := s.holding(account)
	h.usedAt = latest(h.usedAt, now)
	h.returned++
}

// Block records that the owner refused a token for an account, which has capacity after a
// time. The owner promises tokens MaxWait in advance.
func (s *Stock) Block(now time.Time, account mesh.Account, retryAfter time.Duration) {
	h := s.holding(account)
	h.blockedUntil = now.Add(min(max(retryAfter-MaxWait, minBlock), maxBlock))
	h.retryAt = now.Add(retryAfter)
}

// Blocked reports whether an account is known to have no token, and when it has capacity.
func (s *Stock) Blocked(now time.Time, account mesh.Account) (retryAfter time.Duration, blocked bool) {
	h := s.accounts[account]
	if h == nil || !now.Before(h.blockedUntil) {
		return 0, false
	}
	return max(h.retryAt.Sub(now), minRetryAfter), true
}

// Extra returns the number of extra tokens to ask for.
func (s *Stock) Extra(now time.Time, account mesh.Account) int {
	h := s.accounts[account]
	if h == nil || now.Before(h.blockedUntil) {
		return 0
	}
	h.expire(now)
	return max(0, h.target(now)-h.inHand()-h.asked)
}

// AskExtra is Extra for a call that is made now. EndExtra must be called when it ends.
func (s *Stock) AskExtra(now time.Time, account mesh.Account) (n int) {
	if n = s.Extra(now, account); n > 0 {
		s.holding(account).asked += n
	}
	return n
}

// EndExtra records that a call ended that asked for extra tokens.
func (s *Stock) EndExtra(account mesh.Account, n int) {
	if h := s.accounts[account]; h != nil {
		h.asked = max(0, h.asked-n)
	}
}

// Low calls yield with the accounts that need extra tokens soon, each once after each use.
func (s *Stock) Low(now time.Time, yield func(account mesh.Account)) {
	for name, h := range s.accounts {
		if h.low && s.Extra(now, name) > 0 {
			yield(name)
		}
		h.low = false
	}
}

// NeedsCall reports whether an account needs extra tokens so soon that they should not wait
// for the next call that another account causes.
func (s *Stock) NeedsCall(now time.Time, account mesh.Account) bool {
	h := s.accounts[account]
	return h != nil && h.low && h.target(now) >= minRefill && !now.Before(h.blockedUntil)
}

// Returns removes the tokens to give back and calls yield with them. It forgets accounts
// that are no longer used.
func (s *Stock) Returns(now time.Time, yield func(account mesh.Account, n int)) {
	for name, h := range s.accounts {
		h.expire(now)
		if h.returned > 0 {
			yield(name, h.returned)
			h.returned = 0
		}
		if len(h.lots) == 0 && h.asked == 0 && now.Sub(h.usedAt) > idleTime {
			delete(s.accounts, name)
		}
	}
}

// HasReturns reports whether there are tokens to give back.
func (s *Stock) HasReturns(now time.Time) bool {
	for _, h := range s.accounts {
		h.expire(now)
		if h.returned > 0 {
			return true
		}
	}
	return false
}

// DropReturns forgets the tokens to give back, because they came from another owner.
func (s *Stock) DropReturns() {
	for _, h := range s.accounts {
		h.returned = 0
	}
}

func (s *Stock) holding(account mesh.Account) *holding {
	h := s.accounts[account]
	if h == nil {
		if s.accounts == nil {
			s.accounts = make(map[mesh.Account]*holding)
		}
		h = &holding{}
		s.accounts[account] = h
	}
	return h
}

func (h *holding) average(now time.Time) float64 {
	return h.level * math.Exp(-now.Sub(h.usedAt).Seconds()/averageTime.Seconds())
}

// target returns the number of tokens that the account is expected to use soon.
func (h *holding) target(now time.Time) int {
	return int(h.average(now) * horizon.Seconds())
}

func (h *holding) inHand() (n int) {
	for _, l := range h.lots {
		n += l.count
	}
	return n
}

// expire gives back the tokens that are too old.
func (h *holding) expire(now time.Time) {
	for len(h.lots) > 0 && !now.Before(h.lots[0].expires) {
		h.returned += h.lots[0].count
		h.lots = h.lots[1:]
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
