package flood_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/fakeup"
	"arbutusstep.example/arbutusstep/internal/faulty"
	"arbutusstep.example/arbutusstep/internal/flood"
	"arbutusstep.example/arbutusstep/internal/objapi"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// runningTestbeds bounds the testbeds that run at once: calls have deadlines, and a
// machine that runs too many nodes misses them.
var runningTestbeds = make(chan struct{}, 3)

// steadyTime is how long calls are sent before and after a fault.
const steadyTime = 700 * time.Millisecond

// smallConfig has upstreams of both services in two availability zones, and one
// host without an upstream.
var smallConfig = testbedConfig{
	hosts: []hostSpec{
		{zone: "a", region: "west", service: "desk"},
		{zone: "a", region: "west", service: "memo"},
		{zone: "b", region: "west", service: "desk"},
		{zone: "b", region: "west", service: "memo"},
		{zone: "b", region: "west", service: "desk"},
		{zone: "a", region: "west"},
	},
	slots: 9, serviceTime: 10 * time.Millisecond,
}

// scenario is a running testbed under load.
type scenario struct {
	*testbed
	clients *clients
	load    *flood.Load
}

// desk and memo are hosts of one upstream of each service, and entry is the host
// without an upstream.
func (sc *scenario) desk() *host  { return sc.hosts[0] }
func (sc *scenario) memo() *host  { return sc.hosts[1] }
func (sc *scenario) entry() *host { return sc.hosts[5] }

func (sc *scenario) setFaults(h *host, faults fakeup.Faults) {
	assert.NilError(sc, h.upstream.SetFaults(faults))
}

// silence holds back all that the host's node sends on connections from other
// nodes, or releases it.
func (sc *scenario) silence(h *host, silent bool) {
	sc.mutex.Lock()
	defer sc.mutex.Unlock()
	for key, l := range sc.links {
		if sc.hostsByAddr[key.to] == h {
			l.Stall(faulty.FromTarget, silent)
		}
	}
}

func (sc *scenario) blackholeConnections() {
	sc.mutex.Lock()
	defer sc.mutex.Unlock()
	for _, l := range sc.links {
		l.StallOpenConnections()
	}
}

// TestPromisesHoldWhileThingsFail injects one fault under load and checks what must
// hold under any fault, and for most faults that the first attempts of reads, or of
// all calls, are answered.
func TestPromisesHoldWhileThingsFail(t *testing.T) {
	tests := []struct {
		name   string
		inject func(sc *scenario)
		// allReads is true if all GET calls must be answered at the first attempt.
		allReads bool
		// allCalls is true if all calls must be answered at the first attempt.
		allCalls bool
	}{
		{name: "no fault", inject: func(*scenario) {}, allCalls: true},
		{name: "host killed", inject: func(sc *scenario) {
			sc.clients.stopSending(sc.desk())
			sc.clients.waitIdle(sc, sc.desk())
			sc.kill(sc.desk())
			sc.desk().upstream.Kill()
		}, allReads: true},
		{name: "node killed in front of a slow upstream", inject: func(sc *scenario) {
			sc.setFaults(sc.memo(), fakeup.Faults{Delay: 300 * time.Millisecond})
			time.Sleep(steadyTime / 2)
			sc.clients.stopSending(sc.memo())
			sc.clients.waitIdle(sc, sc.memo())
			sc.kill(sc.memo())
		}, allReads: true},
		{name: "entry node killed", inject: func(sc *scenario) {
			sc.kill(sc.entry())
		}},
		{name: "upstream killed", inject: func(sc *scenario) {
			sc.desk().upstream.Kill()
		}, allReads: true},
		{name: "upstream dies after running", inject: func(sc *scenario) {
			sc.setFaults(sc.desk(), fakeup.Faults{DropResponses: 5})
			sc.setFaults(sc.memo(), fakeup.Faults{DropResponses: 5})
		}, allReads: true},
		{name: "upstream cuts answers short", inject: func(sc *scenario) {
			sc.setFaults(sc.desk(), fakeup.Faults{TruncateResponses: 5})
			sc.setFaults(sc.memo(), fakeup.Faults{TruncateResponses: 5})
		}},
		{name: "upstream hangs", inject: func(sc *scenario) {
			sc.setFaults(sc.desk(), fakeup.Faults{HangRequests: 4})
			sc.setFaults(sc.memo(), fakeup.Faults{HangRequests: 4})
		}},
		{name: "late responses after a retry", inject: func(sc *scenario) {
			sc.silence(sc.desk(), true)
			sc.silence(sc.memo(), true)
			time.Sleep(2 * time.Second)
			sc.silence(sc.desk(), false)
			sc.silence(sc.memo(), false)
		}},
		{name: "all connections between nodes blackholed", inject: (*scenario).blackholeConnections, allReads: true},
		{name: "platform cut", inject: func(sc *scenario) {
			assert.NilError(sc, sc.platform.SetFaults(objapi.Faults{Outage: objapi.OutageDrop}))
			time.Sleep(steadyTime)
			assert.NilError(sc, sc.platform.SetFaults(objapi.Faults{}))
		}, allReads: true},
		{name: "platform loses answers to writes", inject: func(sc *scenario) {
			assert.NilError(sc, sc.platform.SetFaults(objapi.Faults{LoseResponses: 10}))
		}, allReads: true},
		{name: "planned stop of an upstream", inject: func(sc *scenario) { sc.stopUpstream(sc.desk()) }, allCalls: true},
		{name: "planned stop of a node", inject: func(sc *scenario) { sc.stopNode(sc.desk()) }, allCalls: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			runningTestbeds <- struct{}{}
			defer func() { <-runningTestbeds }()
			sc := &scenario{testbed: newTestbed(t, smallConfig)}
			sc.clients = newClients(sc.testbed)
			time.Sleep(memoryWindow)
			sc.load = flood.Start(t.Context(), sc.clients, "k-", streams)
			time.Sleep(steadyTime)
			tt.inject(sc)
			time.Sleep(steadyTime)
			sc.load.Stop()
			sc.clients.verifyGuarantees(t, sc.runs())
			if tt.allReads {
				assert.Check(t, len(sc.clients.firstFailures("/pages/1")) == 0, "%+v", sc.clients.firstFailures("/pages/1"))
			}
			if tt.allCalls {
				assert.Check(t, len(sc.clients.firstFailures("")) == 0, "%+v", sc.clients.firstFailures(""))
			}
			for _, stream := range streams {
				assert.Check(t, sc.clients.countFirst(stream.Call.Path, flood.Answered) > 0, stream.Call.Path)
			}
		})
	}
}

// stopUpstream drains an upstream; 2 s later it must get no new calls.
func (sc *scenario) stopUpstream(h *host) {
	sc.Helper()
	assert.NilError(sc, h.upstream.Drain(sc.Context()))
	time.Sleep(2 * time.Second)
	before := h.upstream.Stats().AfterDrain
	time.Sleep(steadyTime)
	assert.Equal(sc, h.upstream.Stats().AfterDrain, before)
	assert.NilError(sc, h.upstream.Stop(sc.Context()))
}

// stopNode stops a node as the program does on SIGTERM, after its clients stopped
// sending to it. Calls in flight must be answered.
func (sc *scenario) stopNode(h *host) {
	sc.Helper()
	sc.clients.stopSending(h)
	h.node.Drain()
	assert.NilError(sc, h.node.WaitStopped(sc.Context()))
	h.stopped = true
	assert.NilError(sc, h.node.Stop(sc.Context()))
}

// TestFloodLeavesUrgentWorkAndFloors sends ten times the capacity in calls of the
// lowest priority, and then of the highest. All calls that are more urgent than the
// flood must be answered, and the priorities with a floor must get it.
func TestFloodLeavesUrgentWorkAndFloors(t *testing.T) {
	t.Parallel()
	const capacity = 60 // calls a second: three upstreams with one slot and 50 ms a call
	b := newTestbed(t, testbedConfig{
		hosts: []hostSpec{
			{zone: "a", region: "west", service: "desk"},
			{zone: "a", region: "west", service: "desk"},
			{zone: "a", region: "west", service: "desk"},
			{zone: "a", region: "west"},
		},
		slots: 1, serviceTime: 50 * time.Millisecond,
	})
	floors := [mesh.NumPriorities]int{mesh.Low: 5, mesh.Normal: 10, mesh.High: 20}
	stream := func(priority mesh.Priority, rate int) flood.Stream {
		return flood.Stream{Keyed: true, Interval: time.Second / time.Duration(rate), Call: flood.Call{
			Method: http.MethodGet, Path: "/pages/1", Priority: priority, Timeout: 2 * time.Second,
		}}
	}
	tests := []struct {
		name     string
		flooding mesh.Priority
		// rate is the rate of each other priority, in calls a second.
		rate int
		// allAnswered lists the priorities whose calls must all be answered.
		allAnswered []mesh.Priority
		// floorsKept lists the priorities that must get their floor.
		floorsKept []mesh.Priority
	}{
		{name: "lowest", flooding: mesh.Low, rate: capacity / 5, allAnswered: []mesh.Priority{mesh.Urgent, mesh.High, mesh.Normal}, floorsKept: []mesh.Priority{mesh.Low}},
		{name: "highest", flooding: mesh.Urgent, rate: capacity / 2, floorsKept: []mesh.Priority{mesh.High, mesh.Normal, mesh.Low}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller := &flood.Caller{Timeout: callerTimeout}
			defer caller.Close()
			sender := &flood.RoundRobin{Caller: caller}
			for _, h := range b.hosts {
				sender.Addrs = append(sender.Addrs, h.callerAddr())
			}
			streams := []flood.Stream{stream(tt.flooding, 10*capacity)}
			for _, p := range mesh.Priorities() {
				if p != tt.flooding {
					streams = append(streams, stream(p, tt.rate))
				}
			}
			load := flood.Start(t.Context(), sender, tt.name, streams)
			time.Sleep(5 * time.Second)
			load.Stop()
			assert.Equal(t, load.Total(flood.Foreign), 0)
			for _, p := range tt.allAnswered {
				assert.Check(t, load.Stats[p].Count(flood.Answered) == load.Stats[p].Total(), "%s: %d of %d", p, load.Stats[p].Count(flood.Answered), load.Stats[p].Total())
			}
			for _, p := range tt.floorsKept {
				// A quarter less than the floor, as nothing is queued at the start.
				minimum := load.Total(flood.Answered) * floors[p] * 3 / 400
				assert.Check(t, load.Stats[p].Count(flood.Answered) >= minimum, "%s: %d, want %d", p, load.Stats[p].Count(flood.Answered), minimum)
			}
		})
	}
}
