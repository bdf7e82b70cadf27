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

// directoryRefresh is the time between two reads of the relay slots by a relay.
const directoryRefresh = 5 * time.Second

// unlinkedRefresh is the longest time between two reads by a node that no relay serves.
const unlinkedRefresh = 10 * time.Second

// firstReadSpread is the time over which nodes that start together spread their
// first read.
const firstReadSpread = 2 * time.Second

// reachedTime is for how long an answer of the platform counts as reaching it.
const reachedTime = 15 * time.Second

// directory keeps the list of relays: from the platform while the node is a
// relay or nothing serves it, else from the node that serves it.
type directory struct {
	*cells.Set
	alarm  board.Alarm
	source rand.Source
	// due is when the slots are to be read again.
	due    time.Time
	asking bool
	// answered is when the platform last answered a read; zero before that.
	answered time.Time
	backoff  relay.Backoff
	// slots holds what was last read of each slot.
	slots map[slotKey]slotSeen
}

// slotKey names a relay slot.
type slotKey struct {
	zone   mesh.Zone
	number int
}

// slotSeen is a slot as it was read.
type slotSeen struct {
	cells.SlotObject
	// since is when the version was first seen, on this node's clock.
	since time.Time
}

func newDirectory(set *cells.Set, source rand.Source) board.Controller {
	d := &directory{
		Set:     set,
		source:  source,
		slots:   make(map[slotKey]slotSeen),
		backoff: relay.Backoff{Initial: retryFirst, Max: unlinkedRefresh, Source: source},
	}
	return board.Controller{
		Name:   "directory",
		Reads:  []board.Ref{&set.LinkEvents, &set.StoreEvents, &set.RelaySlot, &set.Uplinks, &d.alarm},
		Uses:   []board.Ref{&set.Self, &set.Peers},
		Writes: []board.Ref{&set.Directory, &set.PlatformReachable, &set.StoreCommands, &d.alarm},
		Step:   d.step,
	}
}

func (d *directory) step(now time.Time) {
	for _, e := range d.LinkEvents.Events() {
		if m, ok := e.Message.(ctlmsg.RelayList); ok && d.believes(e.Link) {
			d.told(m.Relays)
		}
	}
	for _, e := range d.StoreEvents.Events() {
		if e.Action == cells.ReadSlots {
			d.read(e, now)
		}
	}
	d.ask(now)
	d.publishReached(now)
}

// publishReached tells for how long the platform's last answer counts.
func (d *directory) publishReached(now time.Time) {
	until := d.answered.Add(reachedTime)
	reached := !d.answered.IsZero() && now.Before(until)
	if reached {
		d.alarm.SetIfEarlier(until)
	}
	if reached != d.PlatformReachable.Get() {
		d.PlatformReachable.Set(reached)
	}
}

// believes reports whether the list that came over a link goes before what this
// node reads: a lead believes only the lead where the platform stands.
func (d *directory) believes(link cells.LinkID) bool {
	if !d.Uplinks.Get().Lead {
		return true
	}
	home, ok := homeLink(d.Self.Get(), d.Peers.Read())
	return ok && home == link
}

// told takes over the list of the node that serves this one.
func (d *directory) told(relays []relay.Relay) {
	if len(relays) > 0 {
		d.publish(relays)
	}
}

// read takes in the slots that the platform holds. A slot whose version has
// not moved for the lease's time has no holder.
func (d *directory) read(e cells.StoreEvent, now time.Time) {
	d.asking = false
	if e.Result != cells.StoreDone {
		d.due = now.Add(d.backoff.Next())
		return
	}
	d.backoff.Reset()
	d.answered = now
	d.due = now.Add(spreadOut(d.interval(), d.source))
	zone := e.Command.Zone
	present := make(map[slotKey]bool)
	for _, s := range e.Slots {
		key := slotKey{zone: s.Zone, number: s.Number}
		present[key] = true
		if old, ok := d.slots[key]; !ok || old.Version != s.Version {
			d.slots[key] = slotSeen{SlotObject: s, since: now}
		}
	}
	for key := range d.slots {
		if !present[key] && (zone == "" || key.zone == zone) {
			delete(d.slots, key)
		}
	}
	d.publish(d.live(zone, now))
}

// live lists the holders of the slots that were read; the other zones stay as
// they were told when only one zone was read.
func (d *directory) live(zone mesh.Zone, now time.Time) []relay.Relay {
	var relays []relay.Relay
	for key, s := range d.slots {
		if (zone == "" || key.zone == zone) && now.Sub(s.since) < d.Self.Get().LeaseTTL {
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

func (d *directory) publish(relays []relay.Relay) {
	relays = slices.Clone(relays)
	slices.SortFunc(relays, func(a, b relay.Relay) int { return cmp.Compare(a.Host, b.Host) })
	relays = slices.CompactFunc(relays, func(a, b relay.Relay) bool { return a.Host == b.Host })
	if slices.Equal(relays, d.Directory.Get().Relays) {
		return
	}
	d.Directory.Set(cells.Directory{Relays: relays})
}

func (d *directory) interval() time.Duration {
	if d.RelaySlot.Get().Held {
		return directoryRefresh
	}
	return unlinkedRefresh
}

// ask reads the slots when that is due: a lead, and a relay without one, reads
// every zone's unless the lead where the platform stands tells it, another
// relay its own zone's, and a child its own zone's while
// nothing serves it.
func (d *directory) ask(now time.Time) {
	uplinks := d.Uplinks.Get()
	held := d.RelaySlot.Get().Held
	if d.asking || (!held && uplinks.Served) {
		return
	}
	if d.due.IsZero() {
		d.due = now.Add(jitter(firstReadSpread, d.source))
	}
	if now.Before(d.due) {
		d.alarm.SetIfEarlier(d.due)
		return
	}
	zone := d.Self.Get().Place.Zone
	_, told := homeLink(d.Self.Get(), d.Peers.Read())
	if held && !told && (uplinks.Lead || !uplinks.Served) {
		zone = ""
	}
	d.asking = true
	d.StoreCommands.Send(cells.StoreCommand{Action: cells.ReadSlots, Zone: zone})
}
