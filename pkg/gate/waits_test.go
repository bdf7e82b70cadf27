package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// Waits that are never forgotten, or those of refused requests, would hide from operators
// whether requests wait now.
func TestWaitQuantileCoversTheLastMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Gate
		running, err := g.Acquire(t.Context(), mesh.Normal, time.Time{})
		assert.NilError(t, err)
		assert.Equal(t, g.WaitQuantile(time.Now(), 99), time.Duration(0))
		time.AfterFunc(200*time.Millisecond, func() { running.Release(Result{}) })
		waited, err := g.Acquire(t.Context(), mesh.Normal, time.Time{})
		assert.NilError(t, err)
		wait := g.WaitQuantile(time.Now(), 99)
		assert.Assert(t, wait > 195*time.Millisecond && wait < 205*time.Millisecond, "%v", wait)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_, err = g.Acquire(ctx, mesh.Normal, time.Time{})
		assert.ErrorContains(t, err, "cancelled")
		assert.Equal(t, g.WaitQuantile(time.Now(), 99), wait)
		waited.Release(Result{})
		time.Sleep(time.Minute)
		assert.Equal(t, g.WaitQuantile(time.Now(), 99), time.Duration(0))
	})
}
