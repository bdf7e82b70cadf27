// Package intake limits the requests in progress at a node so that no client account can
// take the memory of all others.
package intake

import (
	"sync"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// DefaultLimit is the number of requests in progress that a host of 184 MB holds at
	// about 30 KB each beside its other work.
	DefaultLimit = 1024
	// minPerAccount is the number of requests that an account may have in progress in any
	// case.
	minPerAccount = 4
)

// Limiter counts the requests in progress by account. An account may have as many as
// there are places left: one alone gets half of them, two a third each. Anonymous requests
// are counted, but never refused. It is safe for concurrent use. The zero Limiter has
// DefaultLimit places.
type Limiter struct {
	// Limit must not change after the first request; zero means DefaultLimit.
	Limit int

	mutex sync.Mutex
	// pending has no entry for an account without requests; guarded by mutex.
	pending map[mesh.Account]int
	// total is the sum of pending, and refused counts the refused requests; guarded by
	// mutex.
	total   int
	refused uint64
}

// Begin counts a request of the account, empty if it is anonymous, until the returned
// function is called. It returns false if the account has too many.
func (l *Limiter) Begin(account mesh.Account) (end func(), admitted bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit := l.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	if account != "" && l.pending[account] >= max(minPerAccount, limit-l.total) {
		l.refused++
		return nil, false
	}
	if l.pending == nil {
		l.pending = make(map[mesh.Account]int)
	}
	l.pending[account]++
	l.total++
	return sync.OnceFunc(func() { l.end(account) }), true
}

func (l *Limiter) end(account mesh.Account) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.total--
	if l.pending[account]--; l.pending[account] == 0 {
		delete(l.pending, account)
	}
}

// Stats describes the requests in progress.
type Stats struct {
	// Accounts is the number of accounts with requests in progress, and Largest the most
	// requests of one of them.
	Accounts, Largest int
	// Refused counts the requests refused so far.
	Refused uint64
}

// Stats returns the current state.
func (l *Limiter) Stats() (stats Stats) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	stats.Refused = l.refused
	for account, n := range l.pending {
		if account != "" {
			stats.Accounts++
			stats.Largest = max(stats.Largest, n)
		}
	}
	return stats
}
