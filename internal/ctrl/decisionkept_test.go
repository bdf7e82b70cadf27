package ctrl

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
)

func (s *rolloutSim) roots() []*simProxy {
	return slices.DeleteFunc(slices.Clone(s.proxies), func(p *simProxy) bool { return !p.cells.Tree.Load().IsRoot(p.host) })
}

// TestEndOfOrderOutlivesRootsAndRestoredStore guards against an order that runs again after
// its end was told to operators, because the store lost the end and the roots that decided it
// are gone.
func TestEndOfOrderOutlivesRootsAndRestoredStore(t *testing.T) {
	tests := []struct {
		name string
		// fail ends processes, before the store is restored.
		fail func(s *rolloutSim)
	}{
		{name: "roots live", fail: func(*rolloutSim) {}},
		{name: "roots end", fail: func(s *rolloutSim) {
			for _, p := range s.roots() {
				s.kill(p)
			}
		}},
		{name: "roots restarted", fail: func(s *rolloutSim) {
			for _, p := range s.roots() {
				s.kill(p)
				s.start(p.host, p.host < firstNewHost)
			}
		}},
		{name: "all but one restarted", fail: func(s *rolloutSim) {
			for _, p := range slices.Clone(s.proxies) {
				if p.host != "n07" {
					s.kill(p)
					s.start(p.host, p.host < firstNewHost)
				}
			}
		}},
	}
	for _, tt := range tests {
		for _, end := range []shift.Phase{shift.Completed, shift.RolledBack} {
			t.Run(tt.name+", "+end.String(), func(t *testing.T) {
				t.Parallel()
				failing, want := 0.0, mesh.Release("v2")
				if end == shift.RolledBack {
					failing, want = 0.5, "v1"
				}
				s := newSplitSim(t, failing)
				s.order("v2", shift.Status{})
				copied := s.runUntil(end)
				s.run(time.Second)
				tt.fail(s)
				s.restoreStore(copied)
				clear(s.sent)
				s.run(5 * time.Second)
				assert.Equal(t, s.status().Phase, end, "%+v", s.status())
				s.checkReleases(15*time.Second, want)
				assert.Equal(t, s.status().Phase, end)
				if end == shift.RolledBack {
					assert.Assert(t, s.sent["v2"]*10 <= s.sent["v1"], "%v", s.sent)
				}
			})
		}
	}
}
