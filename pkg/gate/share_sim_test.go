package gate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// The accounts of docs/HEAVYLOAD.md: 86, of sizes by Zipf's law.
	simAccounts  = 86
	zipfExponent = 1.2
	// floodFactor is how many times its usual rate an account sends.
	floodFactor  = 6
	shareSlots   = 18
	shareService = 100 * time.Millisecond
	// floodFrom is when an account begins to send more, and when counting starts.
	floodFrom   = 5 * time.Minute
	shareLength = 10 * time.Minute
	// restartLength is how long a flood counts that began before the gate.
	restartLength = 2 * time.Minute
	shareTarget   = 400 * time.Millisecond
	shareTimeout  = 1200 * time.Millisecond
)

// shareLoad is the load of one upstream by many accounts.
type shareLoad struct {
	// offered is the usual load of all accounts in times of the capacity.
	offered float64
	// flooding is the account that sends floodFactor times its usual rate, counted from 1
	// by size; zero for none.
	flooding int
	// unaware hides the accounts from the gate, as before they were known to it.
	unaware bool
	// overdue is the share of requests that are overdue.
	overdue float64
	// unpredicted turns off PredictWait.
	unpredicted bool
	// restarted makes the gate know nothing about the usual loads when the flood begins.
	restarted bool
}

type shareEvent struct {
	at      time.Duration
	account int
	done    *Request
	expire  bool
}

type shareEvents []shareEvent

func (e shareEvents) Len() int           { return len(e) }
func (e shareEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e shareEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *shareEvents) Push(x any)        { *e = append(*e, x.(shareEvent)) }
func (e *shareEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func zipfShares() (shares [simAccounts + 1]float64) {
	sum := 0.0
	for a := 1; a <= simAccounts; a++ {
		shares[a] = math.Pow(float64(a), -zipfExponent)
		sum += shares[a]
	}
	for a := range shares {
		shares[a] /= sum
	}
	return shares
}

// shareSim runs one upstream in virtual time. Each account has its own random numbers, so
// that the requests of the others are the same with and without a flood.
type shareSim struct {
	shareLoad
	queue   Queue
	at      time.Duration
	events  shareEvents
	random  [simAccounts + 1]*rand.Rand
	account map[*Request]int
	service map[*Request]time.Duration
	served  [simAccounts + 1]int
	arrived [simAccounts + 1]int
	// wakeup is the time of the earliest expiry event.
	wakeup time.Duration
}

func simulateShares(l shareLoad) *shareSim {
	m := &shareSim{shareLoad: l, account: map[*Request]int{}, service: map[*Request]time.Duration{}}
	m.queue.Configure(simStart, Config{Slots: shareSlots, FixedLimit: true, PredictWait: !l.unpredicted, Floors: simFloors})
	shares := zipfShares()
	for a := 1; a <= simAccounts; a++ {
		m.random[a] = rand.New(rand.NewPCG(simSeed, uint64(a)))
		m.next(a, shares[a])
	}
	length := shareLength
	if l.restarted {
		length = floodFrom + restartLength
	}
	for len(m.events) > 0 && m.events[0].at < length {
		e := heap.Pop(&m.events).(shareEvent)
		m.at = e.at
		switch {
		case e.expire:
			m.wakeup = 0
			m.handle(m.queue.Expire(m.now()))
		case e.done != nil:
			if arrived := e.done.arrivedAt(); arrived >= floodFrom && m.at-arrived <= shareTarget {
				m.served[m.account[e.done]]++
			}
			delete(m.account, e.done)
			delete(m.service, e.done)
			m.handle(m.queue.Done(m.now(), e.done, Result{}))
		default:
			m.arrive(e.account, shares[e.account])
		}
	}
	return m
}

// arrivedAt returns the arrival of a request of the simulation.
func (r *Request) arrivedAt() time.Duration { return r.Deadline.Add(-shareTimeout).Sub(simStart) }

func (m *shareSim) now() time.Time { return simStart.Add(m.at) }

// next schedules the next arrival of the account.
func (m *shareSim) next(a int, share float64) {
	capacity := shareSlots / shareService.Seconds()
	gap := m.random[a].ExpFloat64() / (capacity * m.offered * share)
	if a == m.flooding && m.at >= floodFrom {
		gap /= floodFactor
	}
	heap.Push(&m.events, shareEvent{at: m.at + time.Duration(gap*float64(time.Second)), account: a})
}

func (m *shareSim) arrive(a int, share float64) {
	m.next(a, share)
	if m.at >= floodFrom {
		m.arrived[a]++
	} else if m.restarted {
		return
	}
	now := m.now()
	r := &Request{Priority: mesh.High, Class: "r", TypicalServiceTime: shareService, Deadline: now.Add(shareTimeout), StartBy: now.Add(StartWithin(shareTarget, shareTimeout, shareService))}
	if !m.unaware {
		r.Account = mesh.Account(fmt.Sprintf("account-%d", a))
	}
	if m.random[a].Float64() < m.overdue {
		r.Overdue, r.StartBy = true, now.Add(MaxWait(shareTimeout))
	}
	m.account[r] = a
	m.service[r] = time.Duration(float64(shareService) * (0.5 + 0.5*m.random[a].ExpFloat64()))
	m.handle(m.queue.Offer(now, r))
}

func (m *shareSim) handle(changed []*Request) {
	for _, r := range changed {
		if r.State() == Rejected {
			delete(m.account, r)
			delete(m.service, r)
			continue
		}
		heap.Push(&m.events, shareEvent{at: m.at + m.service[r], done: r})
	}
	if next := m.queue.NextWakeup(m.now()); !next.IsZero() {
		at := max(next.Sub(simStart), m.at+minTimerDelay)
		if m.wakeup == 0 || at < m.wakeup {
			m.wakeup = at
			heap.Push(&m.events, shareEvent{at: at, expire: true})
		}
	}
}

// worstLoss returns the account that loses the largest part of its service to the flood.
func worstLoss(usual, flooded *shareSim, flooding int) (worst int, loss float64) {
	loss = math.Inf(-1)
	for a := 1; a <= simAccounts; a++ {
		if l := 1 - float64(flooded.served[a])/float64(usual.served[a]); a != flooding && l > loss {
			worst, loss = a, l
		}
	}
	return worst, loss
}

func (m *shareSim) totalServed() (total int) {
	for _, n := range m.served {
		total += n
	}
	return total
}

// TestFloodOfOneAccountLeavesTheOthers guards against an account without a quota that
// takes the service of others of the same priority.
func TestFloodOfOneAccountLeavesTheOthers(t *testing.T) {
	const maxLoss = 0.05
	tests := []struct {
		name string
		shareLoad
		// loses is true if the others are expected to lose more than maxLoss.
		loses bool
	}{
		{name: "largest", shareLoad: shareLoad{offered: 0.8, flooding: 1}},
		{name: "largest, nearly full", shareLoad: shareLoad{offered: 0.95, flooding: 1}},
		{name: "second, nearly full", shareLoad: shareLoad{offered: 0.95, flooding: 2}},
		{name: "overdue requests", shareLoad: shareLoad{offered: 0.95, flooding: 1, overdue: 0.1}},
		{name: "largest, overload", shareLoad: shareLoad{offered: 1.2, flooding: 1}},
		{name: "small, overload", shareLoad: shareLoad{offered: 1.2, flooding: 40}},
		{name: "no usual load known", shareLoad: shareLoad{offered: 0.8, flooding: 1, restarted: true}},
		{name: "without prediction", shareLoad: shareLoad{offered: 0.8, flooding: 1, unpredicted: true}},
		{name: "accounts unknown to the gate", shareLoad: shareLoad{offered: 0.8, flooding: 1, unaware: true}, loses: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			flooded := simulateShares(tt.shareLoad)
			calm := tt.shareLoad
			calm.flooding = 0
			usual := simulateShares(calm)
			worst, loss := worstLoss(usual, flooded, tt.flooding)
			t.Logf("worst loss %.1f%%: account %d, %d of %d served; account %d: %d of %d; all %d, without flood %d; displaced %d", 100*loss, worst, flooded.served[worst],
				flooded.arrived[worst], tt.flooding, flooded.served[tt.flooding], flooded.arrived[tt.flooding], flooded.totalServed(), usual.totalServed(), flooded.queue.displacedByShare)
			assert.Equal(t, loss > maxLoss, tt.loses)
		})
	}
}

// TestSharesCostNoService guards against fair order that serves fewer requests in time
// than the order of StartBy alone while no account floods.
func TestSharesCostNoService(t *testing.T) {
	t.Parallel()
	for _, offered := range []float64{0.8, 1.2} {
		aware, unaware := simulateShares(shareLoad{offered: offered}), simulateShares(shareLoad{offered: offered, unaware: true})
		t.Logf("offered %.2f: %d with accounts, %d without", offered, aware.totalServed(), unaware.totalServed())
		assert.Assert(t, float64(aware.totalServed()) >= 0.99*float64(unaware.totalServed()))
	}
}
