// Package flood is a load generator. It sends calls to nodes as callers do, checks
// that each response belongs to its call and is whole, and counts the outcomes. The
// demo, the fault tests and the benchmarks of whole nodes use it; the product does
// not.
package flood

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"arbutusstep.example/arbutusstep/internal/entry"
	"arbutusstep.example/arbutusstep/internal/fakeup"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

// maxIdleConnsPerNode bounds the idle connections that a caller keeps to one node.
const maxIdleConnsPerNode = 512

// Call is one request.
type Call struct {
	Method string
	Path   string
	Body   string
	// Key is the Idempotency-Key, or empty. Without a key the body of the response
	// is not checked, since it then holds an attempt ID of the mesh.
	Key      string
	Priority mesh.Priority
	// Timeout is sent in the header Arbutus-Timeout; zero leaves it to the route.
	Timeout time.Duration
	// PaddingBytes is how many bytes the response has after its first line.
	PaddingBytes int64
}

// Outcome is how a call ended for its caller.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the whole response to this call arrived.
	Answered Outcome = iota
	// NotRun and Unknown are outcomes that the mesh reports.
	NotRun
	Unknown
	// Lost means that the connection broke or the caller gave up.
	Lost
	// Foreign means that a response seemed complete, but belongs to another call or
	// is truncated.
	Foreign
	numOutcomes
)

// String returns the outcome in lower case.
func (e Outcome) String() string {
	names := [numOutcomes]string{"answered", "not-run", "unknown", "lost", "foreign"}
	if e >= numOutcomes {
		return fmt.Sprintf("ending(%d)", uint8(e))
	}
	return names[e]
}

// Result describes how one call ended.
type Result struct {
	Outcome Outcome
	// Reason is the mesh's reason, or the status of an upstream that failed; empty
	// for a response.
	Reason string
	// Upstream is the host of the upstream that responded or was tried last, or
	// empty.
	Upstream mesh.HostID
	// Replayed is true for the response to an earlier call with the same key.
	Replayed bool
	// Err is why a call is Lost or Foreign, nil otherwise.
	Err error
	// Latency is the time from the request to the end of the response.
	Latency time.Duration
}

// Caller sends calls. The zero Caller is ready to use.
type Caller struct {
	// Timeout bounds one call; zero means no bound.
	Timeout time.Duration

	transport http.Transport
	once      sync.Once
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.transport.CloseIdleConnections()
}

// Do sends one call to the address.
func (c *Caller) Do(ctx context.Context, address netip.AddrPort, call Call) (result Result) {
	c.once.Do(func() { c.transport.MaxIdleConnsPerHost = maxIdleConnsPerNode })
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	start := time.Now()
	defer func() { result.Latency = time.Since(start) }()
	request, err := newRequest(ctx, address, call)
	if err != nil {
		return Result{Outcome: Lost, Err: err}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Result{Outcome: Lost, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	result.Upstream = mesh.HostID(response.Header.Get(entry.HeaderUpstream))
	result.Reason = response.Header.Get(entry.HeaderReason)
	result.Replayed = response.Header.Get(entry.HeaderReplayed) != ""
	switch response.Header.Get(entry.HeaderOutcome) {
	case entry.NotRun.String():
		result.Outcome = NotRun
	case entry.Unknown.String():
		result.Outcome = Unknown
	default:
		if response.StatusCode == http.StatusOK {
			result.Outcome, result.Err = verifyResponse(response, call)
			return result
		}
		// The upstream itself responded with an error.
		result.Outcome, result.Reason = Unknown, response.Status
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return result
}

func newRequest(ctx context.Context, address netip.AddrPort, call Call) (request *http.Request, err error) {
	path := call.Path
	if call.PaddingBytes > 0 {
		path += "?bytes=" + strconv.FormatInt(call.PaddingBytes, 10)
	}
	var body io.Reader
	if call.Body != "" {
		body = bytes.NewReader([]byte(call.Body))
	}
	request, err = http.NewRequestWithContext(ctx, call.Method, "http://"+address.String()+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(entry.HeaderPriority, call.Priority.String())
	if call.Key != "" {
		request.Header.Set(entry.HeaderIdempotencyKey, call.Key)
	}
	if call.Timeout > 0 {
		request.Header.Set(entry.HeaderTimeout, call.Timeout.String())
	}
	return request, nil
}

// verifyResponse reads the response and checks that it is whole and belongs to this
// call.
func verifyResponse(response *http.Response, call Call) (ending Outcome, err error) {
	reader := &bodyReader{reader: response.Body}
	if call.Key == "" {
		_, err = io.Copy(io.Discard, reader)
	} else {
		err = fakeup.VerifyResponse(reader, call.Path, call.Key, []byte(call.Body), call.PaddingBytes)
	}
	switch {
	case reader.readErr != nil:
		return Lost, reader.readErr
	case err != nil:
		return Foreign, err
	default:
		return Answered, nil
	}
}

// bodyReader keeps the read error of a body. It tells a response that broke off,
// which its caller notices, from one that is truncated without an error.
type bodyReader struct {
	reader  io.Reader
	readErr error
}

// Read implements io.Reader.
func (s *bodyReader) Read(data []byte) (n int, err error) {
	n, err = s.reader.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		s.readErr = err
	}
	return n, err
}
