package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// bound is the users' target for a change to be in force everywhere.
const bound = 5 * time.Second

func first() []tree.Edit {
	west, east := tree.Join("trauerhaus", "ch-west", "notices"), tree.Join("trauerhaus", "ch-east", "notices")
	return []tree.Edit{
		{Path: west, Key: "routes.pages.path", Value: "/notices"},
		{Path: east, Key: "routes.pages.path", Value: "/notices"},
	}
}

func timeout(value string) tree.Edit {
	return tree.Edit{Path: "trauerhaus", Key: "timeout", Value: value}
}

// newSmallFleet starts three hosts in each of four zones of two regions.
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
			h := f.add(fmt.Sprintf("%s-%d", z.Zone, i), z.Region, z.Zone)
			f.announce(h, "notices")
		}
	}
	f.submit(first()...)
	f.until(30*time.Second, "first version", f.inForce(1))
	return f
}

func TestChangeTakesHoldEverywhere(t *testing.T) {
	f := newSmallFleet(t)
	f.run(20 * time.Second)
	version := f.submit(timeout("700ms"))
	took := f.until(bound, "second version", f.inForce(version))
	assert.Assert(t, took < bound)
	for _, h := range f.hosts {
		set := h.Snapshot.Load().CandidateSets[mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}]
		assert.Equal(t, len(set.Candidates()), len(f.hosts), "%s", f.describe())
	}
}

// relays lists the running hosts that hold a relay slot.
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

func TestChangeTakesHoldUnderFailure(t *testing.T) {
	tests := []struct {
		name string
		// fail brings the failure about, after which the change is accepted.
		fail func(f *fleet)
		// mend ends the failure; the bound counts from then.
		mend func(f *fleet)
		// within bounds the time from mend until the change is in force.
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
			name:   "the platform down when the change was just accepted",
			fail:   func(f *fleet) { f.store.down = true },
			mend:   func(f *fleet) { f.run(time.Minute); f.store.down = false },
			within: 18 * time.Second,
		},
		{
			name: "the regions cut from each other",
			fail: func(f *fleet) {
				f.cut = func(from, to mesh.Place) bool { return from.Region != to.Region }
			},
			within: bound,
		},
		{
			name: "a zone cut from all others",
			fail: func(f *fleet) {
				f.cut = func(from, to mesh.Place) bool {
					return from.Zone != to.Zone && (from.Zone == "zrh-a" || to.Zone == "zrh-a")
				}
			},
			mend:   func(f *fleet) { f.run(time.Minute); f.cut = nil },
			within: 18 * time.Second,
		},
		{
			name: "a zone cut one way from all others",
			fail: func(f *fleet) {
				f.cut = func(from, to mesh.Place) bool { return from.Zone != to.Zone && to.Zone == "gva-b" }
			},
			mend:   func(f *fleet) { f.run(time.Minute); f.cut = nil },
			within: 18 * time.Second,
		},
		{
			name: "every link of a relay silent",
			fail: func(f *fleet) {
				for _, end := range f.sorted(f.relays(inZone("gva-b"))[0]) {
					end.silent, end.far.silent = true, true
				}
			},
			within: 18 * time.Second,
		},
		{
			name: "a region's lead cut from the platform alone",
			fail: func(f *fleet) {
				f.store.blocked = f.relays(func(h *host) bool {
					return h.Uplinks.Load().Lead && h.Self.Load().Place.Region == "ch-west"
				})[0]
				f.run(30 * time.Second)
			},
			within: bound,
		},
		{
			name:   "answers of the platform lost after their writes",
			fail:   func(f *fleet) { f.store.lostResponses = 10; f.run(20 * time.Second) },
			within: bound,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSmallFleet(t)
			f.run(20 * time.Second)
			tt.fail(f)
			version := f.submit(timeout("700ms"))
			if tt.mend != nil {
				tt.mend(f)
			}
			took := f.until(tt.within, "change in force", f.inForce(version))
			t.Logf("in force after %s", took)
		})
	}
}
