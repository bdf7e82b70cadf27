package faulty

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
)

// Bandwidth limits the rate in each direction, over all links that share it. The
// zero Bandwidth has no limit.
type Bandwidth struct {
	mutex sync.Mutex
	// limiters are nil while there is no limit; guarded by mutex.
	limiters [numDirections]*rate.Limiter
}

// SetRate sets the limit of each direction; zero means no limit.
func (b *Bandwidth) SetRate(bytesPerSecond int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for i := range b.limiters {
		b.limiters[i] = nil
		if bytesPerSecond > 0 {
			b.limiters[i] = rate.NewLimiter(rate.Limit(bytesPerSecond), readSize)
		}
	}
}

// wait blocks until size bytes may be sent; size must not exceed readSize. A nil
// Bandwidth has no limit.
func (b *Bandwidth) wait(ctx context.Context, direction Direction, size int) (err error) {
	if b == nil {
		return nil
	}
	if limiter := b.limiter(direction); limiter != nil {
		return limiter.WaitN(ctx, size)
	}
	return nil
}

// limited reports whether the direction has a limit. A nil Bandwidth has none.
func (b *Bandwidth) limited(direction Direction) bool {
	return b != nil && b.limiter(direction) != nil
}

func (b *Bandwidth) limiter(direction Direction) *rate.Limiter {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.limiters[direction]
}
