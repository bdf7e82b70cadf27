package intake_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/intake"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// TestOneAccountLeavesPlacesForOthers guards against an account that holds the memory of a
// proxy with requests that wait, and against accounts that are refused altogether because
// of anonymous requests.
func TestOneAccountLeavesPlacesForOthers(t *testing.T) {
	const limit = 60
	tests := []struct {
		name     string
		accounts []mesh.Account
		// want is the number of requests of each account that are admitted of 100, in the
		// order in which they arrive.
		want []int
	}{
		{name: "anonymous requests are never refused", accounts: []mesh.Account{""}, want: []int{100}},
		{name: "one account", accounts: []mesh.Account{"a"}, want: []int{30}},
		{name: "one after the other", accounts: []mesh.Account{"a", "b", "c"}, want: []int{30, 15, 8}},
		{name: "accounts after anonymous requests", accounts: []mesh.Account{"", "a", "b"}, want: []int{100, 4, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := intake.Limiter{Limit: limit}
			var ends []func()
			for i, account := range tt.accounts {
				got := 0
				for range 100 {
					if end, admitted := l.Begin(account); admitted {
						ends = append(ends, end)
						got++
					}
				}
				assert.Equal(t, got, tt.want[i], "account %q", account)
			}
			for _, end := range ends {
				end()
				end()
			}
			refused := l.Stats().Refused
			assert.DeepEqual(t, l.Stats(), intake.Stats{Refused: refused})
		})
	}
}

func BenchmarkBegin(b *testing.B) {
	var l intake.Limiter
	b.ReportAllocs()
	for b.Loop() {
		end, _ := l.Begin("account-1")
		end()
	}
}
