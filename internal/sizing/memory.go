package sizing

import (
	"fmt"
	"net/netip"
	"runtime"

	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/route"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// The size that is planned for in two years, the largest at which memory is measured.
const (
	plannedServices = 870
	plannedRegions  = 5
	plannedRecords  = 4700
)

// retainedHeap returns the bytes of heap that the built value keeps alive.
func retainedHeap[T any](build func() (T, error)) (bytes float64, value T, err error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	if value, err = build(); err != nil {
		return 0, value, err
	}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), value, nil
}

// buildTree returns a generated settings tree.
func buildTree(services, regions int) (built *tree.Tree, err error) {
	built = &tree.Tree{}
	for _, edits := range generateChanges(services, regions) {
		if built, err = built.Apply(edits); err != nil {
			return nil, err
		}
	}
	return built, nil
}

// upstreamRecord returns a record for the upstream of that number, with its service
// and zone assigned in turn.
func upstreamRecord(upstream, services, regions, zones int) member.Record {
	zone := upstream % zones
	return member.Record{
		Host: mesh.HostID(fmt.Sprintf("host-%d", upstream)), ID: serviceOf(upstream % services),
		Place: mesh.Place{Region: regionOf(zone * regions / zones), Zone: mesh.Zone(fmt.Sprintf("%s-%d", zonePrefix, zone))},
		Node:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(upstream >> 8), byte(upstream)}), 8081),
		Stamp: mesh.Stamp{Incarnation: 1, Sequence: uint64(upstream + 1)}, State: member.Ready,
		Relay: mesh.HostID(fmt.Sprintf("relay-%d", upstream%45)), Slots: 9, Connections: 110,
	}
}

// measureMemory measures the heap per setting, service and record.
func (r *Report) measureMemory() (err error) {
	var trees, tables []point
	for _, services := range []int{100, 400, plannedServices} {
		bytes, built, err := retainedHeap(func() (*tree.Tree, error) { return buildTree(services, plannedRegions) })
		if err != nil {
			return err
		}
		compiled, _, err := retainedHeap(func() (*route.Table, error) {
			table, faults := route.Compile(built, regionOf(0))
			if len(faults) > 0 {
				return nil, faults
			}
			return table, nil
		})
		if err != nil {
			return err
		}
		trees = append(trees, point{size: float64(services), value: bytes})
		tables = append(tables, point{size: float64(services), value: compiled})
		r.add("memory", fmt.Sprintf("tree of %d services in %d regions", services, plannedRegions), bytes/1024, "KiB")
		r.add("memory", fmt.Sprintf("routes of %d services in one region", services), compiled/1024, "KiB")
	}
	r.add("memory", "slope: tree, a service", fitLine(trees).slope, "B")
	r.add("memory", "slope: tree, a setting", fitLine(trees).slope/float64(settingsPerService(plannedRegions)), "B")
	r.add("memory", "slope: routes, a service", fitLine(tables).slope, "B")
	return r.measureRecords()
}

func (r *Report) measureRecords() (err error) {
	const zones = 15
	var tables, sets []point
	for _, records := range []int{500, 2000, plannedRecords} {
		bytes, table, err := retainedHeap(func() (*member.Table, error) {
			table := &member.Table{}
			for u := range records {
				table.Merge(upstreamRecord(u, plannedServices, plannedRegions, zones))
			}
			return table, nil
		})
		if err != nil {
			return err
		}
		candidates, _, err := retainedHeap(func() (map[mesh.ServiceID]*pick.CandidateSet, error) { return buildCandidateSets(table), nil })
		if err != nil {
			return err
		}
		runtime.KeepAlive(table)
		tables = append(tables, point{size: float64(records), value: bytes})
		sets = append(sets, point{size: float64(records), value: candidates})
		r.add("memory", fmt.Sprintf("table of %d records", records), bytes/1024, "KiB")
		r.add("memory", fmt.Sprintf("choice sets of %d upstreams", records), candidates/1024, "KiB")
	}
	r.add("memory", "slope: table, a record", fitLine(tables).slope, "B")
	r.add("memory", "slope: choice sets, an upstream", fitLine(sets).slope, "B")
	return nil
}

// buildCandidateSets returns the candidate sets of upstreams by service.
func buildCandidateSets(table *member.Table) map[mesh.ServiceID]*pick.CandidateSet {
	sets := make(map[mesh.ServiceID]*pick.CandidateSet)
	for _, id := range table.Services() {
		records := table.ServiceRecords(id)
		candidates := make([]pick.Candidate, 0, len(records))
		for _, r := range records {
			candidates = append(candidates, pick.Candidate{Host: r.Host, Place: r.Place, Node: r.Node, Slots: r.Slots})
		}
		sets[id] = pick.NewCandidateSet(id, candidates)
	}
	return sets
}
