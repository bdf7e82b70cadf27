// Package flood sends calls to the mesh as callers do, checks whose each answer
// is, and counts how the calls ended. The demo uses it, and so do the failure
// tests and benchmarks on whole nodes. It is no part of the product.
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

// idleConnections bounds the unused connections that a caller keeps to one node.
const idleConnections = 512

// Call is one request.
type Call struct {
	Method string
	Path   string
	Body   string
	// Key is the Idempotency-Key, or empty. Without it the answer can't be
	// checked, since it then names the attempt of the mesh.
	Key      string
	Priority mesh.Priority
	// Timeout is told to the mesh; zero leaves it to the route.
	Timeout time.Duration
	// PaddingBytes is how many bytes the answer has after its first line.
	PaddingBytes int64
}

// Outcome is how a call ended for its caller.
type Outcome uint8

// The endings.
const (
	// Answered means that the whole answer to this call came.
	Answered Outcome = iota
	// NotRun and Unknown are the words of the mesh.
	NotRun
	Unknown
	// Lost means that the connection ended or the caller gave up.
	Lost
	// Foreign means that an answer came which is another call's or not whole,
	// without the connection telling so.
	Foreign
	numEndings
)

// String returns the ending in lower case.
func (e Outcome) String() string {
	names := [numEndings]string{"answered", "not-run", "unknown", "lost", "foreign"}
	if e >= numEndings {
		return fmt.Sprintf("ending(%d)", uint8(e))
	}
	return names[e]
}

// Result is the end of one call.
type Result struct {
	Outcome Outcome
	// Reason is the mesh's own, empty for an answer.
	Reason string
	// Upstream is the host that answered or was tried last, or empty.
	Upstream mesh.HostID
	// Replayed is true for the answer to an earlier call of the same key.
	Replayed bool
	// Err is why a call is Lost or Foreign, nil otherwise.
	Err error
	// Latency runs from the request to the end of the answer.
	Latency time.Duration
}

// Caller sends calls. The zero Caller is ready to use.
type Caller struct {
	// Timeout bounds one call; zero means that the caller waits for ever.
	Timeout time.Duration

	transport http.Transport
	once      sync.Once
}

// Close closes the connections that are not in use.
func (c *Caller) Close() {
	c.transport.CloseIdleConnections()
}

// Do makes one call at that address.
func (c *Caller) Do(ctx context.Context, at netip.AddrPort, call Call) (result Result) {
	c.once.Do(func() { c.transport.MaxIdleConnsPerHost = idleConnections })
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	start := time.Now()
	defer func() { result.Latency = time.Since(start) }()
	request, err := newRequest(ctx, at, call)
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
			result.Outcome, result.Err = check(response, call)
			return result
		}
		// The upstream gave up on its own.
		result.Outcome, result.Reason = Unknown, response.Status
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return result
}

func newRequest(ctx context.Context, at netip.AddrPort, call Call) (request *http.Request, err error) {
	path := call.Path
	if call.PaddingBytes > 0 {
		path += "?bytes=" + strconv.FormatInt(call.PaddingBytes, 10)
	}
	var body io.Reader
	if call.Body != "" {
		body = bytes.NewReader([]byte(call.Body))
	}
	request, err = http.NewRequestWithContext(ctx, call.Method, "http://"+at.String()+path, body)
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

// check reads the answer and proves that it is the whole one to this call.
func check(response *http.Response, call Call) (ending Outcome, err error) {
	body := &source{reader: response.Body}
	if call.Key == "" {
		_, err = io.Copy(io.Discard, body)
	} else {
		err = fakeup.Verify(body, call.Path, call.Key, []byte(call.Body), call.PaddingBytes)
	}
	switch {
	case body.broke != nil:
		return Lost, body.broke
	case err != nil:
		return Foreign, err
	default:
		return Answered, nil
	}
}

// source remembers how an answer broke off, which its caller sees, in contrast
// to one that ends as if it were whole.
type source struct {
	reader io.Reader
	broke  error
}

// Read implements io.Reader.
func (s *source) Read(data []byte) (n int, err error) {
	n, err = s.reader.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		s.broke = err
	}
	return n, err
}
