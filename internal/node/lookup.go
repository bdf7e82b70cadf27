package node

import (
	"context"
	"errors"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/entry"
	"arbutusstep.example/arbutusstep/internal/repo"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/burn"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/route"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// demandTime bounds the wait for the settings of a customer's first use.
const demandTime = 3 * time.Second

// errNoConfiguration means that no version is in force yet.
var errNoConfiguration = errors.New("no configuration is in force yet")

// router finds targets in the configuration in force.
type router struct{ *Node }

// Match implements entry.Router. The first use of a customer asks the node's
// relay for its settings, once for all requests that wait.
func (r router) Match(customer mesh.Customer, method, path string) (target route.Target, err error) {
	traffic := r.cells.Snapshot.Load()
	if traffic.Table == nil {
		return target, errNoConfiguration
	}
	if !traffic.LoadedCustomers[customer] && traffic.KnownCustomers[customer] {
		traffic = r.demand(customer)
	}
	return traffic.Table.Match(customer, method, path)
}

// demand asks for a customer's settings and waits for them.
func (r router) demand(customer mesh.Customer) cells.Snapshot {
	ctx, cancel := context.WithTimeout(context.Background(), demandTime)
	defer cancel()
	r.cells.MissingCustomers.Post(customer)
	// On a timeout the old snapshot says that the customer is unknown.
	_ = r.changed.until(ctx, func() bool { return r.cells.Snapshot.Load().LoadedCustomers[customer] })
	return r.cells.Snapshot.Load()
}

// lookup gives the upstreams of services.
type lookup struct{ *Node }

// Upstreams implements entry.Upstreams. A service whose records are not
// complete yet is waited for, so that no request goes to a service that the
// node lacks.
func (l lookup) Upstreams(ctx context.Context, id mesh.ServiceID) (set *pick.CandidateSet, err error) {
	if set = l.cells.Snapshot.Load().CandidateSets[id]; set != nil {
		return set, nil
	}
	err = l.changed.until(ctx, func() bool {
		set = l.cells.Snapshot.Load().CandidateSets[id]
		return set != nil
	})
	return set, err
}

// recorder counts the end of each request.
type recorder struct{ *Node }

// Record implements entry.Recorder.
func (r recorder) Record(now time.Time, record entry.Record) {
	if record.Service == (mesh.ServiceID{}) {
		return
	}
	sample := burn.Sample{Latency: record.Latency, Outcome: burn.Failed}
	switch record.Outcome {
	case entry.Answered:
		sample.Outcome = burn.Answered
	case entry.NotRun:
		sample.Outcome = burn.Refused
	case entry.Unknown:
	}
	r.burn.Record(now, record.Service, record.Priority, sample)
}

// heldChunks finds chunks in the configuration in force.
type heldChunks struct{ set *cells.Node }

// Find implements repo.ChunkCache.
func (h heldChunks) Find(scope tree.Path, digest mesh.Digest) *tree.Chunk {
	chunk := h.set.Config.Load().Tree.Chunk(scope)
	if chunk == nil || chunk.Digest() != digest {
		return nil
	}
	return chunk
}

// slotReader reads the relay slots of every zone.
type slotReader struct{ client *store.Client }

// ReadSlots implements admin.Slots.
func (s slotReader) ReadSlots(ctx context.Context) (slots []cells.SlotObject, err error) {
	return repo.ReadSlots(ctx, s.client, "")
}
