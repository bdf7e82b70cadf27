package ctrl_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

var notices = mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}

// candidates lists the upstreams that a host may choose from.
func candidates(h *host) (hosts []mesh.HostID) {
	for _, c := range h.Snapshot.Load().CandidateSets[notices].Candidates() {
		hosts = append(hosts, c.Host)
	}
	slices.Sort(hosts)
	return hosts
}

// expected lists the hosts that run and take work.
func (f *fleet) expected() (hosts []mesh.HostID) {
	for _, h := range f.hosts {
		if !h.down && h.Phase.Load() == cells.Serving && h.service != "" {
			hosts = append(hosts, h.Self.Load().Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// agreed reports whether every running host in the places knows exactly the
// upstreams that take work.
func (f *fleet) agreed(match func(h *host) bool) func() bool {
	return func() bool {
		want := f.expected()
		return len(want) > 0 && !slices.ContainsFunc(f.hosts, func(h *host) bool {
			return !h.down && match(h) && !slices.Equal(candidates(h), want)
		})
	}
}

func anywhere(*host) bool { return true }

func TestMembershipFollowsTheHosts(t *testing.T) {
	tests := []struct {
		name string
		fail func(f *fleet)
		// within bounds the time until every running host agrees.
		within time.Duration
	}{
		{
			name:   "a child killed",
			fail:   func(f *fleet) { f.kill(f.child("lsn-a")) },
			within: 12 * time.Second,
		},
		{
			name: "a child paused until it was called lost, and resumed",
			fail: func(f *fleet) {
				child := f.child("lsn-a")
				child.paused = true
				f.run(30 * time.Second)
				f.resume(child)
			},
			within: 12 * time.Second,
		},
		{
			name:   "a planned stop",
			fail:   func(f *fleet) { f.child("lsn-a").LifecycleCommands.Post(cells.Drain); f.settle(f.child("lsn-a")) },
			within: 2 * time.Second,
		},
		{
			name:   "a relay killed",
			fail:   func(f *fleet) { f.kill(f.relays(inZone("zrh-a"))[0]) },
			within: 45 * time.Second,
		},
		{
			name: "a relay and its child killed at once",
			fail: func(f *fleet) {
				child := f.child("zrh-a")
				for _, h := range f.hosts {
					if h.Self.Load().Host == child.LocalRecord.Load().Relay {
						f.kill(h)
					}
				}
				f.kill(child)
			},
			within: time.Minute,
		},
		{
			name: "half of each zone killed and restarted at once",
			fail: func(f *fleet) {
				for i, h := range f.hosts {
					if i%2 == 0 {
						f.kill(h)
						f.restart(h)
					}
				}
			},
			within: time.Minute,
		},
		{
			name: "everything killed and restarted at once",
			fail: func(f *fleet) {
				for _, h := range f.hosts {
					f.kill(h)
				}
				for _, h := range f.hosts {
					f.restart(h)
				}
			},
			within: time.Minute,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newSmallFleet(t)
			f.until(time.Minute, "the first agreement", f.agreed(anywhere))
			f.run(30 * time.Second)
			tt.fail(f)
			took := f.until(tt.within, "agreement", f.agreed(anywhere))
			t.Logf("agreed after %s", took)
		})
	}
}

// child returns a running host of the zone that is no relay.
func (f *fleet) child(zone mesh.Zone) *host {
	for _, h := range f.hosts {
		if !h.down && h.Self.Load().Place.Zone == zone && !h.RelaySlot.Load().Held {
			return h
		}
	}
	return nil
}

func TestZoneCutOffKeepsServingAndItsSet(t *testing.T) {
	f := newSmallFleet(t)
	f.until(time.Minute, "the first agreement", f.agreed(anywhere))
	f.cut = func(from, to mesh.Place) bool {
		return from.Zone != to.Zone && (from.Zone == "zrh-a" || to.Zone == "zrh-a")
	}
	f.store.down = true
	before := f.expected()
	f.run(3 * time.Minute)
	for _, h := range f.hosts {
		assert.DeepEqual(t, candidates(h), before)
		assert.Equal(t, h.Phase.Load(), cells.Serving)
	}
	child := f.child("zrh-a")
	f.kill(child)
	f.until(15*time.Second, "the cut-off zone notices its own loss", f.agreed(inZone("zrh-a")))
}

func TestWholeZoneKilledIsHeldAndThenLost(t *testing.T) {
	f := newSmallFleet(t)
	f.until(time.Minute, "the first agreement", f.agreed(anywhere))
	before := f.expected()
	for _, h := range f.hosts {
		if inZone("gva-b")(h) {
			f.kill(h)
		}
	}
	f.run(time.Minute)
	assert.DeepEqual(t, candidates(f.child("zrh-a")), before)
	f.until(5*time.Minute, "the zone is called lost", f.agreed(anywhere))
}

func TestNewHostStartsFromItsPeersWhileThePlatformIsDown(t *testing.T) {
	f := newSmallFleet(t)
	f.until(time.Minute, "the first agreement", f.agreed(anywhere))
	f.store.down = true
	f.run(time.Minute)
	seed := f.hosts[0].Self.Load().Address
	h := f.add("lsn-a-9", "ch-west", "lsn-a", seed, netip.MustParseAddrPort("10.0.0.1:2"))
	f.announce(h, "notices")
	f.until(10*time.Second, "the new host serves", func() bool { return h.Phase.Load() == cells.Serving })
	f.until(10*time.Second, "everyone knows the new host", f.agreed(anywhere))
}

func TestRouteWaitsForItsService(t *testing.T) {
	f := newSmallFleet(t)
	f.run(20 * time.Second)
	version := f.submit(
		tree.Edit{Path: "trauerhaus/ch-west/archive", Key: "routes.archive.path", Value: "/archive"},
		tree.Edit{Path: "trauerhaus/ch-east/archive", Key: "routes.archive.path", Value: "/archive"},
	)
	archive := mesh.ServiceID{Customer: "trauerhaus", Service: "archive"}
	f.until(bound, "the version in force", func() bool {
		for _, h := range f.hosts {
			traffic := h.Snapshot.Load()
			if traffic.Version == version && traffic.CandidateSets[archive] == nil {
				t.Fatalf("%s has a route to a service that it lacks", h.Self.Load().Host)
			}
		}
		return f.inForce(version)()
	})
}

// The platform's budget for the fleet, in calls a second, and what of the fleet
// calls it: three relays in each of 15 zones, and in a herd a zone's 313 nodes.
const (
	budgetReads  = 200
	budgetWrites = 50
	fleetRelays  = 45
	zoneNodes    = 313
)

func TestPlatformCallsStayInTheBudget(t *testing.T) {
	f := newSmallFleet(t)
	f.run(time.Minute)
	relays := len(f.relays(anywhere))
	count := func(d time.Duration) (reads, writes float64) {
		calls, before := f.store.calls, f.store.writes
		f.run(d)
		writes = float64(f.store.writes-before) / d.Seconds()
		return float64(f.store.calls-calls)/d.Seconds() - writes, writes
	}
	reads, writes := count(time.Minute)
	scale := float64(fleetRelays) / float64(relays)
	t.Logf("idle fleet: %.1f reads/s, %.1f writes/s", reads*scale, writes*scale)
	assert.Assert(t, reads*scale < budgetReads && writes*scale < budgetWrites)
	idleReads, idleWrites := reads, writes

	for _, h := range f.hosts {
		if inZone("zrh-a")(h) {
			f.kill(h)
		}
	}
	for _, h := range slices.Clone(f.hosts) {
		if h.down {
			f.restart(h)
		}
	}
	for range 6 {
		reads, writes = count(5 * time.Second)
		scale = zoneNodes / 3
		reads, writes = max(reads-idleReads, 0)*scale, max(writes-idleWrites, 0)*scale
		t.Logf("herd of a zone: %.1f reads/s, %.1f writes/s", reads, writes)
		assert.Assert(t, reads < budgetReads)
	}
}

// TestRandomFailuresHeal breaks random things, then mends everything: the
// invariants hold at every step, and in the end every host agrees with a list
// made anew from the hosts that run.
func TestRandomFailuresHeal(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newSmallFleet(t)
			for range 25 {
				f.disturb(random)
				f.run(time.Duration(random.IntN(8000)) * time.Millisecond)
			}
			f.cut, f.store.down, f.store.lostResponses = nil, false, 0
			for _, h := range slices.Clone(f.hosts) {
				if h.down {
					f.restart(h)
				}
			}
			version := f.submit(timeout(fmt.Sprintf("%dms", 2000+seed)))
			f.until(time.Minute, "the last change in force", f.inForce(version))
			f.until(2*time.Minute, "agreement", f.agreed(anywhere))
		})
	}
}

// disturb does one random thing.
func (f *fleet) disturb(random *rand.Rand) {
	h := f.hosts[random.IntN(len(f.hosts))]
	zone := h.Self.Load().Place.Zone
	switch random.IntN(7) {
	case 0:
		if !h.down {
			f.kill(h)
		}
	case 1:
		if h.down {
			f.restart(h)
		}
	case 2:
		f.cut = func(from, to mesh.Place) bool { return from.Zone != to.Zone && to.Zone == zone }
	case 3:
		f.cut = nil
	case 4:
		f.store.down = !f.store.down
	case 5:
		f.store.lostResponses += 2
	case 6:
		if !f.store.down {
			f.submit(timeout(fmt.Sprintf("%dms", 1000+random.IntN(900))))
		}
	}
}
