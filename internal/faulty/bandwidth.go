package faulty

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// Bandwidth bounds each direction of the links that share it. The zero
// Bandwidth has no bound.
type Bandwidth struct {
	mutex sync.Mutex
	// limiters are nil while there is no bound; guarded by mutex.
	limiters [numDirections]*rate.Limiter
}

// SetRate bounds each direction; zero means no bound.
func (b *Bandwidth) SetRate(bytesPerSecond int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i := range b.limiters {
		b.limiters[i] = nil
		if bytesPerSecond > 0 {
			b.limiters[i] = rate.NewLimiter(rate.Limit(bytesPerSecond), chunkSize)
		}
	}
}

// wait waits for the turn of that many bytes, at most chunkSize; a nil
// Bandwidth has no bound.
func (b *Bandwidth) wait(ctx context.Context, direction Direction, size int) (err error) {
	if b == nil {
		return nil
	}
	if limiter := b.limiter(direction); limiter != nil {
		return limiter.WaitN(ctx, size)
	}
	return nil
}

// bounded reports whether the direction has a bound; a nil Bandwidth has none.
func (b *Bandwidth) bounded(direction Direction) bool {
	return b != nil && b.limiter(direction) != nil
}

func (b *Bandwidth) limiter(direction Direction) *rate.Limiter {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.limiters[direction]
}
