package flood_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/flood"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// TestKeyRunsAtMostOnce sends one key to many nodes at once, and again after the
// host that ran it was replaced.
func TestKeyRunsAtMostOnce(t *testing.T) {
	tests := []struct{ name, path string }{
		{name: "keys in the platform", path: "/orders/1"},
		{name: "keys in memory", path: "/notes/1"},
	}
	t.Parallel()
	config := smallConfig
	config.serviceTime = 100 * time.Millisecond
	b := newTestbed(t, config)
	time.Sleep(memoryWindow)
	caller := &flood.Caller{Timeout: callerTimeout}
	defer caller.Close()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			call := flood.Call{Method: http.MethodPost, Path: tt.path, Body: "x", Key: tt.path, Priority: mesh.High}
			results := make([]flood.Result, 3*len(b.hosts))
			var sending sync.WaitGroup
			for i := range results {
				sending.Go(func() { results[i] = caller.Do(t.Context(), b.hosts[i%len(b.hosts)].callerAddr(), call) })
			}
			sending.Wait()
			originals := 0
			for _, r := range results {
				assert.Check(t, r.Outcome == flood.Answered, "%+v", r)
				if !r.Replayed {
					originals++
				}
			}
			assert.Equal(t, originals, 1)
			assert.Equal(t, b.runs()[call.Key], 1)
		})
	}
	owners := make([]*host, 0, len(tests))
	for _, tt := range tests {
		result := caller.Do(t.Context(), b.hosts[5].callerAddr(), flood.Call{Method: http.MethodPost, Path: tt.path, Body: "x", Key: tt.path})
		assert.Check(t, result.Outcome == flood.Answered && result.Replayed, "%+v", result)
		for _, h := range b.hosts {
			if h.node.Status().Host == result.Upstream {
				owners = append(owners, h)
			}
		}
	}
	for _, h := range owners {
		b.kill(h)
		h.upstream.Kill()
		b.addHost(h.spec)
	}
	b.waitUpstreamsKnown()
	for _, tt := range tests {
		t.Run(tt.name+" after the owner was replaced", func(t *testing.T) {
			for _, h := range b.hosts {
				if h.stopped {
					continue
				}
				result := caller.Do(t.Context(), h.callerAddr(), flood.Call{Method: http.MethodPost, Path: tt.path, Body: "x", Key: tt.path})
				newRun := result.Outcome == flood.Answered && !result.Replayed
				assert.Check(t, !newRun && result.Outcome != flood.Foreign, "%+v", result)
			}
			assert.Equal(t, b.runs()[tt.path], 1)
		})
	}
}
