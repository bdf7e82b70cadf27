package retry_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/retry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20260101"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	orders = mesh.ServiceID{Customer: "kylvolehti", Service: "orders"}
)

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		attempt retry.Attempt
		want    retry.Reason
	}{
		{name: "a response is final", attempt: retry.Attempt{Outcome: retry.Done, Idempotent: true}, want: retry.Answered},
		{name: "a request that was not run is retried even if not idempotent", attempt: retry.Attempt{Outcome: retry.NotRun}, want: retry.Allowed},
		{name: "an unknown outcome is final unless idempotent", want: retry.MayHaveRun},
		{name: "an unknown outcome is retried if idempotent", attempt: retry.Attempt{Idempotent: true}, want: retry.Allowed},
		{
			name:    "an earlier unknown outcome is final unless idempotent",
			attempt: retry.Attempt{Outcome: retry.NotRun, EarlierMayHaveRun: true}, want: retry.MayHaveRun,
		},
		{
			name:    "the policy limits the attempts",
			attempt: retry.Attempt{Outcome: retry.NotRun, Number: 2, Policy: retry.Policy{MaxAttempts: 2}}, want: retry.Exhausted,
		},
		{
			name:    "another attempt would miss the deadline",
			attempt: retry.Attempt{Outcome: retry.NotRun, Now: start, Deadline: start.Add(time.Second), ExpectedLatency: time.Second},
			want:    retry.PastDeadline,
		},
		{
			name: "the delay for the same host counts against the deadline",
			attempt: retry.Attempt{
				Outcome: retry.NotRun, Now: start, Deadline: start.Add(time.Second), SameHost: true, RetryAfter: time.Second,
			},
			want: retry.PastDeadline,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := retry.Decide(tt.attempt)
			assert.Equal(t, got.Reason, tt.want)
			assert.Equal(t, got.Retry, tt.want == retry.Allowed)
		})
	}
}

// initialRetries is the number of retries that a new budget allows.
const initialRetries = 20

// shouldRetry is a reference implementation of Decide as a single condition.
func shouldRetry(a retry.Attempt, delay time.Duration, budgetLeft bool) bool {
	inTime := a.Deadline.IsZero() || a.Deadline.Sub(a.Now) > delay+a.ExpectedLatency
	safe := a.Idempotent || a.Outcome == retry.NotRun && !a.EarlierMayHaveRun
	return a.Outcome != retry.Done && safe && inTime && budgetLeft && a.Number < a.Policy.MaxAttempts
}

func TestDecideMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			budget  retry.Budget
			seconds = func(name string, most int) time.Duration {
				return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * 100 * time.Millisecond
			}
			used = rapid.IntRange(initialRetries-3, initialRetries+1).Draw(t, "used")
		)
		for range used {
			budget.TryWithdraw(start, orders)
		}
		a := retry.Attempt{
			Now: start, Number: rapid.IntRange(1, 4).Draw(t, "number"), Budget: &budget, Service: orders,
			Outcome: retry.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), ExpectedLatency: seconds("expected", 5),
			EarlierMayHaveRun: rapid.Bool().Draw(t, "earlier"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Unreached: rapid.Bool().Draw(t, "unreached"), SameHost: rapid.Bool().Draw(t, "same"), RetryAfter: seconds("hold", 5),
			Policy: retry.Policy{MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts")},
		}
		if rapid.Bool().Draw(t, "limited") {
			a.Deadline = start.Add(seconds("deadline", 12))
		}
		var delay time.Duration
		if a.SameHost {
			delay = a.RetryAfter + 10*time.Millisecond<<(a.Number-1)
		}
		got := retry.Decide(a)
		if want := shouldRetry(a, delay, used < initialRetries || a.Unreached); got.Retry != want {
			t.Fatalf("Decide(%+v) = %+v, want retry %v", a, got, want)
		}
		if got.Retry && got.Delay != delay {
			t.Fatalf("delay is %s, want %s", got.Delay, delay)
		}
	})
}

func TestBackoffHasFullJitter(t *testing.T) {
	tests := []struct {
		number int
		random float64
		want   time.Duration
	}{
		{number: 1, random: 0, want: 0},
		{number: 1, random: 0.5, want: 5 * time.Millisecond},
		{number: 3, random: 0.5, want: 20 * time.Millisecond},
		{number: 50, random: 0.5, want: 500 * time.Millisecond},
	}
	for _, tt := range tests {
		got := retry.Decide(retry.Attempt{
			Outcome: retry.NotRun, SameHost: true, Number: tt.number, Policy: retry.Policy{MaxAttempts: 100},
			Random: func() float64 { return tt.random },
		})
		assert.Equal(t, got.Delay, tt.want)
	}
}

func TestBudget(t *testing.T) {
	tests := []struct {
		name     string
		requests int
		percent  int
		elapsed  time.Duration
		want     int
	}{
		{name: "new budget", want: initialRetries},
		{name: "10% of the requests by default", requests: 200, want: initialRetries + 20},
		{name: "percentage of the policy", requests: 200, percent: 20, want: initialRetries + 40},
		{name: "credit is capped", requests: 5000, want: 100},
		{name: "one retry per second", elapsed: time.Second, want: initialRetries + 1},
		{name: "elapsed time earns no more than the initial credit", elapsed: time.Hour, want: 2 * initialRetries},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var budget retry.Budget
			for range tt.requests {
				budget.Deposit(start, orders, retry.Policy{BudgetPercent: tt.percent})
			}
			got := 0
			for _, at := range []time.Time{start, start.Add(tt.elapsed)} {
				for budget.TryWithdraw(at, orders) {
					got++
				}
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

// countAttempts returns how many attempts 100,000 requests at 1000/s make
// while every attempt is rejected.
func countAttempts(limited bool) (count int) {
	var budget retry.Budget
	for n := range 100000 {
		now := start.Add(time.Duration(n) * time.Millisecond)
		a := retry.Attempt{Now: now, Outcome: retry.NotRun, Service: orders}
		if limited {
			a.Budget = &budget
			budget.Deposit(now, orders, a.Policy)
		}
		for a.Number = 1; retry.Decide(a).Retry; a.Number++ {
			count++
		}
		count++
	}
	return count
}

func TestBudgetLimitsRetriesInAnOutage(t *testing.T) {
	unlimited, limited := countAttempts(false), countAttempts(true)
	assert.Equal(t, unlimited, 300000)
	assert.Assert(t, limited <= 111000, "%d", limited)
}

func BenchmarkOutage(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("budget=%v", limited), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(float64(countAttempts(limited))/1000, "attempts/100_requests")
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	var budget retry.Budget
	a := retry.Attempt{Now: start, Outcome: retry.NotRun, Number: 1, Budget: &budget, Service: orders}
	b.ReportAllocs()
	for b.Loop() {
		budget.Deposit(start, orders, a.Policy)
		retry.Decide(a)
	}
}
