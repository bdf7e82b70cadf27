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

// beds bounds the beds that run at once: calls have their own deadlines, and a
// machine that runs too many nodes at once misses them.
var beds = make(chan struct{}, 3)

// calm is how long calls go on before and after a disturbance.
const calm = 700 * time.Millisecond

// two upstreams of each service in two availability zones, and one host that
// is an entry only.
var small = shape{
	hosts: []place{
		{zone: "a", region: "west", service: "desk"},
		{zone: "a", region: "west", service: "memo"},
		{zone: "b", region: "west", service: "desk"},
		{zone: "b", region: "west", service: "memo"},
		{zone: "b", region: "west", service: "desk"},
		{zone: "a", region: "west"},
	},
	slots: 9, serviceTime: 10 * time.Millisecond,
}

// trial is one scenario underway.
type trial struct {
	*bed
	customers *customers
	load      *flood.Load
}

// desk and memo are upstream hosts, entry is a host without an upstream.
func (tr *trial) desk() *site  { return tr.sites[0] }
func (tr *trial) memo() *site  { return tr.sites[1] }
func (tr *trial) entry() *site { return tr.sites[5] }

func (tr *trial) fault(s *site, faults fakeup.Faults) {
	assert.NilError(tr, s.upstream.SetFaults(faults))
}

// silence stops what comes back from a site's node, to every other.
func (tr *trial) silence(s *site, silent bool) {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	for h, l := range tr.links {
		if tr.owners[h.to] == s {
			l.Silence(faulty.FromTarget, silent)
		}
	}
}

func (tr *trial) forget() {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	for _, l := range tr.links {
		l.Forget()
	}
}

func TestPromisesHoldWhileThingsFail(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(tr *trial)
		// reads must all be answered at the first try.
		reads bool
		// all calls must be answered at the first try.
		all bool
	}{
		{name: "nothing", disturb: func(*trial) {}, all: true},
		{name: "host killed", disturb: func(tr *trial) {
			tr.customers.leave(tr.desk())
			tr.customers.left(tr, tr.desk())
			tr.kill(tr.desk())
			tr.desk().upstream.Kill()
		}, reads: true},
		{name: "node killed in front of a slow upstream", disturb: func(tr *trial) {
			tr.fault(tr.memo(), fakeup.Faults{Delay: 300 * time.Millisecond})
			time.Sleep(calm / 2)
			tr.customers.leave(tr.memo())
			tr.customers.left(tr, tr.memo())
			tr.kill(tr.memo())
		}, reads: true},
		{name: "entry node killed", disturb: func(tr *trial) {
			tr.kill(tr.entry())
		}},
		{name: "upstream killed", disturb: func(tr *trial) {
			tr.desk().upstream.Kill()
		}, reads: true},
		{name: "upstream dies after running", disturb: func(tr *trial) {
			tr.fault(tr.desk(), fakeup.Faults{Die: 5})
			tr.fault(tr.memo(), fakeup.Faults{Die: 5})
		}, reads: true},
		{name: "upstream cuts answers short", disturb: func(tr *trial) {
			tr.fault(tr.desk(), fakeup.Faults{CutShort: 5})
			tr.fault(tr.memo(), fakeup.Faults{CutShort: 5})
		}},
		{name: "upstream hangs", disturb: func(tr *trial) {
			tr.fault(tr.desk(), fakeup.Faults{Hang: 4})
			tr.fault(tr.memo(), fakeup.Faults{Hang: 4})
		}},
		{name: "answers late after a retry", disturb: func(tr *trial) {
			tr.silence(tr.desk(), true)
			tr.silence(tr.memo(), true)
			time.Sleep(2 * time.Second)
			tr.silence(tr.desk(), false)
			tr.silence(tr.memo(), false)
		}},
		{name: "every connection between nodes forgotten", disturb: (*trial).forget, reads: true},
		{name: "platform cut", disturb: func(tr *trial) {
			assert.NilError(tr, tr.platform.SetFaults(objapi.Faults{Down: objapi.Drop}))
			time.Sleep(calm)
			assert.NilError(tr, tr.platform.SetFaults(objapi.Faults{}))
		}, reads: true},
		{name: "platform loses answers to writes", disturb: func(tr *trial) {
			assert.NilError(tr, tr.platform.SetFaults(objapi.Faults{LoseAnswers: 10}))
		}, reads: true},
		{name: "planned stop of an upstream", disturb: func(tr *trial) { tr.leaveUpstream(tr.desk()) }, all: true},
		{name: "planned stop of a node", disturb: func(tr *trial) { tr.leaveNode(tr.desk()) }, all: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			beds <- struct{}{}
			defer func() { <-beds }()
			tr := &trial{bed: newBed(t, small)}
			tr.customers = newCustomers(tr.bed)
			time.Sleep(memoryWindow)
			tr.load = flood.Start(t.Context(), tr.customers, "k-", kinds)
			time.Sleep(calm)
			tt.disturb(tr)
			time.Sleep(calm)
			tr.load.Stop()
			tr.customers.verify(t, tr.runs())
			if tt.reads {
				assert.Check(t, len(tr.customers.failures("/pages/1")) == 0, "%+v", tr.customers.failures("/pages/1"))
			}
			if tt.all {
				assert.Check(t, len(tr.customers.failures("")) == 0, "%+v", tr.customers.failures(""))
			}
			for _, k := range kinds {
				assert.Check(t, tr.customers.count(k.Call.Path, flood.Answered) > 0, k.Call.Path)
			}
		})
	}
}

// leaveUpstream drains an upstream; after 2 s no new work may come.
func (tr *trial) leaveUpstream(s *site) {
	tr.Helper()
	assert.NilError(tr, s.upstream.Drain(tr.Context()))
	time.Sleep(2 * time.Second)
	before := s.upstream.Stats().AfterDrain
	time.Sleep(calm)
	assert.Equal(tr, s.upstream.Stats().AfterDrain, before)
	assert.NilError(tr, s.upstream.Stop(tr.Context()))
}

// leaveNode stops a node as its program does on a signal. Its callers were told
// before; what they have underway must end well.
func (tr *trial) leaveNode(s *site) {
	tr.Helper()
	tr.customers.leave(s)
	s.node.Drain()
	assert.NilError(tr, s.node.Stopped(tr.Context()))
	s.stopped = true
	assert.NilError(tr, s.node.Stop(tr.Context()))
}

// TestFloodLeavesUrgentWorkAndFloors sends ten times the capacity in calls of the
// lowest priority and then of the highest.
func TestFloodLeavesUrgentWorkAndFloors(t *testing.T) {
	t.Parallel()
	const perSecond = 60 // three upstreams of one slot that run 50 ms
	b := newBed(t, shape{
		hosts: []place{
			{zone: "a", region: "west", service: "desk"},
			{zone: "a", region: "west", service: "desk"},
			{zone: "a", region: "west", service: "desk"},
			{zone: "a", region: "west"},
		},
		slots: 1, serviceTime: 50 * time.Millisecond,
	})
	floors := [mesh.NumPriorities]int{mesh.Low: 5, mesh.Normal: 10, mesh.High: 20}
	kind := func(priority mesh.Priority, rate int) flood.Stream {
		return flood.Stream{Keyed: true, Interval: time.Second / time.Duration(rate), Call: flood.Call{
			Method: http.MethodGet, Path: "/pages/1", Priority: priority, Timeout: 2 * time.Second,
		}}
	}
	tests := []struct {
		name  string
		flood mesh.Priority
		// rate is that of each other priority, in calls a second.
		rate int
		// whole lists the priorities of which every call must be answered.
		whole []mesh.Priority
		// floors lists those that must keep their floor.
		floors []mesh.Priority
	}{
		{name: "lowest", flood: mesh.Low, rate: perSecond / 5, whole: []mesh.Priority{mesh.Urgent, mesh.High, mesh.Normal}, floors: []mesh.Priority{mesh.Low}},
		{name: "highest", flood: mesh.Urgent, rate: perSecond / 2, floors: []mesh.Priority{mesh.High, mesh.Normal, mesh.Low}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller := &flood.Caller{Timeout: patience}
			defer caller.Close()
			sender := &flood.RoundRobin{Caller: caller}
			for _, s := range b.sites {
				sender.Addrs = append(sender.Addrs, s.addr())
			}
			kinds := []flood.Stream{kind(tt.flood, 10*perSecond)}
			for _, p := range mesh.Priorities() {
				if p != tt.flood {
					kinds = append(kinds, kind(p, tt.rate))
				}
			}
			load := flood.Start(t.Context(), sender, tt.name, kinds)
			time.Sleep(5 * time.Second)
			load.Stop()
			assert.Equal(t, load.Total(flood.Foreign), 0)
			for _, p := range tt.whole {
				assert.Check(t, load.Stats[p].Count(flood.Answered) == load.Stats[p].Total(), "%s: %d of %d", p, load.Stats[p].Count(flood.Answered), load.Stats[p].Total())
			}
			for _, p := range tt.floors {
				// A quarter less, for the start, when nothing waits yet.
				least := load.Total(flood.Answered) * floors[p] * 3 / 400
				assert.Check(t, load.Stats[p].Count(flood.Answered) >= least, "%s: %d, want %d", p, load.Stats[p].Count(flood.Answered), least)
			}
		})
	}
}
