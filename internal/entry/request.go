package entry

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/route"
)

// MaxBufferedBody is the length in bytes up to which a request body is buffered
// for retries.
const MaxBufferedBody = 64 << 10

// Router matches requests against the routes of the configuration in force.
type Router interface {
	Match(customer mesh.Customer, method, path string) (route.Target, error)
}

// Upstreams returns the upstreams of a service. If the service is not known yet,
// all its callers wait for a single lookup.
type Upstreams interface {
	Upstreams(ctx context.Context, id mesh.ServiceID) (*pick.CandidateSet, error)
}

// Caller calls the upstreams of other nodes. Its errors are of type
// *peer.CallError.
type Caller interface {
	Call(ctx context.Context, node netip.AddrPort, call *peer.Call) (*peer.Reply, error)
}

// LocalCaller calls the upstream of this node. Its errors are those of Caller.
type LocalCaller interface {
	Call(ctx context.Context, call *peer.Call) (*peer.Reply, error)
}

// Recorder records the result of each request. It must not block.
type Recorder interface {
	Record(now time.Time, record Record)
}

// Record is the result of a request.
type Record struct {
	// Service is empty if no route was found.
	Service  mesh.ServiceID
	Priority mesh.Priority
	Outcome  Outcome
	Reason   string
	// Status is the HTTP status that was sent to the caller.
	Status int
	// Attempts is the number of attempts.
	Attempts int
	// Latency is the time from the start of the request to the end of the response.
	Latency time.Duration
}

// Outcome tells the caller whether its request was run.
type Outcome uint8

// The outcomes of a request.
const (
	// Answered means that there is a response of the upstream.
	Answered Outcome = iota
	// NotRun means that the upstream certainly did not run the request.
	NotRun
	// Unknown means that the upstream may have run the request.
	Unknown
)

// String returns the name used in the Arbutus-Outcome header.
func (o Outcome) String() string {
	names := [...]string{"answered", "not-run", "unknown"}
	if int(o) >= len(names) {
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
	return names[o]
}

// Request is a request of a caller.
type Request struct {
	Customer mesh.Customer
	Method   string
	// Path is the path without dot segments and without query, as it is matched
	// against the routes.
	Path string
	// Target is the path with the query, as it is sent to the upstream.
	Target  string
	Headers []*wire.Header
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    mesh.Priority
	HasPriority bool
	// Timeout replaces the timeout of the route if it is shorter; zero means none.
	Timeout time.Duration
	// Key is the idempotency key; empty if there is none.
	Key string
	// Body is the request body, which is read at most once; nil means no body.
	Body io.Reader
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// OnBodyRead is called once the body was read completely. It may be nil.
	OnBodyRead func()
}

// Failure is the error of a request that got no response.
type Failure struct {
	// Outcome is NotRun or Unknown.
	Outcome Outcome
	// Reason is a short, stable text for headers and metrics.
	Reason string
	// Status is the HTTP status for the caller.
	Status int
	// RetryAfter is how long the caller should wait before it retries; zero if
	// unspecified.
	RetryAfter time.Duration
	// Upstream is the host of the last attempt; empty if there was none.
	Upstream mesh.HostID
	// Service is empty if no route was found.
	Service mesh.ServiceID
	// Priority is the priority of the request; valid only if a route was found.
	Priority mesh.Priority
	// Attempts is the number of attempts.
	Attempts int
	// Err is the cause; it may be nil.
	Err error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Err == nil {
		return fmt.Sprintf("%s: %s", f.Outcome, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", f.Outcome, f.Reason, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Err
}

// Reasons of a Failure, in addition to those of internal/peer and
// internal/serve.
const (
	ReasonNoRoute         = "no-route"
	ReasonUnknownCustomer = "unknown-customer"
	ReasonNoUpstreams     = "no-upstreams"
	ReasonLookupFailed    = "lookup-failed"
	ReasonNoConfiguration = "no-configuration"
	ReasonBodyTooLarge    = "body-too-large"
	ReasonRequestBody     = "request-body"
	ReasonBadHeader       = "bad-header"
	ReasonDeadline        = "deadline"
	ReasonDraining        = "draining"
)
