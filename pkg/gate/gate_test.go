package gate

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

func TestOverloadTargets(t *testing.T) {
	atCapacity := 0
	tests := []struct {
		name    string
		offered [mesh.NumPriorities]float64
		// minUrgent is the minimum share of urgent requests that must finish in time.
		minUrgent float64
	}{
		{name: "half of capacity", offered: loadMixes[0].offered, minUrgent: 0.999},
		{name: "capacity", offered: loadMixes[1].offered, minUrgent: 0.999},
		{name: "twice capacity", offered: loadMixes[2].offered, minUrgent: 0.999},
		{name: "ten times capacity", offered: loadMixes[3].offered, minUrgent: 0.999},
		{name: "ten times capacity, most of it urgent", offered: loadMixes[4].offered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := scenario{length: 15 * time.Second, countFrom: 3 * time.Second, offered: tt.offered, deadline: 10 * simServiceTime}
			result := simulate(newWarmQueue(), s)
			granted := 0
			offered := 0.0
			for p, r := range result {
				granted += r.granted
				offered += tt.offered[p]
			}
			assert.Assert(t, result[mesh.Urgent].share() >= tt.minUrgent, "%+v", result)
			if offered == 1 {
				atCapacity = goodput(result)
			}
			if offered >= 9 {
				assert.Assert(t, float64(goodput(result)) >= 0.95*float64(atCapacity), "%+v", result)
			}
			for p, r := range result {
				floor := float64(simFloors[p]) / 100
				if tt.offered[p] > floor && offered > 2 {
					// A priority can't use its floor while it has no requests, so allow 5% less.
					assert.Assert(t, float64(r.granted) >= 0.95*floor*float64(granted), "%s %+v", mesh.Priority(p), result)
				}
			}
		})
	}
}

func TestSlowRequestsDoNotStarveOthers(t *testing.T) {
	for _, m := range loadMixes[:4] {
		t.Run(m.name, func(t *testing.T) {
			// One request in ten takes longer than its deadline allows, so at most 90% can succeed.
			s := scenario{length: 15 * time.Second, countFrom: 3 * time.Second, offered: m.offered, deadline: 4 * simServiceTime, tail: true}
			result := simulate(newWarmQueue(), s)
			assert.Assert(t, result[mesh.Urgent].share() >= 0.87, "%+v", result)
		})
	}
}

func TestLimitAdaptsToDegradedUpstream(t *testing.T) {
	for _, tt := range degradations {
		t.Run(tt.name, func(t *testing.T) {
			q := newWarmQueue().(*Queue)
			s := scenario{
				length: 25 * time.Second, offered: [mesh.NumPriorities]float64{0.5, 0.3, 0.2, 0.1},
				deadline: 10 * simServiceTime, rate: tt.rate, shedsAbove: tt.shedsAbove, countFrom: 10 * time.Second,
			}
			gateResult, fifoResult := simulate(q, s), simulate(newFIFO(), s)
			assert.Assert(t, goodput(gateResult) > goodput(fifoResult))
			assert.Assert(t, gateResult[mesh.Urgent].share() >= 0.9, "%+v", gateResult)
			assert.Equal(t, q.Load(simStart.Add(s.length)).Limit, simSlots)
		})
	}
}

func TestSlowStart(t *testing.T) {
	var q Queue
	q.Configure(simStart, Config{Slots: 8, SlowStart: 6 * time.Second})
	tests := []struct {
		after time.Duration
		want  int
	}{
		{after: 0, want: 2},
		{after: time.Second, want: 3},
		{after: 3 * time.Second, want: 5},
		{after: time.Minute, want: 8},
	}
	for _, tt := range tests {
		assert.Equal(t, q.Load(simStart.Add(tt.after)).Limit, tt.want)
	}
}

func TestGateInVirtualTime(t *testing.T) {
	reasonOf := func(err error) Reason {
		var rejected *RejectedError
		if !errors.As(err, &rejected) {
			return 0
		}
		return rejected.Reason
	}
	tests := []struct {
		name string
		run  func(t *testing.T, g *Gate, held *Permit)
	}{
		{name: "a waiting request gets a released slot", run: func(t *testing.T, g *Gate, held *Permit) {
			time.AfterFunc(time.Second, func() { held.Release(Result{}) })
			start := time.Now()
			permit, err := g.Acquire(t.Context(), mesh.Low, start.Add(time.Minute))
			assert.NilError(t, err)
			assert.Equal(t, time.Since(start), time.Second)
			permit.Release(Result{})
			permit.Release(Result{})
			assert.Equal(t, g.Load().Running, 0)
		}},
		{name: "a request waits no longer than its deadline", run: func(t *testing.T, g *Gate, _ *Permit) {
			start := time.Now()
			_, err := g.Acquire(t.Context(), mesh.Urgent, start.Add(time.Second))
			assert.Equal(t, reasonOf(err), Late)
			assert.Assert(t, time.Since(start) <= time.Second+minTimerDelay)
		}},
		{name: "a canceled request leaves the queue", run: func(t *testing.T, g *Gate, _ *Permit) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := g.Acquire(ctx, mesh.Urgent, time.Time{})
			assert.Equal(t, reasonOf(err), Canceled)
			assert.Equal(t, g.Load().Waiting, 0)
		}},
		{name: "a drain lets accepted requests finish", run: func(t *testing.T, g *Gate, held *Permit) {
			entered := make(chan error)
			go func() {
				permit, err := g.Acquire(t.Context(), mesh.Low, time.Time{})
				entered <- err
				time.Sleep(time.Second)
				permit.Release(Result{})
			}()
			synctest.Wait()
			time.AfterFunc(time.Second, func() { held.Release(Result{}) })
			drained := make(chan error)
			start := time.Now()
			go func() { drained <- g.Drain(t.Context()) }()
			synctest.Wait()
			_, err := g.Acquire(t.Context(), mesh.Urgent, time.Time{})
			assert.Equal(t, reasonOf(err), Draining)
			assert.NilError(t, <-entered)
			assert.NilError(t, <-drained)
			assert.Equal(t, time.Since(start), 2*time.Second)
		}},
		{name: "concurrent requests never exceed the slots", run: func(t *testing.T, g *Gate, held *Permit) {
			held.Release(Result{})
			var done sync.WaitGroup
			for i := range 200 {
				done.Go(func() {
					permit, err := g.Acquire(t.Context(), mesh.Priority(i%mesh.NumPriorities), time.Now().Add(time.Second))
					if err != nil {
						return
					}
					assert.Check(t, g.Load().Running <= 1)
					time.Sleep(time.Duration(i%7) * time.Millisecond)
					permit.Release(Result{Failed: i%5 == 0, Shed: i%9 == 0})
				})
			}
			done.Wait()
			assert.Equal(t, g.Load().Running+g.Load().Waiting, 0)
		}},
		{name: "a waiting request gets a newly configured slot", run: func(t *testing.T, g *Gate, _ *Permit) {
			time.AfterFunc(time.Second, func() { g.Configure(Config{Slots: 2}) })
			permit, err := g.Acquire(t.Context(), mesh.Low, time.Time{})
			assert.NilError(t, err)
			permit.Release(Result{})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var g Gate
				g.Configure(Config{Slots: 1})
				held, err := g.Acquire(t.Context(), mesh.Low, time.Time{})
				assert.NilError(t, err)
				tt.run(t, &g, held)
				held.Release(Result{})
			})
		})
	}
}

// TestHeldSlotsAreNotGranted guards against more requests at an upstream than it accepts,
// and against a gate that grants nothing, so that it never learns that there is capacity.
func TestHeldSlotsAreNotGranted(t *testing.T) {
	tests := []struct {
		name          string
		slots, held   int
		limit         int
		runningBefore int
		// afterwards is the number of requests that run once nothing is held.
		afterwards int
	}{
		{name: "none", slots: 4, held: 0, limit: 4, afterwards: 4},
		{name: "some", slots: 4, held: 3, limit: 1, afterwards: 4},
		{name: "all", slots: 4, held: 4, limit: 1, afterwards: 4},
		{name: "more than all", slots: 4, held: 9, limit: 1, afterwards: 4},
		{name: "negative", slots: 4, held: -1, limit: 4, afterwards: 4},
		{name: "running before", slots: 4, held: 4, limit: 1, runningBefore: 3, afterwards: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var q Queue
			now := time.Unix(1, 0)
			q.Configure(now, Config{Slots: tt.slots, FixedLimit: true})
			for range tt.runningBefore {
				q.Offer(now, &Request{})
			}
			q.Hold(now, tt.held)
			for range 6 {
				q.Offer(now, &Request{})
			}
			load := q.Load(now)
			assert.Equal(t, load.Limit, tt.limit)
			assert.Equal(t, load.Running, max(tt.limit, tt.runningBefore))
			granted := q.Hold(now, 0)
			assert.Equal(t, len(granted), tt.afterwards-max(tt.limit, tt.runningBefore))
			assert.Equal(t, q.Load(now).Running, tt.afterwards)
		})
	}
}
