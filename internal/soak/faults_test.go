package soak_test

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"arbutusstep.example/arbutusstep/internal/faulty"
	"arbutusstep.example/arbutusstep/internal/objapi"
)

const (
	// shortest and longest bound a fault.
	shortest = 300 * time.Millisecond
	longest  = 3 * time.Second
	// reuseTime is how long after the end of an upstream its address may be used again.
	reuseTime = 2 * time.Second
)

// fault is one thing that happens in a run.
type fault struct {
	name string
	// planned faults are the operators' work, which no request may notice.
	planned bool
	// do lets it happen for that long; draw is a random number of its own.
	do func(w *world, n *node, lasts time.Duration, draw *rand.Rand)
}

// faults lists what happens. Each disturbs one node, or the store.
var faults = []fault{
	{name: "change", planned: true, do: func(w *world, _ *node, _ time.Duration, _ *rand.Rand) { w.change() }},
	{name: "storm", planned: true, do: func(w *world, _ *node, _ time.Duration, _ *rand.Rand) {
		for range 8 {
			w.change()
			time.Sleep(150 * time.Millisecond)
		}
	}},
	{name: "stop", planned: true, do: func(w *world, n *node, _ time.Duration, _ *rand.Rand) {
		n.touch(stopTime)
		w.ledger.stop(n.host, stopTime)
		n.signal(syscall.SIGTERM)
		n.await()
		n.start()
	}},
	{name: "reload", planned: true, do: func(w *world, n *node, _ time.Duration, draw *rand.Rand) {
		place := layout[indexOf(w.nodes, n)]
		n.settings(place.region, place.service, stopTime-within(draw, time.Second))
		n.signal(syscall.SIGHUP)
	}},
	{name: "drain", planned: true, do: func(w *world, n *node, _ time.Duration, _ *rand.Rand) {
		life := n.up.current()
		if life == nil {
			return
		}
		n.up.drain()
		time.Sleep(reuseTime)
		if n.up.current() == nil {
			n.up.start(w.t, life.service)
		}
	}},
	{name: "kill", do: func(w *world, n *node, lasts time.Duration, _ *rand.Rand) {
		w.disturb(n, "kill", lasts+time.Second)
		n.kill()
		time.Sleep(lasts)
		n.start()
	}},
	{name: "pause", do: func(w *world, n *node, lasts time.Duration, _ *rand.Rand) {
		w.disturb(n, "pause", lasts)
		n.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		n.signal(syscall.SIGCONT)
	}},
	{name: "storeRefuses", do: storeFault(func(f *objapi.Faults) { f.Outage = objapi.OutageRefuse })},
	{name: "storeDrops", do: storeFault(func(f *objapi.Faults) { f.Outage = objapi.OutageDrop })},
	{name: "storeSlow", do: storeFault(func(f *objapi.Faults) { f.Latency = 400 * time.Millisecond })},
	{name: "storeLoses", do: storeFault(func(f *objapi.Faults) { f.LoseResponses = 5 })},
	{name: "storeSilentWatches", do: storeFault(func(f *objapi.Faults) { f.FreezeWatches = true })},
	{name: "storeLateWatches", do: storeFault(func(f *objapi.Faults) { f.EventDelay, f.DuplicateEvents = time.Second, true })},
	{name: "storeForgets", do: func(w *world, _ *node, lasts time.Duration, _ *rand.Rand) {
		w.disturb(nil, "storeForgets", lasts)
		w.platform.objects.Compact()
	}},
	{name: "storeCut", do: linkFault("storeCut", func(n *node) *faulty.Link { return n.toStore }, true)},
	{name: "storeSilent", do: linkFault("storeSilent", func(n *node) *faulty.Link { return n.toStore }, false)},
	{name: "nodeCut", do: linkFault("nodeCut", func(n *node) *faulty.Link { return n.toNode }, true)},
	{name: "nodeSilent", do: linkFault("nodeSilent", func(n *node) *faulty.Link { return n.toNode }, false)},
	{name: "nodeForgotten", do: func(w *world, n *node, lasts time.Duration, _ *rand.Rand) {
		w.disturb(n, "nodeForgotten", lasts)
		w.touchAll(lasts)
		n.toNode.StallOpenConnections()
	}},
	{name: "nodeFar", do: func(w *world, n *node, lasts time.Duration, _ *rand.Rand) {
		w.disturb(n, "nodeFar", lasts)
		n.toNode.SetLatency(100 * time.Millisecond)
		time.Sleep(lasts)
		n.toNode.SetLatency(time.Millisecond)
	}},
	{name: "upstreamGone", do: func(w *world, n *node, lasts time.Duration, draw *rand.Rand) {
		w.disturb(n, "upstreamGone", lasts+reuseTime)
		life := n.up.current()
		n.up.end()
		time.Sleep(lasts + reuseTime)
		if n.up.current() != nil {
			return
		}
		service := layout[indexOf(w.nodes, n)].service
		if life != nil && draw.IntN(2) == 0 {
			service = life.service
		}
		n.up.start(w.t, service)
	}},
	{name: "upstreamSlow", do: upstreamFault(func(life *lifetime) { life.slow = 15 }, func(life *lifetime) { life.slow = 1 })},
	{name: "upstreamSheds", do: upstreamFault(func(life *lifetime) { life.shed = 50 }, func(life *lifetime) { life.shed = 0 })},
	{name: "upstreamCuts", do: upstreamFault(func(life *lifetime) { life.cut = 30 }, func(life *lifetime) { life.cut = 0 })},
	{name: "upstreamRepeats", do: upstreamFault(func(life *lifetime) { life.extra = 30 }, func(life *lifetime) { life.extra = 0 })},
}

// disturb notes a fault of one node, or of the store when the node is nil.
func (w *world) disturb(n *node, name string, lasts time.Duration) {
	if n == nil {
		w.disturbStore(lasts)
		w.ledger.fault(name, lasts)
		return
	}
	n.touch(lasts)
	w.ledger.fault(name+" "+n.host, lasts)
}

// touchAll notes that every node is disturbed, such as by connections that fall silent.
func (w *world) touchAll(lasts time.Duration) {
	for _, n := range w.nodes {
		n.touch(lasts)
	}
}

// storeFault makes the store misbehave for a time.
func storeFault(set func(f *objapi.Faults)) func(*world, *node, time.Duration, *rand.Rand) {
	return func(w *world, _ *node, lasts time.Duration, _ *rand.Rand) {
		w.disturb(nil, "store", lasts+time.Second)
		var f objapi.Faults
		set(&f)
		if err := w.platform.objects.SetFaults(f); err != nil {
			panic(err)
		}
		time.Sleep(lasts)
		if err := w.platform.objects.SetFaults(objapi.Faults{}); err != nil {
			panic(err)
		}
	}
}

// linkFault cuts a link of a node with resets, or silences it one way or both.
func linkFault(name string, of func(n *node) *faulty.Link, reset bool) func(*world, *node, time.Duration, *rand.Rand) {
	return func(w *world, n *node, lasts time.Duration, draw *rand.Rand) {
		w.disturb(n, name, lasts)
		w.touchAll(lasts)
		link := of(n)
		if reset {
			_ = link.Cut(true)
			time.Sleep(lasts)
			if err := link.Cut(false); err != nil {
				panic(err)
			}
			return
		}
		way := draw.IntN(3)
		link.Stall(faulty.ToTarget, way != 1)
		link.Stall(faulty.FromTarget, way != 0)
		time.Sleep(lasts)
		link.Stall(faulty.ToTarget, false)
		link.Stall(faulty.FromTarget, false)
	}
}

// upstreamFault makes the upstream beside a node misbehave for a time.
func upstreamFault(set, reset func(life *lifetime)) func(*world, *node, time.Duration, *rand.Rand) {
	return func(w *world, n *node, lasts time.Duration, _ *rand.Rand) {
		life := n.up.current()
		if life == nil {
			return
		}
		w.disturb(n, "upstream", lasts)
		life.change(set)
		time.Sleep(lasts)
		life.change(reset)
	}
}

func (l *lifetime) change(set func(life *lifetime)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	set(l)
}

// event is a fault at its time.
type event struct {
	at    time.Duration
	fault fault
	node  int
	lasts time.Duration
	seed  uint64
}

func (e event) String() string {
	return fmt.Sprintf("%v %s h%d for %v", e.at, e.fault.name, e.node, e.lasts)
}

// schedule draws the events of a run: in series and overlapping. Some runs have
// planned work alone, which must pass unnoticed.
func schedule(random *rand.Rand, lasts time.Duration, nodes int) (events []event) {
	plannedOnly := random.IntN(4) == 0
	for at := time.Duration(0); at < lasts; at += within(random, 900*time.Millisecond) {
		f := faults[random.IntN(len(faults))]
		for plannedOnly && !f.planned {
			f = faults[random.IntN(len(faults))]
		}
		events = append(events, event{
			at: at, fault: f, node: random.IntN(nodes), lasts: shortest + within(random, longest-shortest), seed: random.Uint64(),
		})
	}
	return events
}

// within draws a time below the bound.
func within(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(bound)))
}
