package node

import (
	"context"
	"sync"
)

// signal wakes whoever waits for a change. The zero signal is ready to use.
type signal struct {
	mutex sync.Mutex
	// next is closed at the next change; nil while nobody waits.
	next chan struct{}
}

// tell wakes all that wait.
func (s *signal) tell() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}

// wait returns a channel that is closed at the next change.
func (s *signal) wait() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// until waits until the condition holds, which is checked after each change.
func (s *signal) until(ctx context.Context, condition func() bool) (err error) {
	for {
		next := s.wait()
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
