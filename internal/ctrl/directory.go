package ctrl

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/relay"
)

// relayReadInterval is the longest time between two reads of the relay slots by a
// relay; equalJitter shortens it.
const relayReadInterval = 5 * time.Second

// unservedReadInterval is the longest time between two reads of the relay slots by
// a node that no relay serves.
const unservedReadInterval = 10 * time.Second

// firstReadJitter is the longest delay of a node's first read, so that nodes that
// start at the same time spread their reads.
const firstReadJitter = 2 * time.Second

// reachableTTL is how long the platform counts as reachable after its last response.
const reachableTTL = 15 * time.Second

// directory maintains the list of relays. It reads the relay slots from the platform
// while the node is a relay or no node serves it; otherwise it takes the list from
// the node that serves it.
type directory struct {
	*cells.Node
	alarm  board.Alarm
	source rand.Source
	// nextReadAt is when the slots are read again; zero before the first read is
	// scheduled.
	nextReadAt time.Time
	// reading is true while a read is in progress.
	reading bool
	// lastAnswerAt is when the platform last answered a read; zero before that.
	lastAnswerAt time.Time
	backoff      relay.Backoff
	// slots holds each slot as it was last read.
	slots map[slotKey]observedSlot
}

// slotKey identifies a relay slot.
type slotKey struct {
	zone   mesh.Zone
	number int
}

// observedSlot is a relay slot as it was read.
type observedSlot struct {
	cells.SlotObject
	// firstSeenAt is when this version of the object was first read, by this node's
	// clock.
	firstSeenAt time.Time
}

func newDirectory(node *cells.Node, source rand.Source) board.Controller {
	d := &directory{
		Node:    node,
		source:  source,
		slots:   make(map[slotKey]observedSlot),
		backoff: relay.Backoff{Initial: retryInitial, Max: unservedReadInterval, Source: source},
	}
	return board.Controller{
		Name:   "directory",
		Reads:  []board.Ref{&node.LinkEvents, &node.StoreEvents, &node.RelaySlot, &node.Uplinks, &d.alarm},
		Uses:   []board.Ref{&node.Self, &node.Peers},
		Writes: []board.Ref{&node.Directory, &node.PlatformReachable, &node.StoreCommands, &d.alarm},
		Step:   d.step,
	}
}

func (d *directory) step(now time.Time) {
	for _, e := range d.LinkEvents.Events() {
		if m, ok := e.Message.(ctlmsg.RelayList); ok && d.acceptsListFrom(e.Link) {
			d.handleList(m.Relays)
		}
	}
	for _, e := range d.StoreEvents.Events() {
		if e.Action == cells.ReadSlots {
			d.handleSlots(e, now)
		}
	}
	d.readWhenDue(now)
	d.publishReachable(now)
}

// publishReachable publishes whether the platform answered within reachableTTL.
func (d *directory) publishReachable(now time.Time) {
	until := d.lastAnswerAt.Add(reachableTTL)
	reachable := !d.lastAnswerAt.IsZero() && now.Before(until)
	if reachable {
		d.alarm.SetIfEarlier(until)
	}
	if reachable != d.PlatformReachable.Get() {
		d.PlatformReachable.Set(reachable)
	}
}

// acceptsListFrom reports whether a list of relays received on the link replaces
// what this node has read. A lead accepts one only from a relay of the platform's
// region.
func (d *directory) acceptsListFrom(link cells.LinkID) bool {
	if !d.Uplinks.Get().Lead {
		return true
	}
	accepted, ok := platformRegionLink(d.Self.Get(), d.Peers.Read())
	return ok && accepted == link
}

// handleList publishes a received list. An empty list is ignored.
func (d *directory) handleList(relays []relay.Relay) {
	if len(relays) > 0 {
		d.publish(relays)
	}
}

// handleSlots handles the response to a read of the relay slots. A slot whose version
// has not changed for the lease time has expired and is not listed.
func (d *directory) handleSlots(e cells.StoreEvent, now time.Time) {
	d.reading = false
	if e.Result != cells.StoreDone {
		d.nextReadAt = now.Add(d.backoff.Next())
		return
	}
	d.backoff.Reset()
	d.lastAnswerAt = now
	d.nextReadAt = now.Add(equalJitter(d.readInterval(), d.source))
	zone := e.Command.Zone
	present := make(map[slotKey]bool)
	for _, s := range e.Slots {
		key := slotKey{zone: s.Zone, number: s.Number}
		present[key] = true
		if old, ok := d.slots[key]; !ok || old.Version != s.Version {
			d.slots[key] = observedSlot{SlotObject: s, firstSeenAt: now}
		}
	}
	for key := range d.slots {
		if !present[key] && (zone == "" || key.zone == zone) {
			delete(d.slots, key)
		}
	}
	d.publish(d.liveRelays(zone, now))
}

// liveRelays returns the holders of the slots that were read. If only one zone was
// read, the relays already listed for the other zones are kept.
func (d *directory) liveRelays(zone mesh.Zone, now time.Time) []relay.Relay {
	var relays []relay.Relay
	for key, s := range d.slots {
		if (zone == "" || key.zone == zone) && now.Sub(s.firstSeenAt) < d.Self.Get().LeaseTTL {
			relays = append(relays, s.Relay)
		}
	}
	if zone == "" {
		return relays
	}
	for _, r := range d.Directory.Get().Relays {
		if r.Place.Zone != zone {
			relays = append(relays, r)
		}
	}
	return relays
}

// publish sorts the relays by host, removes duplicates and publishes them.
func (d *directory) publish(relays []relay.Relay) {
	relays = slices.Clone(relays)
	slices.SortFunc(relays, func(a, b relay.Relay) int { return cmp.Compare(a.Host, b.Host) })
	relays = slices.CompactFunc(relays, func(a, b relay.Relay) bool { return a.Host == b.Host })
	if slices.Equal(relays, d.Directory.Get().Relays) {
		return
	}
	d.Directory.Set(cells.Directory{Relays: relays})
}

func (d *directory) readInterval() time.Duration {
	if d.RelaySlot.Get().Held {
		return relayReadInterval
	}
	return unservedReadInterval
}

// readWhenDue starts a read of the relay slots when one is due:
//
//   - A lead, or a relay that no lead serves, reads the slots of all zones. While it
//     is linked to a relay of the platform's region, which sends it the list, it
//     reads only those of its own zone.
//   - Any other relay reads the slots of its own zone.
//   - A node that is not a relay reads those of its own zone, and only while no
//     relay serves it.
func (d *directory) readWhenDue(now time.Time) {
	uplinks := d.Uplinks.Get()
	held := d.RelaySlot.Get().Held
	if d.reading || (!held && uplinks.Served) {
		return
	}
	if d.nextReadAt.IsZero() {
		d.nextReadAt = now.Add(fullJitter(firstReadJitter, d.source))
	}
	if now.Before(d.nextReadAt) {
		d.alarm.SetIfEarlier(d.nextReadAt)
		return
	}
	zone := d.Self.Get().Place.Zone
	_, linked := platformRegionLink(d.Self.Get(), d.Peers.Read())
	if held && !linked && (uplinks.Lead || !uplinks.Served) {
		zone = ""
	}
	d.reading = true
	d.StoreCommands.Send(cells.StoreCommand{Action: cells.ReadSlots, Zone: zone})
}
