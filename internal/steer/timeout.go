package steer

import (
	"sync"
	"time"
)

const (
	// fullFade is by how much the full time of a rule's callers fades with each
	// request, as a divisor, so that it follows callers that give less.
	fullFade = 2048
	// maxRules bounds the rules whose times are kept.
	maxRules = 4096
)

// times learns how much time the callers of each rule give a request at first.
// One that comes again, after a refusal, brings only what is left of it. The
// zero times is ready to use, by many threads.
type times struct {
	mutex sync.Mutex
	// full is guarded by mutex.
	full map[string]time.Duration
}

// passed returns how much of its time a request had used up before it came here.
func (t *times) passed(rule string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	full, known := t.full[rule]
	if !known && len(t.full) >= maxRules {
		return 0
	}
	if t.full == nil {
		t.full = make(map[string]time.Duration)
	}
	full = max(full-full/fullFade, left)
	t.full[rule] = full
	return full - left
}
