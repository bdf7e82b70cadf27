package steer

import (
	"sync"
	"time"
)

const (
	// The initial timeout of a rule is reduced by 1/timeoutDecay with each request, so
	// that it follows callers that shorten their timeout.
	timeoutDecay = 2048
	// maxRules limits the number of rules whose initial timeouts are kept.
	maxRules = 4096
)

// timeoutTracker learns the timeout that callers of each rule set on the first
// attempt. When a caller retries a refused request, it sends only the remaining time.
// The zero value is ready to use and safe for concurrent use.
type timeoutTracker struct {
	mutex sync.Mutex
	// initial is guarded by mutex.
	initial map[string]time.Duration
}

// elapsed returns how much of its initial timeout the caller has spent before a
// request with that much remaining time.
func (t *timeoutTracker) elapsed(rule string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	initial, known := t.initial[rule]
	if !known && len(t.initial) >= maxRules {
		return 0
	}
	if t.initial == nil {
		t.initial = make(map[string]time.Duration)
	}
	initial = max(initial-initial/timeoutDecay, remaining)
	t.initial[rule] = initial
	return initial - remaining
}
