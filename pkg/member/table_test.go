package member_test

import (
	"cmp"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20260104"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	notices = mesh.ServiceID{Customer: "trauerhaus", Service: "notices"}
	archive = mesh.ServiceID{Customer: "trauerhaus", Service: "archive"}
	place   = mesh.Place{Region: "ch-west", Zone: "lsn-a"}
	node    = netip.MustParseAddrPort("10.0.0.1:7000")
)

func record(host mesh.HostID, sequence uint64, state member.State) member.Record {
	return member.Record{
		Host: host, ID: notices, Place: place, Node: node, State: state, Slots: 9, Connections: 110,
		Stamp: mesh.Stamp{Incarnation: 1, Sequence: sequence},
	}
}

func ExampleTable() {
	var table member.Table
	table.Merge(record("h1", 1, member.Warming))
	_, cursor := table.ChangesSince(0)
	table.Merge(record("h1", 2, member.Ready))
	fmt.Println("older record changes the table:", table.Merge(record("h1", 1, member.Warming)))
	changed, _ := table.ChangesSince(cursor)
	fmt.Println(len(changed), changed[0].State)
	// Output:
	// older record changes the table: false
	// 1 ready
}

func TestRecordsAreOrdered(t *testing.T) {
	later := record("h", 1, member.Warming)
	later.Stamp.Incarnation = 2
	tests := []struct {
		name string
		a, b member.Record
		want bool
	}{
		{name: "later sequence", a: record("h", 2, member.Warming), b: record("h", 1, member.Left), want: true},
		{name: "later incarnation", a: later, b: record("h", 9, member.Ready), want: true},
		{name: "lost at an equal stamp", a: record("h", 1, member.Lost), b: record("h", 1, member.Left), want: true},
		{name: "higher sequence refutes lost", a: record("h", 1, member.Lost), b: record("h", 2, member.Ready)},
		{name: "equal", a: record("h", 1, member.Ready), b: record("h", 1, member.Ready)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, member.Newer(tt.a, tt.b), tt.want)
		})
	}
}

func TestRecordsAreValidated(t *testing.T) {
	tests := []struct {
		name   string
		modify func(r *member.Record)
		want   string
	}{
		{name: "valid", modify: func(*member.Record) {}},
		{name: "host", modify: func(r *member.Record) { r.Host = "Bad Host" }, want: "host"},
		{name: "zone", modify: func(r *member.Record) { r.Place.Zone = "" }, want: "zone"},
		{name: "node", modify: func(r *member.Record) { r.Node = netip.AddrPort{} }, want: "node address"},
		{name: "stamp", modify: func(r *member.Record) { r.Stamp = mesh.Stamp{} }, want: "stamp"},
		{name: "state", modify: func(r *member.Record) { r.State = 9 }, want: "state(9)"},
		{name: "slots", modify: func(r *member.Record) { r.Slots = -1 }, want: "slots"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := record("h1", 1, member.Ready)
			tt.modify(&r)
			if err := r.Validate(); tt.want == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, tt.want)
			}
		})
	}
}

func drawRecord(rt *rapid.T) member.Record {
	host := mesh.HostID(fmt.Sprint("h", rapid.IntRange(0, 5).Draw(rt, "host")))
	r := record(host, uint64(rapid.IntRange(1, 4).Draw(rt, "sequence")), member.State(rapid.IntRange(0, 4).Draw(rt, "state")))
	r.Slots = rapid.IntRange(0, 1).Draw(rt, "slots")
	r.ID = rapid.SampledFrom([]mesh.ServiceID{notices, archive}).Draw(rt, "service")
	return r
}

// naiveMerge returns the newest record of each host.
func naiveMerge(records []member.Record) (merged []member.Record) {
	for _, r := range records {
		i := slices.IndexFunc(merged, func(m member.Record) bool { return m.Host == r.Host })
		switch {
		case i < 0:
			merged = append(merged, r)
		case member.Newer(r, merged[i]):
			merged[i] = r
		}
	}
	slices.SortFunc(merged, func(a, b member.Record) int { return cmp.Compare(a.Host, b.Host) })
	return merged
}

// naiveService returns the live records of the service, like Table.ServiceRecords.
func naiveService(records []member.Record, id mesh.ServiceID) (live []member.Record) {
	for _, r := range records {
		if r.ID == id && r.State.Live() {
			live = append(live, r)
		}
	}
	return live
}

func assertRecords(t assert.TestingT, got, want []member.Record) {
	assert.Assert(t, slices.Equal(got, want), "got %v, want %v", got, want)
}

func TestMergeMatchesNaiveMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 30).Draw(rt, "records")
		want := naiveMerge(records)
		var first, second member.Table
		for _, r := range records {
			first.Merge(r)
		}
		for _, r := range append(rapid.Permutation(records).Draw(rt, "order"), records...) {
			second.Merge(r)
		}
		assertRecords(rt, first.All(), want)
		assertRecords(rt, second.All(), want)
		for _, id := range []mesh.ServiceID{notices, archive} {
			assertRecords(rt, first.ServiceRecords(id), naiveService(want, id))
			assert.Equal(rt, first.Digest(id), second.Digest(id))
		}
		assert.DeepEqual(rt, first.Digests(), second.Digests())
		assert.Equal(rt, first.LiveCount(), len(naiveService(want, notices))+len(naiveService(want, archive)))
	})
}

func TestFollowersApplyingChangesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var source, fullFollower, serviceFollower member.Table
		var fullCursor, serviceCursor uint64
		now := epoch
		follow := func() {
			var records []member.Record
			if fullCursor < source.CompactedRevision() {
				full := source.All()
				for _, r := range fullFollower.All() {
					if !slices.Contains(full, r) {
						fullFollower.Forget(r.Host)
					}
				}
			}
			records, fullCursor = source.ChangesSince(fullCursor)
			for _, r := range records {
				fullFollower.Merge(r)
			}
			if serviceCursor < source.CompactedRevision() {
				serviceCursor = 0
				for _, h := range serviceFollower.MissingFrom(notices, source.ServiceRecords(notices)) {
					serviceFollower.Forget(h)
				}
			}
			records, serviceCursor = source.ServiceChangesSince(notices, serviceCursor)
			for _, r := range records {
				serviceFollower.Merge(r)
			}
		}
		for i := range rapid.IntRange(0, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 7).Draw(rt, "action") {
			case 0:
				follow()
			case 1:
				now = now.Add(member.DefaultTombstoneTTL / 2)
				source.ExpireTombstones(now)
			default:
				// Sequences rise, because no record is in transit for longer than TombstoneTTL.
				r := drawRecord(rt)
				r.Stamp.Sequence = uint64(i + rapid.IntRange(1, 2).Draw(rt, "ahead"))
				source.Merge(r)
			}
		}
		follow()
		assertRecords(rt, fullFollower.ServiceRecords(notices), source.ServiceRecords(notices))
		assertRecords(rt, fullFollower.ServiceRecords(archive), source.ServiceRecords(archive))
		assertRecords(rt, serviceFollower.ServiceRecords(notices), source.ServiceRecords(notices))
	})
}

func TestTombstonesRejectStaleRecordsUntilExpired(t *testing.T) {
	tests := []struct {
		name     string
		after    time.Duration
		accepted bool
	}{
		{name: "tombstone kept", after: member.DefaultTombstoneTTL - 1},
		{name: "tombstone expired", after: member.DefaultTombstoneTTL, accepted: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var table member.Table
			table.Merge(record("h1", 2, member.Left))
			table.ExpireTombstones(epoch)
			table.ExpireTombstones(epoch.Add(tt.after))
			assert.Equal(t, table.Merge(record("h1", 1, member.Ready)), tt.accepted)
		})
	}
}

// fillTable adds records for the size expected in two years: 4,700 hosts in 870
// services.
func fillTable(table *member.Table, sequence uint64) {
	for i := range 4700 {
		r := record(mesh.HostID(fmt.Sprintf("host-%04d", i)), sequence, member.Ready)
		r.ID = mesh.ServiceID{Customer: mesh.Customer(fmt.Sprintf("customer-%02d", i%30)), Service: mesh.Service(fmt.Sprintf("service-%03d", i%870))}
		r.Place = mesh.Place{Region: mesh.Region(fmt.Sprintf("region-%d", i%5)), Zone: mesh.Zone(fmt.Sprintf("zone-%02d", i%15))}
		table.Merge(r)
	}
}

func BenchmarkTableMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		var table member.Table
		fillTable(&table, 1)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(table.Len()), "B/record")
		runtime.KeepAlive(&table)
	}
}

func BenchmarkMerge(b *testing.B) {
	var table member.Table
	fillTable(&table, 1)
	r, _ := table.Get("host-0007")
	for b.Loop() {
		r.Stamp.Sequence++
		table.Merge(r)
	}
}
