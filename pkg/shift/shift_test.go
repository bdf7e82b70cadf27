package shift_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/shift"
)

// The limits of the requirements.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
	seedCount     = 4
	// usualSpread is the time over which the new upstreams start.
	usualSpread = 5 * time.Second
)

// checkBad asserts the limits on a bad version.
func checkBad(t *testing.T, s *simulation) {
	t.Helper()
	assert.Assert(t, float64(s.exposed) <= exposureShare*float64(s.requests)+exposureSlack, "%d of %d requests went to the bad version", s.exposed, s.requests)
	if !s.fiftiethBadAt.IsZero() {
		assert.Assert(t, s.lastSent.Sub(s.fiftiethBadAt) <= rollbackTime, "last request %s after the 50th bad response", s.lastSent.Sub(s.fiftiethBadAt))
	}
}

// TestVersionsAreJudged guards against bad versions that are completed or get too many
// requests, and against good ones that are rolled back or completed too late.
func TestVersionsAreJudged(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
		// spread is the time over which the new upstreams start; zero means usualSpread.
		spread time.Duration
	}{
		{name: "good"},
		{name: "good, slow to start", spread: 8 * time.Second},
		{name: "fails from the start", fault: fault{fails: true}},
		{name: "fails after 3 s", fault: fault{fails: true, after: 3 * time.Second}},
		{name: "fails after 6 s", fault: fault{fails: true, after: 6 * time.Second}},
		{name: "fails under load", fault: fault{fails: true, underLoad: true}},
		{name: "fails on one route", fault: fault{fails: true, oneRoute: true}},
		{name: "slow from the start", fault: fault{slow: true}},
		{name: "slow after 3 s", fault: fault{slow: true, after: 3 * time.Second}},
		{name: "slow after 6 s", fault: fault{slow: true, after: 6 * time.Second}},
		{name: "slow under load", fault: fault{slow: true, underLoad: true}},
		{name: "slow on one route", fault: fault{slow: true, oneRoute: true}},
	}
	t.Logf("%-22s %4s %-12s %9s %9s %9s %9s", "version", "D", "end", "exposed%", "max.bad", "50th+s", "end s")
	for _, tt := range tests {
		for _, duration := range []time.Duration{12 * time.Second, 20 * time.Second} {
			var share, after, end float64
			bad := 0
			phase := shift.RolledBack
			if tt.fault == (fault{}) {
				phase = shift.Completed
			}
			for seed := range uint64(seedCount) {
				s := newSimulation(seed, duration, cmp.Or(tt.spread, usualSpread), tt.fault)
				s.run(duration + 3*time.Second)
				assert.DeepEqual(t, s.finals, []shift.Phase{phase})
				assert.Assert(t, s.finalAt < duration, "%s ended after %s", tt.name, s.finalAt)
				if phase == shift.RolledBack {
					checkBad(t, s)
				}
				share, end, bad = max(share, float64(s.exposed)/float64(s.requests)), max(end, s.finalAt.Seconds()), max(bad, s.badResponses)
				if !s.fiftiethBadAt.IsZero() {
					after = max(after, s.lastSent.Sub(s.fiftiethBadAt).Seconds())
				}
			}
			t.Logf("%-22s %4.0f %-12s %9.2f %9d %9.2f %9.2f", tt.name, duration.Seconds(), phase, 100*share, bad, after, end)
		}
	}
}

// TestFailuresDoNotMisleadTheOrder guards against a second final state, a lost verdict,
// and requests to a bad version after a failure of one part.
func TestFailuresDoNotMisleadTheOrder(t *testing.T) {
	failing := fault{fails: true, after: 5 * time.Second}
	tests := []struct {
		name  string
		fault fault
		// prepare schedules the failure.
		prepare func(s *simulation)
		want    shift.Phase
		// within is the time after the order within which it has ended; zero means
		// its duration.
		within time.Duration
	}{
		{name: "controller dies between verdict and write", fault: failing, want: shift.RolledBack, prepare: func(s *simulation) {
			s.onWrite = func(_ *simulation, r *root, next shift.Status) {
				r.dead = r.dead || next.Phase.Final() && r == s.roots[0]
			}
		}},
		{name: "controller dies before completion", want: shift.Completed, prepare: func(s *simulation) {
			s.onWrite = func(_ *simulation, r *root, next shift.Status) {
				r.dead = r.dead || next.Phase.Final() && r == s.roots[0]
			}
		}},
		{name: "store unavailable at the limit, bad", fault: failing, want: shift.RolledBack, prepare: outage(4*time.Second, 14*time.Second), within: 15 * time.Second},
		{name: "store unavailable at the limit, good", want: shift.Completed, prepare: outage(7*time.Second, 14*time.Second), within: 15 * time.Second},
		{name: "two controllers, bad", fault: failing, want: shift.RolledBack, prepare: twoControllers},
		{name: "two controllers, good", want: shift.Completed, prepare: twoControllers},
		{name: "zone cut off, bad", fault: failing, want: shift.RolledBack, prepare: cutZone},
		{name: "zone cut off, good", want: shift.Completed, prepare: cutZone},
		{name: "restart of all proxies, bad", fault: failing, want: shift.RolledBack, prepare: restartAll},
		{name: "restart of all proxies, good", want: shift.Completed, prepare: restartAll},
		{name: "final status lost by the store", fault: fault{fails: true}, want: shift.RolledBack, prepare: loseFinal},
	}
	t.Logf("%-42s %-12s %9s %9s %9s", "failure", "end", "exposed%", "50th+s", "end s")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var share, after, end float64
			for seed := range uint64(seedCount) {
				s := newSimulation(seed, 12*time.Second, usualSpread, tt.fault)
				tt.prepare(s)
				s.run(18 * time.Second)
				assert.Assert(t, len(s.finals) > 0, "seed %d", seed)
				for _, f := range s.finals {
					assert.Equal(t, f, tt.want)
				}
				if tt.within == 0 {
					tt.within = s.duration
				}
				assert.Assert(t, s.finalAt <= tt.within, "ended after %s", s.finalAt)
				if tt.want == shift.RolledBack {
					checkBad(t, s)
				}
				share, end = max(share, float64(s.exposed)/float64(s.requests)), max(end, s.finalAt.Seconds())
				if !s.fiftiethBadAt.IsZero() {
					after = max(after, s.lastSent.Sub(s.fiftiethBadAt).Seconds())
				}
				assert.Assert(t, float64(s.cutExposed) <= exposureShare*float64(s.cutRequests)+exposureSlack, "the zone sent %d of %d", s.cutExposed, s.cutRequests)
			}
			t.Logf("%-42s %-12s %9.2f %9.2f %9.2f", tt.name, tt.want, 100*share, after, end)
		})
	}
}

func outage(from, until time.Duration) func(s *simulation) {
	return func(s *simulation) {
		s.after(from, func() { s.storeDown = true })
		s.after(until, func() {
			s.storeDown = false
			s.notify()
		})
	}
}

// twoControllers makes both roots believe that they come first.
func twoControllers(s *simulation) {
	s.roots[1].director.Rank = 0
}

// cutZone cuts a quarter of the proxies off until the end.
func cutZone(s *simulation) {
	s.after(6*time.Second, func() {
		for _, p := range s.proxies[:proxyCount/4] {
			p.cut = true
		}
	})
}

func restartAll(s *simulation) {
	s.after(6*time.Second, func() {
		s.restart()
		s.notify()
	})
}

// loseFinal restores an older copy of the status after the end of the order.
func loseFinal(s *simulation) {
	older := shift.Status{}
	s.after(4*time.Second, func() { older = s.object.Status })
	s.after(10*time.Second, func() {
		s.object.Revision++
		s.object.Status = older
		s.notify()
	})
}

// TestChangedAndWithdrawnOrders guards against requests to a release whose order is gone.
func TestChangedAndWithdrawnOrders(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *simulation)
	}{
		{name: "withdrawn", change: func(s *simulation) { s.deleted = true }},
		{name: "changed to another release", change: func(s *simulation) {
			s.object.Order.Target = "v3"
			s.object.Revision++
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(1, 12*time.Second, usualSpread, fault{})
			s.after(6*time.Second, func() {
				tt.change(s)
				s.notify()
			})
			s.run(10 * time.Second)
			assert.Assert(t, s.exposed > 0)
			assert.Assert(t, s.lastSent.Sub(s.start) < 6500*time.Millisecond, "last request after %s", s.lastSent.Sub(s.start))
			view, _ := s.proxies[0].agent.View(service)
			assert.Equal(t, view.RoleOf("v2"), shift.Barred, fmt.Sprint(view))
		})
	}
}

// TestPartlySlowVersionsAreJudged guards against a version that is completed although a part of
// its requests take several times as long, with and without a restart of all proxies during
// the trial, after which the quick responses are known first.
func TestPartlySlowVersionsAreJudged(t *testing.T) {
	tests := []struct {
		name      string
		duration  time.Duration
		share     float64
		restartAt time.Duration
	}{
		{name: "more than half", duration: 16 * time.Second, share: 0.58},
		{name: "more than half, restart", duration: 16 * time.Second, share: 0.58, restartAt: 6 * time.Second},
		{name: "a third", duration: 12 * time.Second, share: 0.3},
		{name: "a third, long trial", duration: 16 * time.Second, share: 0.3},
		{name: "a third, restart", duration: 16 * time.Second, share: 0.3, restartAt: 6 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(seedCount) {
				s := newSimulation(seed, tt.duration, usualSpread, fault{slow: true, share: tt.share})
				if tt.restartAt > 0 {
					s.after(tt.restartAt, func() {
						s.restart()
						s.storeDown = true
					})
					s.after(tt.restartAt+time.Second, func() {
						s.storeDown = false
						s.notify()
					})
				}
				s.run(tt.duration + 3*time.Second)
				assert.Check(t, len(s.finals) == 1 && s.finals[0] == shift.RolledBack, "seed %d ended as %v", seed, s.finals)
				checkBad(t, s)
			}
		})
	}
}
