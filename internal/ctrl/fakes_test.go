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

// latency is the one-way delay of every message between nodes.
const latency = 5 * time.Millisecond

// host is one node's blackboard.
type host struct {
	board board.Board
	cells.Set
	down bool
	// paused is true while the host's process stands still.
	paused bool
	// service is what the host's upstream serves; empty when it has none.
	service mesh.Service
	// alarm is when the board asked for its next step.
	alarm time.Time
	// version is the highest version seen in force.
	version mesh.Version
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
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

// wireEnd is one end of a link.
type wireEnd struct {
	host *host
	id   cells.LinkID
	far  *wireEnd
	node netip.AddrPort
	dead bool
	// silent is true while what this end sends vanishes.
	silent bool
}

// fleet joins hosts by fake links and a fake platform, in virtual time.
type fleet struct {
	t      *testing.T
	now    time.Time
	hosts  []*host
	queue  events
	count  int
	ends   map[*host]map[cells.LinkID]*wireEnd
	store  fakeStore
	cut    func(from, to mesh.Place) bool
	change int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, now: time.Unix(1_000_000, 0), ends: make(map[*host]map[cells.LinkID]*wireEnd)}
	f.store.fleet = f
	return f
}

// add starts a host; the i-th host of a fleet has the i-th address.
func (f *fleet) add(name string, region mesh.Region, zone mesh.Zone, seeds ...netip.AddrPort) *host {
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

// restart starts a killed host anew, with nothing kept.
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
	f.ends[h] = make(map[cells.LinkID]*wireEnd)
	h.Self.Set(self)
	h.LinkCommands.Handle = func(c cells.LinkCommand) { f.link(h, c) }
	h.StoreCommands.Handle = func(c cells.StoreCommand) { f.store.handle(h, c) }
	h.SnapshotUpdates.Handle = func(mesh.Version) {}
	h.LogEvents.Handle = func(cells.LogEvent) {}
	h.MetricsTicks.Handle = func(time.Time) {}
	ctrl.AddNode(&h.board, &h.Set, rand.NewPCG(uint64(self.Address.Port()), self.Incarnation))
	f.after(0, func() { f.settle(h) })
}

func (f *fleet) after(d time.Duration, run func()) {
	f.count++
	heap.Push(&f.queue, event{at: f.now.Add(d), order: f.count, run: run})
}

// settle steps a host and checks what must hold at every step.
func (f *fleet) settle(h *host) {
	if h.down || h.paused {
		return
	}
	h.alarm = h.board.Settle(f.now)
	config := h.Config.Load()
	if config.Manifest.Version < h.version {
		f.t.Fatalf("%s fell from version %d to %d", h.Self.Load().Host, h.version, config.Manifest.Version)
	}
	h.version = config.Manifest.Version
	for _, s := range config.Tree.Scopes() {
		if config.Tree.Chunk(s).Digest() != config.Manifest.Chunks[s] {
			f.t.Fatalf("%s holds version %d in part: chunk %q", h.Self.Load().Host, h.version, s)
		}
	}
	if !h.alarm.IsZero() {
		at := h.alarm
		f.after(max(at.Sub(f.now), time.Millisecond), func() {
			if h.alarm.Equal(at) {
				f.settle(h)
			}
		})
	}
}

// run lets the time pass.
func (f *fleet) run(d time.Duration) {
	until := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = until
}

// until lets the time pass until the condition holds, at most for d.
func (f *fleet) until(d time.Duration, what string, condition func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !condition() {
		if f.now.Sub(start) > d {
			f.t.Fatalf("not within %s: %s\n%s", d, what, f.describe())
		}
		f.run(10 * time.Millisecond)
	}
	return f.now.Sub(start)
}

func (f *fleet) describe() (text string) {
	for _, h := range f.hosts {
		text += fmt.Sprintf("%s down=%v version=%d slot=%v uplinks=%v records=%d adoption=%+v\n", h.Self.Load().Host, h.down,
			h.version, h.RelaySlot.Load(), h.Uplinks.Load(), h.Records.Read().LiveCount(), h.Adoption.Load())
	}
	return text
}

func (f *fleet) link(h *host, c cells.LinkCommand) {
	switch c.Action {
	case cells.LinkDial:
		f.dial(h, c.Address)
	case cells.LinkSend:
		end := f.ends[h][c.Link]
		if end == nil || end.silent {
			return
		}
		encoded := wire.EncodeControl(c.Message)
		message, err := wire.DecodeControl(encoded)
		assert.NilError(f.t, err)
		f.after(latency, func() {
			if !end.far.dead && !end.far.host.down && !f.severed(end) {
				f.post(end.far.host, cells.LinkEvent{Link: end.far.id, Kind: cells.LinkMessage, Message: message})
			}
		})
	case cells.LinkClose:
		if end := f.ends[h][c.Link]; end != nil {
			f.after(latency, func() { f.close(end) })
		}
	}
}

func (f *fleet) severed(end *wireEnd) bool {
	return f.cut != nil && f.cut(end.host.Self.Load().Place, end.far.host.Self.Load().Place)
}

func (f *fleet) dial(h *host, node netip.AddrPort) {
	far := f.hosts[node.Port()-1]
	blocked := f.cut != nil && (f.cut(h.Self.Load().Place, far.Self.Load().Place) || f.cut(far.Self.Load().Place, h.Self.Load().Place))
	if far.down || blocked {
		f.after(latency, func() { f.post(h, cells.LinkEvent{Kind: cells.LinkDown, Dialed: true, Address: node}) })
		return
	}
	f.count++
	near, other := &wireEnd{host: h, id: cells.LinkID(f.count), node: node}, &wireEnd{host: far, id: cells.LinkID(f.count + 1)}
	f.count++
	near.far, other.far = other, near
	f.ends[h][near.id], f.ends[far][other.id] = near, other
	f.after(latency, func() {
		f.post(h, cells.LinkEvent{Link: near.id, Kind: cells.LinkUp, Dialed: true, Address: node})
		f.post(far, cells.LinkEvent{Link: other.id, Kind: cells.LinkUp})
	})
}

func (f *fleet) close(end *wireEnd) {
	for _, e := range []*wireEnd{end, end.far} {
		if e.dead || (e != end && (end.silent || f.severed(end))) {
			continue
		}
		e.dead = true
		delete(f.ends[e.host], e.id)
		f.post(e.host, cells.LinkEvent{Link: e.id, Kind: cells.LinkDown, Dialed: e.node.IsValid(), Address: e.node})
	}
}

func (f *fleet) post(h *host, e cells.LinkEvent) {
	h.LinkEvents.Post(e)
	f.settle(h)
}

// resume lets a paused host go on.
func (f *fleet) resume(h *host) {
	h.paused = false
	f.settle(h)
}

// kill stops a host at once; its links end.
func (f *fleet) kill(h *host) {
	h.down = true
	for _, end := range f.sorted(h) {
		f.close(end)
	}
}

func (f *fleet) sorted(h *host) (ends []*wireEnd) {
	for _, end := range f.ends[h] {
		ends = append(ends, end)
	}
	slices.SortFunc(ends, func(a, b *wireEnd) int { return cmp.Compare(a.id, b.id) })
	return ends
}

// announce makes the host's upstream ready and keeps it so.
func (f *fleet) announce(h *host, service mesh.Service) {
	h.service = service
	if h.down || h.Phase.Load() == cells.Draining || h.Phase.Load() == cells.Stopped {
		return
	}
	h.Announcements.Post(cells.Announcement{ID: mesh.ServiceID{Customer: "trauerhaus", Service: service}, Slots: 9})
	f.settle(h)
	f.after(3*time.Second, func() { f.announce(h, service) })
}

// submit accepts a change in the fake platform.
func (f *fleet) submit(edits ...tree.Edit) mesh.Version {
	f.t.Helper()
	f.change++
	change := tree.Change{ID: mesh.ChangeID(fmt.Sprint("c", f.change)), Author: "tester", Base: f.store.head.Version, Edits: edits}
	f.store.accept(change)
	return f.store.head.Version
}

// inForce reports whether every running host has at least the version in force.
func (f *fleet) inForce(version mesh.Version) func() bool {
	return func() bool {
		return !slices.ContainsFunc(f.hosts, func(h *host) bool { return !h.down && h.version < version })
	}
}
