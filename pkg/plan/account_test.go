package plan_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

// TestNewRejectsWholeVersionForOneInvalidAccount guards against a version that is applied
// in part, and against keys in errors, which are logged.
func TestNewRejectsWholeVersionForOneInvalidAccount(t *testing.T) {
	const secret = "secret-key"
	tests := []struct {
		name    string
		account plan.Account
		want    string
	}{
		{name: "valid", account: plan.Account{Name: "b", Keys: []string{"other"}, Rate: 5, Burst: 5}},
		{name: "no keys", account: plan.Account{Name: "b"}},
		{name: "same key twice", account: plan.Account{Name: "b", Keys: []string{"other", "other"}}},
		{name: "no name", account: plan.Account{Keys: []string{"other"}}, want: "name is missing"},
		{name: "name used twice", account: plan.Account{Name: "a"}, want: "two accounts"},
		{name: "empty key", account: plan.Account{Name: "b", Keys: []string{"other", ""}}, want: "key 2 is empty"},
		{name: "key of another account", account: plan.Account{Name: "b", Keys: []string{secret}}, want: `key 1 is also a key of account "a"`},
		{name: "rate below zero", account: plan.Account{Name: "b", Rate: -1}, want: "rate -1"},
		{name: "burst below zero", account: plan.Account{Name: "b", Burst: -1}, want: "burst -1"},
		{name: "rate that is not a number", account: plan.Account{Name: "b", Rate: math.NaN()}, want: "rate NaN"},
		{name: "infinite rate", account: plan.Account{Name: "b", Rate: math.Inf(1)}, want: "rate +Inf"},
		{name: "priority below zero", account: plan.Account{Name: "b", Priority: -1}, want: "priority -1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			built, err := plan.New(1, plan.Limits{}, knownServices, []*plan.Rule{validRule("r", "a", "/r/")},
				&plan.Account{Name: "a", Keys: []string{secret}}, &tt.account)
			if tt.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, built.AccountOfKey(secret).Name, mesh.Account("a"))
				return
			}
			assert.ErrorContains(t, err, tt.want)
			assert.Assert(t, !strings.Contains(err.Error(), secret))
			assert.Assert(t, built == nil)
		})
	}
}

func TestPriorityOfAccountTakesPrecedence(t *testing.T) {
	tests := []struct {
		name string
		// priorities are those of the accounts of the version.
		priorities []int
		// account is the index of the account of the request; -1 for an anonymous one.
		account int
		rank    int
		want    mesh.Priority
	}{
		{name: "no accounts", account: -1, rank: 1, want: mesh.High},
		{name: "accounts of one priority", priorities: []int{1, 1}, account: 1, rank: 0, want: mesh.Urgent},
		{name: "least urgent rule of the most urgent account", priorities: []int{0, 1}, account: 0, rank: 3, want: mesh.Urgent},
		{name: "most urgent rule of another account", priorities: []int{0, 1}, account: 1, rank: 0, want: mesh.High},
		{name: "least urgent rule of another account", priorities: []int{0, 1}, account: 1, rank: 9, want: mesh.Low},
		{name: "anonymous request", priorities: []int{0, 1}, account: -1, rank: 0, want: mesh.High},
		{name: "priorities need not begin at zero", priorities: []int{3, 7}, account: 0, rank: 2, want: mesh.Urgent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var accounts []*plan.Account
			for i, priority := range tt.priorities {
				accounts = append(accounts, &plan.Account{Name: mesh.Account(rune('a' + i)), Priority: priority})
			}
			built, err := plan.New(1, plan.Limits{}, knownServices, nil, accounts...)
			assert.NilError(t, err)
			var account *plan.Account
			if tt.account >= 0 {
				account = accounts[tt.account]
			}
			assert.Equal(t, built.Priority(&plan.Rule{Rank: tt.rank}, account), tt.want)
		})
	}
}

// BenchmarkAccountOfKey shows that a request costs no more with many keys than with few.
func BenchmarkAccountOfKey(b *testing.B) {
	for _, n := range []int{20, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			accounts := make([]*plan.Account, 0, n/2)
			keys := make([]string, 0, n)
			for i := range n / 2 {
				pair := []string{fmt.Sprintf("key-%018d", 2*i), fmt.Sprintf("key-%018d", 2*i+1)}
				accounts = append(accounts, &plan.Account{Name: mesh.Account(fmt.Sprint("account-", i)), Keys: pair})
				keys = append(keys, pair...)
			}
			built, err := plan.New(1, plan.Limits{}, knownServices, nil, accounts...)
			assert.NilError(b, err)
			i := 0
			for b.Loop() {
				if built.AccountOfKey(keys[i]) == nil {
					b.Fatal("unknown key")
				}
				if i++; i == len(keys) {
					i = 0
				}
			}
		})
	}
}
