// Package pause implements a sleep that a context can end early.
package pause

import (
	"context"
	"time"
)

// For sleeps for the duration. It returns the context's error if the context ends
// first. If the duration is not positive, For does not sleep and returns the
// context's error, if any.
func For(ctx context.Context, duration time.Duration) (err error) {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
