package ctrl

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// enforceQuotas turns quotas on at all proxies.
func (s *sim) enforceQuotas() {
	for _, p := range s.proxies {
		self := p.cells.Self.Load()
		self.EnforceQuotas = true
		p.cells.Self.Set(self)
	}
}

// advanceWithQuotas runs the simulation and checks in each step that all owners together
// fill their buckets at no more than the full rate.
func (s *sim) advanceWithQuotas(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(simStep)
		total := 0.0
		for _, p := range s.proxies {
			total += p.cells.TokenSource.Load().Share
		}
		assert.Assert(s.t, total <= 1.001, "shares add up to %.3f", total)
	}
}

// owners lists the hosts that own the buckets, with the sum of their shares.
func (s *sim) owners() (hosts []mesh.HostID, share float64) {
	for _, p := range s.proxies {
		if source := p.cells.TokenSource.Load(); source.Owner {
			hosts, share = append(hosts, p.host), share+source.Share
		}
	}
	return hosts, share
}

// freeze stops a process and closes its links, as the others do once it is silent.
func (s *sim) freeze(p *simProxy) {
	s.proxies = slices.DeleteFunc(s.proxies, func(o *simProxy) bool { return o == p })
	for _, l := range slices.Clone(s.links) {
		if l.dialer == p || l.acceptor == p {
			s.closeLink(l)
		}
	}
}

// TestOneOwnerCountsEachProxy guards against two owners that both count a proxy, a mesh
// without an owner, and proxies that stay at an owner that others have left.
func TestOneOwnerCountsEachProxy(t *testing.T) {
	nothing := func(*sim, *simProxy) {}
	tests := []struct {
		name      string
		proxies   int
		fail      func(s *sim, owner *simProxy)
		recover   func(s *sim, owner *simProxy)
		sameOwner bool
	}{
		{name: "no failure", proxies: 12, fail: nothing, recover: nothing, sameOwner: true},
		{name: "several levels", proxies: largeFleet, fail: nothing, recover: nothing, sameOwner: true},
		{name: "killed", proxies: 12, fail: (*sim).kill, recover: nothing},
		{name: "killed and started again", proxies: 12, fail: (*sim).kill, sameOwner: true, recover: func(s *sim, owner *simProxy) {
			s.start(owner.host, true)
			s.enforceQuotas()
		}},
		{name: "frozen", proxies: 12, fail: (*sim).freeze, sameOwner: true, recover: func(s *sim, owner *simProxy) {
			s.proxies = append(s.proxies, owner)
		}},
		{name: "store unavailable", proxies: 12, sameOwner: true, fail: func(s *sim, _ *simProxy) { s.platformDown = true }, recover: nothing},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, tt.proxies)
			s.enforceQuotas()
			s.advanceWithQuotas(12 * time.Second)
			before, share := s.owners()
			assert.Equal(t, len(before), 1, "%v", before)
			assert.Assert(t, share > 0.999, "%.3f", share)
			owner := s.proxies[slices.IndexFunc(s.proxies, func(p *simProxy) bool { return p.host == before[0] })]
			tt.fail(s, owner)
			s.advanceWithQuotas(4 * time.Second)
			during, share := s.owners()
			assert.Equal(t, len(during), 1, "%v", during)
			assert.Assert(t, share >= float64(tt.proxies-1)/float64(tt.proxies)-0.001, "%.3f", share)
			tt.recover(s, owner)
			s.advanceWithQuotas(10 * time.Second)
			after, share := s.owners()
			assert.Equal(t, len(after), 1, "%v", after)
			assert.Assert(t, share >= float64(tt.proxies-1)/float64(tt.proxies)-0.001, "%.3f", share)
			assert.Equal(t, after[0] == before[0], tt.sameOwner)
		})
	}
}

// TestQuotasOffNeedNoLinks guards the meshes without quotas, in which roots have no links to
// each other.
func TestQuotasOffNeedNoLinks(t *testing.T) {
	s := newSim(t, 5)
	s.advance(10 * time.Second)
	for _, p := range s.proxies {
		assert.Equal(t, p.cells.TokenSource.Load(), cells.TokenSource{})
	}
	tree := s.proxies[0].cells.Tree.Load()
	for _, l := range s.links {
		assert.Assert(t, !tree.IsRoot(l.dialer.host))
	}
}

// TestShareHoldsWhileTheTreeGetsALevel guards against requests that are refused below their
// quota because nodes change their parents, and are counted by nobody for a while, although
// the owner stays the same.
func TestShareHoldsWhileTheTreeGetsALevel(t *testing.T) {
	const before, added = 94, 8
	s := newSim(t, before)
	s.enforceQuotas()
	s.advanceWithQuotas(12 * time.Second)
	for i := range added {
		s.start(mesh.HostID(fmt.Sprintf("new%02d", i)), false)
	}
	s.enforceQuotas()
	lowest := 1.0
	for range 200 {
		s.advanceWithQuotas(50 * time.Millisecond)
		_, share := s.owners()
		lowest = min(lowest, share)
	}
	deepest := 0
	for _, p := range s.proxies {
		deepest = max(deepest, p.cells.Tree.Load().Depth(p.host, p.cells.Self.Load().Place))
	}
	assert.Assert(t, deepest > 1, "the tree has %d levels", deepest)
	// New nodes are counted a second after their start.
	assert.Assert(t, lowest > 0.85, "%.3f", lowest)
}
