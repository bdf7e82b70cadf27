package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// changeDeadline is the users' target for the time until a change is in force on
// every host.
const changeDeadline = 5 * time.Second

func firstEdits() []tree.Edit {
	west, east := tree.Join("trauerhaus", "ch-west", "notices"), tree.Join("trauerhaus", "ch-east", "notices")
	return []tree.Edit{
		{Path: west, Key: "routes.pages.path", Value: "/notices"},
		{Path: east, Key: "routes.pages.path", Value: "/notices"},
	}
}

func timeoutEdit(value string) tree.Edit {
	return tree.Edit{Path: "trauerhaus", Key: "timeout", Value: value}
}

// newSmallFleet starts three hosts in each of four zones in two regions and waits
// until the first version is in force.
func newSmallFleet(t *testing.T) *fleet {
	f := newFleet(t)
	zones := []mesh.Place{
		{Region: "ch-west", Zone: "lsn-a"},
		{Region: "ch-west", Zone: "gva-b"},
		{Region: "ch-east", Zone: "zrh-a"},
		{Region: "ch-east", Zone: "sgl-b"},
	}
	for _, z := range zones {
		for i := range 3 {
			h := f.addHost(fmt.Sprintf("%s-%d", z.Zone, i), z.Region, z.Zone)
			f.announce(h, "notices")
		}
	}
	f.submit(firstEdits()...)
	f.waitUntil(30*time.Second, "first version", f.inForce(1))
	return f
}

func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	f := newSmallFleet(t)
	f.advance(20 * time.Second)
	version := f.submit(timeoutEdit("700ms"))
	took := f.waitUntil(changeDeadline, "second version", f.inForce(version))
	assert.Assert(t, took < changeDeadline)
	for _, h := range f.hosts {
		set := h.Snapshot.Load().CandidateSets[mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}]
		assert.Equal(t, len(set.Candidates()), len(f.hosts), "%s", f.describe())
	}
}

// relays returns the running hosts that hold a relay slot and match.
func (f *fleet) relays(match func(h *host) bool) (relays []*host) {
	for _, h := range f.hosts {
		if !h.down && h.RelaySlot.Load().Held && match(h) {
			relays = append(relays, h)
		}
	}
	return relays
}

func inZone(zone mesh.Zone) func(h *host) bool {
	return func(h *host) bool { return h.Self.Load().Place.Zone == zone }
}

func TestChangeIsInForceDespiteFailures(t *testing.T) {
	tests := []struct {
		name string
		// fail causes the failure; the change is submitted after it.
		fail func(f *fleet)
		// repair ends the failure if it is not nil.
		repair func(f *fleet)
		// within is the maximum time until the change is in force, counted from the
		// end of repair.
		within time.Duration
	}{
		{
			name: "one relay of each zone killed",
			fail: func(f *fleet) {
				for _, z := range []mesh.Zone{"lsn-a", "gva-b", "zrh-a", "sgl-b"} {
					f.kill(f.relays(inZone(z))[0])
				}
			},
			within: 18 * time.Second,
		},
		{
			name: "every relay of a zone killed",
			fail: func(f *fleet) {
				for _, h := range f.relays(inZone("zrh-a")) {
					f.kill(h)
				}
			},
			within: 40 * time.Second,
		},
		{
			name:   "platform down when the change is accepted",
			fail:   func(f *fleet) { f.store.down = true },
			repair: func(f *fleet) { f.advance(time.Minute); f.store.down = false },
			within: 18 * time.Second,
		},
		{
			name: "regions partitioned from each other",
			fail: func(f *fleet) {
				f.partitioned = func(from, to mesh.Place) bool { return from.Region != to.Region }
			},
			within: changeDeadline,
		},
		{
			name: "zone partitioned from all others",
			fail: func(f *fleet) {
				f.partitioned = func(from, to mesh.Place) bool {
					return from.Zone != to.Zone && (from.Zone == "zrh-a" || to.Zone == "zrh-a")
				}
			},
			repair: func(f *fleet) { f.advance(time.Minute); f.partitioned = nil },
			within: 18 * time.Second,
		},
		{
			name: "zone that receives nothing from all others",
			fail: func(f *fleet) {
				f.partitioned = func(from, to mesh.Place) bool { return from.Zone != to.Zone && to.Zone == "gva-b" }
			},
			repair: func(f *fleet) { f.advance(time.Minute); f.partitioned = nil },
			within: 18 * time.Second,
		},
		{
			name: "all links of a relay silent",
			fail: func(f *fleet) {
				for _, end := range f.sortedEnds(f.relays(inZone("gva-b"))[0]) {
					end.silent, end.far.silent = true, true
				}
			},
			within: 18 * time.Second,
		},
		{
			name: "lead partitioned from the platform only",
			fail: func(f *fleet) {
				f.store.blocked = f.relays(func(h *host) bool {
					return h.Uplinks.Load().Lead && h.Self.Load().Place.Region == "ch-west"
				})[0]
				f.advance(30 * time.Second)
			},
			within: changeDeadline,
		},
		{
			name:   "replies of the platform lost after their writes",
			fail:   func(f *fleet) { f.store.lostResponses = 10; f.advance(20 * time.Second) },
			within: changeDeadline,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSmallFleet(t)
			f.advance(20 * time.Second)
			tt.fail(f)
			version := f.submit(timeoutEdit("700ms"))
			if tt.repair != nil {
				tt.repair(f)
			}
			took := f.waitUntil(tt.within, "change in force", f.inForce(version))
			t.Logf("in force after %s", took)
		})
	}
}
