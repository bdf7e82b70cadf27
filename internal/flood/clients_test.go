package flood_test

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"arbutusstep.example/arbutusstep/internal/flood"
	"arbutusstep.example/arbutusstep/pkg/mesh"
)

const (
	// callerTimeout bounds each attempt; it is well above callTimeout.
	callerTimeout = 10 * time.Second
	// maxAttempts bounds how often a client sends a call that may be repeated.
	maxAttempts = 4
	// callTimeout is sent to the mesh with each attempt.
	callTimeout = 1500 * time.Millisecond
	// retryWindow bounds when a client may still repeat a call, so that the repeat
	// reaches an upstream within memoryWindow.
	retryWindow = memoryWindow - 2*callTimeout
)

// streams are the calls of the scenarios. Every call has a key, so that its runs
// can be counted and its response verified; the mesh deduplicates by key only at
// /orders and /notes.
var streams = []flood.Stream{
	{Keyed: true, Interval: 20 * time.Millisecond, Call: flood.Call{Timeout: 3 * callTimeout, Method: http.MethodGet, Path: "/pages/1", Priority: mesh.Normal, PaddingBytes: 2000}},
	{Keyed: true, Interval: 40 * time.Millisecond, Call: flood.Call{Timeout: callTimeout, Method: http.MethodPost, Path: "/orders/1", Body: "order", Priority: mesh.Urgent}},
	{Keyed: true, Interval: 40 * time.Millisecond, Call: flood.Call{Timeout: callTimeout, Method: http.MethodPost, Path: "/notes/1", Body: "note", Priority: mesh.High}},
	{Keyed: true, Interval: 40 * time.Millisecond, Call: flood.Call{Timeout: callTimeout, Method: http.MethodPost, Path: "/plain/1", Body: "plain", Priority: mesh.Low}},
}

// callRecord holds the results of all attempts of one call.
type callRecord struct {
	call    flood.Call
	results []flood.Result
}

func (c *callRecord) answered() bool {
	return slices.ContainsFunc(c.results, func(r flood.Result) bool { return r.Outcome == flood.Answered })
}

// clients send calls to the nodes in turn, repeat at another node what may be
// repeated, and keep a record of every call.
type clients struct {
	caller flood.Caller

	mutex sync.Mutex
	// addresses lists the nodes to send to; guarded by mutex.
	addresses []netip.AddrPort
	// inFlight counts the running attempts by address; guarded by mutex.
	inFlight map[netip.AddrPort]int
	// attempts counts all attempts; guarded by mutex.
	attempts int
	// records is keyed by the calls' keys; guarded by mutex.
	records map[string]*callRecord
}

func newClients(b *testbed) *clients {
	c := &clients{caller: flood.Caller{Timeout: callerTimeout}, records: make(map[string]*callRecord), inFlight: make(map[netip.AddrPort]int)}
	for _, h := range b.hosts {
		c.addresses = append(c.addresses, h.callerAddr())
	}
	b.Cleanup(c.caller.Close)
	return c
}

// stopSending removes the host's node from the addresses.
func (c *clients) stopSending(h *host) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addresses = slices.DeleteFunc(c.addresses, func(a netip.AddrPort) bool { return a == h.callerAddr() })
}

// waitIdle waits until no attempt is in flight at the host.
func (c *clients) waitIdle(t poll.TestingT, h *host) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if n := c.inFlight[h.callerAddr()]; n > 0 {
			return poll.Continue("%d calls in flight", n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// attempt sends the call to the next node in turn.
func (c *clients) attempt(ctx context.Context, call flood.Call) (result flood.Result) {
	c.mutex.Lock()
	c.attempts++
	address := c.addresses[c.attempts%len(c.addresses)]
	c.inFlight[address]++
	c.mutex.Unlock()
	result = c.caller.Do(ctx, address, call)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inFlight[address]--
	record := c.records[call.Key]
	if record == nil {
		record = &callRecord{call: call}
		c.records[call.Key] = record
	}
	record.results = append(record.results, result)
	return result
}

// Send implements flood.Sender.
func (c *clients) Send(ctx context.Context, call flood.Call) (result flood.Result) {
	start, attempts := time.Now(), maxAttempts
	if call.Path == "/plain/1" {
		attempts = 1
	}
	for range attempts {
		result = c.attempt(ctx, call)
		if result.Outcome == flood.Answered || time.Since(start) > retryWindow {
			break
		}
	}
	return result
}

// verifyGuarantees checks what must hold under any fault: no response is foreign,
// a call that is not idempotent ran at most once, an answered call ran, and a call
// that was reported as not run did not.
func (c *clients) verifyGuarantees(t *testing.T, runs map[string]int) {
	t.Helper()
	for key, record := range c.records {
		notRun := true
		for _, r := range record.results {
			assert.Check(t, r.Outcome != flood.Foreign, "%s: %+v", key, r)
			notRun = notRun && r.Outcome == flood.NotRun
		}
		if record.call.Method == http.MethodGet {
			continue
		}
		assert.Check(t, runs[key] <= 1, "%s ran %d times: %+v", key, runs[key], record.results)
		if record.answered() {
			assert.Check(t, runs[key] == 1, "%s was answered, but ran %d times: %+v", key, runs[key], record.results)
		}
		if notRun {
			assert.Check(t, cmp.Equal(runs[key], 0), "%s: %+v", key, record.results)
		}
	}
}

// countFirst returns how many calls of the path had one of the outcomes at the
// first attempt; an empty path counts all.
func (c *clients) countFirst(path string, outcomes ...flood.Outcome) (count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, record := range c.records {
		if (path == "" || record.call.Path == path) && slices.Contains(outcomes, record.results[0].Outcome) {
			count++
		}
	}
	return count
}

// firstFailures returns up to five first attempts that were not answered.
func (c *clients) firstFailures(path string) (failures []flood.Result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, record := range c.records {
		if (path == "" || record.call.Path == path) && record.results[0].Outcome != flood.Answered && len(failures) < 5 {
			failures = append(failures, record.results[0])
		}
	}
	return failures
}
