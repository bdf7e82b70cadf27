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

// loadTimeout bounds how long the first request of a customer waits for the
// customer's settings.
const loadTimeout = 3 * time.Second

// errNoConfiguration is returned for requests that arrive before the first
// version of the configuration is in force.
var errNoConfiguration = errors.New("no configuration is in force yet")

// router matches requests against the configuration in force.
type router struct{ *Node }

// Match implements entry.Router. The first request of a customer makes the node
// request the customer's settings from its relay; requests that arrive meanwhile
// wait for the same response.
func (r router) Match(customer mesh.Customer, method, path string) (target route.Target, err error) {
	traffic := r.cells.Snapshot.Load()
	if traffic.Table == nil {
		return target, errNoConfiguration
	}
	if !traffic.LoadedCustomers[customer] && traffic.KnownCustomers[customer] {
		traffic = r.loadCustomer(customer)
	}
	return traffic.Table.Match(customer, method, path)
}

// loadCustomer requests the settings of a customer and waits for them.
func (r router) loadCustomer(customer mesh.Customer) cells.Snapshot {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	r.cells.MissingCustomers.Post(customer)
	// After a timeout the returned snapshot still lacks the customer's routes, so
	// that Match reports the customer as unknown.
	_ = r.snapshotChanged.waitFor(ctx, func() bool { return r.cells.Snapshot.Load().LoadedCustomers[customer] })
	return r.cells.Snapshot.Load()
}

// candidateSource returns the candidate upstreams of services.
type candidateSource struct{ *Node }

// Upstreams implements entry.Upstreams. It waits until the records of the service
// are complete, so that no request is routed with a partial set of upstreams.
func (c candidateSource) Upstreams(ctx context.Context, id mesh.ServiceID) (set *pick.CandidateSet, err error) {
	if set = c.cells.Snapshot.Load().CandidateSets[id]; set != nil {
		return set, nil
	}
	err = c.snapshotChanged.waitFor(ctx, func() bool {
		set = c.cells.Snapshot.Load().CandidateSets[id]
		return set != nil
	})
	return set, err
}

// recorder records the outcome of each request for the burn report.
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

// chunkLibrary finds chunks in the configuration in force.
type chunkLibrary struct{ cells *cells.Node }

// Find implements repo.ChunkCache.
func (c chunkLibrary) Find(scope tree.Path, digest mesh.Digest) *tree.Chunk {
	chunk := c.cells.Config.Load().Tree.Chunk(scope)
	if chunk == nil || chunk.Digest() != digest {
		return nil
	}
	return chunk
}

// slotReader reads the relay slots of every zone.
type slotReader struct{ client *store.Client }

// ReadSlots implements admin.SlotReader.
func (s slotReader) ReadSlots(ctx context.Context) (slots []cells.SlotObject, err error) {
	return repo.ReadSlots(ctx, s.client, "")
}
