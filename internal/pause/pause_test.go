package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/pause"
)

func TestPauseEndsWithItsTimeOrItsContext(t *testing.T) {
	tests := []struct {
		name string
		wait time.Duration
		// ends is when the context ends, zero for never and below zero for before.
		ends time.Duration
		took time.Duration
		err  error
	}{
		{name: "time passes", wait: time.Second, took: time.Second},
		{name: "context ends first", wait: time.Second, ends: time.Millisecond, took: time.Millisecond, err: context.Canceled},
		{name: "no time"},
		{name: "time below zero", wait: -time.Second},
		{name: "no time, context ended", ends: -1, err: context.Canceled},
		{name: "context ended before", wait: time.Second, ends: -1, err: context.Canceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				switch {
				case tt.ends < 0:
					cancel()
				case tt.ends > 0:
					time.AfterFunc(tt.ends, cancel)
				}
				begun := time.Now()
				assert.ErrorIs(t, pause.For(ctx, tt.wait), tt.err)
				assert.Equal(t, time.Since(begun), tt.took)
			})
		})
	}
}
