package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/once"
	"arbutusstep.example/arbutusstep/pkg/pick"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// scriptedCaller returns the given results one after the other and records the
// calls.
type scriptedCaller struct {
	// errs holds the result of each attempt; nil means a response.
	errs []*peer.CallError
	// heads holds the heads of the first responses; that of the others has a status of 200.
	heads      []*wire.ReplyHead
	nodes      []netip.AddrPort
	attemptIDs []string
	body       string
}

func (s *scriptedCaller) Call(_ context.Context, node netip.AddrPort, call *peer.Call) (*peer.Reply, error) {
	s.nodes = append(s.nodes, node)
	s.attemptIDs = append(s.attemptIDs, call.Head.GetAttempt())
	if call.Body != nil {
		data, _ := io.ReadAll(call.Body)
		s.body = string(data)
	}
	if n := len(s.nodes); n <= len(s.errs) && s.errs[n-1] != nil {
		return nil, s.errs[n-1]
	}
	head := &wire.ReplyHead{Status: 200}
	if n := len(s.nodes); n <= len(s.heads) {
		head = s.heads[n-1]
	}
	return &peer.Reply{Head: head, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// countingLocalCaller is a LocalCaller that counts its calls.
type countingLocalCaller struct{ calls int }

func (l *countingLocalCaller) Call(context.Context, *peer.Call) (*peer.Reply, error) {
	l.calls++
	return &peer.Reply{Head: &wire.ReplyHead{Status: 200}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

var hosts = []mesh.HostID{"a", "b", "c"}

func nodeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func newDispatcher(caller Caller, store tree.IdempotencyStore) *Dispatcher {
	candidates := make([]pick.Candidate, 0, len(hosts))
	for i, host := range hosts {
		candidates = append(candidates, pick.Candidate{Host: host, Place: localPlace, Node: nodeAddress(i), Slots: 4})
	}
	settings := tree.Settings{MaxAttempts: 3, RetryBudgetPercent: 100, MaxBodyBytes: 1 << 20, IdempotencyWindow: time.Hour, IdempotencyStore: store}
	return &Dispatcher{
		Router:    &staticRouter{settings: settings},
		Upstreams: staticUpstreams{set: pick.NewCandidateSet(service, candidates)},
		Caller:    caller,
		Place:     localPlace,
		Host:      "a",
	}
}

func TestDispatchRetriesOnlyIfSafe(t *testing.T) {
	notRun := &peer.CallError{Outcome: peer.NotRun, Reason: "gate-full"}
	unknown := &peer.CallError{Outcome: peer.Unknown, Reason: "session-lost"}
	long := strings.Repeat("x", MaxBufferedBody+1)
	status000 := &wire.ReplyHead{}
	status600 := &wire.ReplyHead{Status: 600}
	invalidName := &wire.ReplyHead{Status: 200, Headers: []*wire.Header{{Name: "O dd", Value: "1"}}}
	tests := []struct {
		name     string
		method   string
		body     string
		errs     []*peer.CallError
		heads    []*wire.ReplyHead
		attempts int
		outcome  Outcome
		status   int
	}{
		{name: "first attempt succeeds", method: "POST", attempts: 1},
		{name: "not run is retried on other upstreams", method: "POST", body: "entry", errs: []*peer.CallError{notRun, notRun}, attempts: 3},
		{name: "not run on every attempt", method: "POST", errs: []*peer.CallError{notRun, notRun, notRun}, attempts: 3, outcome: NotRun, status: 503},
		{name: "unknown is not retried", method: "POST", errs: []*peer.CallError{unknown}, attempts: 1, outcome: Unknown, status: 502},
		{name: "unknown is retried if idempotent", method: "GET", errs: []*peer.CallError{unknown}, attempts: 2},
		{name: "unknown stays unknown after not run", method: "GET", errs: []*peer.CallError{unknown, notRun, notRun}, attempts: 3, outcome: Unknown, status: 502},
		{name: "status 000 of an older node", method: "POST", heads: []*wire.ReplyHead{status000}, attempts: 1, outcome: Unknown, status: 502},
		{name: "status 600 of an older node, idempotent", method: "GET", heads: []*wire.ReplyHead{status600}, attempts: 2},
		{name: "field name of an older node", method: "POST", heads: []*wire.ReplyHead{invalidName}, attempts: 1, outcome: Unknown, status: 502},
		{name: "field name of older nodes, idempotent", method: "GET", heads: []*wire.ReplyHead{invalidName, invalidName}, attempts: 3},
		{name: "streamed body is not sent again", method: "POST", body: long, errs: []*peer.CallError{notRun}, attempts: 1, outcome: NotRun, status: 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &scriptedCaller{errs: tt.errs, heads: tt.heads}
				d := newDispatcher(caller, tree.MemoryStore)
				// Earlier requests have filled the retry budget.
				for range 100 {
					d.Budget.Deposit(time.Now(), service, retryPolicy(&tree.Settings{RetryBudgetPercent: 100}))
				}
				request := &Request{Customer: service.Customer, Method: tt.method, Path: "/notices", Length: int64(len(tt.body)), Body: strings.NewReader(tt.body)}
				response, err := d.Dispatch(t.Context(), request)
				assert.Equal(t, len(caller.nodes), tt.attempts)
				assert.Equal(t, caller.body, tt.body)
				for i, id := range caller.attemptIDs {
					assert.Assert(t, i == 0 || id != caller.attemptIDs[0])
				}
				if tt.outcome == Answered {
					assert.NilError(t, err)
					assert.NilError(t, response.Body.Close())
					return
				}
				var failure *Failure
				assert.Assert(t, errors.As(err, &failure))
				assert.Equal(t, failure.Outcome, tt.outcome)
				assert.Equal(t, failure.Status, tt.status)
			})
		})
	}
}

func TestRequestWithKeyGoesToOwnerOfKey(t *testing.T) {
	notRun := &peer.CallError{Outcome: peer.NotRun, Reason: "gate-full"}
	tests := []struct {
		name  string
		store tree.IdempotencyStore
		// otherHosts is true if the retry goes to another host than the owner.
		otherHosts bool
	}{
		{name: "memory store", store: tree.MemoryStore},
		{name: "platform store", store: tree.PlatformStore, otherHosts: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &scriptedCaller{errs: []*peer.CallError{notRun}}
				d := newDispatcher(caller, tt.store)
				for range 100 {
					d.Budget.Deposit(time.Now(), service, retryPolicy(&tree.Settings{RetryBudgetPercent: 100}))
				}
				request := &Request{Customer: service.Customer, Method: http.MethodPost, Path: "/notices/once", Key: "key-1"}
				response, err := d.Dispatch(t.Context(), request)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				owner, _ := once.Owner(service, once.Shard(service, "key-1"), hosts)
				first, _ := d.Upstreams.(staticUpstreams).set.Find(owner)
				assert.Equal(t, caller.nodes[0], first.Node)
				assert.Equal(t, caller.nodes[1] != first.Node, tt.otherHosts)
			})
		})
	}
}

func TestLocalUpstreamIsCalledWithoutSession(t *testing.T) {
	caller, local := &scriptedCaller{}, &countingLocalCaller{}
	d := newDispatcher(caller, tree.MemoryStore)
	d.Local = local
	d.Upstreams = staticUpstreams{set: pick.NewCandidateSet(service, []pick.Candidate{{Host: "a", Place: localPlace, Node: nodeAddress(0), Slots: 4}})}
	response, err := d.Dispatch(t.Context(), &Request{Customer: service.Customer, Method: http.MethodGet, Path: "/notices"})
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, local.calls, 1)
	assert.Equal(t, len(caller.nodes), 0)
}
