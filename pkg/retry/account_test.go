package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/retry"
)

// TestOneAccountLeavesRetriesForOthers guards against an account whose requests all fail
// and that takes the whole budget, and against a budget that grows by being shared.
func TestOneAccountLeavesRetriesForOthers(t *testing.T) {
	const allowed = 32 // (0.2 * 200 requests) * 80%
	tests := []struct {
		name     string
		accounts []mesh.Account
		// want is the number of retries that each account gets, in the order in which they
		// use up what they can.
		want []int
	}{
		{name: "anonymous", accounts: []mesh.Account{""}, want: []int{allowed}},
		{name: "one account", accounts: []mesh.Account{"a"}, want: []int{allowed / 2}},
		{name: "two accounts", accounts: []mesh.Account{"a", "b"}, want: []int{allowed / 2, allowed / 4}},
		{name: "an account and anonymous requests", accounts: []mesh.Account{"a", ""}, want: []int{allowed / 2, allowed / 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b retry.SharedBudget
			b.Configure(retry.SharedLimit{Window: 10 * time.Second, Ratio: 0.2})
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			for range 200 {
				b.RecordRequest(now, "orders")
			}
			for i, account := range tt.accounts {
				got := 0
				for range 2 * allowed {
					if b.TryWithdrawFor(now, "orders", account, 1) {
						got++
					}
				}
				assert.Equal(t, got, tt.want[i], "account %q", account)
			}
		})
	}
}
