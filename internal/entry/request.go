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

// MaxBufferedBody is the longest request body that is held for retries, in bytes.
const MaxBufferedBody = 64 << 10

// Router finds the target of a request in the configuration in force.
type Router interface {
	Match(customer mesh.Customer, method, path string) (route.Target, error)
}

// Upstreams gives the upstreams of a service. The first use of a service that
// is not known yet waits for one shared look-up.
type Upstreams interface {
	Upstreams(ctx context.Context, id mesh.ServiceID) (*pick.CandidateSet, error)
}

// Caller calls other nodes. Its errors are of type *peer.CallError.
type Caller interface {
	Call(ctx context.Context, node netip.AddrPort, call *peer.Call) (*peer.Reply, error)
}

// LocalCaller calls the upstream of this very node, with the same errors.
type LocalCaller interface {
	Call(ctx context.Context, call *peer.Call) (*peer.Reply, error)
}

// Recorder is told how each request ended. It must not block.
type Recorder interface {
	Record(now time.Time, record Record)
}

// Record is the end of one request.
type Record struct {
	// Service is empty when no route was found.
	Service  mesh.ServiceID
	Priority mesh.Priority
	Outcome  Outcome
	Reason   string
	// Status is that of the answer to the caller.
	Status int
	// Attempts counts the upstreams tried.
	Attempts int
	// Latency runs from the request to the end of the answer.
	Latency time.Duration
}

// Outcome is how a request ended for its caller.
type Outcome uint8

// The outcomes; Answered is the zero one.
const (
	Answered Outcome = iota
	NotRun
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

// Request is what a front read from a caller.
type Request struct {
	Customer mesh.Customer
	Method   string
	// Path is cleaned and without query; it decides the route.
	Path string
	// Target is the path with the query, as it is sent on.
	Target  string
	Headers []*wire.Header
	// Priority replaces that of the route when HasPriority is set.
	Priority    mesh.Priority
	HasPriority bool
	// Timeout shortens that of the route; zero means none.
	Timeout time.Duration
	// Key is the idempotency key, or empty.
	Key string
	// Body gives the request's body and is read to its end at most once; nil
	// means none.
	Body io.Reader
	// Length is that of the body in bytes, -1 when it is not known.
	Length int64
	// OnBodyRead is called once when the body was read to its end; nil means that
	// nobody wants to know.
	OnBodyRead func()
}

// Failure is the end of a request without an answer.
type Failure struct {
	// Outcome is NotRun or Unknown.
	Outcome Outcome
	// Reason is short and stable.
	Reason string
	// Status is the one that tells the caller best.
	Status int
	// RetryAfter is how long the caller should hold back; zero for none.
	RetryAfter time.Duration
	// Upstream is the host tried last, or empty.
	Upstream mesh.HostID
	// Service is empty when no route was found.
	Service mesh.ServiceID
	// Priority is that of the request once a route was found.
	Priority mesh.Priority
	// Attempts counts the upstreams tried.
	Attempts int
	// Err is the cause, or nil.
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

// Reasons of a Failure; those of internal/peer and internal/serve come besides.
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
