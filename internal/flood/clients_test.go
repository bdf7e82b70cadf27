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
	// patience bounds each try of a caller, generously.
	patience = 10 * time.Second
	// maxTries bounds how often a caller sends a call that it may repeat.
	maxTries = 4
	// timeout is told to the mesh with each try.
	timeout = 1500 * time.Millisecond
	// repeatWithin bounds when a caller may still repeat a call, so that the
	// repeat is handed over within memoryWindow.
	repeatWithin = memoryWindow - 2*timeout
)

// kinds are the calls of the scenarios. Every call has a key, so that its runs
// are counted and its answer is proved; it counts for the mesh only at /orders
// and /notes.
var kinds = []flood.Stream{
	{Keyed: true, Interval: 20 * time.Millisecond, Call: flood.Call{Timeout: 3 * timeout, Method: http.MethodGet, Path: "/pages/1", Priority: mesh.Normal, PaddingBytes: 2000}},
	{Keyed: true, Interval: 40 * time.Millisecond, Call: flood.Call{Timeout: timeout, Method: http.MethodPost, Path: "/orders/1", Body: "order", Priority: mesh.Urgent}},
	{Keyed: true, Interval: 40 * time.Millisecond, Call: flood.Call{Timeout: timeout, Method: http.MethodPost, Path: "/notes/1", Body: "note", Priority: mesh.High}},
	{Keyed: true, Interval: 40 * time.Millisecond, Call: flood.Call{Timeout: timeout, Method: http.MethodPost, Path: "/plain/1", Body: "plain", Priority: mesh.Low}},
}

// story is what became of one key, over all tries of its caller.
type story struct {
	call    flood.Call
	results []flood.Result
}

// answered reports whether any try was answered.
func (s *story) answered() bool {
	return slices.ContainsFunc(s.results, func(r flood.Result) bool { return r.Outcome == flood.Answered })
}

// customers send calls at each open node in turn. They repeat at another node
// what may be repeated, and keep the story of every key.
type customers struct {
	caller flood.Caller

	mutex sync.Mutex
	// open holds where callers may send; guarded by mutex.
	open []netip.AddrPort
	// underway counts the tries at each address; guarded by mutex.
	underway map[netip.AddrPort]int
	// turn counts tries; guarded by mutex.
	turn int
	// stories are by key; guarded by mutex.
	stories map[string]*story
}

func newCustomers(b *bed) *customers {
	c := &customers{caller: flood.Caller{Timeout: patience}, stories: make(map[string]*story), underway: make(map[netip.AddrPort]int)}
	for _, s := range b.sites {
		c.open = append(c.open, s.addr())
	}
	b.Cleanup(c.caller.Close)
	return c
}

// leave makes no further call go to the site.
func (c *customers) leave(s *site) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open = slices.DeleteFunc(c.open, func(a netip.AddrPort) bool { return a == s.addr() })
}

// left waits until no call is underway at the site.
func (c *customers) left(t poll.TestingT, s *site) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if n := c.underway[s.addr()]; n > 0 {
			return poll.Continue("%d calls underway", n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// try makes one try at the next node in turn.
func (c *customers) try(ctx context.Context, call flood.Call) (result flood.Result) {
	c.mutex.Lock()
	c.turn++
	at := c.open[c.turn%len(c.open)]
	c.underway[at]++
	c.mutex.Unlock()
	result = c.caller.Do(ctx, at, call)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.underway[at]--
	s := c.stories[call.Key]
	if s == nil {
		s = &story{call: call}
		c.stories[call.Key] = s
	}
	s.results = append(s.results, result)
	return result
}

// Send implements flood.Sender.
func (c *customers) Send(ctx context.Context, call flood.Call) (result flood.Result) {
	start, tries := time.Now(), maxTries
	if call.Path == "/plain/1" {
		tries = 1
	}
	for range tries {
		result = c.try(ctx, call)
		if result.Outcome == flood.Answered || time.Since(start) > repeatWithin {
			break
		}
	}
	return result
}

// verify checks every promise that holds whatever happens: no answer is
// foreign, no key of a call that is not idempotent ran twice, what was answered
// ran, and what was said not to be run was not.
func (c *customers) verify(t *testing.T, runs map[string]int) {
	t.Helper()
	for key, s := range c.stories {
		notRun := true
		for _, r := range s.results {
			assert.Check(t, r.Outcome != flood.Foreign, "%s: %+v", key, r)
			notRun = notRun && r.Outcome == flood.NotRun
		}
		if s.call.Method == http.MethodGet {
			continue
		}
		assert.Check(t, runs[key] <= 1, "%s ran %d times: %+v", key, runs[key], s.results)
		if s.answered() {
			assert.Check(t, runs[key] == 1, "%s was answered and ran %d times: %+v", key, runs[key], s.results)
		}
		if notRun {
			assert.Check(t, cmp.Equal(runs[key], 0), "%s: %+v", key, s.results)
		}
	}
}

// count returns how many calls of the path ended so at the first try; an empty
// path counts all.
func (c *customers) count(path string, endings ...flood.Outcome) (count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, s := range c.stories {
		if (path == "" || s.call.Path == path) && slices.Contains(endings, s.results[0].Outcome) {
			count++
		}
	}
	return count
}

// failures lists the first tries that were not answered, at most a few.
func (c *customers) failures(path string) (failures []flood.Result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, s := range c.stories {
		if (path == "" || s.call.Path == path) && s.results[0].Outcome != flood.Answered && len(failures) < 5 {
			failures = append(failures, s.results[0])
		}
	}
	return failures
}
