package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/pause"
)

func TestForReturnsAfterDurationOrWhenContextEnds(t *testing.T) {
	tests := []struct {
		name     string
		duration time.Duration
		// cancelAfter is when the context is canceled: zero means never, and a
		// negative value means before the call.
		cancelAfter time.Duration
		elapsed     time.Duration
		err         error
	}{
		{name: "duration elapses", duration: time.Second, elapsed: time.Second},
		{name: "context ends first", duration: time.Second, cancelAfter: time.Millisecond, elapsed: time.Millisecond, err: context.Canceled},
		{name: "zero duration"},
		{name: "negative duration", duration: -time.Second},
		{name: "zero duration, context ended before", cancelAfter: -1, err: context.Canceled},
		{name: "context ended before the call", duration: time.Second, cancelAfter: -1, err: context.Canceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				switch {
				case tt.cancelAfter < 0:
					cancel()
				case tt.cancelAfter > 0:
					time.AfterFunc(tt.cancelAfter, cancel)
				}
				start := time.Now()
				assert.ErrorIs(t, pause.For(ctx, tt.duration), tt.err)
				assert.Equal(t, time.Since(start), tt.elapsed)
			})
		})
	}
}
