package flood_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/fakeup"
	"arbutusstep.example/arbutusstep/internal/faulty"
	"arbutusstep.example/arbutusstep/internal/flood"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// slow is how long an upstream runs a call that is to be given up meanwhile.
const slow = time.Minute

func waitFor(t poll.TestingT, holds func() bool) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(startTime))
}

// toUpstream returns the link from the entry node to the upstream's node.
func (b *bed) toUpstream() *faulty.Link {
	link, err := b.between(b.sites[0], b.sites[1].node.NodeAddr())
	assert.NilError(b, err)
	return link
}

// TestCallEndsWhereItsTimeOrCallerDoes gives up one call at each point of its
// way, by its deadline or by its caller.
func TestCallEndsWhereItsTimeOrCallerDoes(t *testing.T) {
	const short = 500 * time.Millisecond
	queue := func(b *bed) {
		assert.NilError(b, b.sites[1].upstream.SetFaults(fakeup.Faults{Delay: slow}))
		ctx, cancel := context.WithCancel(context.Background())
		b.Cleanup(cancel)
		go (&flood.Caller{}).Do(ctx, b.sites[0].addr(), flood.Call{Method: http.MethodPost, Path: "/plain/1", Body: "first", Key: "first", Priority: mesh.Urgent})
		waitFor(b, func() bool { return b.sites[1].upstream.Stats().Running == 1 })
	}
	flight := func(b *bed) {
		assert.NilError(b, b.sites[1].upstream.SetFaults(fakeup.Faults{Delay: slow}))
	}
	back := func(b *bed) {
		b.toUpstream().SetRate(16 << 10)
	}
	tests := []struct {
		name    string
		before  func(b *bed)
		timeout time.Duration
		filler  int64
		// arrived tells when the caller gives up; nil leaves it to the deadline.
		arrived func(b *bed) bool
		// want lists the endings that are true; the caller's node may not hear in
		// time that the call was refused.
		want []flood.Outcome
		runs int
	}{
		{name: "deadline in the queue", before: queue, timeout: short, want: []flood.Outcome{flood.NotRun, flood.Unknown}},
		{name: "deadline in flight", before: flight, timeout: short, want: []flood.Outcome{flood.Unknown}, runs: 1},
		{name: "deadline on the way back", before: back, timeout: short, filler: 1 << 20, want: []flood.Outcome{flood.Lost}, runs: 1},
		{name: "short answer on the way back", before: back, timeout: short, filler: 50 << 10, want: []flood.Outcome{flood.Unknown}, runs: 1},
		{name: "cancelled in the queue", before: queue, timeout: slow, arrived: func(b *bed) bool {
			return b.sites[1].node.Status().Waiting == 1
		}, want: []flood.Outcome{flood.Lost}},
		{name: "cancelled in flight", before: flight, timeout: slow, arrived: func(b *bed) bool {
			return b.sites[1].upstream.Stats().Running == 1
		}, want: []flood.Outcome{flood.Lost}, runs: 1},
		{name: "cancelled on the way back", before: back, timeout: slow, filler: 64 << 20, arrived: func(b *bed) bool {
			return b.toUpstream().Bytes(faulty.FromTarget) > 20<<10
		}, want: []flood.Outcome{flood.Lost}, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, shape{hosts: []place{{zone: "a", region: "west"}, {zone: "a", region: "west", service: "desk"}}, slots: 1})
			tt.before(b)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			caller := &flood.Caller{}
			defer caller.Close()
			call := flood.Call{Method: http.MethodPost, Path: "/plain/1", Body: "x", Key: "second", Timeout: tt.timeout, PaddingBytes: tt.filler}
			results := make(chan flood.Result, 1)
			go func() { results <- caller.Do(ctx, b.sites[0].addr(), call) }()
			if tt.arrived != nil {
				waitFor(t, func() bool { return tt.arrived(b) })
				cancel()
			}
			result := <-results
			assert.Check(t, slices.Contains(tt.want, result.Outcome), "%+v", result)
			others := b.runs()["first"]
			waitFor(t, func() bool { return b.sites[1].upstream.Stats().Running == others })
			waitFor(t, func() bool { return b.sites[1].node.Status().Waiting == 0 })
			assert.Equal(t, b.runs()["second"], tt.runs)
		})
	}
}
