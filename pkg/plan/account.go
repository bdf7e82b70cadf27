package plan

import (
	"fmt"
	"math"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Account is a client account. Its keys identify the requests that callers send for it.
type Account struct {
	// Name is unique in a version; never empty.
	Name mesh.Account
	// Keys are the keys of the account. A key belongs to at most one account.
	Keys []string
	// Priority orders the accounts by urgency; 0 is the most urgent.
	Priority int
	// Rate is the number of requests per second that all nodes together may run for the
	// account; zero means no limit.
	Rate float64
	// Burst is the number of requests that may run at once after a pause.
	Burst float64
}

// accounts holds the accounts of a version. The zero accounts is that of a version that says
// nothing of accounts.
type accounts struct {
	// listed is true if the version lists its accounts, though there may be none.
	listed bool
	byName map[mesh.Account]*Account
	byKey  map[string]*Account
	// lowest and highest are the least and the largest Priority of all accounts.
	lowest, highest int
}

// newAccounts checks the accounts. Errors name accounts and contain no keys.
func newAccounts(list []*Account) (a accounts, err error) {
	a = accounts{listed: true, byName: make(map[mesh.Account]*Account, len(list)), byKey: make(map[string]*Account, len(list)), lowest: math.MaxInt}
	for _, account := range list {
		if err = a.add(account); err != nil {
			return accounts{}, fmt.Errorf("account %q: %w", account.Name, err)
		}
	}
	return a, nil
}

func (a *accounts) add(account *Account) error {
	switch {
	case account.Name == "":
		return fmt.Errorf("name is missing")
	case a.byName[account.Name] != nil:
		return fmt.Errorf("name is used by two accounts")
	case account.Priority < 0:
		return fmt.Errorf("priority %d must not be below zero", account.Priority)
	case !isLimit(account.Rate) || !isLimit(account.Burst):
		return fmt.Errorf("rate %g and burst %g must be numbers that are not below zero", account.Rate, account.Burst)
	}
	for i, key := range account.Keys {
		if key == "" {
			return fmt.Errorf("key %d is empty", i+1)
		}
		if other := a.byKey[key]; other != nil && other != account {
			return fmt.Errorf("key %d is also a key of account %q", i+1, other.Name)
		}
		a.byKey[key] = account
	}
	a.byName[account.Name] = account
	a.lowest, a.highest = min(a.lowest, account.Priority), max(a.highest, account.Priority)
	return nil
}

func isLimit(n float64) bool {
	return n >= 0 && !math.IsInf(n, 1)
}

// IdentifiesCallers reports whether requests are identified by keys. It is true for a version
// whose list of accounts is empty: all keys were taken away then.
func (p *Plan) IdentifiesCallers() bool {
	return p != nil && p.accounts.listed
}

// Account returns the account of that name, or nil if there is none.
func (p *Plan) Account(name mesh.Account) *Account {
	if p == nil {
		return nil
	}
	return p.accounts.byName[name]
}

// AccountOfKey returns the account that a key belongs to, or nil if the key is unknown.
func (p *Plan) AccountOfKey(key string) *Account {
	if p == nil {
		return nil
	}
	return p.accounts.byKey[key]
}

// Priority returns the priority of a request of the rule for an account; nil means an
// anonymous request. The priority of the account takes precedence over the rank of the
// rule: if the version has accounts of several priorities, those of the most urgent one
// go before all other requests.
func (p *Plan) Priority(rule *Rule, account *Account) mesh.Priority {
	highest := mesh.Urgent
	if p != nil && p.accounts.lowest < p.accounts.highest {
		if account != nil && account.Priority == p.accounts.lowest {
			return mesh.Urgent
		}
		highest = mesh.High
	}
	return mesh.Priority(max(0, int(highest)-rule.Rank))
}
