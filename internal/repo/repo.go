// Package repo executes the controllers' commands against the platform's object
// API, and reads and writes the objects that hold the configuration. It defines
// the keys and encodings of these objects; package store implements the API.
package repo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/sheet"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// Object keys.
const (
	// headKey is the key of the configuration's head, which names the current
	// version and the digest of every chunk.
	headKey     = "config/head"
	chunkPrefix = "config/chunks/"
	relayPrefix = "relays/"
)

// maxConcurrentReads limits how many chunks are read at the same time.
const maxConcurrentReads = 16

// maxCallAttempts limits the attempts of one call in retryUnavailable.
const maxCallAttempts = 6

// watchRetryDelay is the minimum delay after a failed watch.
const watchRetryDelay = 500 * time.Millisecond

// Objects is the part of the object API that this package uses.
type Objects interface {
	Get(ctx context.Context, key string) (store.Object, error)
	List(ctx context.Context, prefix string) ([]store.Object, uint64, error)
	Create(ctx context.Context, key string, value []byte) (store.Object, error)
	Update(ctx context.Context, key string, value []byte, version uint64) (store.Object, error)
	Delete(ctx context.Context, key string, version uint64) error
	Watch(ctx context.Context, prefix string, from uint64) ([]store.Event, uint64, error)
}

// Poster passes results to the control thread. Post reports false when the
// event was not accepted.
type Poster interface {
	Post(event cells.StoreEvent) (posted bool)
}

// Driver executes the controllers' commands and posts their results as events.
type Driver struct {
	objects Objects
	// chunks is used to read chunks; it has a separate rate limit.
	chunks Objects
	events Poster
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	// stopWatch ends the watch of the head, nil while there is none. It is used
	// only by the control thread.
	stopWatch context.CancelFunc
}

// NewDriver returns a driver that runs until Close. It reads chunks through
// chunks and makes all other calls through objects.
func NewDriver(objects, chunks Objects, events Poster) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	return &Driver{objects: objects, chunks: chunks, events: events, ctx: ctx, cancel: cancel}
}

// Close cancels running commands and waits for them to end.
func (d *Driver) Close() {
	d.cancel()
	d.tasks.Wait()
}

// Handle starts executing a command without blocking. It is called by the
// control thread.
func (d *Driver) Handle(command cells.StoreCommand) {
	switch command.Action {
	case cells.WatchHead:
		d.unwatchHead()
		ctx, cancel := context.WithCancel(d.ctx)
		d.stopWatch = cancel
		d.tasks.Go(func() { d.watchHead(ctx) })
	case cells.UnwatchHead:
		d.unwatchHead()
	default:
		d.tasks.Go(func() { d.events.Post(d.execute(command)) })
	}
}

func (d *Driver) unwatchHead() {
	if d.stopWatch != nil {
		d.stopWatch()
		d.stopWatch = nil
	}
}

func (d *Driver) execute(command cells.StoreCommand) cells.StoreEvent {
	event := cells.StoreEvent{Action: command.Action, Command: command}
	var err error
	switch command.Action {
	case cells.ReadSlots:
		event.Slots, err = ReadSlots(d.ctx, d.objects, command.Zone)
	case cells.WriteSlot:
		event.Version, err = d.writeSlot(command.Slot)
	case cells.DeleteSlot:
		err = d.objects.Delete(store.WithUrgency(d.ctx), slotKey(command.Slot.Zone, command.Slot.Number), command.Slot.Version)
	case cells.ReadChunks:
		event.Chunks, err = ReadChunks(d.ctx, d.chunks, command.Chunks)
	default:
		err = fmt.Errorf("unknown action %d", command.Action)
	}
	event.Result, event.Err = ClassifyError(err), err
	return event
}

// ClassifyError maps the error of a call to a result that tells whether a write
// took effect.
func ClassifyError(err error) cells.StoreResult {
	switch {
	case err == nil:
		return cells.StoreDone
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrNotFound):
		return cells.StoreConflict
	case errors.Is(err, store.ErrOutcomeUnknown):
		return cells.StoreUnknown
	default:
		return cells.StoreFailed
	}
}

// watchHead posts the current head and each later one until the context ends.
func (d *Driver) watchHead(ctx context.Context) {
	var backoff relay.Backoff
	for ctx.Err() == nil {
		if err := d.followHead(ctx, &backoff); err != nil && ctx.Err() == nil {
			d.events.Post(cells.StoreEvent{Action: cells.WatchHead, Result: cells.StoreFailed, Err: err})
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay + backoff.Next()):
		}
	}
}

// followHead reads the head and then watches it until an error occurs.
func (d *Driver) followHead(ctx context.Context, backoff *relay.Backoff) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("watch configuration head: %w", err)
		}
	}()
	objects, from, err := d.objects.List(ctx, headKey)
	if err != nil {
		return err
	}
	backoff.Reset()
	for _, o := range objects {
		d.postHead(o)
	}
	for {
		events, next, err := d.objects.Watch(ctx, headKey, from)
		if err != nil {
			return err
		}
		from = next
		for _, e := range events {
			if !e.Deleted {
				d.postHead(e.Object)
			}
		}
	}
}

// postHead posts a head. One that can't be decoded is reported and passed over, so that
// the watch goes on to the next.
func (d *Driver) postHead(object store.Object) {
	if object.Key != headKey {
		return
	}
	head, err := sheet.DecodeHead(object.Value)
	if object.Malformed != nil {
		err = object.Malformed
	}
	if err != nil {
		err = fmt.Errorf("configuration head: %w", err)
		d.events.Post(cells.StoreEvent{Action: cells.WatchHead, Result: cells.StoreFailed, Err: err})
		return
	}
	d.events.Post(cells.StoreEvent{Action: cells.WatchHead, Head: head})
}

// ReadChunks reads chunks by digest and returns them in the order of refs.
func ReadChunks(ctx context.Context, objects Objects, refs []cells.ChunkRef) (chunks []*tree.Chunk, err error) {
	chunks = make([]*tree.Chunk, len(refs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for i, ref := range refs {
		group.Go(func() (err error) {
			defer func() {
				if err != nil {
					err = fmt.Errorf("chunk %q: %w", ref.Scope, err)
				}
			}()
			var object store.Object
			err = retryUnavailable(ctx, func() (err error) {
				object, err = objects.Get(ctx, chunkKey(ref.Digest))
				return err
			})
			if err != nil {
				return err
			}
			chunks[i], err = sheet.DecodeChunk(object.Value)
			return err
		})
	}
	return chunks, group.Wait()
}

// retryUnavailable makes a call and retries it with backoff while it fails with
// ErrUnavailable, as when many chunks exceed the platform's rate limit. Retrying
// is safe because such a call had no effect.
func retryUnavailable(ctx context.Context, call func() error) (err error) {
	var backoff relay.Backoff
	for range maxCallAttempts {
		if err = call(); !errors.Is(err, store.ErrUnavailable) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(backoff.Next()):
		}
	}
	return err
}

func chunkKey(digest mesh.Digest) string {
	return chunkPrefix + digest.String()
}

func slotKey(zone mesh.Zone, number int) string {
	return fmt.Sprintf("%s%s/%d", relayPrefix, zone, number)
}
