package node

import (
	"context"
	"sync"
)

// broadcast wakes all goroutines that wait for a change. Its zero value is ready
// to use.
type broadcast struct {
	mutex sync.Mutex
	// next is closed at the next change; nil while no goroutine waits.
	next chan struct{}
}

// notify wakes all waiting goroutines.
func (b *broadcast) notify() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.next != nil {
		close(b.next)
		b.next = nil
	}
}

// changed returns a channel that is closed at the next change.
func (b *broadcast) changed() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.next == nil {
		b.next = make(chan struct{})
	}
	return b.next
}

// waitFor waits until the condition holds or the context ends. The condition is
// checked at the start and after each change.
func (b *broadcast) waitFor(ctx context.Context, condition func() bool) (err error) {
	for {
		next := b.changed()
		if condition() {
			return nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
