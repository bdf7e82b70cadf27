package ctrl

import (
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/lease"
	"arbutusstep.example/arbutusstep/pkg/relay"
)

// claimSpread is the time over which the nodes of a zone without relays spread
// their claims of a slot.
const claimSpread = 2 * time.Second

// reportInterval is the least time between two writes of a slot, which bounds
// the writes of a fleet's relays while a change spreads.
const reportInterval = time.Second

// reportSpread is the time over which the relays of a fleet spread their
// reports of a change.
const reportSpread = 2 * time.Second

// confirmTime bounds the wait for the read before a claim.
const confirmTime = 5 * time.Second

// slot claims and keeps a relay slot of the zone, which is a lease in the
// platform whose object also carries the relay's report.
//
// Two relays in one slot cost bytes and do no harm, so a relay that can't reach
// the platform keeps its role until it sees that another took the slot.
type slot struct {
	*cells.Set
	alarm     board.Alarm
	source    rand.Source
	holder    lease.Holder
	observers []lease.Observer
	// number is the slot that is wanted or held, -1 for none.
	number int
	// claimAt is when an unserved node claims, zero when that is not decided.
	claimAt time.Time
	// confirming is true while the slots are read again for a claim, and
	// confirmed once that read was answered.
	confirming, confirmed bool
	// reportAt is when a changed mark is reported, zero while there is none.
	reportAt time.Time
	// mark is what the last write reported.
	mark relay.Summary
	// releasing is true once the slot was given up for good.
	releasing bool
}

func newSlot(set *cells.Set, source rand.Source) board.Controller {
	s := &slot{Set: set, source: source, number: -1}
	return board.Controller{
		Name:   "slot",
		Reads:  []board.Ref{&set.StoreEvents, &set.LinkEvents, &set.Uplinks, &set.ChildSummary, &set.Phase, &s.alarm},
		Uses:   []board.Ref{&set.Self, &set.Directory},
		Writes: []board.Ref{&set.RelaySlot, &set.StoreCommands, &s.alarm},
		Step:   s.step,
	}
}

func (s *slot) step(now time.Time) {
	s.init()
	for _, e := range s.StoreEvents.Events() {
		s.stored(e, now)
	}
	for _, e := range s.LinkEvents.Events() {
		if _, ok := e.Message.(ctlmsg.RelayInvite); ok {
			s.want(now)
		}
	}
	if s.Phase.Get() == cells.Draining || s.Phase.Get() == cells.Stopped {
		s.release()
		return
	}
	s.claimUnserved(now)
	s.advance(now)
	s.publish(now)
}

func (s *slot) init() {
	if s.observers != nil {
		return
	}
	self := s.Self.Get()
	s.observers = make([]lease.Observer, self.RelaysPerZone)
	for i := range s.observers {
		s.observers[i].TimeToLive = self.LeaseTTL
	}
	s.holder.Name = fmt.Sprintf("%s-%d", self.Host, self.Incarnation)
	s.holder.TimeToLive = self.LeaseTTL
	s.holder.RetryInterval = reportInterval
}

// stored takes in reads of the zone's slots and answers to this node's writes.
func (s *slot) stored(e cells.StoreEvent, now time.Time) {
	switch e.Action {
	case cells.ReadSlots:
		s.read(e, now)
	case cells.WriteSlot:
		s.written(e, now)
	}
}

func (s *slot) read(e cells.StoreEvent, now time.Time) {
	if e.Result != cells.StoreDone {
		s.holder.HandleReadError(now)
		return
	}
	zone := s.Self.Get().Place.Zone
	if e.Command.Zone != "" && e.Command.Zone != zone {
		return
	}
	if s.confirming {
		s.confirming, s.confirmed, s.claimAt = false, true, now
	}
	present := make(map[int]cells.SlotObject)
	for _, o := range e.Slots {
		if o.Zone == zone {
			present[o.Number] = o
		}
	}
	for i := range s.observers {
		fence, token := lease.Fence(present[i].Version), lease.Token(present[i].Token)
		if s.ownEarlier(present[i]) {
			token = ""
			s.reclaim(i)
		}
		if i == s.number {
			s.holder.HandleRead(now, &s.observers[i], fence, token)
			continue
		}
		s.observers[i].Observe(now, fence, token)
	}
}

// ownEarlier reports whether an earlier process of this very host holds the
// slot; it is gone, since this one runs.
func (s *slot) ownEarlier(o cells.SlotObject) bool {
	return o.Relay.Host == s.Self.Get().Host && !s.owns(lease.Token(o.Token))
}

// reclaim makes a restarted relay take its slot again at once.
func (s *slot) reclaim(number int) {
	if s.number < 0 && !s.releasing {
		s.number = number
	}
}

func (s *slot) written(e cells.StoreEvent, now time.Time) {
	if s.number < 0 || e.Command.Slot.Number != s.number {
		return
	}
	outcomes := [...]lease.Outcome{
		cells.StoreDone:     lease.Applied,
		cells.StoreConflict: lease.Conflict,
		cells.StoreFailed:   lease.Failed,
		cells.StoreUnknown:  lease.Unknown,
	}
	s.holder.HandleWrite(now, &s.observers[s.number], lease.WriteResult{
		Token:   lease.Token(e.Command.Slot.Token),
		Outcome: outcomes[e.Result],
		Fence:   lease.Fence(e.Version),
	})
}

// want picks a slot that nobody holds, if there is one.
func (s *slot) want(now time.Time) {
	if s.number >= 0 || s.releasing {
		return
	}
	for i := range s.observers {
		switch s.observers[i].Status(now) {
		case lease.Unseen, lease.Vacant, lease.Stale:
			s.number = i
			return
		case lease.Held:
		}
	}
}

// claimUnserved makes a node claim a slot when its zone has no relay to serve it.
func (s *slot) claimUnserved(now time.Time) {
	if s.number >= 0 || s.Uplinks.Get().Served || s.zoneServed(now) {
		s.claimAt, s.confirming, s.confirmed = time.Time{}, false, false
		return
	}
	if s.claimAt.IsZero() {
		s.claimAt = now.Add(spreadOut(claimSpread, s.source))
	}
	if now.Before(s.claimAt) {
		s.alarm.SetIfEarlier(s.claimAt)
		return
	}
	if !s.confirmed {
		s.confirm(now)
		return
	}
	s.claimAt, s.confirming, s.confirmed = time.Time{}, false, false
	s.want(now)
}

// confirm reads the slots once more before a claim, so that a herd of nodes
// costs many reads and few writes.
func (s *slot) confirm(now time.Time) {
	s.confirming, s.claimAt = true, now.Add(confirmTime)
	s.alarm.SetIfEarlier(s.claimAt)
	s.StoreCommands.Send(cells.StoreCommand{Action: cells.ReadSlots, Zone: s.Self.Get().Place.Zone})
}

// zoneServed reports whether a slot of the zone is held, or not yet read.
func (s *slot) zoneServed(now time.Time) bool {
	for i := range s.observers {
		switch s.observers[i].Status(now) {
		case lease.Unseen:
			return true
		case lease.Held:
			s.alarm.SetIfEarlier(s.observers[i].StaleAt())
			return true
		case lease.Vacant, lease.Stale:
		}
	}
	return false
}

// advance does what the lease's holder intends.
func (s *slot) advance(now time.Time) {
	if s.number < 0 {
		return
	}
	observer := &s.observers[s.number]
	s.hurry(now)
	switch i := s.holder.NextAction(now, observer).(type) {
	case lease.Claim:
		s.write(i.Expected, i.Token)
	case lease.Renew:
		s.write(i.Expected, i.Token)
	case lease.ReadObject:
		s.StoreCommands.Send(cells.StoreCommand{Action: cells.ReadSlots, Zone: s.Self.Get().Place.Zone})
	case lease.Wait:
		s.alarm.SetIfEarlier(i.Until)
	}
	if s.holder.State() != lease.Holding && observer.Status(now) == lease.Held && !s.owns(observer.Token()) {
		s.number = -1
	}
}

// hurry reports a changed mark soon, but not at the same time as other relays.
func (s *slot) hurry(now time.Time) {
	if s.holder.State() != lease.Holding || equalMarks(s.mark, s.ChildSummary.Get()) {
		s.reportAt = time.Time{}
		return
	}
	if s.reportAt.IsZero() {
		s.reportAt = now.Add(jitter(reportSpread, s.source))
	}
	if now.Before(s.reportAt) {
		s.alarm.SetIfEarlier(s.reportAt)
		return
	}
	s.holder.RequestRenewal()
}

func (s *slot) owns(token lease.Token) bool {
	prefix := s.holder.Name + "#"
	return len(token) > len(prefix) && string(token[:len(prefix)]) == prefix
}

func (s *slot) write(expected lease.Fence, token lease.Token) {
	self := s.Self.Get()
	s.mark = s.ChildSummary.Get()
	s.StoreCommands.Send(cells.StoreCommand{Action: cells.WriteSlot, Slot: cells.SlotObject{
		Zone:    self.Place.Zone,
		Number:  s.number,
		Version: uint64(expected),
		Token:   string(token),
		Relay:   relay.Relay{Host: self.Host, Place: self.Place, Node: self.Address},
		Summary: s.mark,
	}})
}

// publish keeps the role while no other node is seen in the slot.
func (s *slot) publish(now time.Time) {
	old := s.RelaySlot.Get()
	next := cells.RelaySlot{Held: s.holder.Valid(now) || (old.Held && s.number == old.Number), Number: s.number}
	if !next.Held {
		next = cells.RelaySlot{}
	}
	if next != old {
		s.RelaySlot.Set(next)
	}
}

// release gives the slot up when the node leaves.
func (s *slot) release() {
	if s.releasing {
		return
	}
	s.releasing = true
	if s.number < 0 {
		return
	}
	intention, needed := s.holder.Release()
	if needed {
		s.StoreCommands.Send(cells.StoreCommand{Action: cells.DeleteSlot, Slot: cells.SlotObject{
			Zone: s.Self.Get().Place.Zone, Number: s.number, Version: uint64(intention.Expected),
		}})
	}
	s.number = -1
	s.RelaySlot.Set(cells.RelaySlot{})
}
