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

// slowDelay is a service time or timeout that no call of the test reaches.
const slowDelay = time.Minute

func waitFor(t poll.TestingT, condition func() bool) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("condition does not hold yet")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(startTimeout))
}

// upstreamLink returns the link from the entry node to the upstream's node.
func (b *testbed) upstreamLink() *faulty.Link {
	link, err := b.linkTo(b.hosts[0], b.hosts[1].node.NodeAddr())
	assert.NilError(b, err)
	return link
}

// TestCallEndsAtDeadlineOrCancellation ends a call while it is queued, while it
// runs and while its response is sent, by its deadline or by its caller. The call
// must end everywhere and leave nothing queued or running.
func TestCallEndsAtDeadlineOrCancellation(t *testing.T) {
	const shortTimeout = 500 * time.Millisecond
	fillSlot := func(b *testbed) {
		assert.NilError(b, b.hosts[1].upstream.SetFaults(fakeup.Faults{Delay: slowDelay}))
		ctx, cancel := context.WithCancel(context.Background())
		b.Cleanup(cancel)
		go (&flood.Caller{}).Do(ctx, b.hosts[0].callerAddr(), flood.Call{Method: http.MethodPost, Path: "/plain/1", Body: "first", Key: "first", Priority: mesh.Urgent})
		waitFor(b, func() bool { return b.hosts[1].upstream.Stats().Running == 1 })
	}
	delayUpstream := func(b *testbed) {
		assert.NilError(b, b.hosts[1].upstream.SetFaults(fakeup.Faults{Delay: slowDelay}))
	}
	throttleResponse := func(b *testbed) {
		b.upstreamLink().SetRate(16 << 10)
	}
	tests := []struct {
		name    string
		setUp   func(b *testbed)
		timeout time.Duration
		padding int64
		// cancelWhen returns true when the caller shall cancel; nil leaves the end to
		// the deadline.
		cancelWhen func(b *testbed) bool
		// want lists the allowed outcomes: at the deadline, the entry node may not
		// have heard yet that the call was refused.
		want []flood.Outcome
		runs int
	}{
		{name: "deadline in the queue", setUp: fillSlot, timeout: shortTimeout, want: []flood.Outcome{flood.NotRun, flood.Unknown}},
		{name: "deadline in flight", setUp: delayUpstream, timeout: shortTimeout, want: []flood.Outcome{flood.Unknown}, runs: 1},
		{name: "deadline on the way back", setUp: throttleResponse, timeout: shortTimeout, padding: 1 << 20, want: []flood.Outcome{flood.Lost}, runs: 1},
		{name: "short answer on the way back", setUp: throttleResponse, timeout: shortTimeout, padding: 50 << 10, want: []flood.Outcome{flood.Unknown}, runs: 1},
		{name: "cancelled in the queue", setUp: fillSlot, timeout: slowDelay, cancelWhen: func(b *testbed) bool {
			return b.hosts[1].node.Status().Waiting == 1
		}, want: []flood.Outcome{flood.Lost}},
		{name: "cancelled in flight", setUp: delayUpstream, timeout: slowDelay, cancelWhen: func(b *testbed) bool {
			return b.hosts[1].upstream.Stats().Running == 1
		}, want: []flood.Outcome{flood.Lost}, runs: 1},
		{name: "cancelled on the way back", setUp: throttleResponse, timeout: slowDelay, padding: 64 << 20, cancelWhen: func(b *testbed) bool {
			return b.upstreamLink().Bytes(faulty.FromTarget) > 20<<10
		}, want: []flood.Outcome{flood.Lost}, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, testbedConfig{hosts: []hostSpec{{zone: "a", region: "west"}, {zone: "a", region: "west", service: "desk"}}, slots: 1})
			tt.setUp(b)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			caller := &flood.Caller{}
			defer caller.Close()
			call := flood.Call{Method: http.MethodPost, Path: "/plain/1", Body: "x", Key: "second", Timeout: tt.timeout, PaddingBytes: tt.padding}
			results := make(chan flood.Result, 1)
			go func() { results <- caller.Do(ctx, b.hosts[0].callerAddr(), call) }()
			if tt.cancelWhen != nil {
				waitFor(t, func() bool { return tt.cancelWhen(b) })
				cancel()
			}
			result := <-results
			assert.Check(t, slices.Contains(tt.want, result.Outcome), "%+v", result)
			otherRuns := b.runs()["first"]
			waitFor(t, func() bool { return b.hosts[1].upstream.Stats().Running == otherRuns })
			waitFor(t, func() bool { return b.hosts[1].node.Status().Waiting == 0 })
			assert.Equal(t, b.runs()["second"], tt.runs)
		})
	}
}
