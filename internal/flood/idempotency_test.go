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

// TestKeyRunsOnceWhereverItComes sends one key to many nodes at once, and again
// after the host that ran it was replaced.
func TestKeyRunsOnceWhereverItComes(t *testing.T) {
	tests := []struct{ name, path string }{
		{name: "keys in the platform", path: "/orders/1"},
		{name: "keys in memory", path: "/notes/1"},
	}
	t.Parallel()
	wanted := small
	wanted.serviceTime = 100 * time.Millisecond
	b := newBed(t, wanted)
	time.Sleep(memoryWindow)
	caller := &flood.Caller{Timeout: patience}
	defer caller.Close()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			call := flood.Call{Method: http.MethodPost, Path: tt.path, Body: "x", Key: tt.path, Priority: mesh.High}
			results := make([]flood.Result, 3*len(b.sites))
			var sending sync.WaitGroup
			for i := range results {
				sending.Go(func() { results[i] = caller.Do(t.Context(), b.sites[i%len(b.sites)].addr(), call) })
			}
			sending.Wait()
			firsts := 0
			for _, r := range results {
				assert.Check(t, r.Outcome == flood.Answered, "%+v", r)
				if !r.Replayed {
					firsts++
				}
			}
			assert.Equal(t, firsts, 1)
			assert.Equal(t, b.runs()[call.Key], 1)
		})
	}
	owners := make([]*site, 0, len(tests))
	for _, tt := range tests {
		result := caller.Do(t.Context(), b.sites[5].addr(), flood.Call{Method: http.MethodPost, Path: tt.path, Body: "x", Key: tt.path})
		assert.Check(t, result.Outcome == flood.Answered && result.Replayed, "%+v", result)
		for _, s := range b.sites {
			if s.node.Status().Host == result.Upstream {
				owners = append(owners, s)
			}
		}
	}
	for _, s := range owners {
		b.kill(s)
		s.upstream.Kill()
		b.add(s.place)
	}
	b.ready()
	for _, tt := range tests {
		t.Run(tt.name+" after the owner was replaced", func(t *testing.T) {
			for _, s := range b.sites {
				if s.stopped {
					continue
				}
				result := caller.Do(t.Context(), s.addr(), flood.Call{Method: http.MethodPost, Path: tt.path, Body: "x", Key: tt.path})
				fresh := result.Outcome == flood.Answered && !result.Replayed
				assert.Check(t, !fresh && result.Outcome != flood.Foreign, "%+v", result)
			}
			assert.Equal(t, b.runs()[tt.path], 1)
		})
	}
}
