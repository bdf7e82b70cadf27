// Package repo carries out what controllers ask of the platform, and reads and
// writes the objects of the configuration. It knows the objects' keys and
// forms; the platform's protocol is package store's.
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

// Keys of the objects.
const (
	headKey     = "config/head"
	chunkPrefix = "config/chunks/"
	relayPrefix = "relays/"
)

// readers bounds the chunks read at once.
const readers = 16

// callTries bounds the tries of one call about a chunk.
const callTries = 6

// watchRetry is the wait after a failed watch.
const watchRetry = 500 * time.Millisecond

// Objects is what this package asks of the platform.
type Objects interface {
	Get(ctx context.Context, key string) (store.Object, error)
	List(ctx context.Context, prefix string) ([]store.Object, uint64, error)
	Create(ctx context.Context, key string, value []byte) (store.Object, error)
	Update(ctx context.Context, key string, value []byte, version uint64) (store.Object, error)
	Delete(ctx context.Context, key string, version uint64) error
	Watch(ctx context.Context, prefix string, from uint64) ([]store.Event, uint64, error)
}

// Poster takes the platform's answers to the control thread.
type Poster interface {
	Post(event cells.StoreEvent) (posted bool)
}

// Driver carries out the controllers' commands.
type Driver struct {
	objects Objects
	// bulk reads chunks, at a rate of its own.
	bulk    Objects
	events  Poster
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// stopWatch ends the watch of the head; control thread only, nil while there is none.
	stopWatch context.CancelFunc
}

// NewDriver returns a driver that runs until Close. Chunks are read by bulk.
func NewDriver(objects, bulk Objects, events Poster) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	return &Driver{objects: objects, bulk: bulk, events: events, ctx: ctx, cancel: cancel}
}

// Close ends what is underway and waits for it.
func (d *Driver) Close() {
	d.cancel()
	d.running.Wait()
}

// Handle starts one command; it does not block.
func (d *Driver) Handle(command cells.StoreCommand) {
	switch command.Action {
	case cells.WatchHead:
		d.stop()
		ctx, cancel := context.WithCancel(d.ctx)
		d.stopWatch = cancel
		d.running.Go(func() { d.watchHead(ctx) })
	case cells.UnwatchHead:
		d.stop()
	default:
		d.running.Go(func() { d.events.Post(d.carryOut(command)) })
	}
}

func (d *Driver) stop() {
	if d.stopWatch != nil {
		d.stopWatch()
		d.stopWatch = nil
	}
}

func (d *Driver) carryOut(command cells.StoreCommand) cells.StoreEvent {
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
		event.Chunks, err = ReadChunks(d.ctx, d.bulk, command.Chunks)
	default:
		err = fmt.Errorf("unknown action %d", command.Action)
	}
	event.Result, event.Err = ClassifyError(err), err
	return event
}

// ClassifyError sorts an error by what it says of a write's effect.
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

// watchHead tells the head now and after each change, until the context ends.
func (d *Driver) watchHead(ctx context.Context) {
	var backoff relay.Backoff
	for ctx.Err() == nil {
		if err := d.followHead(ctx, &backoff); err != nil && ctx.Err() == nil {
			d.events.Post(cells.StoreEvent{Action: cells.WatchHead, Result: cells.StoreFailed, Err: err})
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry + backoff.Next()):
		}
	}
}

// followHead reads the head and then watches it until an error.
func (d *Driver) followHead(ctx context.Context, backoff *relay.Backoff) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("follow head: %w", err)
		}
	}()
	objects, from, err := d.objects.List(ctx, headKey)
	if err != nil {
		return err
	}
	backoff.Reset()
	for _, o := range objects {
		if err = d.tellHead(o); err != nil {
			return err
		}
	}
	for {
		events, next, err := d.objects.Watch(ctx, headKey, from)
		if err != nil {
			return err
		}
		from = next
		for _, e := range events {
			if e.Deleted || e.Key != headKey {
				continue
			}
			if err = d.tellHead(e.Object); err != nil {
				return err
			}
		}
	}
}

func (d *Driver) tellHead(object store.Object) (err error) {
	if object.Key != headKey {
		return nil
	}
	head, err := sheet.DecodeHead(object.Value)
	if err != nil {
		return err
	}
	d.events.Post(cells.StoreEvent{Action: cells.WatchHead, Head: head})
	return nil
}

// ReadChunks reads chunks by digest, in the order asked.
func ReadChunks(ctx context.Context, objects Objects, refs []cells.ChunkRef) (chunks []*tree.Chunk, err error) {
	chunks = make([]*tree.Chunk, len(refs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readers)
	for i, ref := range refs {
		group.Go(func() (err error) {
			defer func() {
				if err != nil {
					err = fmt.Errorf("chunk %q: %w", ref.Scope, err)
				}
			}()
			var object store.Object
			err = patiently(ctx, func() (err error) {
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

// patiently makes a call, and again when the platform takes no more for a
// moment, as while many chunks are read or written. Such a call had no effect.
func patiently(ctx context.Context, call func() error) (err error) {
	var backoff relay.Backoff
	for range callTries {
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
