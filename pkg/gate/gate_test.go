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
		// urgent is the least share of the urgent requests that is in time.
		urgent float64
	}{
		{name: "half of capacity", offered: mixes[0].offered, urgent: 0.999},
		{name: "capacity", offered: mixes[1].offered, urgent: 0.999},
		{name: "twice capacity", offered: mixes[2].offered, urgent: 0.999},
		{name: "ten times capacity", offered: mixes[3].offered, urgent: 0.999},
		{name: "ten times capacity, most of it urgent", offered: mixes[4].offered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := scenario{length: 15 * time.Second, from: 3 * time.Second, offered: tt.offered, deadline: 10 * simService}
			result := simulate(newGate(), s)
			granted := 0
			offered := 0.0
			for p, r := range result {
				granted += r.granted
				offered += tt.offered[p]
			}
			assert.Assert(t, result[mesh.Urgent].share() >= tt.urgent, "%+v", result)
			if offered == 1 {
				atCapacity = goodput(result)
			}
			if offered >= 9 {
				assert.Assert(t, float64(goodput(result)) >= 0.95*float64(atCapacity), "%+v", result)
			}
			for p, r := range result {
				floor := float64(simFloors[p]) / 100
				if tt.offered[p] > floor && offered > 2 {
					// A priority without work can't use its floor, so a twentieth may be missing.
					assert.Assert(t, float64(r.granted) >= 0.95*floor*float64(granted), "%s %+v", mesh.Priority(p), result)
				}
			}
		})
	}
}

func TestFewSlowRequestsDoNotShutOutTheOthers(t *testing.T) {
	for _, m := range mixes[:4] {
		t.Run(m.name, func(t *testing.T) {
			// One request in ten takes longer than its deadline allows, whatever is done.
			s := scenario{length: 15 * time.Second, from: 3 * time.Second, offered: m.offered, deadline: 4 * simService, tail: true}
			result := simulate(newGate(), s)
			assert.Assert(t, result[mesh.Urgent].share() >= 0.87, "%+v", result)
		})
	}
}

func TestLimitFollowsTheUpstream(t *testing.T) {
	for _, tt := range troubles {
		t.Run(tt.name, func(t *testing.T) {
			q := newGate().(*Queue)
			s := scenario{
				length: 25 * time.Second, offered: [mesh.NumPriorities]float64{0.5, 0.3, 0.2, 0.1},
				deadline: 10 * simService, rate: tt.rate, bears: tt.bears, from: 10 * time.Second,
			}
			gateResult, fifoResult := simulate(q, s), simulate(newFIFO(), s)
			assert.Assert(t, goodput(gateResult) > goodput(fifoResult))
			assert.Assert(t, gateResult[mesh.Urgent].share() >= 0.9, "%+v", gateResult)
			assert.Equal(t, q.Load(simStart.Add(s.length)).Limit, simSlots)
		})
	}
}

func TestColdUpstreamStartsAtAFraction(t *testing.T) {
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
	refusal := func(err error) Reason {
		var refused *RejectedError
		if !errors.As(err, &refused) {
			return 0
		}
		return refused.Reason
	}
	tests := []struct {
		name string
		run  func(t *testing.T, g *Gate, held *Permit)
	}{
		{name: "a waiting request gets the slot that is left", run: func(t *testing.T, g *Gate, held *Permit) {
			time.AfterFunc(time.Second, func() { held.Release(Result{}) })
			start := time.Now()
			ticket, err := g.Acquire(t.Context(), mesh.Low, start.Add(time.Minute))
			assert.NilError(t, err)
			assert.Equal(t, time.Since(start), time.Second)
			ticket.Release(Result{})
			ticket.Release(Result{})
			assert.Equal(t, g.Load().Running, 0)
		}},
		{name: "a request waits no longer than it has time", run: func(t *testing.T, g *Gate, _ *Permit) {
			start := time.Now()
			_, err := g.Acquire(t.Context(), mesh.Urgent, start.Add(time.Second))
			assert.Equal(t, refusal(err), Late)
			assert.Assert(t, time.Since(start) <= time.Second+timerStep)
		}},
		{name: "a caller that gives up leaves the queue", run: func(t *testing.T, g *Gate, _ *Permit) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := g.Acquire(ctx, mesh.Urgent, time.Time{})
			assert.Equal(t, refusal(err), Cancelled)
			assert.Equal(t, g.Load().Waiting, 0)
		}},
		{name: "a drain lets accepted work finish", run: func(t *testing.T, g *Gate, held *Permit) {
			entered := make(chan error)
			go func() {
				ticket, err := g.Acquire(t.Context(), mesh.Low, time.Time{})
				entered <- err
				time.Sleep(time.Second)
				ticket.Release(Result{})
			}()
			synctest.Wait()
			time.AfterFunc(time.Second, func() { held.Release(Result{}) })
			drained := make(chan error)
			start := time.Now()
			go func() { drained <- g.Drain(t.Context()) }()
			synctest.Wait()
			_, err := g.Acquire(t.Context(), mesh.Urgent, time.Time{})
			assert.Equal(t, refusal(err), Draining)
			assert.NilError(t, <-entered)
			assert.NilError(t, <-drained)
			assert.Equal(t, time.Since(start), 2*time.Second)
		}},
		{name: "many requests never hold more than the slots", run: func(t *testing.T, g *Gate, held *Permit) {
			held.Release(Result{})
			var done sync.WaitGroup
			for i := range 200 {
				done.Go(func() {
					ticket, err := g.Acquire(t.Context(), mesh.Priority(i%mesh.NumPriorities), time.Now().Add(time.Second))
					if err != nil {
						return
					}
					assert.Check(t, g.Load().Running <= 1)
					time.Sleep(time.Duration(i%7) * time.Millisecond)
					ticket.Release(Result{Failed: i%5 == 0, Shed: i%9 == 0})
				})
			}
			done.Wait()
			assert.Equal(t, g.Load().Running+g.Load().Waiting, 0)
		}},
		{name: "more slots let waiting work in", run: func(t *testing.T, g *Gate, _ *Permit) {
			time.AfterFunc(time.Second, func() { g.Configure(Config{Slots: 2}) })
			ticket, err := g.Acquire(t.Context(), mesh.Low, time.Time{})
			assert.NilError(t, err)
			ticket.Release(Result{})
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
