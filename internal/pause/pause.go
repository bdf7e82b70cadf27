// Package pause waits for a time, or until nobody needs the wait any more.
package pause

import (
	"context"
	"time"
)

// For waits for that time. It returns the context's error when that ends first;
// zero or less does not wait.
func For(ctx context.Context, wait time.Duration) (err error) {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
