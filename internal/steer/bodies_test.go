package steer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/steer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/plan"
)

const (
	// endlessBodies is the number of concurrent responses without an end.
	endlessBodies = 40
	// ordinaryBytes is the size of an ordinary large response.
	ordinaryBytes = 90 << 10
	// bodyMemory is the memory for the bodies of all requests.
	bodyMemory = 8 << 20
)

// endlessBody is a response body that only ends when it is closed.
type endlessBody struct {
	closed atomic.Bool
	open   *atomic.Int64
	// pause is the time between two parts of readBytes; zero for no limit.
	pause time.Duration
}

// readBytes is the largest part of a body that arrives at once.
const readBytes = 16 << 10

// Read implements io.Reader.
func (b *endlessBody) Read(data []byte) (n int, err error) {
	if b.closed.Load() {
		return 0, io.ErrClosedPipe
	}
	if b.pause > 0 {
		time.Sleep(b.pause)
	}
	return min(len(data), readBytes), nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error {
	if !b.closed.Swap(true) {
		b.open.Add(-1)
	}
	return nil
}

// endlessCaller answers paths that contain "endless" with a body without an end, and
// others with an ordinary one.
type endlessCaller struct {
	// open counts the bodies without an end that are not closed.
	open atomic.Int64
	// length is the length that is announced for bodies without an end, and pause the
	// time between two of their parts.
	length int64
	pause  time.Duration
}

// Call implements steer.RemoteCaller.
func (c *endlessCaller) Call(_ context.Context, _ netip.AddrPort, call *peer.Call) (*peer.Reply, error) {
	if !strings.Contains(call.Head.GetPath(), "endless") {
		return &peer.Reply{Head: &wire.ReplyHead{Status: http.StatusOK, BodyLength: ordinaryBytes}, Body: io.NopCloser(io.LimitReader(zeros{}, ordinaryBytes))}, nil
	}
	c.open.Add(1)
	return &peer.Reply{Head: &wire.ReplyHead{Status: http.StatusOK, BodyLength: c.length}, Body: &endlessBody{open: &c.open, pause: c.pause}}, nil
}

// zeros is a source of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(data []byte) (n int, err error) {
	return len(data), nil
}

// newEndlessRouter returns a router whose rule has a timeout that no request reaches, so
// that only the memory ends those without an end.
func newEndlessRouter(t testing.TB, caller *endlessCaller) *steer.Router {
	router, _ := newRouter(t, plan.Download, 1, &scriptedCaller{})
	snapshot := router.Snapshots.(fixedSnapshot)
	var err error
	snapshot.snapshot.Plan, err = plan.New(6, plan.Limits{}, []plan.Service{{Name: "orders"}}, []*plan.Rule{{
		Name: "r", Host: "a.example", Prefix: "/o/", Kind: plan.Download, Rank: 1, Timeout: time.Hour, MaxAttempts: 1,
		Services: []plan.WeightedService{{Service: "orders", Weight: 1}},
	}})
	assert.NilError(t, err)
	router.Snapshots = snapshot
	router.Remote, router.Recorder = caller, discardRecords{}
	router.Memory.SetLimit(bodyMemory)
	return router
}

type discardRecords struct{}

// Record implements steer.Recorder.
func (discardRecords) Record(steer.RequestRecord) {}

// TestEndlessBodiesLeaveMemoryForOthers receives many bodies without an end at once.
// Each must be dropped and closed, and its request reported as one that may have run,
// while ordinary responses are delivered whole.
func TestEndlessBodiesLeaveMemoryForOthers(t *testing.T) {
	tests := []struct {
		name   string
		length int64
	}{
		{name: "unknown length", length: -1},
		{name: "large length", length: 64 << 20},
		{name: "length beyond the limit", length: 1 << 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			caller := &endlessCaller{length: tt.length}
			router := newEndlessRouter(t, caller)
			var requests sync.WaitGroup
			for range endlessBodies {
				requests.Go(func() {
					response := router.Handle(t.Context(), newRequest("/o/endless", nil))
					assert.Check(t, response.Status == http.StatusBadGateway, "%d", response.Status)
				})
			}
			for range endlessBodies {
				requests.Go(func() {
					response := router.Handle(t.Context(), newRequest("/o/ordinary", nil))
					assert.Check(t, response.Status == http.StatusOK, "%d", response.Status)
					assert.Check(t, len(response.Body) == ordinaryBytes)
					response.Release()
				})
			}
			requests.Wait()
			assert.Equal(t, caller.open.Load(), int64(0))
			// All memory was returned: one body may use all of it again.
			response := router.Handle(t.Context(), newRequest("/o/ordinary", nil))
			assert.Equal(t, response.Status, http.StatusOK)
		})
	}
}

// BenchmarkEndlessBodies reports the largest heap while many bodies without an end arrive
// at some gigabits per second.
func BenchmarkEndlessBodies(b *testing.B) {
	caller := &endlessCaller{length: -1, pause: time.Millisecond}
	router := newEndlessRouter(b, caller)
	router.Memory.SetLimit(0)
	var peak uint64
	for b.Loop() {
		var requests sync.WaitGroup
		for i := range endlessBodies {
			requests.Go(func() { router.Handle(b.Context(), newRequest(fmt.Sprintf("/o/endless/%d", i), nil)) })
		}
		stop := make(chan struct{})
		go func() {
			requests.Wait()
			close(stop)
		}()
		for done := false; !done; {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak = max(peak, stats.HeapAlloc)
			select {
			case <-stop:
				done = true
			default:
			}
		}
	}
	b.ReportMetric(float64(peak)/(1<<20), "peakMiB")
}
