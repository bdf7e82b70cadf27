package ctrl_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/ctrl"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/board"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// latency is the one-way delay of messages between hosts and of the platform.
const latency = 5 * time.Millisecond

// host is the blackboard of one node.
type host struct {
	board board.Board
	cells.Node
	down bool
	// paused is true while the host's process is suspended.
	paused bool
	// service is the service of the host's upstream; empty if it has none.
	service mesh.Service
	// nextStep is when the board's next alarm is due.
	nextStep time.Time
	// highestVersion is the highest version that was in force.
	highestVersion mesh.Version
}

// event is a function to run at a time. Events at the same time run in the order of
// their sequence.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// linkEnd is one end of a link.
type linkEnd struct {
	host   *host
	id     cells.LinkID
	far    *linkEnd
	dialed netip.AddrPort
	closed bool
	// silent is true while messages sent by this end are lost.
	silent bool
	// lastArrival is when the last message sent by this end arrives; messages of one
	// link arrive in order.
	lastArrival time.Time
}

// fleet connects hosts by fake links and a fake platform, in virtual time.
type fleet struct {
	t            *testing.T
	now          time.Time
	hosts        []*host
	queue        events
	lastSequence int
	linkEnds     map[*host]map[cells.LinkID]*linkEnd
	store        fakeStore
	partitioned  func(from, to mesh.Place) bool
	changeCount  int
	// extraDelay returns the delay of the next message beyond latency; nil for none.
	extraDelay func() time.Duration
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, now: time.Unix(1_000_000, 0), linkEnds: make(map[*host]map[cells.LinkID]*linkEnd)}
	f.store.fleet = f
	return f
}

// addHost starts a host. Its port is its number in the fleet, from one.
func (f *fleet) addHost(name string, region mesh.Region, zone mesh.Zone, seeds ...netip.AddrPort) *host {
	h := &host{}
	f.hosts = append(f.hosts, h)
	f.start(h, cells.Self{
		Host: mesh.HostID(name), Place: mesh.Place{Region: region, Zone: zone},
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(len(f.hosts))),
		Incarnation: 1, Customer: "trauerhaus", Seeds: seeds, PlatformRegion: "ch-west",
		RelaysPerZone: 2, Heartbeat: 2 * time.Second, LeaseTTL: 12 * time.Second,
	})
	return h
}

// restart starts a new process for a killed host, without any state.
func (f *fleet) restart(old *host) *host {
	h := &host{service: old.service}
	f.hosts[slices.Index(f.hosts, old)] = h
	self := old.Self.Load()
	self.Incarnation++
	f.start(h, self)
	if h.service != "" {
		f.announce(h, h.service)
	}
	return h
}

func (f *fleet) start(h *host, self cells.Self) {
	f.linkEnds[h] = make(map[cells.LinkID]*linkEnd)
	h.Self.Set(self)
	h.LinkCommands.Handle = func(c cells.LinkCommand) { f.handleLinkCommand(h, c) }
	h.StoreCommands.Handle = func(c cells.StoreCommand) { f.store.handle(h, c) }
	h.SnapshotUpdates.Handle = func(mesh.Version) {}
	h.LogEvents.Handle = func(cells.LogEvent) {}
	h.MetricsTicks.Handle = func(time.Time) {}
	ctrl.AddNode(&h.board, &h.Node, rand.NewPCG(uint64(self.Address.Port()), self.Incarnation))
	f.schedule(0, func() { f.settle(h) })
}

func (f *fleet) schedule(d time.Duration, run func()) {
	f.lastSequence++
	heap.Push(&f.queue, event{at: f.now.Add(d), sequence: f.lastSequence, run: run})
}

// settle steps a host and checks the invariants: its version never falls, and it
// holds no chunk that differs from the manifest.
func (f *fleet) settle(h *host) {
	if h.down || h.paused {
		return
	}
	h.nextStep = h.board.Settle(f.now)
	config := h.Config.Load()
	if config.Manifest.Version < h.highestVersion {
		f.t.Fatalf("%s went back from version %d to %d", h.Self.Load().Host, h.highestVersion, config.Manifest.Version)
	}
	h.highestVersion = config.Manifest.Version
	for _, s := range config.Tree.Scopes() {
		if config.Tree.Chunk(s).Digest() != config.Manifest.Chunks[s] {
			f.t.Fatalf("%s has version %d in force with chunk %q of another version", h.Self.Load().Host, h.highestVersion, s)
		}
	}
	if !h.nextStep.IsZero() {
		at := h.nextStep
		f.schedule(max(at.Sub(f.now), time.Millisecond), func() {
			if h.nextStep.Equal(at) {
				f.settle(h)
			}
		})
	}
}

// advance runs the events of the next d.
func (f *fleet) advance(d time.Duration) {
	until := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = until
}

// waitUntil advances the time until the condition holds and returns how long that
// took. It fails the test after d.
func (f *fleet) waitUntil(d time.Duration, what string, condition func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !condition() {
		if f.now.Sub(start) > d {
			f.t.Fatalf("not within %s: %s\n%s", d, what, f.describe())
		}
		f.advance(10 * time.Millisecond)
	}
	return f.now.Sub(start)
}

func (f *fleet) describe() (text string) {
	for _, h := range f.hosts {
		text += fmt.Sprintf("%s down=%v version=%d slot=%v uplinks=%v records=%d adoption=%+v\n", h.Self.Load().Host, h.down,
			h.highestVersion, h.RelaySlot.Load(), h.Uplinks.Load(), h.Records.Read().LiveCount(), h.Adoption.Load())
	}
	return text
}

func (f *fleet) handleLinkCommand(h *host, c cells.LinkCommand) {
	switch c.Action {
	case cells.LinkDial:
		f.dial(h, c.Address)
	case cells.LinkSend:
		end := f.linkEnds[h][c.Link]
		if end == nil || end.silent {
			return
		}
		encoded := wire.EncodeControl(c.Message)
		message, err := wire.DecodeControl(encoded)
		assert.NilError(f.t, err)
		f.schedule(f.delay(end), func() {
			if !end.far.closed && !end.far.host.down && !f.isPartitioned(end) {
				f.post(end.far.host, cells.LinkEvent{Link: end.far.id, Kind: cells.LinkMessage, Message: message})
			}
		})
	case cells.LinkClose:
		if end := f.linkEnds[h][c.Link]; end != nil {
			f.schedule(latency, func() { f.close(end) })
		}
	}
}

// delay returns how long the next message sent by the end is under way.
func (f *fleet) delay(end *linkEnd) time.Duration {
	at := f.now.Add(latency)
	if f.extraDelay != nil {
		at = at.Add(f.extraDelay())
	}
	if at.Before(end.lastArrival) {
		at = end.lastArrival
	}
	end.lastArrival = at
	return at.Sub(f.now)
}

func (f *fleet) isPartitioned(end *linkEnd) bool {
	return f.partitioned != nil && f.partitioned(end.host.Self.Load().Place, end.far.host.Self.Load().Place)
}

func (f *fleet) dial(h *host, node netip.AddrPort) {
	far := f.hosts[node.Port()-1]
	blocked := f.partitioned != nil && (f.partitioned(h.Self.Load().Place, far.Self.Load().Place) || f.partitioned(far.Self.Load().Place, h.Self.Load().Place))
	if far.down || blocked {
		f.schedule(latency, func() { f.post(h, cells.LinkEvent{Kind: cells.LinkDown, Dialed: true, Address: node}) })
		return
	}
	f.lastSequence++
	near, other := &linkEnd{host: h, id: cells.LinkID(f.lastSequence), dialed: node}, &linkEnd{host: far, id: cells.LinkID(f.lastSequence + 1)}
	f.lastSequence++
	near.far, other.far = other, near
	f.linkEnds[h][near.id], f.linkEnds[far][other.id] = near, other
	f.schedule(latency, func() {
		f.post(h, cells.LinkEvent{Link: near.id, Kind: cells.LinkUp, Dialed: true, Address: node})
		f.post(far, cells.LinkEvent{Link: other.id, Kind: cells.LinkUp})
	})
}

func (f *fleet) close(end *linkEnd) {
	for _, e := range []*linkEnd{end, end.far} {
		if e.closed || (e != end && (end.silent || f.isPartitioned(end))) {
			continue
		}
		e.closed = true
		delete(f.linkEnds[e.host], e.id)
		f.post(e.host, cells.LinkEvent{Link: e.id, Kind: cells.LinkDown, Dialed: e.dialed.IsValid(), Address: e.dialed})
	}
}

func (f *fleet) post(h *host, e cells.LinkEvent) {
	h.LinkEvents.Post(e)
	f.settle(h)
}

// resume continues a paused host.
func (f *fleet) resume(h *host) {
	h.paused = false
	f.settle(h)
}

// kill stops a host immediately; its links go down.
func (f *fleet) kill(h *host) {
	h.down = true
	for _, end := range f.sortedEnds(h) {
		f.close(end)
	}
}

func (f *fleet) sortedEnds(h *host) (ends []*linkEnd) {
	for _, end := range f.linkEnds[h] {
		ends = append(ends, end)
	}
	slices.SortFunc(ends, func(a, b *linkEnd) int { return cmp.Compare(a.id, b.id) })
	return ends
}

// announce announces the host's upstream, and again every 3 s while the host serves.
func (f *fleet) announce(h *host, service mesh.Service) {
	h.service = service
	if h.down || h.Phase.Load() == cells.Draining || h.Phase.Load() == cells.Stopped {
		return
	}
	h.Announcements.Post(cells.Announcement{ID: mesh.ServiceID{Customer: "trauerhaus", Service: service}, Slots: 9})
	f.settle(h)
	f.schedule(3*time.Second, func() { f.announce(h, service) })
}

// submit submits a change to the fake platform and returns its version.
func (f *fleet) submit(edits ...tree.Edit) mesh.Version {
	f.t.Helper()
	f.changeCount++
	change := tree.Change{ID: mesh.ChangeID(fmt.Sprint("c", f.changeCount)), Author: "tester", Base: f.store.head.Version, Edits: edits}
	f.store.accept(change)
	return f.store.head.Version
}

// inForce returns a condition: every running host has had at least the version in
// force.
func (f *fleet) inForce(version mesh.Version) func() bool {
	return func() bool {
		return !slices.ContainsFunc(f.hosts, func(h *host) bool { return !h.down && h.highestVersion < version })
	}
}
