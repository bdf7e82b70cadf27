// Package links executes the controllers' commands on control links, which are to
// dial, send and close, and posts events of the links. Package wire encodes the
// messages.
package links

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
)

// dialTimeout limits the time to open a link.
const dialTimeout = 2 * time.Second

// errEventQueueFull closes a link whose messages arrive faster than the control
// thread handles them.
var errEventQueueFull = errors.New("link event queue full")

// StreamOpener opens control streams to other nodes.
type StreamOpener interface {
	OpenControl(ctx context.Context, node netip.AddrPort) (*peer.ControlStream, error)
}

// EventPoster passes link events to the control thread. Post returns false if its
// queue is full.
type EventPoster interface {
	Post(event cells.LinkEvent) (posted bool)
}

// Driver executes link commands.
type Driver struct {
	opener     StreamOpener
	events     EventPoster
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	lastID     atomic.Uint64

	mutex sync.Mutex
	// links holds the streams of the open links; guarded by mutex.
	links map[cells.LinkID]*peer.ControlStream
}

// NewDriver returns a driver that runs until Close.
func NewDriver(opener StreamOpener, events EventPoster) *Driver {
	ctx, cancel := context.WithCancel(context.Background())
	return &Driver{
		opener: opener, events: events, ctx: ctx, cancel: cancel,
		links: make(map[cells.LinkID]*peer.ControlStream),
	}
}

// Close closes every link and waits for all goroutines.
func (d *Driver) Close() {
	d.cancel()
	d.mutex.Lock()
	for _, c := range d.links {
		c.Close()
	}
	d.mutex.Unlock()
	d.goroutines.Wait()
}

// Execute executes one command. It does not block.
func (d *Driver) Execute(command cells.LinkCommand) {
	switch command.Action {
	case cells.LinkDial:
		d.goroutines.Go(func() { d.dial(command.Address) })
	case cells.LinkSend:
		stream := d.linkStream(command.Link)
		if stream != nil && !stream.TrySend(wire.EncodeControl(command.Message)) {
			stream.Close()
		}
	case cells.LinkClose:
		if stream := d.linkStream(command.Link); stream != nil {
			stream.Close()
		}
	}
}

// ServeControl handles a link that another node opened, until it ends.
func (d *Driver) ServeControl(stream *peer.ControlStream) {
	d.serve(stream, cells.LinkEvent{Kind: cells.LinkUp})
}

func (d *Driver) dial(node netip.AddrPort) {
	ctx, cancel := context.WithTimeout(d.ctx, dialTimeout)
	defer cancel()
	stream, err := d.opener.OpenControl(ctx, node)
	if err != nil {
		d.events.Post(cells.LinkEvent{Kind: cells.LinkDown, Dialed: true, Address: node, Err: err})
		return
	}
	d.serve(stream, cells.LinkEvent{Kind: cells.LinkUp, Dialed: true, Address: node})
}

// serve registers a link and posts its events until it ends.
func (d *Driver) serve(stream *peer.ControlStream, event cells.LinkEvent) {
	event.Link = cells.LinkID(d.lastID.Add(1))
	if !d.addLink(event.Link, stream) {
		stream.Close()
		return
	}
	d.events.Post(event)
	err := d.receive(event.Link, stream)
	stream.Close()
	d.mutex.Lock()
	delete(d.links, event.Link)
	d.mutex.Unlock()
	d.events.Post(cells.LinkEvent{Link: event.Link, Kind: cells.LinkDown, Dialed: event.Dialed, Address: event.Address, Err: err})
}

func (d *Driver) receive(link cells.LinkID, stream *peer.ControlStream) (err error) {
	for {
		control, err := stream.Recv()
		if err != nil {
			return err
		}
		message, err := wire.DecodeControl(control)
		if err != nil {
			return err
		}
		if !d.events.Post(cells.LinkEvent{Link: link, Kind: cells.LinkMessage, Message: message}) {
			return errEventQueueFull
		}
	}
}

func (d *Driver) linkStream(link cells.LinkID) *peer.ControlStream {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.links[link]
}

// addLink registers an open link. It returns false if the driver is closing.
func (d *Driver) addLink(link cells.LinkID, stream *peer.ControlStream) (added bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.ctx.Err() != nil {
		return false
	}
	d.links[link] = stream
	return true
}
