package ctrl

import (
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

// nodeSnapshotBuilder builds the immutable snapshot that the node's traffic threads
// read.
type nodeSnapshotBuilder struct {
	*cells.Node
	// readySince contains the time at which a host became ready, for hosts that became
	// ready after the set of their service was first built.
	readySince map[mesh.HostID]time.Time
	// revision is the revision of Records at which candidateSets were built.
	revision      uint64
	candidateSets map[mesh.ServiceID]*pick.CandidateSet
}

func newNodeSnapshotBuilder(node *cells.Node) board.Controller {
	n := &nodeSnapshotBuilder{Node: node, readySince: make(map[mesh.HostID]time.Time), candidateSets: make(map[mesh.ServiceID]*pick.CandidateSet)}
	return board.Controller{
		Name:   "nodeSnapshotBuilder",
		Reads:  []board.Ref{&node.Config, &node.Records, &node.CompleteServices, &node.NeededServices, &node.LocalRecord, &node.Phase},
		Writes: []board.Ref{&node.Snapshot, &node.SnapshotUpdates},
		Step:   n.step,
	}
}

func (n *nodeSnapshotBuilder) step(now time.Time) {
	config := n.Config.Get()
	n.rebuildSets(now)
	snapshot := cells.Snapshot{
		Version:         config.Manifest.Version,
		Table:           config.Table,
		CandidateSets:   make(map[mesh.ServiceID]*pick.CandidateSet, len(n.candidateSets)),
		LocalRecord:     n.LocalRecord.Get(),
		LoadedCustomers: make(map[mesh.Customer]bool),
		KnownCustomers:  make(map[mesh.Customer]bool),
		Phase:           n.Phase.Get(),
	}
	for id, s := range n.candidateSets {
		snapshot.CandidateSets[id] = s
	}
	for scope := range config.Manifest.Chunks {
		customer := scope.Customer()
		snapshot.KnownCustomers[customer] = true
		if config.Tree.Chunk(scope) != nil {
			snapshot.LoadedCustomers[customer] = true
		}
	}
	n.Snapshot.Set(snapshot)
	n.SnapshotUpdates.Send(snapshot.Version)
}

// rebuildSets rebuilds the candidate sets of needed services whose records changed.
func (n *nodeSnapshotBuilder) rebuildSets(now time.Time) {
	table, complete := n.Records.Read(), n.CompleteServices.Read()
	changed := n.trackChanges(now)
	needed := make(map[mesh.ServiceID]bool)
	for _, id := range n.NeededServices.Get() {
		needed[id] = true
		if complete.Has(id) && (changed[id] || n.candidateSets[id] == nil) {
			n.candidateSets[id] = pick.NewCandidateSet(id, n.candidates(table.ServiceRecords(id)))
		}
	}
	for id := range n.candidateSets {
		if !needed[id] {
			delete(n.candidateSets, id)
		}
	}
}

// trackChanges returns the services whose records changed since the last step.
func (n *nodeSnapshotBuilder) trackChanges(now time.Time) map[mesh.ServiceID]bool {
	changed := make(map[mesh.ServiceID]bool)
	var records []member.Record
	records, n.revision = n.Records.Read().ChangesSince(n.revision)
	for _, r := range records {
		changed[r.ID] = true
		n.trackReadiness(r, now)
	}
	for id, moved := range n.movedServices(records) {
		changed[id] = moved
	}
	return changed
}

// movedServices returns the services whose candidate set contains a host that has
// changed to another service.
func (n *nodeSnapshotBuilder) movedServices(records []member.Record) map[mesh.ServiceID]bool {
	services := make(map[mesh.ServiceID]bool)
	for id, s := range n.candidateSets {
		for _, r := range records {
			if _, ok := s.Find(r.Host); ok && r.ID != id {
				services[id] = true
			}
		}
	}
	return services
}

func (n *nodeSnapshotBuilder) trackReadiness(r member.Record, now time.Time) {
	_, tracked := n.readySince[r.Host]
	switch {
	case !r.State.Live():
		delete(n.readySince, r.Host)
	case r.State == member.Ready && !tracked && n.candidateSets[r.ID] != nil:
		n.readySince[r.Host] = now
	}
}

// candidates lists the upstreams that accept new requests.
func (n *nodeSnapshotBuilder) candidates(records []member.Record) []pick.Candidate {
	candidates := make([]pick.Candidate, 0, len(records))
	for _, r := range records {
		if !r.State.AcceptsRequests() {
			continue
		}
		candidates = append(candidates, pick.Candidate{
			Host: r.Host, Place: r.Place, Node: r.Node, Slots: r.Slots, ReadySince: n.readySince[r.Host],
		})
	}
	return candidates
}
