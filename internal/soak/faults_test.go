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
	// minFaultTime and maxFaultTime bound the duration of a fault.
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 3 * time.Second
	// addressReuseDelay is how long after an upstream ended another one may start
	// at its address.
	addressReuseDelay = 2 * time.Second
)

// fault is one kind of event that a run can inject.
type fault struct {
	name string
	// planned is true for operations of an operator, such as a restart, which must
	// not fail any request.
	planned bool
	// inject applies the fault, waits for the duration and undoes the fault. Each
	// event has a random source of its own.
	inject func(h *harness, n *node, duration time.Duration, random *rand.Rand)
}

// faults lists the kinds of faults. Each affects one node, or the store.
var faults = []fault{
	{name: "change", planned: true, inject: func(h *harness, _ *node, _ time.Duration, _ *rand.Rand) { h.submitChange() }},
	{name: "changeBurst", planned: true, inject: func(h *harness, _ *node, _ time.Duration, _ *rand.Rand) {
		for range 8 {
			h.submitChange()
			time.Sleep(150 * time.Millisecond)
		}
	}},
	{name: "stop", planned: true, inject: func(h *harness, n *node, _ time.Duration, _ *rand.Rand) {
		n.markDisturbed(stopTime)
		h.recorder.recordStop(n.host, stopTime)
		n.signal(syscall.SIGTERM)
		n.waitExit()
		n.start()
	}},
	{name: "reload", planned: true, inject: func(h *harness, n *node, _ time.Duration, random *rand.Rand) {
		place := layout[indexOf(h.nodes, n)]
		n.writeSettings(place.region, place.service, stopTime-randomBelow(random, time.Second))
		n.signal(syscall.SIGHUP)
	}},
	{name: "drain", planned: true, inject: func(h *harness, n *node, _ time.Duration, _ *rand.Rand) {
		inst := n.upstream.current()
		if inst == nil {
			return
		}
		n.upstream.drain()
		time.Sleep(addressReuseDelay)
		if n.upstream.current() == nil {
			n.upstream.start(h.t, inst.service)
		}
	}},
	{name: "kill", inject: func(h *harness, n *node, duration time.Duration, _ *rand.Rand) {
		h.recordFault(n, "kill", duration+time.Second)
		n.kill()
		time.Sleep(duration)
		n.start()
	}},
	{name: "pause", inject: func(h *harness, n *node, duration time.Duration, _ *rand.Rand) {
		h.recordFault(n, "pause", duration)
		n.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		n.signal(syscall.SIGCONT)
	}},
	{name: "storeRefuses", inject: storeFault(func(f *objapi.Faults) { f.Outage = objapi.OutageRefuse })},
	{name: "storeDrops", inject: storeFault(func(f *objapi.Faults) { f.Outage = objapi.OutageDrop })},
	{name: "storeSlow", inject: storeFault(func(f *objapi.Faults) { f.Latency = 400 * time.Millisecond })},
	{name: "storeLosesAnswers", inject: storeFault(func(f *objapi.Faults) { f.LoseResponses = 5 })},
	{name: "storeFrozenWatches", inject: storeFault(func(f *objapi.Faults) { f.FreezeWatches = true })},
	{name: "storeLateWatches", inject: storeFault(func(f *objapi.Faults) { f.EventDelay, f.DuplicateEvents = time.Second, true })},
	{name: "storeCompacts", inject: func(h *harness, _ *node, duration time.Duration, _ *rand.Rand) {
		h.recordFault(nil, "storeCompacts", duration)
		h.platform.objects.Compact()
	}},
	{name: "storeRestored", inject: restoreStore},
	{name: "storeCut", inject: linkFault("storeCut", func(n *node) *faulty.Link { return n.storeLink }, true)},
	{name: "storeBlackhole", inject: linkFault("storeBlackhole", func(n *node) *faulty.Link { return n.storeLink }, false)},
	{name: "nodeCut", inject: linkFault("nodeCut", func(n *node) *faulty.Link { return n.nodeLink }, true)},
	{name: "nodeBlackhole", inject: linkFault("nodeBlackhole", func(n *node) *faulty.Link { return n.nodeLink }, false)},
	{name: "nodeDeadConnections", inject: func(h *harness, n *node, duration time.Duration, _ *rand.Rand) {
		h.recordFault(n, "nodeDeadConnections", duration)
		h.markAllDisturbed(duration)
		n.nodeLink.StallOpenConnections()
	}},
	{name: "nodeLatency", inject: func(h *harness, n *node, duration time.Duration, _ *rand.Rand) {
		h.recordFault(n, "nodeLatency", duration)
		n.nodeLink.SetLatency(100 * time.Millisecond)
		time.Sleep(duration)
		n.nodeLink.SetLatency(time.Millisecond)
	}},
	{name: "isolation", inject: isolateNode},
	{name: "upstreamCrash", inject: func(h *harness, n *node, duration time.Duration, random *rand.Rand) {
		h.recordFault(n, "upstreamCrash", duration+addressReuseDelay)
		inst := n.upstream.current()
		n.upstream.end()
		time.Sleep(duration + addressReuseDelay)
		if n.upstream.current() != nil {
			return
		}
		service := layout[indexOf(h.nodes, n)].service
		if inst != nil && random.IntN(2) == 0 {
			service = inst.service
		}
		n.upstream.start(h.t, service)
	}},
	{name: "upstreamSlow", inject: upstreamFault(func(inst *instance) { inst.slowdown = 15 }, func(inst *instance) { inst.slowdown = 1 })},
	{name: "upstreamSheds", inject: upstreamFault(func(inst *instance) { inst.shedPercent = 50 }, func(inst *instance) { inst.shedPercent = 0 })},
	{name: "upstreamCuts", inject: upstreamFault(func(inst *instance) { inst.cutPercent = 30 }, func(inst *instance) { inst.cutPercent = 0 })},
	{name: "upstreamExtraAnswers", inject: upstreamFault(func(inst *instance) { inst.extraPercent = 30 }, func(inst *instance) { inst.extraPercent = 0 })},
}

// recordFault records an unplanned fault of one node, or of the store if the node
// is nil.
func (h *harness) recordFault(n *node, name string, duration time.Duration) {
	if n == nil {
		h.markStoreDisturbed(duration)
		h.recorder.recordFault(name, duration)
		return
	}
	n.markDisturbed(duration)
	h.recorder.recordFault(name+" "+n.host, duration)
}

// markAllDisturbed marks every node as disturbed: a fault of a link between nodes
// affects the nodes at both ends.
func (h *harness) markAllDisturbed(duration time.Duration) {
	for _, n := range h.nodes {
		n.markDisturbed(duration)
	}
}

// storeFault returns a fault that sets faults of the object server.
func storeFault(set func(f *objapi.Faults)) func(*harness, *node, time.Duration, *rand.Rand) {
	return func(h *harness, _ *node, duration time.Duration, _ *rand.Rand) {
		h.recordFault(nil, "store", duration+time.Second)
		var f objapi.Faults
		set(&f)
		if err := h.platform.objects.SetFaults(f); err != nil {
			panic(err)
		}
		time.Sleep(duration)
		if err := h.platform.objects.SetFaults(objapi.Faults{}); err != nil {
			panic(err)
		}
	}
}

// linkFault returns a fault of a node's link: its connections are reset and new
// ones refused, or bytes are held back in one direction or both.
func linkFault(name string, linkOf func(n *node) *faulty.Link, reset bool) func(*harness, *node, time.Duration, *rand.Rand) {
	return func(h *harness, n *node, duration time.Duration, random *rand.Rand) {
		h.recordFault(n, name, duration)
		h.markAllDisturbed(duration)
		link := linkOf(n)
		if reset {
			_ = link.Cut(true)
			time.Sleep(duration)
			if err := link.Cut(false); err != nil {
				panic(err)
			}
			return
		}
		direction := random.IntN(3)
		link.Stall(faulty.ToTarget, direction != 1)
		link.Stall(faulty.FromTarget, direction != 0)
		time.Sleep(duration)
		link.Stall(faulty.ToTarget, false)
		link.Stall(faulty.FromTarget, false)
	}
}

// upstreamFault returns a fault that changes how a node's upstream behaves.
func upstreamFault(set, reset func(inst *instance)) func(*harness, *node, time.Duration, *rand.Rand) {
	return func(h *harness, n *node, duration time.Duration, _ *rand.Rand) {
		inst := n.upstream.current()
		if inst == nil {
			return
		}
		h.recordFault(n, "upstream", duration)
		inst.update(set)
		time.Sleep(duration)
		inst.update(reset)
	}
}

func (i *instance) update(set func(inst *instance)) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	set(i)
}

// event is a fault with its target, time and duration.
type event struct {
	at       time.Duration
	fault    fault
	node     int
	duration time.Duration
	seed     uint64
}

func (e event) String() string {
	return fmt.Sprintf("%v %s h%d for %v", e.at, e.fault.name, e.node, e.duration)
}

// schedule generates the events of a run, which may overlap. One run in four has
// planned operations only, which callers must not notice.
func schedule(random *rand.Rand, duration time.Duration, nodes int) (events []event) {
	plannedOnly := random.IntN(4) == 0
	for at := time.Duration(0); at < duration; at += randomBelow(random, 900*time.Millisecond) {
		f := faults[random.IntN(len(faults))]
		for plannedOnly && !f.planned {
			f = faults[random.IntN(len(faults))]
		}
		events = append(events, event{
			at: at, fault: f, node: random.IntN(nodes), duration: minFaultTime + randomBelow(random, maxFaultTime-minFaultTime), seed: random.Uint64(),
		})
	}
	return events
}

// randomBelow returns a random duration from zero up to the bound.
func randomBelow(random *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(bound)))
}
