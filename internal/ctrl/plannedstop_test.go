package ctrl_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// TestPlannedStopRemovesNoOtherUpstream stops each host of a small mesh in turn while a
// quarter of the messages between nodes are slow. The owners of idempotency keys follow
// from the candidates, so a host that loses sight of a running upstream for a moment
// leaves the outcome of keyed calls in doubt.
func TestPlannedStopRemovesNoOtherUpstream(t *testing.T) {
	const (
		hosts       = 6
		firstSeed   = 4
		seeds       = 4
		maxSlowness = 1200 * time.Millisecond
		checkEvery  = 10 * time.Millisecond
		watchFor    = 25 * time.Second
	)
	for i := range hosts {
		for seed := firstSeed; seed < firstSeed+seeds; seed++ {
			t.Run(fmt.Sprintf("host %d, seed %d", i, seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(i), uint64(seed)))
				f := newFleet(t)
				f.extraDelay = func() time.Duration {
					if random.IntN(4) > 0 {
						return 0
					}
					return time.Duration(random.Int64N(int64(maxSlowness)))
				}
				for n, zone := range []mesh.Zone{"a", "a", "b", "b", "b", "a"} {
					h := f.addHost(fmt.Sprintf("%s-%d", zone, n), "ch-west", zone)
					if n < hosts-1 {
						f.announce(h, "notices")
					}
				}
				f.submit(firstEdits()...)
				f.waitUntil(30*time.Second, "first version", f.inForce(1))
				f.waitUntil(time.Minute, "the first agreement", f.allAgree(anyHost))
				f.advance(7*time.Second + time.Duration(seed)*311*time.Millisecond)
				stopped := f.hosts[i]
				running := slices.DeleteFunc(f.expectedCandidates(), func(h mesh.HostID) bool { return h == stopped.Self.Load().Host })
				stopped.LifecycleCommands.Post(cells.Drain)
				f.settle(stopped)
				for range watchFor / checkEvery {
					f.advance(checkEvery)
					if !stopped.down && stopped.Phase.Load() == cells.Stopped {
						f.kill(stopped)
					}
					f.assertKnown(running)
				}
			})
		}
	}
}

// assertKnown checks that every running host may send requests to all of the hosts.
func (f *fleet) assertKnown(hosts []mesh.HostID) {
	f.t.Helper()
	for _, h := range f.hosts {
		if h.down {
			continue
		}
		known := candidates(h)
		for _, want := range hosts {
			assert.Assert(f.t, slices.Contains(known, want), "%s lost sight of %s: %v", h.Self.Load().Host, want, known)
		}
	}
}
