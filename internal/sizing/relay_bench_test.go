package sizing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctlmsg"
	"arbutusstep.example/arbutusstep/internal/ctrl"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/member"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// The two-year size of one relay.
const (
	fullChildren = 105
	fullZones    = 15
)

// peerRelay is the link over which the table of the fleet comes.
const peerRelay = cells.LinkID(1)

// stand is the board of a relay whose links and platform are fakes.
type stand struct {
	board board.Board
	cells.Node
	now time.Time
	// answers wait until the settle that asked for them has ended.
	answers []cells.StoreEvent
	head    tree.Head
	whole   *tree.Tree
	chunks  map[mesh.Digest]*tree.Chunk
	// sent counts messages.
	sent int
}

func newStand(tb testing.TB, children, services, records int) *stand {
	s := &stand{now: time.Unix(1_000_000, 0), whole: &tree.Tree{}, chunks: make(map[mesh.Digest]*tree.Chunk)}
	s.Self.Set(cells.Self{
		Host: "self", Place: mesh.Place{Region: regionOf(0), Zone: zoneName + "-0"}, Address: nodeOf(0), Incarnation: 1,
		Customer: customerOf(0), RelaysPerZone: 1, Heartbeat: 2 * time.Second, LeaseTTL: 12 * time.Second,
	})
	s.LinkCommands.Handle = s.link
	s.StoreCommands.Handle = s.store
	s.SnapshotUpdates.Handle = func(mesh.Version) {}
	s.LogEvents.Handle = func(cells.LogEvent) {}
	s.MetricsTicks.Handle = func(time.Time) {}
	ctrl.AddNode(&s.board, &s.Node, rand.NewPCG(1, 2))
	for range 40 {
		s.pass(time.Second)
	}
	assert.Assert(tb, s.Uplinks.Load().Lead)
	for _, edits := range changes(services, fullRegions) {
		s.accept(tb, edits)
	}
	s.join(children)
	s.fill(records)
	assert.Equal(tb, s.Config.Load().Manifest.Version, s.head.Version)
	assert.Assert(tb, s.Records.Read().Len() >= records)
	return s
}

func nodeOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8081)
}

// pass lets the time pass and settles until the platform has answered.
func (s *stand) pass(d time.Duration) {
	s.now = s.now.Add(d)
	s.board.Settle(s.now)
	for len(s.answers) > 0 {
		answers := s.answers
		s.answers = nil
		for _, a := range answers {
			s.StoreEvents.Post(a)
		}
		s.board.Settle(s.now)
	}
}

func (s *stand) link(c cells.LinkCommand) {
	if c.Action == cells.LinkSend {
		s.sent++
	}
}

func (s *stand) store(c cells.StoreCommand) {
	e := cells.StoreEvent{Action: c.Action, Command: c, Result: cells.StoreDone}
	switch c.Action {
	case cells.WriteSlot:
		e.Version = uint64(s.now.UnixNano())
	case cells.WatchHead:
		return
	case cells.ReadChunks:
		for _, ref := range c.Chunks {
			e.Chunks = append(e.Chunks, s.chunks[ref.Digest])
		}
	default:
	}
	s.answers = append(s.answers, e)
}

// accept accepts a change and tells the head.
func (s *stand) accept(tb testing.TB, edits []tree.Edit) {
	s.tell(s.decide(tb, edits))
}

// decide accepts a change as an operator's submission does.
func (s *stand) decide(tb testing.TB, edits []tree.Edit) (head tree.Head, whole *tree.Tree) {
	change := tree.Change{
		ID: mesh.ChangeID(fmt.Sprintf("c%d", s.head.Version+1)), Author: "sizing", Base: s.head.Version, Edits: edits,
	}
	head, whole, err := s.head.Accept(s.whole, change, s.now)
	assert.NilError(tb, err)
	return head, whole
}

// edit returns a change of one value, another one each time.
func edit(i int) []tree.Edit {
	return []tree.Edit{{Path: tree.Join(customerOf(0), "", ""), Key: "timeout", Value: fmt.Sprintf("%dms", 5000+i)}}
}

// tell tells the head of an accepted change.
func (s *stand) tell(head tree.Head, whole *tree.Tree) {
	s.head, s.whole = head, whole
	for _, scope := range whole.Scopes() {
		c := whole.Chunk(scope)
		s.chunks[c.Digest()] = c
	}
	s.StoreEvents.Post(cells.StoreEvent{Action: cells.WatchHead, Head: head})
	s.pass(0)
}

func (s *stand) message(link cells.LinkID, message ctlmsg.Message) {
	s.LinkEvents.Post(cells.LinkEvent{Link: link, Kind: cells.LinkMessage, Message: message})
}

// join brings children to the relay, no faster than it takes them.
func (s *stand) join(children int) {
	for i := range children {
		link := peerRelay + 1 + cells.LinkID(i)
		s.LinkEvents.Post(cells.LinkEvent{Link: link, Kind: cells.LinkUp})
		s.message(link, ctlmsg.Hello{
			Host: s.child(i).Host, Place: s.Self.Load().Place, Node: nodeOf(i), Incarnation: 1, ProtocolVersion: ctlmsg.ProtocolVersion,
		})
		s.message(link, ctlmsg.Heartbeat{Upstream: s.child(i), Version: s.head.Version})
		held := ctlmsg.ConfigRequest{}
		customer := customerOf(i % fullServices)
		for _, p := range []tree.Path{"", tree.Join(customer, "", ""), tree.Join(customer, regionOf(0), "")} {
			held.Chunks = append(held.Chunks, ctlmsg.ChunkRequest{Scope: p})
		}
		for v := range servicesPerCustomer {
			held.Services = append(held.Services, serviceOf(i%fullServices/servicesPerCustomer*servicesPerCustomer+v))
		}
		s.message(link, held)
		s.pass(50 * time.Millisecond)
	}
	s.beats(children)
}

func (s *stand) child(i int) member.Record {
	r := recordOf(i, fullServices, fullRegions, fullZones)
	r.Host, r.Place, r.Relay = mesh.HostID(fmt.Sprintf("child-%d", i)), s.Self.Load().Place, "self"
	return r
}

func (s *stand) beats(children int) {
	for i := range children {
		s.message(peerRelay+1+cells.LinkID(i), ctlmsg.Heartbeat{Upstream: s.child(i), Version: s.head.Version})
	}
	s.pass(0)
}

// fill brings the records of the fleet from another relay.
func (s *stand) fill(records int) {
	s.LinkEvents.Post(cells.LinkEvent{Link: peerRelay, Kind: cells.LinkUp})
	s.message(peerRelay, ctlmsg.Hello{
		Host: "peer", Place: mesh.Place{Region: regionOf(0), Zone: zoneName + "-1"}, Node: nodeOf(9999), Incarnation: 1,
		Relay: true, WantsAll: true, ProtocolVersion: ctlmsg.ProtocolVersion,
	})
	s.pass(0)
	all := make([]member.Record, 0, records)
	for i := range records {
		all = append(all, recordOf(i, fullServices, fullRegions, fullZones))
	}
	s.message(peerRelay, ctlmsg.MemberRecords{Records: all, CompleteServices: []mesh.ServiceID{{}}})
	s.pass(0)
	s.pass(4 * time.Second)
}

// BenchmarkSettle measures the control thread of a relay at the two-year size,
// without the encoding of messages, which other threads do.
func BenchmarkSettle(b *testing.B) {
	tests := []struct {
		name string
		// each is what happens once, for the i-th time.
		each func(b *testing.B, s *stand, i int)
	}{
		{name: "Submission", each: func(b *testing.B, s *stand, i int) {
			s.decide(b, edit(i))
		}},
		{name: "Change", each: func(b *testing.B, s *stand, i int) {
			b.StopTimer()
			head, whole := s.decide(b, edit(i))
			b.StartTimer()
			s.tell(head, whole)
		}},
		{name: "MembershipEvent", each: func(_ *testing.B, s *stand, i int) {
			r := recordOf(i%fullRecords, fullServices, fullRegions, fullZones)
			r.Stamp.Sequence = uint64(fullRecords + i + 1)
			s.message(peerRelay, ctlmsg.MemberRecords{Records: []member.Record{r}})
			s.pass(0)
		}},
		{name: "Heartbeat", each: func(_ *testing.B, s *stand, i int) {
			child := i % fullChildren
			s.message(peerRelay+1+cells.LinkID(child), ctlmsg.Heartbeat{Upstream: s.child(child), Version: s.head.Version})
			s.pass(0)
		}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			s := newStand(b, fullChildren, fullServices, fullRecords)
			s.sent = 0
			i := 0
			for b.Loop() {
				tt.each(b, s, i)
				i++
			}
			b.ReportMetric(float64(s.sent)/float64(i), "messages/op")
		})
	}
}

// BenchmarkRelayMemory measures the heap that the control state of a relay
// keeps alive, without its sessions.
func BenchmarkRelayMemory(b *testing.B) {
	tests := []struct {
		children, services, records int
	}{
		{children: 0, services: 10, records: 500},
		{children: 0, services: 10, records: 2000},
		{children: 0, services: 10, records: fullRecords},
		{children: 0, services: 400, records: 500},
		{children: 0, services: fullServices, records: 500},
		{children: 50, services: 10, records: 500},
		{children: fullChildren, services: 10, records: 500},
		{children: fullChildren, services: fullServices, records: fullRecords},
	}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("%dChildren%dServices%dRecords", tt.children, tt.services, tt.records), func(b *testing.B) {
			var sum float64
			for b.Loop() {
				bytes, _, err := held(func() (*stand, error) {
					s := newStand(b, tt.children, tt.services, tt.records)
					// What the operator's side holds is not the relay's.
					s.head, s.whole, s.chunks = tree.Head{}, nil, nil
					return s, nil
				})
				assert.NilError(b, err)
				sum += bytes
			}
			b.ReportMetric(sum/float64(b.N)/1024, "heldKiB")
		})
	}
}
