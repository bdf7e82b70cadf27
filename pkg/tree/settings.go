package tree

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// IdempotencyStore says where idempotency keys are remembered.
type IdempotencyStore uint8

// The stores of idempotency keys.
const (
	// PlatformStore keeps keys in the platform's service.
	PlatformStore IdempotencyStore = iota
	// MemoryStore keeps keys in the memory of the service's nodes.
	MemoryStore
)

var keyStoreNames = []string{"platform", "memory"}

// String returns the name used in settings.
func (k IdempotencyStore) String() string {
	return nameAt(keyStoreNames, int(k))
}

// Idempotence says which requests of a route may be repeated.
type Idempotence uint8

// The ways to tell an idempotent request.
const (
	// ByMethod goes by the HTTP method, as in RFC 9110 section 9.2.2.
	ByMethod Idempotence = iota
	// AlwaysIdempotent holds for every request.
	AlwaysIdempotent
	// NeverIdempotent holds for no request.
	NeverIdempotent
)

var idempotenceNames = []string{"method", "true", "false"}

// String returns the name used in settings.
func (i Idempotence) String() string {
	return nameAt(idempotenceNames, int(i))
}

// IsIdempotent reports whether a request of that method may be repeated.
func (i Idempotence) IsIdempotent(method string) bool {
	switch i {
	case AlwaysIdempotent:
		return true
	case NeverIdempotent:
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}

func nameAt(names []string, index int) string {
	if index >= len(names) {
		return "unknown"
	}
	return names[index]
}

// Objective is a service-level objective: the share of requests that must be
// answered within a latency.
type Objective struct {
	// Latency is above zero.
	Latency time.Duration
	// Percent is above 0 and below 100.
	Percent float64
}

// Settings are the effective settings of one path.
type Settings struct {
	// Priority ranks requests that no route ranks.
	Priority mesh.Priority
	// Timeout bounds a request that no route bounds.
	Timeout time.Duration
	// MaxAttempts counts the tries of one request, the first included; at least 1.
	MaxAttempts int
	// RetryBudgetPercent bounds retries, as a share of the first tries.
	RetryBudgetPercent int
	// QueueLimit bounds the requests that wait at one upstream.
	QueueLimit int
	// MaxBodyBytes bounds a request's body, in bytes.
	MaxBodyBytes int64
	// Floors are the shares in percent that each priority keeps under
	// overload; their sum is at most 100.
	Floors [mesh.NumPriorities]int
	// IdempotencyWindow is how long an idempotency key is remembered.
	IdempotencyWindow time.Duration
	// IdempotencyStore is where idempotency keys are remembered.
	IdempotencyStore IdempotencyStore
	// AllowCrossRegion allows calls to cross the link between regions.
	AllowCrossRegion bool
	// Objectives holds one objective per priority.
	Objectives [mesh.NumPriorities]Objective
	// Routes are sorted by name. At a service they are the service's own; at
	// the levels above they are the inherited ones.
	Routes []Route
}

// Route leads requests to a service.
type Route struct {
	// Name is unique among the routes of one path.
	Name string
	// Prefix starts with a slash and ends with one only if it is "/"; it
	// matches whole segments of a request's path.
	Prefix string
	// Methods are sorted; none means every method.
	Methods []string
	// Service takes the requests.
	Service mesh.Service
	// Priority is that of the service unless the route sets it.
	Priority mesh.Priority
	// Timeout is that of the service unless the route sets it.
	Timeout time.Duration
	// Idempotence says which requests may be repeated.
	Idempotence Idempotence
	// AtMostOnce tells that a request's Idempotency-Key is honoured.
	AtMostOnce bool
}
