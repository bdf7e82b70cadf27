package relay_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20260105"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	epoch      = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	lsn        = mesh.Place{Region: "ch-west", Zone: "lsn-a"}
	gva        = mesh.Place{Region: "ch-west", Zone: "gva-b"}
	zrh        = mesh.Place{Region: "ch-east", Zone: "zrh-a"}
	noneFailed = func(mesh.HostID) bool { return false }
)

func relayAt(host mesh.HostID, place mesh.Place) relay.Relay {
	return relay.Relay{Host: host, Place: place, Node: netip.MustParseAddrPort("10.0.0.1:7000")}
}

func ExampleChildTracker() {
	tracker := relay.ChildTracker{Zone: "lsn-a"}
	tracker.SetTarget(8)
	tracker.SetVersion("h1", 8)
	tracker.SetVersion("h2", 7)
	tracker.SetRefusal(relay.Refusal{Host: "h2", Version: 8, Reason: "route names no service"})
	progress := relay.Merge([]relay.Summary{tracker.Summary()})
	fmt.Printf("%+v\n", progress.Status(8, []relay.ExpectedZone{{Zone: "lsn-a", Hosts: 2}, {Zone: "gva-b", Hosts: 1}}))
	// Output:
	// {InForce:false Behind:[lsn-a] Refused:[lsn-a] Silent:[gva-b]}
}

func TestNearestRelayIsChosen(t *testing.T) {
	all := []relay.Relay{relayAt("l1", lsn), relayAt("l2", lsn), relayAt("g1", gva), relayAt("z1", zrh)}
	tests := []struct {
		name   string
		failed []mesh.HostID
		want   []mesh.HostID
	}{
		{name: "own zone", want: []mesh.HostID{"l1", "l2"}},
		{name: "one failed", failed: []mesh.HostID{"l1"}, want: []mesh.HostID{"l2"}},
		{name: "own region", failed: []mesh.HostID{"l1", "l2"}, want: []mesh.HostID{"g1"}},
		{name: "other region", failed: []mesh.HostID{"l1", "l2", "g1"}, want: []mesh.HostID{"z1"}},
		{name: "none", failed: []mesh.HostID{"l1", "l2", "g1", "z1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := relay.ChooseNearest("child", lsn, all, func(h mesh.HostID) bool { return slices.Contains(tt.failed, h) })
			assert.Equal(t, ok, len(tt.want) > 0)
			assert.Assert(t, !ok || slices.Contains(tt.want, got.Host))
		})
	}
}

func TestOnlyChildrenOfAFailedRelayMoveAndSpread(t *testing.T) {
	relays := []relay.Relay{relayAt("l1", lsn), relayAt("l2", lsn), relayAt("l3", lsn)}
	counts, moved := map[mesh.HostID]int{}, map[mesh.HostID]int{}
	for i := range 313 {
		child := mesh.HostID(fmt.Sprint("host-", i))
		before, _ := relay.Choose(child, relays, nil)
		after, _ := relay.Choose(child, relays, func(h mesh.HostID) bool { return h == "l2" })
		counts[before.Host]++
		if before.Host == "l2" {
			moved[after.Host]++
		} else {
			assert.Equal(t, after.Host, before.Host)
		}
	}
	for _, r := range relays {
		assert.Assert(t, counts[r.Host] > 80 && counts[r.Host] < 130, "%v", counts)
	}
	assert.Assert(t, moved["l1"] > 30 && moved["l3"] > 30, "%v", moved)
}

func TestLeadIsALiveRelayOfTheRegion(t *testing.T) {
	all := []relay.Relay{relayAt("l1", lsn), relayAt("g1", gva), relayAt("z1", zrh)}
	tests := []struct {
		name   string
		region mesh.Region
		failed func(mesh.HostID) bool
		want   bool
	}{
		{name: "in the region", region: "ch-west", failed: noneFailed, want: true},
		{name: "unknown region", region: "savo", failed: noneFailed},
		{name: "all failed", region: "ch-east", failed: func(h mesh.HostID) bool { return h == "z1" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lead, ok := relay.ChooseLead(tt.region, all, tt.failed)
			assert.Equal(t, ok, tt.want)
			assert.Assert(t, !ok || lead.Place.Region == tt.region)
			slices.Reverse(all)
			again, _ := relay.ChooseLead(tt.region, all, tt.failed)
			assert.Equal(t, again, lead)
		})
	}
}

func TestInvitesFillVacantSlots(t *testing.T) {
	children := []mesh.HostID{"h1", "h2", "h3", "h4", "h5", "h5"}
	tests := []struct {
		name    string
		live    []relay.Relay
		want    int
		invites []int
		surplus int
	}{
		{name: "no relay yet", want: 2, invites: []int{0, 1}},
		{name: "one vacant", live: []relay.Relay{relayAt("h1", lsn), relayAt("h2", lsn)}, want: 3, invites: []int{2}},
		{name: "all taken", live: []relay.Relay{relayAt("h1", lsn)}, want: 1},
		{name: "too many", live: []relay.Relay{relayAt("h1", lsn), relayAt("h2", lsn)}, want: 1, surplus: 1},
		{name: "more slots than children", want: 9, invites: []int{0, 1, 2, 3, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var slots []int
			for _, i := range relay.PlanInvites(tt.live, tt.want, children) {
				slots = append(slots, i.Slot)
				assert.Assert(t, !slices.ContainsFunc(tt.live, func(r relay.Relay) bool { return r.Host == i.Host }))
			}
			assert.DeepEqual(t, slots, tt.invites)
			assert.Equal(t, len(relay.Surplus(tt.live, tt.want)), tt.surplus)
		})
	}
	assert.DeepEqual(t, relay.VacantSlots([]int{1, 5}, 3), []int{0, 2})
}

func TestSummaryMatchesAScanOfTheChildren(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var tracker relay.ChildTracker
		applied := map[mesh.HostID]mesh.Version{}
		refused := map[mesh.HostID]mesh.Version{}
		var target mesh.Version
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			child := mesh.HostID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "child"))
			version := mesh.Version(rapid.IntRange(0, 6).Draw(rt, "version"))
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0:
				tracker.SetTarget(version)
				target = max(target, version)
			case 1:
				tracker.Remove(child)
				delete(applied, child)
				delete(refused, child)
			case 2:
				tracker.SetRefusal(relay.Refusal{Host: child, Version: version})
				applied[child] += 0
				if applied[child] < version {
					refused[child] = version
				}
			default:
				tracker.SetVersion(child, version)
				applied[child] = version
				if refused[child] <= version {
					delete(refused, child)
				}
			}
			summary := tracker.Summary()
			behind := 0
			for _, v := range applied {
				if v < target {
					behind++
				}
			}
			lowest := mesh.Version(0)
			if len(applied) > 0 {
				lowest = slices.Min(slices.Collect(maps.Values(applied)))
			}
			assert.Equal(rt, summary.Version, lowest)
			assert.Equal(rt, summary.Behind, behind)
			assert.Equal(rt, summary.Children, len(applied))
			assert.Equal(rt, len(summary.Refusals), len(refused))
		}
	})
}

func TestStatusListsZonesThatAreNotInForce(t *testing.T) {
	expected := []relay.ExpectedZone{{Zone: "a", Hosts: 4}, {Zone: "b", Hosts: 1}}
	tests := []struct {
		name      string
		summaries []relay.Summary
		want      relay.Status
	}{
		{
			name:      "in force",
			summaries: []relay.Summary{{Zone: "a", Version: 5, Children: 2}, {Zone: "a", Version: 6, Children: 2}, {Zone: "b", Version: 5, Children: 1}},
			want:      relay.Status{InForce: true},
		},
		{
			name:      "a relay without children does not count",
			summaries: []relay.Summary{{Zone: "a"}, {Zone: "a", Version: 5, Children: 4}, {Zone: "b", Version: 5, Children: 1}, {Zone: "b"}},
			want:      relay.Status{InForce: true},
		},
		{
			name:      "one relay behind, one not reporting",
			summaries: []relay.Summary{{Zone: "a", Version: 4, Children: 2}, {Zone: "b", Version: 5, Children: 1}},
			want:      relay.Status{Behind: []mesh.Zone{"a"}, Silent: []mesh.Zone{"a"}},
		},
		{
			name: "refused",
			summaries: []relay.Summary{
				{Zone: "a", Version: 5, Children: 4},
				{Zone: "b", Version: 4, Children: 1, Refusals: []relay.Refusal{{Host: "h", Version: 5}}},
			},
			want: relay.Status{Behind: []mesh.Zone{"b"}, Refused: []mesh.Zone{"b"}},
		},
		{name: "no reports", want: relay.Status{Silent: []mesh.Zone{"a", "b"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, relay.Merge(tt.summaries).Status(5, expected), tt.want)
		})
	}
}

func TestReconnectingChildrenAreAdmittedAtTheRate(t *testing.T) {
	tests := []struct {
		name     string
		children int
		// burst is how many are admitted at once, and within bounds the time
		// until the last one is admitted at 50 per second.
		burst  int
		within time.Duration
		// longest bounds the delays returned by Admit.
		longest time.Duration
	}{
		{name: "within the burst", children: 20, burst: 20},
		{name: "a third of a zone", children: 105, burst: 20, within: 2 * time.Second, longest: 2 * time.Second},
		{name: "a zone", children: 313, burst: 20, within: 7 * time.Second, longest: 6 * time.Second},
		{name: "a region", children: 940, burst: 20, within: 25 * time.Second, longest: relay.DefaultMaxDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := relay.Admission{Source: rand.NewPCG(1, 1)}
			due := make([]time.Time, tt.children)
			for i := range due {
				due[i] = epoch
			}
			attempts, admittedAtOnce, longest := 0, 0, time.Duration(0)
			var last time.Time
			for len(due) > 0 {
				slices.SortFunc(due, time.Time.Compare)
				last = due[0]
				attempts++
				delay, ok := a.Admit(last)
				if !ok {
					due[0] = last.Add(delay)
					longest = max(longest, delay)
					continue
				}
				due = due[1:]
				if last.Equal(epoch) {
					admittedAtOnce++
				}
			}
			t.Logf("all admitted after %s with %d attempts", last.Sub(epoch), attempts)
			assert.Equal(t, admittedAtOnce, tt.burst)
			assert.Assert(t, last.Sub(epoch) <= tt.within && longest <= tt.longest)
			assert.Assert(t, attempts <= 4*tt.children)
		})
	}
}

func TestBackoffDelaysStayBelowADoublingBound(t *testing.T) {
	b := relay.Backoff{Initial: time.Second, Max: 3 * time.Second, Source: rand.NewPCG(1, 2)}
	same := relay.Backoff{Initial: time.Second, Max: 3 * time.Second, Source: rand.NewPCG(1, 2)}
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second} {
		delay := b.Next()
		assert.Assert(t, delay >= 0 && delay < bound)
		assert.Equal(t, same.Next(), delay)
	}
	b.Reset()
	assert.Assert(t, b.Next() < time.Second)
}

func BenchmarkChildTrackerSetVersion(b *testing.B) {
	tracker := relay.ChildTracker{Zone: "lsn-a"}
	hosts := make([]mesh.HostID, 313)
	for i := range hosts {
		hosts[i] = mesh.HostID(fmt.Sprint("host-", i))
	}
	for n := 0; b.Loop(); n++ {
		tracker.SetVersion(hosts[n%len(hosts)], mesh.Version(n/len(hosts)+1))
	}
}
