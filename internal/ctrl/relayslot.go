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

// claimJitter is the longest delay before a node of a zone without relays claims a
// slot, so that the nodes of the zone spread their claims.
const claimJitter = 2 * time.Second

// minWriteInterval is the minimum time between two writes of a slot. It limits the
// write rate of a fleet's relays while a change is distributed.
const minWriteInterval = time.Second

// reportJitter is the longest delay before a relay reports a changed summary, so
// that the relays of a fleet spread their reports of a change.
const reportJitter = 2 * time.Second

// confirmTimeout is the longest wait for the read that precedes a claim before it is
// repeated.
const confirmTimeout = 5 * time.Second

// relaySlot claims and renews a relay slot of the zone. The slot is a lease in the
// platform, and its object also carries the relay's report on its children.
//
// Two relays in one slot cost bandwidth but do no harm. Therefore a relay that can't
// reach the platform keeps its role until it sees that another node has taken the
// slot.
type relaySlot struct {
	*cells.Node
	alarm     board.Alarm
	source    rand.Source
	holder    lease.Holder
	observers []lease.Observer
	// number is the slot that this node claims or holds; -1 for none.
	number int
	// claimAt is when an unserved node claims a slot; zero while no claim is
	// scheduled.
	claimAt time.Time
	// confirming is true while the slots are read again before a claim, and confirmed
	// is true once that read has been answered.
	confirming, confirmed bool
	// reportAt is when a changed summary is reported; zero while there is none.
	reportAt time.Time
	// lastSummary is the summary in the last write.
	lastSummary relay.Summary
	// released is true once the slot has been released for good, because the node
	// drains.
	released bool
}

func newRelaySlot(node *cells.Node, source rand.Source) board.Controller {
	s := &relaySlot{Node: node, source: source, number: -1}
	return board.Controller{
		Name:   "relaySlot",
		Reads:  []board.Ref{&node.StoreEvents, &node.LinkEvents, &node.Uplinks, &node.ChildSummary, &node.Phase, &s.alarm},
		Uses:   []board.Ref{&node.Self, &node.Directory},
		Writes: []board.Ref{&node.RelaySlot, &node.StoreCommands, &s.alarm},
		Step:   s.step,
	}
}

func (s *relaySlot) step(now time.Time) {
	s.init()
	for _, e := range s.StoreEvents.Events() {
		s.handleStoreEvent(e, now)
	}
	for _, e := range s.LinkEvents.Events() {
		if _, ok := e.Message.(ctlmsg.RelayInvite); ok {
			s.chooseSlot(now)
		}
	}
	if s.Phase.Get() == cells.Draining || s.Phase.Get() == cells.Stopped {
		s.release()
		return
	}
	s.claimWhenUnserved(now)
	s.followLease(now)
	s.publish(now)
}

func (s *relaySlot) init() {
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
	s.holder.RetryInterval = minWriteInterval
}

// handleStoreEvent handles responses to reads of the slots and to this node's writes.
func (s *relaySlot) handleStoreEvent(e cells.StoreEvent, now time.Time) {
	switch e.Action {
	case cells.ReadSlots:
		s.handleSlots(e, now)
	case cells.WriteSlot:
		s.handleWrite(e, now)
	}
}

// handleSlots passes the zone's slots, as read, to the lease observers and the holder.
func (s *relaySlot) handleSlots(e cells.StoreEvent, now time.Time) {
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
		if s.heldByEarlierProcess(present[i]) {
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

// heldByEarlierProcess reports whether an earlier process of this host holds the slot.
// That process has ended, since this one is running.
func (s *relaySlot) heldByEarlierProcess(o cells.SlotObject) bool {
	return o.Relay.Host == s.Self.Get().Host && !s.owns(lease.Token(o.Token))
}

// reclaim makes a restarted relay claim its slot again without delay.
func (s *relaySlot) reclaim(number int) {
	if s.number < 0 && !s.released {
		s.number = number
	}
}

func (s *relaySlot) handleWrite(e cells.StoreEvent, now time.Time) {
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

// chooseSlot selects a slot that nobody holds, if there is one.
func (s *relaySlot) chooseSlot(now time.Time) {
	if s.number >= 0 || s.released {
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

// claimWhenUnserved makes a node claim a slot if no relay serves it and its zone has
// none.
func (s *relaySlot) claimWhenUnserved(now time.Time) {
	if s.number >= 0 || s.Uplinks.Get().Served || s.zoneHasRelay(now) {
		s.claimAt, s.confirming, s.confirmed = time.Time{}, false, false
		return
	}
	if s.claimAt.IsZero() {
		s.claimAt = now.Add(equalJitter(claimJitter, s.source))
	}
	if now.Before(s.claimAt) {
		s.alarm.SetIfEarlier(s.claimAt)
		return
	}
	if !s.confirmed {
		s.rereadSlots(now)
		return
	}
	s.claimAt, s.confirming, s.confirmed = time.Time{}, false, false
	s.chooseSlot(now)
}

// rereadSlots reads the slots once more before a claim, so that when many nodes
// start at once most of them see that a slot was claimed and do not write.
func (s *relaySlot) rereadSlots(now time.Time) {
	s.confirming, s.claimAt = true, now.Add(confirmTimeout)
	s.alarm.SetIfEarlier(s.claimAt)
	s.StoreCommands.Send(cells.StoreCommand{Action: cells.ReadSlots, Zone: s.Self.Get().Place.Zone})
}

// zoneHasRelay reports whether a slot of the zone is held or has not been read yet.
func (s *relaySlot) zoneHasRelay(now time.Time) bool {
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

// followLease carries out the next action of the lease holder. It gives up a slot
// that another node holds.
func (s *relaySlot) followLease(now time.Time) {
	if s.number < 0 {
		return
	}
	observer := &s.observers[s.number]
	s.requestReport(now)
	switch action := s.holder.NextAction(now, observer).(type) {
	case lease.Claim:
		s.write(action.Expected, action.Token)
	case lease.Renew:
		s.write(action.Expected, action.Token)
	case lease.ReadObject:
		s.StoreCommands.Send(cells.StoreCommand{Action: cells.ReadSlots, Zone: s.Self.Get().Place.Zone})
	case lease.Wait:
		s.alarm.SetIfEarlier(action.Until)
	}
	if s.holder.State() != lease.Holding && observer.Status(now) == lease.Held && !s.owns(observer.Token()) {
		s.number = -1
	}
}

// requestReport makes the lease be renewed early if the summary has changed, after a
// random delay so that relays do not report at the same time.
func (s *relaySlot) requestReport(now time.Time) {
	if s.holder.State() != lease.Holding || equalSummaries(s.lastSummary, s.ChildSummary.Get()) {
		s.reportAt = time.Time{}
		return
	}
	if s.reportAt.IsZero() {
		s.reportAt = now.Add(fullJitter(reportJitter, s.source))
	}
	if now.Before(s.reportAt) {
		s.alarm.SetIfEarlier(s.reportAt)
		return
	}
	s.holder.RequestRenewal()
}

// owns reports whether the token was written by this process.
func (s *relaySlot) owns(token lease.Token) bool {
	prefix := s.holder.Name + "#"
	return len(token) > len(prefix) && string(token[:len(prefix)]) == prefix
}

func (s *relaySlot) write(expected lease.Fence, token lease.Token) {
	self := s.Self.Get()
	s.lastSummary = s.ChildSummary.Get()
	s.StoreCommands.Send(cells.StoreCommand{Action: cells.WriteSlot, Slot: cells.SlotObject{
		Zone:    self.Place.Zone,
		Number:  s.number,
		Version: uint64(expected),
		Token:   string(token),
		Relay:   relay.Relay{Host: self.Host, Place: self.Place, Node: self.Address},
		Summary: s.lastSummary,
	}})
}

// publish publishes the slot. This node remains a relay after its lease has expired
// until it sees another node in the slot.
func (s *relaySlot) publish(now time.Time) {
	old := s.RelaySlot.Get()
	next := cells.RelaySlot{Held: s.holder.Valid(now) || (old.Held && s.number == old.Number), Number: s.number}
	if !next.Held {
		next = cells.RelaySlot{}
	}
	if next != old {
		s.RelaySlot.Set(next)
	}
}

// release releases the slot when the node drains or stops.
func (s *relaySlot) release() {
	if s.released {
		return
	}
	s.released = true
	if s.number < 0 {
		return
	}
	action, needed := s.holder.Release()
	if needed {
		s.StoreCommands.Send(cells.StoreCommand{Action: cells.DeleteSlot, Slot: cells.SlotObject{
			Zone: s.Self.Get().Place.Zone, Number: s.number, Version: uint64(action.Expected),
		}})
	}
	s.number = -1
	s.RelaySlot.Set(cells.RelaySlot{})
}
