package tree

import (
	"time"

	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// IdempotencyStore is where idempotency keys are stored.
type IdempotencyStore uint8

// The stores of idempotency keys.
const (
	// PlatformStore keeps keys in the platform's object store.
	PlatformStore IdempotencyStore = iota
	// MemoryStore keeps keys in the memory of the service's nodes.
	MemoryStore
)

var idempotencyStoreNames = []string{"platform", "memory"}

// String returns the name used in settings.
func (s IdempotencyStore) String() string {
	return nameOf(idempotencyStoreNames, int(s))
}

// Idempotence determines which requests of a route are idempotent.
type Idempotence uint8

// The ways to determine whether a request is idempotent.
const (
	// ByMethod depends on the HTTP method, as in RFC 9110 section 9.2.2.
	ByMethod Idempotence = iota
	// AlwaysIdempotent treats every request as idempotent.
	AlwaysIdempotent
	// NeverIdempotent treats no request as idempotent.
	NeverIdempotent
)

var idempotenceNames = []string{"method", "true", "false"}

// String returns the name used in settings.
func (i Idempotence) String() string {
	return nameOf(idempotenceNames, int(i))
}

// IsIdempotent reports whether a request with the method is idempotent.
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

func nameOf(names []string, index int) string {
	if index >= len(names) {
		return "unknown"
	}
	return names[index]
}

// Objective is a service-level objective: the share of requests that should be
// answered within a latency.
type Objective struct {
	// Latency is the time within which a request counts as good; above zero.
	Latency time.Duration
	// Percent is the share of good requests to reach; above 0 and below 100.
	Percent float64
}

// Settings are the effective settings of one path.
type Settings struct {
	// Priority applies to requests whose route sets none.
	Priority mesh.Priority
	// Timeout applies to requests whose route sets none.
	Timeout time.Duration
	// MaxAttempts is the largest number of attempts for one request, including the
	// first; at least 1.
	MaxAttempts int
	// RetryBudgetPercent limits retries to a share of the first attempts.
	RetryBudgetPercent int
	// QueueLimit is the largest number of requests that wait at one upstream.
	QueueLimit int
	// MaxBodyBytes is the largest size of a request body.
	MaxBodyBytes int64
	// Floors are the minimum shares of an upstream that each priority gets under
	// overload, in percent; their sum is at most 100.
	Floors [mesh.NumPriorities]int
	// IdempotencyWindow is how long idempotency keys are stored.
	IdempotencyWindow time.Duration
	// IdempotencyStore is where idempotency keys are stored.
	IdempotencyStore IdempotencyStore
	// AllowCrossRegion permits calls to upstreams in other regions.
	AllowCrossRegion bool
	// Objectives holds one objective per priority.
	Objectives [mesh.NumPriorities]Objective
	// Routes are sorted by name. At a service they are the routes set there; at the
	// other levels they include the inherited ones.
	Routes []Route
}

// Route maps requests to a service.
type Route struct {
	// Name is unique among the routes of one path.
	Name string
	// Prefix is matched against whole segments of the request path. It starts with
	// a slash and ends with one only if it is "/".
	Prefix string
	// Methods lists the accepted methods, sorted; empty accepts every method.
	Methods []string
	// Service receives the requests.
	Service mesh.Service
	// Priority is that of the service unless the route sets its own.
	Priority mesh.Priority
	// Timeout is that of the service unless the route sets its own.
	Timeout time.Duration
	// Idempotence determines which requests may be retried after they may have run.
	Idempotence Idempotence
	// AtMostOnce is true if requests with the same Idempotency-Key run at most once.
	AtMostOnce bool
}
