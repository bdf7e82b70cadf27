package repo_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/internal/repo"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// startPlatform starts a fake object API server and a client of it.
func startPlatform(t *testing.T) (platform *objapi.Server, client *store.Client) {
	platform = &objapi.Server{}
	assert.NilError(t, platform.Start(netip.MustParseAddrPort("127.0.0.1:0")))
	client = store.New(store.Options{Address: platform.Addr(), Host: "a", RateLimiter: &store.RateLimiter{Rate: 1000, Burst: 1000}})
	t.Cleanup(func() {
		client.Close()
		assert.NilError(t, platform.Stop(context.Background()))
	})
	return platform, client
}

func newChange(id mesh.ChangeID, base mesh.Version, key tree.Key, value string) tree.Change {
	return tree.Change{ID: id, Author: "tester", Base: base, Edits: []tree.Edit{{Path: "trauerhaus", Key: key, Value: value}}}
}

func TestChangeIsAppliedOnceDespiteLostResponses(t *testing.T) {
	tests := []struct {
		name string
		lost int
	}{
		{name: "no response lost"},
		{name: "response to the chunk's write lost", lost: 1},
		{name: "two responses lost", lost: 2},
		{name: "five responses lost", lost: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			platform, client := startPlatform(t)
			configStore := repo.ConfigStore{Objects: client}
			assert.NilError(t, platform.SetFaults(objapi.Faults{LoseResponses: tt.lost}))
			version, err := configStore.Submit(t.Context(), newChange("c1", 0, "timeout", "1s"))
			assert.NilError(t, err)
			assert.Equal(t, version, mesh.Version(1))
			head, config, _, err := configStore.Read(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, head.Version, mesh.Version(1))
			assert.Equal(t, config.Values("trauerhaus")[0].Value, "1s")
			version, err = configStore.Submit(t.Context(), newChange("c1", 0, "timeout", "1s"))
			assert.NilError(t, err)
			assert.Equal(t, version, mesh.Version(1))
		})
	}
}

func TestConcurrentSubmits(t *testing.T) {
	_, client := startPlatform(t)
	configStore := repo.ConfigStore{Objects: client}
	changes := []tree.Change{
		newChange("disjoint-1", 0, "timeout", "1s"),
		newChange("disjoint-2", 0, "priority", "high"),
		newChange("conflict-1", 0, "retry.attempts", "2"),
		newChange("conflict-2", 0, "retry.attempts", "3"),
	}
	results := make([]error, len(changes))
	var group sync.WaitGroup
	for i, c := range changes {
		group.Go(func() { _, results[i] = configStore.Submit(t.Context(), c) })
	}
	group.Wait()
	assert.NilError(t, results[0])
	assert.NilError(t, results[1])
	var conflict *tree.ConflictError
	assert.Assert(t, (results[2] == nil) != (results[3] == nil), "want exactly one of the two rejected, got %v and %v", results[2], results[3])
	assert.Assert(t, errors.As(errors.Join(results[2], results[3]), &conflict))
	head, _, _, err := configStore.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, head.Version, mesh.Version(3))
}

func TestRejectedChangeLeavesHeadUnchanged(t *testing.T) {
	platform, client := startPlatform(t)
	configStore := repo.ConfigStore{Objects: client}
	_, err := configStore.Submit(t.Context(), newChange("bad", 0, "timeout", "soon"))
	var violations tree.Violations
	assert.Assert(t, errors.As(err, &violations))
	assert.NilError(t, platform.SetFaults(objapi.Faults{Outage: objapi.OutageRefuse}))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = configStore.Submit(ctx, newChange("late", 0, "timeout", "1s"))
	assert.Assert(t, errors.Is(err, store.ErrUnavailable), "got %v", err)
	assert.NilError(t, platform.SetFaults(objapi.Faults{}))
	head, _, _, err := configStore.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, head.Version, mesh.Version(0))
}

func TestTreeIsReadAtLowPlatformRateLimit(t *testing.T) {
	platform, client := startPlatform(t)
	configStore := repo.ConfigStore{Objects: client}
	first := tree.Change{ID: "first", Author: "tester"}
	for i := range 60 {
		first.Edits = append(first.Edits, tree.Edit{Path: tree.Path(fmt.Sprint("customer-", i)), Key: "timeout", Value: "1s"})
	}
	assert.NilError(t, platform.SetFaults(objapi.Faults{ReadsPerSecond: 40, WritesPerSecond: 40}))
	_, err := configStore.Submit(t.Context(), first)
	assert.NilError(t, err)
	_, config, _, err := configStore.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(config.Customers()), 60)
}

// eventQueue collects the events that a driver posts.
type eventQueue chan cells.StoreEvent

func (e eventQueue) Post(event cells.StoreEvent) bool {
	e <- event
	return true
}

func TestDriverWritesSlotsAndWatchesHead(t *testing.T) {
	_, client := startPlatform(t)
	posted := make(eventQueue, 16)
	driver := repo.NewDriver(client, client, posted)
	defer driver.Close()
	slot := cells.SlotObject{
		Zone: "lsn-a", Number: 1, Token: "a#1",
		Relay:   relay.Relay{Host: "a", Place: mesh.Place{Region: "ch-west", Zone: "lsn-a"}, Node: netip.MustParseAddrPort("10.0.0.1:1")},
		Summary: relay.Summary{Zone: "lsn-a", Version: 4, Children: 3, Behind: 1, Refusals: []relay.Refusal{{Host: "b", Version: 5, Reason: "no"}}},
	}
	driver.Handle(cells.StoreCommand{Action: cells.WriteSlot, Slot: slot})
	written := <-posted
	assert.Equal(t, written.Result, cells.StoreDone)
	driver.Handle(cells.StoreCommand{Action: cells.WriteSlot, Slot: slot})
	assert.Equal(t, (<-posted).Result, cells.StoreConflict)
	slots, err := repo.ReadSlots(t.Context(), client, "lsn-a")
	assert.NilError(t, err)
	slot.Version = written.Version
	assert.Equal(t, len(slots), 1)
	assert.Equal(t, slots[0].Relay, slot.Relay)
	assert.DeepEqual(t, slots[0].Summary, slot.Summary)

	driver.Handle(cells.StoreCommand{Action: cells.WatchHead})
	configStore := repo.ConfigStore{Objects: client}
	for i, value := range []string{"1s", "2s"} {
		_, err = configStore.Submit(t.Context(), newChange(mesh.ChangeID(value), mesh.Version(i), "timeout", value))
		assert.NilError(t, err)
		for (<-posted).Head.Version != mesh.Version(i+1) {
		}
	}
}

// listCounter counts the lists of a client.
type listCounter struct {
	*store.Client
	lists atomic.Int32
}

// List implements repo.Objects.
func (l *listCounter) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	l.lists.Add(1)
	return l.Client.List(ctx, prefix)
}

// TestOddHeadDoesNotEndTheWatch has another writer replace the head by bytes that are
// none. The watch must report it and go on to the next head.
func TestOddHeadDoesNotEndTheWatch(t *testing.T) {
	_, client := startPlatform(t)
	configStore := repo.ConfigStore{Objects: client}
	_, err := configStore.Submit(t.Context(), newChange("c1", 0, "timeout", "1s"))
	assert.NilError(t, err)
	good, err := client.Get(t.Context(), "config/head")
	assert.NilError(t, err)
	posted, objects := make(eventQueue, 16), &listCounter{Client: client}
	driver := repo.NewDriver(objects, client, posted)
	defer driver.Close()
	driver.Handle(cells.StoreCommand{Action: cells.WatchHead})
	assert.Equal(t, (<-posted).Head.Version, mesh.Version(1))
	odd, err := client.Update(t.Context(), "config/head", []byte(strings.Repeat("[", 20_000)), good.Version)
	assert.NilError(t, err)
	assert.Equal(t, (<-posted).Result, cells.StoreFailed)
	_, err = client.Update(t.Context(), "config/head", good.Value, odd.Version)
	assert.NilError(t, err)
	assert.Equal(t, (<-posted).Head.Version, mesh.Version(1))
	assert.Equal(t, objects.lists.Load(), int32(1))
}
