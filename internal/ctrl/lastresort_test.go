package ctrl

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

const (
	// recoverTime is the time after a failure of all processes within which requests are
	// answered again.
	recoverTime = 15 * time.Second
	// copyAge is the age of the copy from which the store is restored.
	copyAge = 3500 * time.Millisecond
	// lostTime is the time without reports after which an upstream of the simulation is lost.
	lostTime = maxMissedReports * time.Second
	// endedTime is the time after which a release counts as absent whose machines ended
	// without a word.
	endedTime = dialAfter + deadAfter + shift.AbsenceTime
	// firstNewHost is the first host with an upstream of the new release.
	firstNewHost = "n04"
)

// newSplitSim returns a simulation of eight hosts. The first four have an upstream of v1,
// the others one of v2.
func newSplitSim(t *testing.T, failing float64) *rolloutSim {
	s := newRolloutSim(t, 0, failing)
	for _, host := range []mesh.HostID{"n00", "n01", "n02", "n03", "n04", "n05", "n06", "n07"} {
		s.start(host, host < firstNewHost)
	}
	s.advance(4 * time.Second)
	s.reportAt("v1", 0, s.old()...)
	s.reportAt("v2", 0, s.new()...)
	s.run(time.Second)
	return s
}

func (s *rolloutSim) old() []*simProxy {
	return slices.DeleteFunc(slices.Clone(s.proxies), func(p *simProxy) bool { return p.host >= firstNewHost })
}

func (s *rolloutSim) new() []*simProxy {
	return slices.DeleteFunc(slices.Clone(s.proxies), func(p *simProxy) bool { return p.host < firstNewHost })
}

// restartAll replaces the processes of all hosts that are left.
func (s *rolloutSim) restartAll() {
	processes := slices.Clone(s.proxies)
	for _, p := range processes {
		s.kill(p)
	}
	for _, p := range processes {
		s.start(p.host, p.host < firstNewHost)
	}
}

// restore restores the store from a copy while all processes are started again.
func (s *rolloutSim) restore(copied simCopy) {
	processes := slices.Clone(s.proxies)
	for _, p := range processes {
		s.kill(p)
	}
	s.restoreStore(copied)
	for _, p := range processes {
		s.start(p.host, p.host < firstNewHost)
	}
}

// removeOld ends the machines with upstreams of v1, which cannot tell that any more.
func (s *rolloutSim) removeOld() {
	for _, p := range s.old() {
		s.kill(p)
	}
}

// checkReleases runs the simulation and checks that each proxy that serves has candidates
// of the release alone.
func (s *rolloutSim) checkReleases(d time.Duration, want mesh.Release) {
	s.t.Helper()
	for ; d > 0; d -= 500 * time.Millisecond {
		s.run(500 * time.Millisecond)
		assert.DeepEqual(s.t, s.releases(), []mesh.Release{want})
	}
}

// runUntil runs the simulation until the status has the phase, and returns a copy of the
// store from copyAge before.
func (s *rolloutSim) runUntil(phase shift.Phase) simCopy {
	s.t.Helper()
	copies := []simCopy{s.copyStore()}
	for range 40 {
		s.run(500 * time.Millisecond)
		if s.status().Phase == phase {
			return copies[max(0, len(copies)-int(copyAge/(500*time.Millisecond)))]
		}
		copies = append(copies, s.copyStore())
	}
	s.t.Fatalf("the order is %s", s.status().Phase)
	return simCopy{}
}

// TestCompletedReleaseServesAfterRestoredStore guards against a service without upstreams,
// and a rollback, after the store lost the end of an order and the old upstreams are gone.
func TestCompletedReleaseServesAfterRestoredStore(t *testing.T) {
	tests := []struct {
		name string
		// quiet is true if no request comes between the restart and the time limit.
		quiet bool
		fail  func(s *rolloutSim, copied simCopy)
	}{
		{name: "store restored, all processes restarted", fail: (*rolloutSim).restore},
		{name: "store restored, all processes restarted, no requests", quiet: true, fail: (*rolloutSim).restore},
		{name: "store restored", fail: func(s *rolloutSim, copied simCopy) { s.restoreStore(copied) }},
		{name: "all processes restarted", fail: func(s *rolloutSim, _ simCopy) { s.restartAll() }},
		{name: "all processes restarted, store restored later", fail: func(s *rolloutSim, copied simCopy) {
			s.restartAll()
			s.run(2 * time.Second)
			s.restoreStore(copied)
		}},
		{name: "store restored, all processes restarted later", fail: func(s *rolloutSim, copied simCopy) {
			s.restoreStore(copied)
			s.run(500 * time.Millisecond)
			s.restartAll()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSplitSim(t, 0)
			s.order("v2", shift.Status{})
			copied := s.runUntil(shift.Completed)
			s.removeOld()
			s.run(time.Second)
			s.quiet = tt.quiet
			tt.fail(s, copied)
			for range recoverTime / (500 * time.Millisecond) {
				s.run(500 * time.Millisecond)
				assert.Assert(t, s.status().Phase != shift.RolledBack, "%+v", s.status())
				s.quiet = s.quiet && s.logs["rolloutLastResort"] == 0
			}
			s.served, s.unserved = 0, 0
			s.checkReleases(10*time.Second, "v2")
			assert.Assert(t, s.unserved == 0, "%d of %d requests without an upstream", s.unserved, s.unserved+s.served)
			assert.Equal(t, s.status().Phase, shift.Completed)
		})
	}
}

// TestLastReleaseServes guards against a service with ready upstreams none of which gets
// requests, because an order keeps requests from all of them.
func TestLastReleaseServes(t *testing.T) {
	tests := []struct {
		name   string
		status shift.Status
		// within is the time within which v2 serves after the end of v1.
		within time.Duration
		end    func(s *rolloutSim)
		want   shift.Phase
	}{
		{name: "old upstreams leave during the trial", within: shift.AbsenceTime + time.Second, want: shift.Completed, end: func(s *rolloutSim) {
			for _, p := range s.old() {
				s.reported = map[mesh.HostID]member.State{}
				s.deregister(p)
			}
		}},
		{name: "old upstreams are lost during the trial", within: lostTime + shift.AbsenceTime + time.Second, want: shift.Completed, end: func(s *rolloutSim) {
			s.silent = "v1"
		}},
		{name: "old machines end during the trial", within: endedTime, want: shift.Completed, end: (*rolloutSim).removeOld},
		{
			name: "old machines end after a rollback", within: endedTime, want: shift.RolledBack,
			status: shift.Status{Phase: shift.RolledBack, Target: "v2", Term: 7, Since: 3, Excluded: []mesh.Release{"v2"}}, end: (*rolloutSim).removeOld,
		},
		{
			name: "old machines end after another order", within: endedTime, want: shift.Completed,
			status: shift.Status{Phase: shift.Completed, Target: "v3", Term: 7, Since: 3, Excluded: []mesh.Release{"v1", "v2"}}, end: (*rolloutSim).removeOld,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSplitSim(t, 0)
			s.order("v2", tt.status)
			s.run(2 * time.Second)
			tt.end(s)
			s.run(tt.within)
			s.checkReleases(5*time.Second, "v2")
			assert.Equal(t, s.status().Phase, tt.want, "%+v", s.status())
		})
	}
}

// TestOrderForRunningReleaseKeepsItServing guards against a service without upstreams from
// the moment on at which it is ordered to move to the release that all of them have.
func TestOrderForRunningReleaseKeepsItServing(t *testing.T) {
	s := newRolloutSim(t, 4, 0)
	s.run(6 * time.Second)
	s.order("v1", shift.Status{})
	for range 1400 {
		s.advance(simStep)
		for _, p := range s.proxies {
			assert.Assert(t, len(p.cells.Snapshot.Load().CandidateSets["orders"].Candidates()) > 0, "%s at %s", p.host, s.now)
		}
		if s.now.UnixMilli()%500 == 0 {
			s.renew()
		}
	}
	assert.Equal(t, s.status().Phase, shift.Completed, "%+v", s.status())
}

// TestBadReleaseDoesNotServeWhileOldRuns guards against requests to a bad release outside of
// its trial, and a lost rollback, while upstreams of the old release run.
func TestBadReleaseDoesNotServeWhileOldRuns(t *testing.T) {
	tests := []struct {
		name string
		fail func(s *rolloutSim)
	}{
		{name: "all processes restarted", fail: (*rolloutSim).restartAll},
		{name: "store restored", fail: func(s *rolloutSim) { s.restoreStore(s.copyStore()) }},
		{name: "store restored, all processes restarted", fail: func(s *rolloutSim) { s.restore(s.copyStore()) }},
		{name: "old upstreams silent for a while", fail: func(s *rolloutSim) {
			s.silent = "v1"
			s.run(7 * time.Second)
			s.silent = ""
		}},
		{name: "platform away for 6 s", fail: func(s *rolloutSim) {
			s.platformDown = true
			s.run(6 * time.Second)
			s.platformDown = false
		}},
		{name: "processes beside the old upstreams stopped for 4 s", fail: func(s *rolloutSim) {
			old := s.old()
			s.removeOld()
			s.run(4 * time.Second)
			for _, p := range old {
				s.start(p.host, true)
			}
		}},
	}
	for _, tt := range tests {
		for _, ended := range []bool{false, true} {
			name := tt.name + ", trial"
			status := shift.Status{}
			if ended {
				name = tt.name + ", rolled back"
				status = shift.Status{Phase: shift.RolledBack, Target: "v2", Term: 7, Since: 3, Excluded: []mesh.Release{"v2"}}
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s := newSplitSim(t, 0.5)
				s.order("v2", status)
				s.run(3 * time.Second)
				s.onStep = func() {
					for _, r := range s.releases() {
						assert.Equal(t, r, mesh.Release("v1"))
					}
				}
				tt.fail(s)
				s.run(14 * time.Second)
				assert.Equal(t, s.status().Phase, shift.RolledBack, "%+v", s.status())
				assert.DeepEqual(t, s.releases(), []mesh.Release{"v1"})
				assert.Assert(t, s.sent["v2"]*10 <= s.sent["v1"], "%v", s.sent)
			})
		}
	}
}

// TestOldReleaseTakesOverFromLastResort guards against a bad release that keeps the requests
// which it got as the last one, once upstreams of the old release run again.
func TestOldReleaseTakesOverFromLastResort(t *testing.T) {
	s := newSplitSim(t, 0.5)
	s.order("v2", shift.Status{Phase: shift.RolledBack, Target: "v2", Term: 7, Since: 3, Excluded: []mesh.Release{"v2"}})
	s.run(2 * time.Second)
	s.silent = "v1"
	s.run(11 * time.Second)
	assert.DeepEqual(t, s.releases(), []mesh.Release{"v2"})
	s.silent = ""
	s.run(time.Second)
	assert.DeepEqual(t, s.releases(), []mesh.Release{"v1"})
	assert.Equal(t, s.status().Phase, shift.RolledBack)
	assert.Assert(t, s.logs["rolloutLastResort"] > 0)
	for _, p := range s.proxies {
		assert.Equal(t, p.cells.Phase.Load(), cells.Serving)
	}
}
