package depot_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/depot"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/fleet"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

// scriptedStore is an object store that returns scripted results and records the
// calls.
type scriptedStore struct {
	mutex sync.Mutex
	calls []string
	// times holds the times of the calls.
	times []time.Time
	// noChanges makes watches return without a change.
	noChanges bool
	// listErrors and watchErrors are returned in order. Once watchErrors is used up, a
	// watch blocks until its context ends.
	listErrors  []error
	watchErrors []error
	// era is the era of the store.
	era uint64
	// writeError is returned by every write.
	writeError error
}

func (s *scriptedStore) recordCall(format string, args ...any) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls, s.times = append(s.calls, fmt.Sprintf(format, args...)), append(s.times, time.Now())
	return len(s.calls)
}

func (s *scriptedStore) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}

func popError(list *[]error) (err error, more bool) {
	if len(*list) == 0 {
		return nil, false
	}
	err, *list = (*list)[0], (*list)[1:]
	return err, true
}

func (s *scriptedStore) List(_ context.Context, prefix string) ([]store.Object, uint64, error) {
	s.recordCall("list %s", prefix)
	if err, _ := popError(&s.listErrors); err != nil {
		return nil, 0, err
	}
	return []store.Object{{Key: prefix + "main", Value: []byte("v"), Version: 3}}, 7, nil
}

func (s *scriptedStore) Watch(ctx context.Context, prefix string, from uint64) ([]store.Event, uint64, error) {
	s.recordCall("watch %s from %d", prefix, from)
	err, more := popError(&s.watchErrors)
	if !more {
		<-ctx.Done()
		return nil, from, ctx.Err()
	}
	if err != nil || s.noChanges {
		return nil, from, err
	}
	return []store.Event{{Object: store.Object{Key: prefix + "main", Value: []byte("w"), Version: from + 1}}}, from + 1, nil
}

func (s *scriptedStore) Create(_ context.Context, key string, _ []byte) (store.Object, error) {
	s.recordCall("create %s", key)
	return store.Object{Key: key, Version: 9}, s.writeError
}

func (s *scriptedStore) UpdateStatus(_ context.Context, key string, _ []byte, version uint64) (store.Object, error) {
	s.recordCall("update status of %s at %d", key, version)
	return store.Object{Key: key, Version: 9}, s.writeError
}

func (s *scriptedStore) Update(_ context.Context, key string, _ []byte, version uint64) (store.Object, error) {
	s.recordCall("update %s at %d", key, version)
	return store.Object{Key: key, Version: 9}, s.writeError
}

func (s *scriptedStore) Delete(_ context.Context, key string, version uint64) error {
	s.recordCall("delete %s at %d", key, version)
	return s.writeError
}

// postedEvents records the posted events.
type postedEvents struct {
	mutex  sync.Mutex
	events []cells.ObjectEvent
}

func (p *postedEvents) Post(event cells.ObjectEvent) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.events = append(p.events, event)
	return true
}

// neverSuspended is the clock of a machine that was never suspended.
type neverSuspended struct{}

func (neverSuspended) Suspended() time.Duration { return 0 }

func newDriver(s *scriptedStore) (*depot.Driver, *postedEvents) {
	events := &postedEvents{}
	kinds := depot.Kinds{Versions: "config", Records: "nodes"}
	return depot.New(s, events, kinds, func() time.Duration { return 2 * time.Millisecond }, neverSuspended{}), events
}

func TestWatchRelistsOnlyWhenHistoryIsGone(t *testing.T) {
	failed := fmt.Errorf("%w: down", store.ErrUnavailable)
	tests := []struct {
		name    string
		script  *scriptedStore
		calls   []string
		results []cells.StoreResult
	}{
		{
			name: "changes", script: &scriptedStore{watchErrors: []error{nil, nil}},
			calls:   []string{"list config/", "watch config/ from 7", "watch config/ from 8", "watch config/ from 9"},
			results: []cells.StoreResult{cells.StoreDone, cells.StoreDone, cells.StoreDone},
		},
		{
			name: "watch fails", script: &scriptedStore{watchErrors: []error{failed, nil}},
			calls:   []string{"list config/", "watch config/ from 7", "watch config/ from 7", "watch config/ from 8"},
			results: []cells.StoreResult{cells.StoreDone, cells.StoreFailed, cells.StoreDone},
		},
		{
			name: "history no longer available", script: &scriptedStore{watchErrors: []error{&store.GoneError{}}},
			calls:   []string{"list config/", "watch config/ from 7", "list config/", "watch config/ from 7"},
			results: []cells.StoreResult{cells.StoreDone, cells.StoreDone},
		},
		{
			name: "store was restored", script: &scriptedStore{watchErrors: []error{store.ErrNewEra}},
			calls:   []string{"list config/", "watch config/ from 7", "list config/", "watch config/ from 7"},
			results: []cells.StoreResult{cells.StoreDone, cells.StoreDone},
		},
		{
			name: "list fails", script: &scriptedStore{listErrors: []error{failed}},
			calls:   []string{"list config/", "list config/", "watch config/ from 7"},
			results: []cells.StoreResult{cells.StoreFailed, cells.StoreDone},
		},
		{
			name: "kind does not exist yet", script: &scriptedStore{listErrors: []error{store.ErrNotFound}},
			calls:   []string{"list config/", "watch config/ from 0"},
			results: []cells.StoreResult{cells.StoreDone},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				driver, events := newDriver(tt.script)
				driver.Handle(cells.ObjectCommand{Action: cells.WatchObjects, Kind: cells.VersionObjects})
				time.Sleep(5 * time.Second)
				driver.Close()
				assert.DeepEqual(t, tt.script.calls, tt.calls)
				results := make([]cells.StoreResult, 0, len(events.events))
				for _, e := range events.events {
					results = append(results, e.Result)
					assert.Equal(t, e.RTT, 2*time.Millisecond)
				}
				assert.DeepEqual(t, results, tt.results)
			})
		})
	}
}

// eraStore is a store that is restored while a watch waits.
type eraStore struct {
	*scriptedStore
}

func (s *eraStore) Update(ctx context.Context, key string, value []byte, version uint64) (store.Object, error) {
	s.mutex.Lock()
	s.era++
	s.mutex.Unlock()
	return s.scriptedStore.Update(ctx, key, value, version)
}

// TestNewEraEndsWatches guards against a watch that waits for changes after a revision of a
// store that was restored since, which other calls have noticed.
func TestNewEraEndsWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, events := &eraStore{scriptedStore: &scriptedStore{}}, &postedEvents{}
		driver := depot.New(s, events, depot.Kinds{Versions: "config", Records: "nodes"}, func() time.Duration { return 0 }, neverSuspended{})
		driver.Handle(cells.ObjectCommand{Action: cells.WatchObjects, Kind: cells.VersionObjects})
		time.Sleep(5 * time.Second)
		driver.Handle(cells.ObjectCommand{Action: cells.PutRecord, Kind: cells.RecordObjects, Host: "h1", Version: 4})
		time.Sleep(5 * time.Second)
		driver.Close()
		assert.DeepEqual(t, s.calls, []string{"list config/", "watch config/ from 7", "update nodes/h1 at 4", "list config/", "watch config/ from 7"})
		eras := make([]uint64, 0, len(events.events))
		for _, e := range events.events {
			eras = append(eras, e.Era)
		}
		assert.DeepEqual(t, eras, []uint64{0, 1, 1})
	})
}

// suspensionClock is the clock of a machine that was suspended for some time.
type suspensionClock struct{ suspended time.Duration }

func (s *suspensionClock) Suspended() time.Duration { return s.suspended }

// slowStore takes some time for each call. The machine is suspended meanwhile, and another
// call waits.
type slowStore struct {
	*scriptedStore
	clock *suspensionClock
}

func (s slowStore) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	s.delay()
	return s.scriptedStore.List(ctx, prefix)
}

func (s slowStore) Watch(ctx context.Context, prefix string, from uint64) ([]store.Event, uint64, error) {
	s.delay()
	return s.scriptedStore.Watch(ctx, prefix, from)
}

func (s slowStore) delay() {
	time.Sleep(3 * time.Second)
	s.clock.suspended += time.Minute
}

// TestResponsesAreDatedFromBeforeTheCall guards against a response that counts as being as
// recent as its arrival: versions accepted after the call may not be in it.
func TestResponsesAreDatedFromBeforeTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		events, clock := &postedEvents{}, &suspensionClock{}
		objectStore := slowStore{&scriptedStore{noChanges: true, watchErrors: []error{nil, fmt.Errorf("%w: down", store.ErrUnavailable)}}, clock}
		driver := depot.New(objectStore, events, depot.Kinds{Versions: "config"}, func() time.Duration { return 0 }, clock)
		start := time.Now()
		driver.Handle(cells.ObjectCommand{Action: cells.WatchObjects, Kind: cells.VersionObjects})
		time.Sleep(9*time.Second + time.Millisecond)
		driver.Close()
		// The third call fails.
		want := []verify.Moment{{Time: start}, {Time: start.Add(3 * time.Second), Suspended: time.Minute}, {}}
		assert.Equal(t, len(events.events), len(want))
		for i, e := range events.events {
			assert.DeepEqual(t, e.CalledAt, want[i])
		}
	})
}

// TestResponsesThatCannotBeHandledAreRequestedAgain guards against a change that is lost
// because the control thread could not take it, while a later response confirms that all
// changes are known.
func TestResponsesThatCannotBeHandledAreRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, events := &scriptedStore{watchErrors: []error{nil, nil}}, &fullQueue{}
		driver := depot.New(s, events, depot.Kinds{Versions: "config"}, func() time.Duration { return 0 }, neverSuspended{})
		driver.Handle(cells.ObjectCommand{Action: cells.WatchObjects, Kind: cells.VersionObjects, Revision: 7})
		time.Sleep(5 * time.Second)
		driver.Close()
		assert.DeepEqual(t, s.calls, []string{"watch config/ from 7", "watch config/ from 7", "watch config/ from 8"})
	})
}

// fullQueue takes no event at first.
type fullQueue struct{ offered int }

func (f *fullQueue) Post(cells.ObjectEvent) bool {
	f.offered++
	return f.offered > 1
}

func TestDelayBetweenWatches(t *testing.T) {
	tests := []struct {
		name      string
		kind      cells.ObjectKind
		noChanges bool
		want      time.Duration
	}{
		{name: "versions in quick succession", kind: cells.VersionObjects, want: 300 * time.Millisecond},
		{name: "no new version", kind: cells.VersionObjects, noChanges: true, want: 0},
		{name: "records", kind: cells.RecordObjects, want: 250 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedStore{watchErrors: []error{nil, nil}, noChanges: tt.noChanges}
				driver, _ := newDriver(s)
				driver.Handle(cells.ObjectCommand{Action: cells.WatchObjects, Kind: tt.kind})
				time.Sleep(5 * time.Second)
				driver.Close()
				assert.Equal(t, len(s.times), 4)
				assert.Equal(t, s.times[2].Sub(s.times[1]), tt.want)
			})
		})
	}
}

func TestSlowRetryReducesCallsWhilePlatformFails(t *testing.T) {
	tests := []struct {
		name      string
		slowRetry bool
		// least and most limit the number of calls within 30 s.
		least, most int
	}{
		{name: "normal retry", least: 50, most: 300},
		{name: "slow retry", slowRetry: true, least: 5, most: 45},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedStore{}
				for range 1000 {
					s.listErrors = append(s.listErrors, fmt.Errorf("%w: down", store.ErrUnavailable))
				}
				driver, _ := newDriver(s)
				driver.Handle(cells.ObjectCommand{Action: cells.WatchObjects, Kind: cells.VersionObjects, SlowRetry: tt.slowRetry})
				time.Sleep(30 * time.Second)
				driver.Close()
				assert.Assert(t, len(s.calls) >= tt.least && len(s.calls) <= tt.most, "%d", len(s.calls))
			})
		})
	}
}

func TestWriteEventsReportCurrentObject(t *testing.T) {
	node := fleet.Node{Host: "h1"}
	tests := []struct {
		name    string
		command cells.ObjectCommand
		err     error
		call    string
		result  cells.StoreResult
		current cells.Object
	}{
		{name: "created", command: cells.ObjectCommand{Action: cells.PutRecord, Host: "h1", Node: node}, call: "create nodes/h1", current: cells.Object{Name: "h1", Version: 9}},
		{name: "updated", command: cells.ObjectCommand{Action: cells.PutRecord, Host: "h1", Node: node, Version: 4}, call: "update nodes/h1 at 4", current: cells.Object{Name: "h1", Version: 9}},
		{
			name: "conflict", command: cells.ObjectCommand{Action: cells.PutRecord, Host: "h1", Node: node, Version: 4},
			err: &store.ConflictError{HasCurrent: true, Current: store.Object{Key: "nodes/h1", Version: 6}}, call: "update nodes/h1 at 4",
			result: cells.StoreConflict, current: cells.Object{Name: "h1", Version: 6},
		},
		{
			name: "not found", command: cells.ObjectCommand{Action: cells.PutRecord, Host: "h1", Node: node, Version: 4}, err: store.ErrNotFound,
			call: "update nodes/h1 at 4", result: cells.StoreConflict, current: cells.Object{Name: "h1", Version: 4, Deleted: true},
		},
		{name: "unknown outcome", command: cells.ObjectCommand{Action: cells.PutRecord, Host: "h1", Node: node}, err: store.ErrOutcomeUnknown, call: "create nodes/h1", result: cells.StoreUnknown},
		{name: "deleted", command: cells.ObjectCommand{Action: cells.DeleteRecord, Host: "h1", Version: 4}, call: "delete nodes/h1 at 4", current: cells.Object{Name: "h1", Version: 4, Deleted: true}},
		{name: "other failure", command: cells.ObjectCommand{Action: cells.DeleteRecord, Host: "h1", Version: 4}, err: errors.New("odd"), call: "delete nodes/h1 at 4", result: cells.StoreFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedStore{writeError: tt.err}
				driver, events := newDriver(s)
				tt.command.Kind = cells.RecordObjects
				driver.Handle(tt.command)
				synctest.Wait()
				driver.Close()
				assert.DeepEqual(t, s.calls, []string{tt.call})
				assert.Equal(t, events.events[0].Result, tt.result)
				assert.DeepEqual(t, events.events[0].Current, tt.current)
			})
		})
	}
}
