package retry

import (
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Amounts of credit, in thousandths of a retry.
const (
	retryCost = 1000
	// creditPerPercent is the credit that a first attempt earns for each percent of
	// Policy.BudgetPercent.
	creditPerPercent = retryCost / 100
	// creditPerMillisecond adds up to one retry per second, so that services with
	// few requests can retry too.
	creditPerMillisecond = retryCost / 1000
	// initialCredit is the credit of a service at first, and the highest credit that
	// it can earn through elapsed time alone.
	initialCredit = 20 * retryCost
	// maxCredit bounds the credit that a service can save up, so that it does not
	// send a burst of retries when an outage begins.
	maxCredit = 100 * retryCost
)

const (
	// DefaultBudgetPercent is the ratio of retries to first attempts if the policy
	// sets none.
	DefaultBudgetPercent = 10
	// maxAccounts bounds the memory. The least recently used account is evicted.
	maxAccounts = 1024
)

// Budget limits the retries of each service to a percentage of its requests. It is
// safe for concurrent use. The zero Budget is ready to use.
type Budget struct {
	mutex sync.Mutex
	// accounts has at most maxAccounts entries; guarded by mutex.
	accounts map[mesh.ServiceID]*account
}

// account is the retry budget of one service.
type account struct {
	// credit is within 0 and maxCredit; a retry costs retryCost.
	credit int64
	// creditedUntil is the time up to which elapsed time has been credited.
	creditedUntil time.Time
}

// Deposit adds the credit for one first attempt of the service.
func (b *Budget) Deposit(now time.Time, service mesh.ServiceID, policy Policy) {
	percent := policy.BudgetPercent
	if percent <= 0 {
		percent = DefaultBudgetPercent
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a := b.account(now, service)
	a.credit = min(a.credit+int64(percent)*creditPerPercent, maxCredit)
}

// TryWithdraw spends the credit for one retry of the service and reports whether
// there was enough.
func (b *Budget) TryWithdraw(now time.Time, service mesh.ServiceID) (taken bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a := b.account(now, service)
	if a.credit < retryCost {
		return false
	}
	a.credit -= retryCost
	return true
}

// account returns the account of the service after crediting the elapsed time. It
// creates the account if needed.
func (b *Budget) account(now time.Time, service mesh.ServiceID) (a *account) {
	a = b.accounts[service]
	if a == nil {
		if b.accounts == nil {
			b.accounts = make(map[mesh.ServiceID]*account)
		}
		b.evict()
		a = &account{credit: initialCredit, creditedUntil: now}
		b.accounts[service] = a
		return a
	}
	elapsed := now.Sub(a.creditedUntil).Truncate(time.Millisecond)
	if elapsed <= 0 {
		return a
	}
	a.creditedUntil = a.creditedUntil.Add(elapsed)
	if a.credit < initialCredit {
		a.credit = min(a.credit+elapsed.Milliseconds()*creditPerMillisecond, initialCredit)
	}
	return a
}

// evict makes room for one account by removing the least recently used one.
func (b *Budget) evict() {
	if len(b.accounts) < maxAccounts {
		return
	}
	var (
		oldest     mesh.ServiceID
		oldestTime time.Time
	)
	for s, a := range b.accounts {
		if oldestTime.IsZero() || a.creditedUntil.Before(oldestTime) {
			oldest, oldestTime = s, a.creditedUntil
		}
	}
	delete(b.accounts, oldest)
}
