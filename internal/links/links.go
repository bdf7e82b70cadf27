// Package links carries out what controllers ask of control links: it dials,
// sends and closes, and posts what happens on them. Encoding is package wire's.
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

// dialTimeout bounds the opening of a link.
const dialTimeout = 2 * time.Second

// errSlow ends a link whose messages this node cannot take in.
var errSlow = errors.New("too many messages wait")

// StreamOpener opens control streams to other nodes.
type StreamOpener interface {
	OpenControl(ctx context.Context, node netip.AddrPort) (*peer.ControlStream, error)
}

// EventPoster takes what happens on links to the control thread.
type EventPoster interface {
	Post(event cells.LinkEvent) (posted bool)
}

// Driver carries out the controllers' commands.
type Driver struct {
	opener  StreamOpener
	events  EventPoster
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	next    atomic.Uint64

	mutex sync.Mutex
	// links holds the streams that are up; guarded by mutex.
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

// Close ends every link and waits for it.
func (d *Driver) Close() {
	d.cancel()
	d.mutex.Lock()
	for _, c := range d.links {
		c.Close()
	}
	d.mutex.Unlock()
	d.running.Wait()
}

// Execute carries out one command; it does not block.
func (d *Driver) Execute(command cells.LinkCommand) {
	switch command.Action {
	case cells.LinkDial:
		d.running.Go(func() { d.dial(command.Node) })
	case cells.LinkSend:
		control := d.get(command.Link)
		if control != nil && !control.TrySend(wire.EncodeControl(command.Message)) {
			control.Close()
		}
	case cells.LinkClose:
		if control := d.get(command.Link); control != nil {
			control.Close()
		}
	}
}

// ServeControl takes a link that another node opened, until it ends.
func (d *Driver) ServeControl(control *peer.ControlStream) {
	d.run(control, cells.LinkEvent{Kind: cells.LinkUp})
}

func (d *Driver) dial(node netip.AddrPort) {
	ctx, cancel := context.WithTimeout(d.ctx, dialTimeout)
	defer cancel()
	control, err := d.opener.OpenControl(ctx, node)
	if err != nil {
		d.events.Post(cells.LinkEvent{Kind: cells.LinkDown, Dialed: true, Node: node, Err: err})
		return
	}
	d.run(control, cells.LinkEvent{Kind: cells.LinkUp, Dialed: true, Node: node})
}

// run posts what happens on a link until it ends.
func (d *Driver) run(control *peer.ControlStream, up cells.LinkEvent) {
	up.Link = cells.LinkID(d.next.Add(1))
	if !d.put(up.Link, control) {
		control.Close()
		return
	}
	d.events.Post(up)
	err := d.receive(up.Link, control)
	control.Close()
	d.mutex.Lock()
	delete(d.links, up.Link)
	d.mutex.Unlock()
	d.events.Post(cells.LinkEvent{Link: up.Link, Kind: cells.LinkDown, Dialed: up.Dialed, Node: up.Node, Err: err})
}

func (d *Driver) receive(link cells.LinkID, control *peer.ControlStream) (err error) {
	for {
		encoded, err := control.Recv()
		if err != nil {
			return err
		}
		message, err := wire.DecodeControl(encoded)
		if err != nil {
			return err
		}
		if !d.events.Post(cells.LinkEvent{Link: link, Kind: cells.LinkMessage, Message: message}) {
			return errSlow
		}
	}
}

func (d *Driver) get(link cells.LinkID) *peer.ControlStream {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.links[link]
}

// put notes a link that is up, unless the driver is closing.
func (d *Driver) put(link cells.LinkID, control *peer.ControlStream) (ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.ctx.Err() != nil {
		return false
	}
	d.links[link] = control
	return true
}
