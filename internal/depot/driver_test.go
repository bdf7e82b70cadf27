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
)

// scripted is a platform whose calls are answered by a script and noted.
type scripted struct {
	mutex sync.Mutex
	calls []string
	// times are those of the calls.
	times []time.Time
	// quiet makes watches end without a change.
	quiet bool
	// lists and watches are answered in order; the last watch waits for the end.
	lists   []error
	watches []error
	// written is the answer to each write.
	written error
}

func (s *scripted) note(format string, args ...any) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls, s.times = append(s.calls, fmt.Sprintf(format, args...)), append(s.times, time.Now())
	return len(s.calls)
}

func take(list *[]error) (err error, more bool) {
	if len(*list) == 0 {
		return nil, false
	}
	err, *list = (*list)[0], (*list)[1:]
	return err, true
}

func (s *scripted) List(_ context.Context, prefix string) ([]store.Object, uint64, error) {
	s.note("list %s", prefix)
	if err, _ := take(&s.lists); err != nil {
		return nil, 0, err
	}
	return []store.Object{{Key: prefix + "main", Value: []byte("v"), Version: 3}}, 7, nil
}

func (s *scripted) Watch(ctx context.Context, prefix string, from uint64) ([]store.Event, uint64, error) {
	s.note("watch %s from %d", prefix, from)
	err, more := take(&s.watches)
	if !more {
		<-ctx.Done()
		return nil, from, ctx.Err()
	}
	if err != nil || s.quiet {
		return nil, from, err
	}
	return []store.Event{{Object: store.Object{Key: prefix + "main", Value: []byte("w"), Version: from + 1}}}, from + 1, nil
}

func (s *scripted) Create(_ context.Context, key string, _ []byte) (store.Object, error) {
	s.note("create %s", key)
	return store.Object{Key: key, Version: 9}, s.written
}

func (s *scripted) Update(_ context.Context, key string, _ []byte, version uint64) (store.Object, error) {
	s.note("update %s at %d", key, version)
	return store.Object{Key: key, Version: 9}, s.written
}

func (s *scripted) Delete(_ context.Context, key string, version uint64) error {
	s.note("delete %s at %d", key, version)
	return s.written
}

// posted collects events.
type posted struct {
	mutex  sync.Mutex
	events []cells.ObjectEvent
}

func (p *posted) Post(event cells.ObjectEvent) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.events = append(p.events, event)
	return true
}

func newDriver(s *scripted) (*depot.Driver, *posted) {
	events := &posted{}
	kinds := depot.Kinds{Versions: "config", Records: "nodes"}
	return depot.New(s, events, kinds, func() time.Duration { return 2 * time.Millisecond }), events
}

func TestFollowedObjectsAreListedAgainOnlyWhenHistoryIsGone(t *testing.T) {
	failed := fmt.Errorf("%w: down", store.ErrUnavailable)
	tests := []struct {
		name    string
		script  *scripted
		calls   []string
		results []cells.StoreResult
	}{
		{
			name: "changes", script: &scripted{watches: []error{nil, nil}},
			calls:   []string{"list config/", "watch config/ from 7", "watch config/ from 8", "watch config/ from 9"},
			results: []cells.StoreResult{cells.StoreDone, cells.StoreDone, cells.StoreDone},
		},
		{
			name: "watch fails", script: &scripted{watches: []error{failed, nil}},
			calls:   []string{"list config/", "watch config/ from 7", "watch config/ from 7", "watch config/ from 8"},
			results: []cells.StoreResult{cells.StoreDone, cells.StoreFailed, cells.StoreDone},
		},
		{
			name: "history gone", script: &scripted{watches: []error{&store.GoneError{}}},
			calls:   []string{"list config/", "watch config/ from 7", "list config/", "watch config/ from 7"},
			results: []cells.StoreResult{cells.StoreDone, cells.StoreDone},
		},
		{
			name: "list fails", script: &scripted{lists: []error{failed}},
			calls:   []string{"list config/", "list config/", "watch config/ from 7"},
			results: []cells.StoreResult{cells.StoreFailed, cells.StoreDone},
		},
		{
			name: "no such kind yet", script: &scripted{lists: []error{store.ErrNotFound}},
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

func TestChangesGatherBeforeTheNextWatch(t *testing.T) {
	tests := []struct {
		name  string
		kind  cells.ObjectKind
		quiet bool
		want  time.Duration
	}{
		{name: "versions in quick succession", kind: cells.VersionObjects, want: 300 * time.Millisecond},
		{name: "no version", kind: cells.VersionObjects, quiet: true, want: 0},
		{name: "records", kind: cells.RecordObjects, want: 250 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scripted{watches: []error{nil, nil}, quiet: tt.quiet}
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

func TestPatientFollowersAskSeldomWhileThePlatformFails(t *testing.T) {
	tests := []struct {
		name    string
		patient bool
		// least and most bound the calls in 30 s.
		least, most int
	}{
		{name: "a reader", least: 50, most: 300},
		{name: "one that only its own node waits for", patient: true, least: 5, most: 45},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scripted{}
				for range 1000 {
					s.lists = append(s.lists, fmt.Errorf("%w: down", store.ErrUnavailable))
				}
				driver, _ := newDriver(s)
				driver.Handle(cells.ObjectCommand{Action: cells.WatchObjects, Kind: cells.VersionObjects, SlowRetry: tt.patient})
				time.Sleep(30 * time.Second)
				driver.Close()
				assert.Assert(t, len(s.calls) >= tt.least && len(s.calls) <= tt.most, "%d", len(s.calls))
			})
		})
	}
}

func TestWritesTellWhatTheyKnowOfTheObject(t *testing.T) {
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
			err: &store.ConflictError{Known: true, Current: store.Object{Key: "nodes/h1", Version: 6}}, call: "update nodes/h1 at 4",
			result: cells.StoreConflict, current: cells.Object{Name: "h1", Version: 6},
		},
		{
			name: "gone", command: cells.ObjectCommand{Action: cells.PutRecord, Host: "h1", Node: node, Version: 4}, err: store.ErrNotFound,
			call: "update nodes/h1 at 4", result: cells.StoreConflict, current: cells.Object{Name: "h1", Version: 4, Deleted: true},
		},
		{name: "lost answer", command: cells.ObjectCommand{Action: cells.PutRecord, Host: "h1", Node: node}, err: store.ErrUnknown, call: "create nodes/h1", result: cells.StoreUnknown},
		{name: "dropped", command: cells.ObjectCommand{Action: cells.DeleteRecord, Host: "h1", Version: 4}, call: "delete nodes/h1 at 4", current: cells.Object{Name: "h1", Version: 4, Deleted: true}},
		{name: "other failure", command: cells.ObjectCommand{Action: cells.DeleteRecord, Host: "h1", Version: 4}, err: errors.New("odd"), call: "delete nodes/h1 at 4", result: cells.StoreFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scripted{written: tt.err}
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
