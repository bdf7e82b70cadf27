package retry

import (
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Amounts of credit, in thousandths of a retry.
const (
	retryCost = 1000
	// percentCredit is what one request earns for each percent of the policy.
	percentCredit = retryCost / 100
	// creditPerMillisecond earns one retry a second however few the requests.
	creditPerMillisecond = retryCost / 1000
	// minCredit is what a service starts with and what the passing of time saves up to.
	minCredit = 20 * retryCost
	// maxCredit bounds what a service saves up, so that an outage meets no burst of retries.
	maxCredit = 100 * retryCost
)

const (
	// DefaultBudgetPercent is the share of retries to first attempts when the policy names none.
	DefaultBudgetPercent = 10
	// maxAccounts bounds the memory; the account not used for longest is forgotten first.
	maxAccounts = 1024
)

// Budget bounds the retries of each service to a share of its requests. It is
// safe for concurrent use. The zero Budget is ready to use.
type Budget struct {
	mutex sync.Mutex
	// accounts has at most maxAccounts entries; guarded by mutex.
	accounts map[mesh.ServiceID]*account
}

// account is one service's budget.
type account struct {
	// credit is within 0 and maxCredit; a retry takes retryCost.
	credit int64
	// updated is up to when the passing of time was credited.
	updated time.Time
}

// Deposit credits one first attempt of the service.
func (b *Budget) Deposit(now time.Time, service mesh.ServiceID, policy Policy) {
	percent := policy.BudgetPercent
	if percent <= 0 {
		percent = DefaultBudgetPercent
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a := b.account(now, service)
	a.credit = min(a.credit+int64(percent)*percentCredit, maxCredit)
}

// TryWithdraw withdraws one retry of the service, if the budget holds one.
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

// account returns the service's account with the time credited up to now.
func (b *Budget) account(now time.Time, service mesh.ServiceID) (a *account) {
	a = b.accounts[service]
	if a == nil {
		if b.accounts == nil {
			b.accounts = make(map[mesh.ServiceID]*account)
		}
		b.evict()
		a = &account{credit: minCredit, updated: now}
		b.accounts[service] = a
		return a
	}
	elapsed := now.Sub(a.updated).Truncate(time.Millisecond)
	if elapsed <= 0 {
		return a
	}
	a.updated = a.updated.Add(elapsed)
	if a.credit < minCredit {
		a.credit = min(a.credit+elapsed.Milliseconds()*creditPerMillisecond, minCredit)
	}
	return a
}

// evict makes room for one account by dropping the one not used for longest.
func (b *Budget) evict() {
	if len(b.accounts) < maxAccounts {
		return
	}
	var (
		oldest mesh.ServiceID
		at     time.Time
	)
	for s, a := range b.accounts {
		if at.IsZero() || a.updated.Before(at) {
			oldest, at = s, a.updated
		}
	}
	delete(b.accounts, oldest)
}
