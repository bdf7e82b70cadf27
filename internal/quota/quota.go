// Package quota limits the memory that the bodies of all requests and responses of a
// process use together.
package quota

import (
	"errors"
	"sync"
	"sync/atomic"
)

// DefaultLimit is the memory for bodies if no limit is set, in bytes.
const DefaultLimit = 32 << 20

// ErrExceeded means that a body was dropped because all bodies together need more memory
// than there is for them.
var ErrExceeded = errors.New("body exceeds its share of the memory for bodies")

// Memory is the memory for bodies. While they exceed the limit, only those that are larger
// than the average share are dropped, so that a body without an end takes nothing from
// those of ordinary size. The zero Memory has the limit DefaultLimit and is safe for
// concurrent use.
type Memory struct {
	// limit is in bytes; zero means DefaultLimit.
	limit atomic.Int64

	mutex sync.Mutex
	// used is the sum of the sizes of all bodies in bytes, and bodies their number;
	// guarded by mutex.
	used   int64
	bodies int64
}

// SetLimit sets the limit in bytes; zero means DefaultLimit.
func (m *Memory) SetLimit(bytes int64) {
	m.limit.Store(bytes)
}

// Used returns the memory that all bodies use, in bytes.
func (m *Memory) Used() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.used
}

// Hold returns an empty body. Its Release method must be called once it is not used any
// more.
func (m *Memory) Hold() *Body {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.bodies++
	return &Body{memory: m}
}

func (m *Memory) effectiveLimit() int64 {
	if limit := m.limit.Load(); limit > 0 {
		return limit
	}
	return DefaultLimit
}
