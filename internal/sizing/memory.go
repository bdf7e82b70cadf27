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

// The two-year size that the memory is measured up to.
const (
	fullServices = 870
	fullRegions  = 5
	fullRecords  = 4700
)

// held returns the bytes of heap that the value made by the function keeps alive.
func held[T any](build func() (T, error)) (bytes float64, value T, err error) {
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

// buildTree returns a generated tree.
func buildTree(services, regions int) (whole *tree.Tree, err error) {
	whole = &tree.Tree{}
	for _, edits := range changes(services, regions) {
		if whole, err = whole.Apply(edits); err != nil {
			return nil, err
		}
	}
	return whole, nil
}

// recordOf returns the record of one upstream of many.
func recordOf(upstream, services, regions, zones int) member.Record {
	zone := upstream % zones
	return member.Record{
		Host: mesh.HostID(fmt.Sprintf("host-%d", upstream)), ID: serviceOf(upstream % services),
		Place: mesh.Place{Region: regionOf(zone * regions / zones), Zone: mesh.Zone(fmt.Sprintf("%s-%d", zoneName, zone))},
		Node:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(upstream >> 8), byte(upstream)}), 8081),
		Stamp: mesh.Stamp{Incarnation: 1, Sequence: uint64(upstream + 1)}, State: member.Ready,
		Relay: mesh.HostID(fmt.Sprintf("relay-%d", upstream%45)), Slots: 9, Connections: 110,
	}
}

// measureMemory tells the heap held for each setting, service and record.
func (r *Report) measureMemory() (err error) {
	var trees, tables []point
	for _, services := range []int{100, 400, fullServices} {
		bytes, whole, err := held(func() (*tree.Tree, error) { return buildTree(services, fullRegions) })
		if err != nil {
			return err
		}
		compiled, _, err := held(func() (*route.Table, error) {
			table, faults := route.Compile(whole, regionOf(0))
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
		r.add("memory", fmt.Sprintf("tree of %d services in %d regions", services, fullRegions), bytes/1024, "KiB")
		r.add("memory", fmt.Sprintf("routes of %d services in one region", services), compiled/1024, "KiB")
	}
	r.add("memory", "slope: tree, a service", fit(trees).slope, "B")
	r.add("memory", "slope: tree, a setting", fit(trees).slope/float64(settingsPerService(fullRegions)), "B")
	r.add("memory", "slope: routes, a service", fit(tables).slope, "B")
	return r.measureRecords()
}

func (r *Report) measureRecords() (err error) {
	const zones = 15
	var tables, sets []point
	for _, records := range []int{500, 2000, fullRecords} {
		bytes, table, err := held(func() (*member.Table, error) {
			table := &member.Table{}
			for u := range records {
				table.Merge(recordOf(u, fullServices, fullRegions, zones))
			}
			return table, nil
		})
		if err != nil {
			return err
		}
		candidates, _, err := held(func() (map[mesh.ServiceID]*pick.CandidateSet, error) { return buildSets(table), nil })
		if err != nil {
			return err
		}
		runtime.KeepAlive(table)
		tables = append(tables, point{size: float64(records), value: bytes})
		sets = append(sets, point{size: float64(records), value: candidates})
		r.add("memory", fmt.Sprintf("table of %d records", records), bytes/1024, "KiB")
		r.add("memory", fmt.Sprintf("choice sets of %d upstreams", records), candidates/1024, "KiB")
	}
	r.add("memory", "slope: table, a record", fit(tables).slope, "B")
	r.add("memory", "slope: choice sets, an upstream", fit(sets).slope, "B")
	return nil
}

// buildSets returns the sets that calls choose from.
func buildSets(table *member.Table) map[mesh.ServiceID]*pick.CandidateSet {
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
