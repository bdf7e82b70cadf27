package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

// view builds the immutable snapshot that traffic threads work on.
type view struct {
	*cells.Set
	// since holds when a host became ready, for hosts that did so after their
	// service's set was first built.
	since map[mesh.HostID]time.Time
	// seen is the table's revision that sets were built from.
	seen uint64
	// sets holds the set of each known service.
	sets map[mesh.ServiceID]*pick.CandidateSet
}

func newView(set *cells.Set) board.Controller {
	v := &view{Set: set, since: make(map[mesh.HostID]time.Time), sets: make(map[mesh.ServiceID]*pick.CandidateSet)}
	return board.Controller{
		Name:   "view",
		Reads:  []board.Ref{&set.Config, &set.Records, &set.CompleteServices, &set.NeededServices, &set.LocalRecord, &set.Phase},
		Writes: []board.Ref{&set.Snapshot, &set.SnapshotUpdates},
		Step:   v.step,
	}
}

func (v *view) step(now time.Time) {
	config := v.Config.Get()
	v.rebuild(now)
	traffic := cells.Snapshot{
		Version:         config.Manifest.Version,
		Table:           config.Table,
		CandidateSets:   make(map[mesh.ServiceID]*pick.CandidateSet, len(v.sets)),
		LocalRecord:     v.LocalRecord.Get(),
		LoadedCustomers: make(map[mesh.Customer]bool),
		KnownCustomers:  make(map[mesh.Customer]bool),
		Phase:           v.Phase.Get(),
	}
	for id, s := range v.sets {
		traffic.CandidateSets[id] = s
	}
	for scope := range config.Manifest.Chunks {
		customer := scope.Customer()
		traffic.KnownCustomers[customer] = true
		if config.Tree.Chunk(scope) != nil {
			traffic.LoadedCustomers[customer] = true
		}
	}
	v.Snapshot.Set(traffic)
	v.SnapshotUpdates.Send(traffic.Version)
}

// rebuild renews the sets of needed services whose records changed.
func (v *view) rebuild(now time.Time) {
	table, known := v.Records.Read(), v.CompleteServices.Read()
	changed := v.noteChanges(now)
	needed := make(map[mesh.ServiceID]bool)
	for _, id := range v.NeededServices.Get() {
		needed[id] = true
		if known.Has(id) && (changed[id] || v.sets[id] == nil) {
			v.sets[id] = pick.NewCandidateSet(id, v.candidates(table.ServiceRecords(id)))
		}
	}
	for id := range v.sets {
		if !needed[id] {
			delete(v.sets, id)
		}
	}
}

// noteChanges returns the services whose records changed since the last step.
func (v *view) noteChanges(now time.Time) map[mesh.ServiceID]bool {
	changed := make(map[mesh.ServiceID]bool)
	var records []member.Record
	records, v.seen = v.Records.Read().ChangesSince(v.seen)
	for _, r := range records {
		changed[r.ID] = true
		v.noteReady(r, now)
	}
	for id, moved := range v.moved(records) {
		changed[id] = moved
	}
	return changed
}

// moved returns the services that listed a host whose record names another now.
func (v *view) moved(records []member.Record) map[mesh.ServiceID]bool {
	services := make(map[mesh.ServiceID]bool)
	for id, s := range v.sets {
		for _, r := range records {
			if _, ok := s.Find(r.Host); ok && r.ID != id {
				services[id] = true
			}
		}
	}
	return services
}

func (v *view) noteReady(r member.Record, now time.Time) {
	_, noted := v.since[r.Host]
	switch {
	case !r.State.Live():
		delete(v.since, r.Host)
	case r.State == member.Ready && !noted && v.sets[r.ID] != nil:
		v.since[r.Host] = now
	}
}

// candidates lists the upstreams that may take new work.
func (v *view) candidates(records []member.Record) []pick.Candidate {
	candidates := make([]pick.Candidate, 0, len(records))
	for _, r := range records {
		if !r.State.AcceptsRequests() {
			continue
		}
		candidates = append(candidates, pick.Candidate{
			Host: r.Host, Place: r.Place, Node: r.Node, Slots: r.Slots, ReadySince: v.since[r.Host],
		})
	}
	return candidates
}
