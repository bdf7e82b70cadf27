// Package depot executes the commands of a proxy's controllers on the objects in the
// platform: it lists, watches, writes and deletes them, and posts the results as
// events.
package depot

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/pause"
	"arbutusstep.example/arbutusstep/internal/repo"
	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/shift"
	"arbutusstep.example/arbutusstep/pkg/verify"
)

const (
	// minRetryDelay and maxRetryDelay limit the jittered delay after a failed call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 700 * time.Millisecond
	// minSlowRetryDelay and maxSlowRetryDelay apply to a watch for which only this
	// node waits. They are longer because all nodes retry at once when the platform
	// fails.
	minSlowRetryDelay = 200 * time.Millisecond
	maxSlowRetryDelay = 3 * time.Second
	// writeTimeout limits one write or deletion.
	writeTimeout = 700 * time.Millisecond
	// listTimeout limits one list. It is long because the lists of many nodes share the
	// link between two regions; the client ends a list that makes no progress much
	// earlier.
	listTimeout = 20 * time.Second
	// recordWatchDelay is the delay between two watches of records. Several records
	// that change together then cost each watching node one call.
	recordWatchDelay = 250 * time.Millisecond
	// versionWatchDelay is the delay before the next watch after a version arrived. Of
	// several versions in quick succession, only some are then read and passed on.
	versionWatchDelay = 300 * time.Millisecond
	// rolloutWatchDelay is the delay before the next watch after a rollout changed. Its
	// holder alone writes more than once a second.
	rolloutWatchDelay = 100 * time.Millisecond
	// unknownKindDelay is the delay before rollouts are listed again at a platform that
	// does not have this kind.
	unknownKindDelay = 10 * time.Second
)

// ObjectStore is the client of the platform's object store.
type ObjectStore interface {
	// Era returns the highest era of the store that a response had.
	Era() uint64
	List(ctx context.Context, prefix string) ([]store.Object, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64) ([]store.Event, uint64, error)
	Create(ctx context.Context, key string, value []byte) (store.Object, error)
	Update(ctx context.Context, key string, value []byte, version uint64) (store.Object, error)
	UpdateStatus(ctx context.Context, key string, status []byte, version uint64) (store.Object, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// EventPoster passes events to the control thread.
type EventPoster interface {
	Post(event cells.ObjectEvent) (posted bool)
}

// SuspensionClock tells for how long the machine has been suspended since a fixed moment.
type SuspensionClock interface {
	Suspended() time.Duration
}

// errEventQueueFull repeats a call whose response the control thread could not take.
var errEventQueueFull = errors.New("event queue full")

// Kinds holds the names of the object kinds in the platform.
type Kinds struct {
	Versions, Records string
	// Rollouts is empty if the platform has no rollouts.
	Rollouts string
	// EncodeStatus encodes the status of a rollout. It may be nil if Rollouts is empty.
	EncodeStatus func(status shift.Status) ([]byte, error)
}

// Driver executes the commands of the controllers. It is created by New.
type Driver struct {
	store  ObjectStore
	events EventPoster
	kinds  Kinds
	// rtt returns the round-trip time of connections to the platform.
	rtt     func() time.Duration
	clock   SuspensionClock
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// cancelWatch holds the cancel functions of the running watches by kind; control
	// thread only.
	cancelWatch map[cells.ObjectKind]context.CancelFunc

	mutex sync.Mutex
	// era is the highest era that was noticed, and eraCtx ends when a higher one is;
	// guarded by mutex.
	era    uint64
	eraCtx context.Context
	endEra context.CancelFunc
}

// New returns a driver that runs until Close is called.
func New(objectStore ObjectStore, events EventPoster, kinds Kinds, rtt func() time.Duration, clock SuspensionClock) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	eraCtx, endEra := context.WithCancel(ctx)
	return &Driver{
		eraCtx: eraCtx, endEra: endEra, store: objectStore, events: events, kinds: kinds, rtt: rtt, clock: clock, ctx: ctx, cancel: cancel,
		cancelWatch: make(map[cells.ObjectKind]context.CancelFunc),
	}
}

// Close cancels running commands and waits for them to end.
func (d *Driver) Close() {
	d.cancel()
	d.running.Wait()
}

// Handle starts to execute a command. It does not block.
func (d *Driver) Handle(command cells.ObjectCommand) {
	switch command.Action {
	case cells.WatchObjects:
		d.stopWatch(command.Kind)
		ctx, cancel := context.WithCancel(d.ctx)
		d.cancelWatch[command.Kind] = cancel
		d.running.Go(func() { d.watchKind(ctx, command, newBackoff(command)) })
	case cells.UnwatchObjects:
		d.stopWatch(command.Kind)
	default:
		d.running.Go(func() { d.write(command) })
	}
}

func (d *Driver) stopWatch(kind cells.ObjectKind) {
	if cancel := d.cancelWatch[kind]; cancel != nil {
		cancel()
		delete(d.cancelWatch, kind)
	}
}

func (d *Driver) post(event cells.ObjectEvent) (posted bool) {
	event.RTT = d.rtt()
	return d.events.Post(event)
}

// now returns the moment to date a call with, which must be read before it.
func (d *Driver) now() verify.Moment {
	return verify.Moment{Time: time.Now(), Suspended: d.clock.Suspended()}
}

func (d *Driver) prefix(kind cells.ObjectKind) string {
	switch kind {
	case cells.VersionObjects:
		return d.kinds.Versions + "/"
	case cells.RolloutObjects:
		return d.kinds.Rollouts + "/"
	case cells.RecordObjects:
	}
	return d.kinds.Records + "/"
}

func newBackoff(command cells.ObjectCommand) store.Backoff {
	if command.SlowRetry {
		return store.Backoff{Base: minSlowRetryDelay, Max: maxSlowRetryDelay}
	}
	return store.Backoff{Base: minRetryDelay, Max: maxRetryDelay}
}

// watchKind posts all objects of a kind and then their changes until the context ends.
// If the command has a revision, the objects are known up to it and are not listed. They
// are listed again only if the platform no longer has the history of changes since the
// last event, or was restored from a copy.
func (d *Driver) watchKind(ctx context.Context, command cells.ObjectCommand, backoff store.Backoff) {
	kind, from := command.Kind, mesh.StoreTime{Era: command.Era, Revision: command.Revision}
	listed := from.Revision != 0
	for ctx.Err() == nil {
		var err error
		changes := 0
		if !listed {
			from, err = d.list(ctx, kind)
			listed = err == nil
		} else {
			from, changes, err = d.watch(ctx, kind, from)
		}
		if err == nil {
			backoff.Reset()
			d.delayNextWatch(ctx, kind, changes)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, store.ErrGone) || errors.Is(err, store.ErrNewEra) {
			listed = false
			continue
		}
		if kind == cells.RolloutObjects && errors.Is(err, store.ErrNotFound) {
			listed = false
			// The loop condition checks the context.
			_ = pause.For(ctx, unknownKindDelay)
			continue
		}
		d.post(cells.ObjectEvent{Action: cells.WatchObjects, Kind: kind, Result: repo.ClassifyError(err), Err: err, Era: d.store.Era()})
		// The loop condition checks the context.
		_ = backoff.Wait(ctx)
	}
}

// delayNextWatch waits before the next watch, so that several changes are fetched with
// one call. A watch of versions without a change is repeated immediately.
func (d *Driver) delayNextWatch(ctx context.Context, kind cells.ObjectKind, changes int) {
	wait := recordWatchDelay
	switch {
	case kind == cells.RecordObjects:
	case changes == 0:
		return
	case kind == cells.VersionObjects:
		wait = versionWatchDelay
	default:
		wait = rolloutWatchDelay
	}
	// The loop condition of the caller checks the context.
	_ = pause.For(ctx, wait)
}

// list posts all objects of a kind and returns the revision from which to watch.
func (d *Driver) list(ctx context.Context, kind cells.ObjectKind) (at mesh.StoreTime, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	calledAt := d.now()
	at.Era = d.store.Era()
	objects, revision, err := d.store.List(store.WithEra(ctx, at.Era), d.prefix(kind))
	d.noticeEra()
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return at, err
	}
	at.Revision = revision
	event := cells.ObjectEvent{Action: cells.WatchObjects, Kind: kind, Complete: true, Revision: revision, Era: at.Era, CalledAt: calledAt}
	for _, o := range objects {
		event.Objects = append(event.Objects, newObject(o, false))
	}
	if !d.post(event) {
		return at, errEventQueueFull
	}
	return at, nil
}

// watch posts the next changes of a kind. It returns their number and the time from which
// to continue.
func (d *Driver) watch(ctx context.Context, kind cells.ObjectKind, from mesh.StoreTime) (next mesh.StoreTime, count int, err error) {
	ctx, cancel := context.WithCancel(store.WithEra(ctx, from.Era))
	defer cancel()
	detach := context.AfterFunc(d.currentEra(), cancel)
	defer detach()
	calledAt := d.now()
	changes, revision, err := d.store.Watch(ctx, d.prefix(kind), from.Revision)
	d.noticeEra()
	if err != nil && d.store.Era() > from.Era {
		return from, 0, fmt.Errorf("%w: %w", store.ErrNewEra, err)
	}
	if err != nil {
		return from, 0, err
	}
	next = mesh.StoreTime{Era: from.Era, Revision: revision}
	event := cells.ObjectEvent{Action: cells.WatchObjects, Kind: kind, Revision: revision, Era: from.Era, CalledAt: calledAt}
	for _, c := range changes {
		event.Objects = append(event.Objects, newObject(c.Object, c.Deleted))
	}
	if !d.post(event) {
		return from, 0, errEventQueueFull
	}
	return next, len(changes), nil
}

// currentEra returns a context that ends once a higher era of the store is noticed.
func (d *Driver) currentEra() context.Context {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.eraCtx
}

// noticeEra ends the watches of an earlier era if a response had a higher one.
func (d *Driver) noticeEra() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if era := d.store.Era(); era > d.era {
		d.era = era
		d.endEra()
		d.eraCtx, d.endEra = context.WithCancel(d.ctx)
	}
}

func newObject(o store.Object, deleted bool) cells.Object {
	return cells.Object{Name: o.Key[strings.IndexByte(o.Key, '/')+1:], Value: o.Value, Version: o.Version, Era: o.Era, Deleted: deleted, Malformed: o.Malformed}
}

// write executes a write command and posts its result.
func (d *Driver) write(command cells.ObjectCommand) {
	ctx, cancel := context.WithTimeout(store.WithEra(d.ctx, command.Era), writeTimeout)
	defer cancel()
	event := cells.ObjectEvent{Action: command.Action, Kind: command.Kind, Command: command}
	current, err := d.execute(ctx, command)
	d.noticeEra()
	event.Current = current
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.HasCurrent:
		event.Current = newObject(conflict.Current, false)
	case errors.Is(err, store.ErrNotFound):
		event.Current = cells.Object{Name: objectName(command), Version: max(1, command.Version), Era: command.Era, Deleted: true}
	}
	event.Result, event.Err, event.Era = repo.ClassifyError(err), err, d.store.Era()
	d.post(event)
}

func (d *Driver) execute(ctx context.Context, command cells.ObjectCommand) (current cells.Object, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write %s: %w", objectName(command), err)
		}
	}()
	key := d.prefix(command.Kind) + objectName(command)
	if command.Action == cells.PutStatus {
		return d.putStatus(ctx, key, command)
	}
	if command.Action == cells.DeleteRecord {
		if err = d.store.Delete(ctx, key, command.Version); err != nil {
			return current, err
		}
		return cells.Object{Name: string(command.Host), Version: command.Version, Era: command.Era, Deleted: true}, nil
	}
	value, err := sheet.EncodeNode(command.Node)
	if err != nil {
		return current, err
	}
	var written store.Object
	if command.Version == 0 {
		written, err = d.store.Create(store.WithUrgency(ctx), key, value)
	} else {
		written, err = d.store.Update(store.WithUrgency(ctx), key, value, command.Version)
	}
	if err != nil {
		return current, err
	}
	return newObject(written, false), nil
}

// putStatus replaces the status of a rollout.
func (d *Driver) putStatus(ctx context.Context, key string, command cells.ObjectCommand) (current cells.Object, err error) {
	status, err := d.kinds.EncodeStatus(command.Status)
	if err != nil {
		return current, err
	}
	written, err := d.store.UpdateStatus(store.WithUrgency(ctx), key, status, command.Version)
	if err != nil {
		return current, err
	}
	return newObject(written, false), nil
}

// objectName returns the name of the object that a command changes.
func objectName(command cells.ObjectCommand) string {
	if command.Action == cells.PutStatus {
		return string(command.Service)
	}
	return string(command.Host)
}
