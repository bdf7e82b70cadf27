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

var noticesService = mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}

// candidates returns the hosts of the upstreams that a host may send requests to.
func candidates(h *host) (hosts []mesh.HostID) {
	for _, c := range h.Snapshot.Load().CandidateSets[noticesService].Candidates() {
		hosts = append(hosts, c.Host)
	}
	slices.Sort(hosts)
	return hosts
}

// expectedCandidates returns the hosts whose upstreams accept requests.
func (f *fleet) expectedCandidates() (hosts []mesh.HostID) {
	for _, h := range f.hosts {
		if !h.down && h.Phase.Load() == cells.Serving && h.service != "" {
			hosts = append(hosts, h.Self.Load().Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// allAgree returns a condition: the candidates of every running host that matches are
// exactly the upstreams that accept requests.
func (f *fleet) allAgree(match func(h *host) bool) func() bool {
	return func() bool {
		want := f.expectedCandidates()
		return len(want) > 0 && !slices.ContainsFunc(f.hosts, func(h *host) bool {
			return !h.down && match(h) && !slices.Equal(candidates(h), want)
		})
	}
}

func anyHost(*host) bool { return true }

func TestMembershipConvergesAfterFailures(t *testing.T) {
	tests := []struct {
		name string
		fail func(f *fleet)
		// within is the maximum time until all running hosts agree.
		within time.Duration
	}{
		{
			name:   "a child killed",
			fail:   func(f *fleet) { f.kill(f.child("lsn-a")) },
			within: 12 * time.Second,
		},
		{
			name: "a child paused until it was marked lost, then resumed",
			fail: func(f *fleet) {
				child := f.child("lsn-a")
				child.paused = true
				f.advance(30 * time.Second)
				f.resume(child)
			},
			within: 12 * time.Second,
		},
		{
			name:   "a child drained",
			fail:   func(f *fleet) { f.child("lsn-a").LifecycleCommands.Post(cells.Drain); f.settle(f.child("lsn-a")) },
			within: 2 * time.Second,
		},
		{
			name:   "a relay killed",
			fail:   func(f *fleet) { f.kill(f.relays(inZone("zrh-a"))[0]) },
			within: 45 * time.Second,
		},
		{
			name: "a relay and its child killed together",
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
			name: "half of each zone killed and restarted together",
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
			name: "all hosts killed and restarted together",
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
			f.waitUntil(time.Minute, "the first agreement", f.allAgree(anyHost))
			f.advance(30 * time.Second)
			tt.fail(f)
			took := f.waitUntil(tt.within, "agreement", f.allAgree(anyHost))
			t.Logf("agreed after %s", took)
		})
	}
}

// child returns a running host of the zone that is not a relay.
func (f *fleet) child(zone mesh.Zone) *host {
	for _, h := range f.hosts {
		if !h.down && h.Self.Load().Place.Zone == zone && !h.RelaySlot.Load().Held {
			return h
		}
	}
	return nil
}

func TestIsolatedZoneKeepsServingWithItsKnownUpstreams(t *testing.T) {
	f := newSmallFleet(t)
	f.waitUntil(time.Minute, "the first agreement", f.allAgree(anyHost))
	f.partitioned = func(from, to mesh.Place) bool {
		return from.Zone != to.Zone && (from.Zone == "zrh-a" || to.Zone == "zrh-a")
	}
	f.store.down = true
	before := f.expectedCandidates()
	f.advance(3 * time.Minute)
	for _, h := range f.hosts {
		assert.DeepEqual(t, candidates(h), before)
		assert.Equal(t, h.Phase.Load(), cells.Serving)
	}
	child := f.child("zrh-a")
	f.kill(child)
	f.waitUntil(15*time.Second, "isolated zone removes its failed host", f.allAgree(inZone("zrh-a")))
}

func TestFailedZoneIsKeptBeforeItIsMarkedLost(t *testing.T) {
	f := newSmallFleet(t)
	f.waitUntil(time.Minute, "the first agreement", f.allAgree(anyHost))
	before := f.expectedCandidates()
	for _, h := range f.hosts {
		if inZone("gva-b")(h) {
			f.kill(h)
		}
	}
	f.advance(time.Minute)
	assert.DeepEqual(t, candidates(f.child("zrh-a")), before)
	f.waitUntil(5*time.Minute, "the failed zone is marked lost", f.allAgree(anyHost))
}

func TestNewHostStartsFromSeedsWhilePlatformIsDown(t *testing.T) {
	f := newSmallFleet(t)
	f.waitUntil(time.Minute, "the first agreement", f.allAgree(anyHost))
	f.store.down = true
	f.advance(time.Minute)
	seed := f.hosts[0].Self.Load().Address
	h := f.addHost("lsn-a-9", "ch-west", "lsn-a", seed, netip.MustParseAddrPort("10.0.0.1:2"))
	f.announce(h, "notices")
	f.waitUntil(10*time.Second, "new host is serving", func() bool { return h.Phase.Load() == cells.Serving })
	f.waitUntil(10*time.Second, "all hosts know the new host", f.allAgree(anyHost))
}

func TestVersionWaitsForRecordsOfItsServices(t *testing.T) {
	f := newSmallFleet(t)
	f.advance(20 * time.Second)
	version := f.submit(
		tree.Edit{Path: "trauerhaus/ch-west/archive", Key: "routes.archive.path", Value: "/archive"},
		tree.Edit{Path: "trauerhaus/ch-east/archive", Key: "routes.archive.path", Value: "/archive"},
	)
	archive := mesh.ServiceID{Customer: "trauerhaus", Service: "archive"}
	f.waitUntil(changeDeadline, "the version in force", func() bool {
		for _, h := range f.hosts {
			snapshot := h.Snapshot.Load()
			if snapshot.Version == version && snapshot.CandidateSets[archive] == nil {
				t.Fatalf("%s has a route to a service whose upstreams it does not know", h.Self.Load().Host)
			}
		}
		return f.inForce(version)()
	})
}

// budgetReads and budgetWrites are the platform's limits for the fleet, in calls per
// second. In the full fleet, its callers are three relays in each of 15 zones and,
// when a whole zone restarts, the zone's 313 nodes.
const (
	budgetReads  = 200
	budgetWrites = 50
	fleetRelays  = 45
	zoneNodes    = 313
)

func TestPlatformCallRateStaysWithinBudget(t *testing.T) {
	f := newSmallFleet(t)
	f.advance(time.Minute)
	relays := len(f.relays(anyHost))
	count := func(d time.Duration) (reads, writes float64) {
		calls, before := f.store.calls, f.store.writes
		f.advance(d)
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
		t.Logf("restart of a zone: %.1f reads/s, %.1f writes/s", reads, writes)
		assert.Assert(t, reads < budgetReads)
	}
}

// TestFleetRecoversFromRandomFailures injects random faults and then repairs all of
// them. The invariants must hold at every step, and in the end the candidates of
// every host must be exactly those that the running hosts serve.
func TestFleetRecoversFromRandomFailures(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newSmallFleet(t)
			for range 25 {
				f.injectRandomFault(random)
				f.advance(time.Duration(random.IntN(8000)) * time.Millisecond)
			}
			f.partitioned, f.store.down, f.store.lostResponses = nil, false, 0
			for _, h := range slices.Clone(f.hosts) {
				if h.down {
					f.restart(h)
				}
			}
			version := f.submit(timeoutEdit(fmt.Sprintf("%dms", 2000+seed)))
			f.waitUntil(time.Minute, "last change in force", f.inForce(version))
			f.waitUntil(2*time.Minute, "agreement", f.allAgree(anyHost))
		})
	}
}

// injectRandomFault injects or repairs one random fault, or submits a change.
func (f *fleet) injectRandomFault(random *rand.Rand) {
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
		f.partitioned = func(from, to mesh.Place) bool { return from.Zone != to.Zone && to.Zone == zone }
	case 3:
		f.partitioned = nil
	case 4:
		f.store.down = !f.store.down
	case 5:
		f.store.lostResponses += 2
	case 6:
		if !f.store.down {
			f.submit(timeoutEdit(fmt.Sprintf("%dms", 1000+random.IntN(900))))
		}
	}
}
