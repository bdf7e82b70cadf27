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

// The size of one relay's zone and of the fleet that is planned for in two years.
const (
	plannedChildren = 105
	plannedZones    = 15
)

// peerLink is the link to another relay, which sends the records of the fleet.
const peerLink = cells.LinkID(1)

// relayBench is the control state of a relay with fake links and a fake platform.
type relayBench struct {
	board board.Board
	cells.Node
	now time.Time
	// replies of the platform are delivered after the Settle that requested them.
	replies  []cells.StoreEvent
	head     tree.Head
	settings *tree.Tree
	chunks   map[mesh.Digest]*tree.Chunk
	// messagesSent counts the messages that the relay sent.
	messagesSent int
}

func newRelayBench(tb testing.TB, children, services, records int) *relayBench {
	r := &relayBench{now: time.Unix(1_000_000, 0), settings: &tree.Tree{}, chunks: make(map[mesh.Digest]*tree.Chunk)}
	r.Self.Set(cells.Self{
		Host: "self", Place: mesh.Place{Region: regionOf(0), Zone: zonePrefix + "-0"}, Address: nodeAddress(0), Incarnation: 1,
		Customer: customerOf(0), RelaysPerZone: 1, Heartbeat: 2 * time.Second, LeaseTTL: 12 * time.Second,
	})
	r.LinkCommands.Handle = r.handleLink
	r.StoreCommands.Handle = r.handleStore
	r.SnapshotUpdates.Handle = func(mesh.Version) {}
	r.LogEvents.Handle = func(cells.LogEvent) {}
	r.MetricsTicks.Handle = func(time.Time) {}
	ctrl.AddNode(&r.board, &r.Node, rand.NewPCG(1, 2))
	for range 40 {
		r.advance(time.Second)
	}
	assert.Assert(tb, r.Uplinks.Load().Lead)
	for _, edits := range generateChanges(services, plannedRegions) {
		r.accept(tb, edits)
	}
	r.connectChildren(children)
	r.loadRecords(records)
	assert.Equal(tb, r.Config.Load().Manifest.Version, r.head.Version)
	assert.Assert(tb, r.Records.Read().Len() >= records)
	return r
}

func nodeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8081)
}

// advance advances the clock and settles the board until no reply of the platform is
// pending.
func (r *relayBench) advance(d time.Duration) {
	r.now = r.now.Add(d)
	r.board.Settle(r.now)
	for len(r.replies) > 0 {
		answers := r.replies
		r.replies = nil
		for _, a := range answers {
			r.StoreEvents.Post(a)
		}
		r.board.Settle(r.now)
	}
}

func (r *relayBench) handleLink(c cells.LinkCommand) {
	if c.Action == cells.LinkSend {
		r.messagesSent++
	}
}

func (r *relayBench) handleStore(c cells.StoreCommand) {
	e := cells.StoreEvent{Action: c.Action, Command: c, Result: cells.StoreDone}
	switch c.Action {
	case cells.WriteSlot:
		e.Version = uint64(r.now.UnixNano())
	case cells.WatchHead:
		return
	case cells.ReadChunks:
		for _, ref := range c.Chunks {
			e.Chunks = append(e.Chunks, r.chunks[ref.Digest])
		}
	default:
	}
	r.replies = append(r.replies, e)
}

// accept accepts a change and publishes the new head.
func (r *relayBench) accept(tb testing.TB, edits []tree.Edit) {
	r.publish(r.makeChange(tb, edits))
}

// makeChange returns the head and settings that result from a change, as the
// submission of an operator does.
func (r *relayBench) makeChange(tb testing.TB, edits []tree.Edit) (head tree.Head, settings *tree.Tree) {
	change := tree.Change{
		ID: mesh.ChangeID(fmt.Sprintf("c%d", r.head.Version+1)), Author: "sizing", Base: r.head.Version, Edits: edits,
	}
	head, settings, err := r.head.Accept(r.settings, change, r.now)
	assert.NilError(tb, err)
	return head, settings
}

// timeoutEdits sets one value, a different one for each i.
func timeoutEdits(i int) []tree.Edit {
	return []tree.Edit{{Path: tree.Join(customerOf(0), "", ""), Key: "timeout", Value: fmt.Sprintf("%dms", 5000+i)}}
}

// publish stores the chunks of the settings and delivers the head as the platform's
// watch does.
func (r *relayBench) publish(head tree.Head, settings *tree.Tree) {
	r.head, r.settings = head, settings
	for _, scope := range settings.Scopes() {
		c := settings.Chunk(scope)
		r.chunks[c.Digest()] = c
	}
	r.StoreEvents.Post(cells.StoreEvent{Action: cells.WatchHead, Head: head})
	r.advance(0)
}

func (r *relayBench) deliver(link cells.LinkID, message ctlmsg.Message) {
	r.LinkEvents.Post(cells.LinkEvent{Link: link, Kind: cells.LinkMessage, Message: message})
}

// connectChildren connects children to the relay, no faster than it accepts them.
func (r *relayBench) connectChildren(children int) {
	for i := range children {
		link := peerLink + 1 + cells.LinkID(i)
		r.LinkEvents.Post(cells.LinkEvent{Link: link, Kind: cells.LinkUp})
		r.deliver(link, ctlmsg.Hello{
			Host: r.childRecord(i).Host, Place: r.Self.Load().Place, Node: nodeAddress(i), Incarnation: 1, ProtocolVersion: ctlmsg.ProtocolVersion,
		})
		r.deliver(link, ctlmsg.Heartbeat{Upstream: r.childRecord(i), Version: r.head.Version})
		request := ctlmsg.ConfigRequest{}
		customer := customerOf(i % plannedServices)
		for _, p := range []tree.Path{"", tree.Join(customer, "", ""), tree.Join(customer, regionOf(0), "")} {
			request.Chunks = append(request.Chunks, ctlmsg.ChunkRequest{Scope: p})
		}
		for v := range servicesPerCustomer {
			request.Services = append(request.Services, serviceOf(i%plannedServices/servicesPerCustomer*servicesPerCustomer+v))
		}
		r.deliver(link, request)
		r.advance(50 * time.Millisecond)
	}
	r.sendHeartbeats(children)
}

func (r *relayBench) childRecord(i int) member.Record {
	record := upstreamRecord(i, plannedServices, plannedRegions, plannedZones)
	record.Host, record.Place, record.Relay = mesh.HostID(fmt.Sprintf("child-%d", i)), r.Self.Load().Place, "self"
	return record
}

func (r *relayBench) sendHeartbeats(children int) {
	for i := range children {
		r.deliver(peerLink+1+cells.LinkID(i), ctlmsg.Heartbeat{Upstream: r.childRecord(i), Version: r.head.Version})
	}
	r.advance(0)
}

// loadRecords delivers the records of the fleet from another relay.
func (r *relayBench) loadRecords(records int) {
	r.LinkEvents.Post(cells.LinkEvent{Link: peerLink, Kind: cells.LinkUp})
	r.deliver(peerLink, ctlmsg.Hello{
		Host: "peer", Place: mesh.Place{Region: regionOf(0), Zone: zonePrefix + "-1"}, Node: nodeAddress(9999), Incarnation: 1,
		Relay: true, WantsAll: true, ProtocolVersion: ctlmsg.ProtocolVersion,
	})
	r.advance(0)
	all := make([]member.Record, 0, records)
	for i := range records {
		all = append(all, upstreamRecord(i, plannedServices, plannedRegions, plannedZones))
	}
	r.deliver(peerLink, ctlmsg.MemberRecords{Records: all, CompleteServices: []mesh.ServiceID{{}}})
	r.advance(0)
	r.advance(4 * time.Second)
}

// BenchmarkSettle measures the control thread of a relay at the planned size, without
// the encoding of messages, which runs on other threads.
func BenchmarkSettle(b *testing.B) {
	tests := []struct {
		name string
		// step is the i-th iteration.
		step func(b *testing.B, r *relayBench, i int)
	}{
		{name: "Submission", step: func(b *testing.B, r *relayBench, i int) {
			r.makeChange(b, timeoutEdits(i))
		}},
		{name: "Change", step: func(b *testing.B, r *relayBench, i int) {
			b.StopTimer()
			head, whole := r.makeChange(b, timeoutEdits(i))
			b.StartTimer()
			r.publish(head, whole)
		}},
		{name: "MembershipEvent", step: func(_ *testing.B, r *relayBench, i int) {
			record := upstreamRecord(i%plannedRecords, plannedServices, plannedRegions, plannedZones)
			record.Stamp.Sequence = uint64(plannedRecords + i + 1)
			r.deliver(peerLink, ctlmsg.MemberRecords{Records: []member.Record{record}})
			r.advance(0)
		}},
		{name: "Heartbeat", step: func(_ *testing.B, r *relayBench, i int) {
			child := i % plannedChildren
			r.deliver(peerLink+1+cells.LinkID(child), ctlmsg.Heartbeat{Upstream: r.childRecord(child), Version: r.head.Version})
			r.advance(0)
		}},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			r := newRelayBench(b, plannedChildren, plannedServices, plannedRecords)
			r.messagesSent = 0
			i := 0
			for b.Loop() {
				tt.step(b, r, i)
				i++
			}
			b.ReportMetric(float64(r.messagesSent)/float64(i), "messages/op")
		})
	}
}

// BenchmarkRelayMemory measures the heap that the control state of a relay keeps
// alive, without its sessions.
func BenchmarkRelayMemory(b *testing.B) {
	tests := []struct {
		children, services, records int
	}{
		{children: 0, services: 10, records: 500},
		{children: 0, services: 10, records: 2000},
		{children: 0, services: 10, records: plannedRecords},
		{children: 0, services: 400, records: 500},
		{children: 0, services: plannedServices, records: 500},
		{children: 50, services: 10, records: 500},
		{children: plannedChildren, services: 10, records: 500},
		{children: plannedChildren, services: plannedServices, records: plannedRecords},
	}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("%dChildren%dServices%dRecords", tt.children, tt.services, tt.records), func(b *testing.B) {
			var sum float64
			for b.Loop() {
				bytes, _, err := retainedHeap(func() (*relayBench, error) {
					r := newRelayBench(b, tt.children, tt.services, tt.records)
					// The settings of the fake platform don't belong to the relay.
					r.head, r.settings, r.chunks = tree.Head{}, nil, nil
					return r, nil
				})
				assert.NilError(b, err)
				sum += bytes
			}
			b.ReportMetric(sum/float64(b.N)/1024, "heldKiB")
		})
	}
}
