package ctrl_test

import (
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// fakeStore simulates the platform for the controllers of nodes.
type fakeStore struct {
	fleet    *fleet
	revision uint64
	slots    []cells.SlotObject
	head     tree.Head
	tree     *tree.Tree
	chunks   map[mesh.Digest]*tree.Chunk
	watchers []*host
	// down is true while the platform answers nothing.
	down bool
	// blocked is the host that receives no answers; nil for none.
	blocked *host
	// lostResponses is the number of next writes that take effect but report StoreUnknown.
	lostResponses int
	// calls is the number of all calls, and writes the number of writes among them.
	calls, writes int
}

func (s *fakeStore) handle(h *host, c cells.StoreCommand) {
	switch c.Action {
	case cells.WatchHead:
		s.watchers = append(s.watchers, h)
		s.sendHead(h)
		return
	case cells.UnwatchHead:
		s.watchers = slices.DeleteFunc(s.watchers, func(w *host) bool { return w == h })
		return
	default:
	}
	s.calls++
	event := cells.StoreEvent{Action: c.Action, Command: c, Result: cells.StoreFailed}
	if !s.down && s.blocked != h {
		s.answer(&event)
	}
	s.fleet.schedule(latency, func() {
		h.StoreEvents.Post(event)
		s.fleet.settle(h)
	})
}

func (s *fakeStore) answer(e *cells.StoreEvent) {
	e.Result = cells.StoreDone
	switch e.Action {
	case cells.ReadSlots:
		for _, o := range s.slots {
			if e.Command.Zone == "" || o.Zone == e.Command.Zone {
				e.Slots = append(e.Slots, o)
			}
		}
	case cells.WriteSlot:
		s.writes++
		s.write(e)
	case cells.DeleteSlot:
		s.writes++
		s.slots = slices.DeleteFunc(s.slots, func(o cells.SlotObject) bool {
			return o.Zone == e.Command.Slot.Zone && o.Number == e.Command.Slot.Number && o.Version == e.Command.Slot.Version
		})
	case cells.ReadChunks:
		for _, ref := range e.Command.Chunks {
			e.Chunks = append(e.Chunks, s.chunks[ref.Digest])
		}
	default:
	}
}

func (s *fakeStore) write(e *cells.StoreEvent) {
	slot := e.Command.Slot
	at := slices.IndexFunc(s.slots, func(o cells.SlotObject) bool { return o.Zone == slot.Zone && o.Number == slot.Number })
	var current uint64
	if at >= 0 {
		current = s.slots[at].Version
	}
	if current != slot.Version {
		e.Result = cells.StoreConflict
		return
	}
	s.revision++
	slot.Version = s.revision
	if at < 0 {
		s.slots = append(s.slots, slot)
	} else {
		s.slots[at] = slot
	}
	e.Version = s.revision
	if s.lostResponses > 0 {
		s.lostResponses--
		e.Result = cells.StoreUnknown
	}
}

func (s *fakeStore) accept(change tree.Change) {
	next, nextTree, err := s.head.Accept(s.tree, change, s.fleet.now)
	assert.NilError(s.fleet.t, err)
	s.setHead(next, nextTree)
}

// setHead replaces the head and notifies the hosts that watch it.
func (s *fakeStore) setHead(next tree.Head, nextTree *tree.Tree) {
	s.head, s.tree = next, nextTree
	if s.chunks == nil {
		s.chunks = make(map[mesh.Digest]*tree.Chunk)
	}
	for _, scope := range nextTree.Scopes() {
		c := nextTree.Chunk(scope)
		s.chunks[c.Digest()] = c
	}
	for _, h := range s.watchers {
		s.sendHead(h)
	}
}

func (s *fakeStore) sendHead(h *host) {
	head := s.head
	s.fleet.schedule(latency, func() {
		if s.down || s.blocked == h || !slices.Contains(s.watchers, h) {
			s.fleet.schedule(time.Second, func() { s.resendHead(h) })
			return
		}
		h.StoreEvents.Post(cells.StoreEvent{Action: cells.WatchHead, Head: head})
		s.fleet.settle(h)
	})
}

func (s *fakeStore) resendHead(h *host) {
	if slices.Contains(s.watchers, h) {
		s.sendHead(h)
	}
}
