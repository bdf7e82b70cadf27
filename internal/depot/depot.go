// Package depot carries out what a proxy's controllers ask of the platform's
// objects: it lists, follows, writes and removes them, and posts the answers.
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
)

const (
	// retryFirst and retryLongest bound the jittered wait after a failed call.
	retryFirst   = 50 * time.Millisecond
	retryLongest = 700 * time.Millisecond
	// patientFirst and patientLongest are the same for a follower that only its own
	// node waits for: all nodes ask when the platform fails.
	patientFirst   = 200 * time.Millisecond
	patientLongest = 3 * time.Second
	// writeTime bounds one write.
	writeTime = 700 * time.Millisecond
	// listTime bounds one list.
	listTime = 1500 * time.Millisecond
	// gatherTime is how long records gather after some were told, so that many
	// that change together cost each follower one call.
	gatherTime = 250 * time.Millisecond
	// versionGap is how long after a version the next one is asked for, so that
	// of many in quick succession only some are read and passed on.
	versionGap = 300 * time.Millisecond
)

// Objects is what this package asks of the platform.
type Objects interface {
	List(ctx context.Context, prefix string) ([]store.Object, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64) ([]store.Event, uint64, error)
	Create(ctx context.Context, key string, value []byte) (store.Object, error)
	Update(ctx context.Context, key string, value []byte, version uint64) (store.Object, error)
	Delete(ctx context.Context, key string, version uint64) error
}

// Poster takes the platform's answers to the control thread.
type Poster interface {
	Post(event cells.ObjectEvent) (posted bool)
}

// Kinds are the names of the kinds in the platform.
type Kinds struct {
	Versions, Records string
}

// Driver carries out the controllers' commands. It is made by New.
type Driver struct {
	objects Objects
	events  Poster
	kinds   Kinds
	// trip returns the time that connections to the platform take.
	trip    func() time.Duration
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// leave ends what is followed, by kind; control thread only.
	leave map[cells.ObjectKind]context.CancelFunc
}

// New returns a driver that runs until Close.
func New(objects Objects, events Poster, kinds Kinds, trip func() time.Duration) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	return &Driver{
		objects: objects, events: events, kinds: kinds, trip: trip, ctx: ctx, cancel: cancel,
		leave: make(map[cells.ObjectKind]context.CancelFunc),
	}
}

// Close ends what is underway and waits for it.
func (d *Driver) Close() {
	d.cancel()
	d.running.Wait()
}

// Handle starts one command; it does not block.
func (d *Driver) Handle(command cells.ObjectCommand) {
	switch command.Action {
	case cells.WatchObjects:
		d.stop(command.Kind)
		ctx, cancel := context.WithCancel(d.ctx)
		d.leave[command.Kind] = cancel
		d.running.Go(func() { d.follow(ctx, command.Kind, backoffOf(command)) })
	case cells.UnwatchObjects:
		d.stop(command.Kind)
	default:
		d.running.Go(func() { d.write(command) })
	}
}

func (d *Driver) stop(kind cells.ObjectKind) {
	if cancel := d.leave[kind]; cancel != nil {
		cancel()
		delete(d.leave, kind)
	}
}

func (d *Driver) post(event cells.ObjectEvent) {
	event.RTT = d.trip()
	d.events.Post(event)
}

func (d *Driver) prefix(kind cells.ObjectKind) string {
	if kind == cells.VersionObjects {
		return d.kinds.Versions + "/"
	}
	return d.kinds.Records + "/"
}

func backoffOf(command cells.ObjectCommand) store.Backoff {
	if command.SlowRetry {
		return store.Backoff{Base: patientFirst, Max: patientLongest}
	}
	return store.Backoff{Base: retryFirst, Max: retryLongest}
}

// follow tells the objects of a kind and their changes until the context ends.
func (d *Driver) follow(ctx context.Context, kind cells.ObjectKind, backoff store.Backoff) {
	from, listed := uint64(0), false
	for ctx.Err() == nil {
		var err error
		told := 0
		if !listed {
			from, err = d.list(ctx, kind)
			listed = err == nil
		} else {
			from, told, err = d.watch(ctx, kind, from)
		}
		if err == nil {
			backoff.Reset()
			d.gather(ctx, kind, told)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, store.ErrGone) {
			listed = false
			continue
		}
		d.post(cells.ObjectEvent{Action: cells.WatchObjects, Kind: kind, Result: repo.ClassifyError(err), Err: err})
		// The context's end shows at the loop's head.
		_ = backoff.Wait(ctx)
	}
}

// gather waits until more objects may have changed. What comes after a watch
// that told no version is asked for at once.
func (d *Driver) gather(ctx context.Context, kind cells.ObjectKind, told int) {
	wait := gatherTime
	if kind == cells.VersionObjects {
		wait = versionGap
		if told == 0 {
			return
		}
	}
	// The context's end shows at the head of the caller's loop.
	_ = pause.For(ctx, wait)
}

// list tells every object of a kind.
func (d *Driver) list(ctx context.Context, kind cells.ObjectKind) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	objects, revision, err := d.objects.List(ctx, d.prefix(kind))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return 0, err
	}
	event := cells.ObjectEvent{Action: cells.WatchObjects, Kind: kind, Complete: true, Revision: revision}
	for _, o := range objects {
		event.Objects = append(event.Objects, objectOf(o, false))
	}
	d.post(event)
	return revision, nil
}

// watch tells the next changes of a kind, and returns how many they were.
func (d *Driver) watch(ctx context.Context, kind cells.ObjectKind, from uint64) (next uint64, told int, err error) {
	changes, next, err := d.objects.Watch(ctx, d.prefix(kind), from)
	if err != nil {
		return from, 0, err
	}
	event := cells.ObjectEvent{Action: cells.WatchObjects, Kind: kind, Revision: next}
	for _, c := range changes {
		event.Objects = append(event.Objects, objectOf(c.Object, c.Deleted))
	}
	d.post(event)
	return next, len(changes), nil
}

func objectOf(o store.Object, deleted bool) cells.Object {
	return cells.Object{Name: o.Key[strings.IndexByte(o.Key, '/')+1:], Value: o.Value, Version: o.Version, Deleted: deleted}
}

// write carries out one write and tells how it ended.
func (d *Driver) write(command cells.ObjectCommand) {
	ctx, cancel := context.WithTimeout(d.ctx, writeTime)
	defer cancel()
	event := cells.ObjectEvent{Action: command.Action, Kind: command.Kind, Command: command}
	current, err := d.carryOut(ctx, command)
	event.Current = current
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.HasCurrent:
		event.Current = objectOf(conflict.Current, false)
	case errors.Is(err, store.ErrNotFound):
		event.Current = cells.Object{Name: string(command.Host), Version: max(1, command.Version), Deleted: true}
	}
	event.Result, event.Err = repo.ClassifyError(err), err
	d.post(event)
}

func (d *Driver) carryOut(ctx context.Context, command cells.ObjectCommand) (current cells.Object, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write record of %s: %w", command.Host, err)
		}
	}()
	key := d.prefix(command.Kind) + string(command.Host)
	if command.Action == cells.DeleteRecord {
		if err = d.objects.Delete(ctx, key, command.Version); err != nil {
			return current, err
		}
		return cells.Object{Name: string(command.Host), Version: command.Version, Deleted: true}, nil
	}
	value, err := sheet.EncodeNode(command.Node)
	if err != nil {
		return current, err
	}
	var written store.Object
	if command.Version == 0 {
		written, err = d.objects.Create(store.WithUrgency(ctx), key, value)
	} else {
		written, err = d.objects.Update(store.WithUrgency(ctx), key, value, command.Version)
	}
	if err != nil {
		return current, err
	}
	return objectOf(written, false), nil
}
