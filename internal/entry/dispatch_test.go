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

// scripted answers the attempts in turn and remembers what it was asked.
type scripted struct {
	// ends holds the end of each attempt; nil means an answer.
	ends  []*peer.CallError
	nodes []netip.AddrPort
	names []string
	body  string
}

func (s *scripted) Call(_ context.Context, node netip.AddrPort, call *peer.Call) (*peer.Reply, error) {
	s.nodes = append(s.nodes, node)
	s.names = append(s.names, call.Head.GetAttempt())
	if call.Body != nil {
		data, _ := io.ReadAll(call.Body)
		s.body = string(data)
	}
	if n := len(s.nodes); n <= len(s.ends) && s.ends[n-1] != nil {
		return nil, s.ends[n-1]
	}
	return &peer.Reply{Head: &wire.ReplyHead{Status: 200}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// localScript is a LocalCaller that counts its calls.
type localScript struct{ calls int }

func (l *localScript) Call(context.Context, *peer.Call) (*peer.Reply, error) {
	l.calls++
	return &peer.Reply{Head: &wire.ReplyHead{Status: 200}, Body: io.NopCloser(strings.NewReader(""))}, nil
}

var hosts = []mesh.HostID{"a", "b", "c"}

func nodeOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func newDispatcher(caller Caller, store tree.IdempotencyStore) *Dispatcher {
	candidates := make([]pick.Candidate, 0, len(hosts))
	for i, host := range hosts {
		candidates = append(candidates, pick.Candidate{Host: host, Place: here, Node: nodeOf(i), Slots: 4})
	}
	settings := tree.Settings{MaxAttempts: 3, RetryBudgetPercent: 100, MaxBodyBytes: 1 << 20, IdempotencyWindow: time.Hour, IdempotencyStore: store}
	return &Dispatcher{
		Router:    &fixedRouter{settings: settings},
		Upstreams: fixedSet{set: pick.NewCandidateSet(service, candidates)},
		Caller:    caller,
		Place:     here,
		Host:      "a",
	}
}

func TestDispatchRetriesOnlyWhatIsSafe(t *testing.T) {
	notRun := &peer.CallError{Outcome: peer.NotRun, Reason: "gate-full"}
	unknown := &peer.CallError{Outcome: peer.Unknown, Reason: "session-lost"}
	long := strings.Repeat("x", MaxBufferedBody+1)
	tests := []struct {
		name     string
		method   string
		body     string
		ends     []*peer.CallError
		attempts int
		outcome  Outcome
		status   int
	}{
		{name: "answered at once", method: "POST", attempts: 1},
		{name: "not run is tried elsewhere", method: "POST", body: "entry", ends: []*peer.CallError{notRun, notRun}, attempts: 3},
		{name: "not run too often", method: "POST", ends: []*peer.CallError{notRun, notRun, notRun}, attempts: 3, outcome: NotRun, status: 503},
		{name: "unknown is not repeated", method: "POST", ends: []*peer.CallError{unknown}, attempts: 1, outcome: Unknown, status: 502},
		{name: "unknown is repeated when idempotent", method: "GET", ends: []*peer.CallError{unknown}, attempts: 2},
		{name: "unknown stays unknown after a refusal", method: "GET", ends: []*peer.CallError{unknown, notRun, notRun}, attempts: 3, outcome: Unknown, status: 502},
		{name: "streamed body is sent once", method: "POST", body: long, ends: []*peer.CallError{notRun}, attempts: 1, outcome: NotRun, status: 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &scripted{ends: tt.ends}
				d := newDispatcher(caller, tree.MemoryStore)
				// The budget holds retries for requests before this one.
				for range 100 {
					d.Budget.Deposit(time.Now(), service, policyOf(&tree.Settings{RetryBudgetPercent: 100}))
				}
				request := &Request{Customer: service.Customer, Method: tt.method, Path: "/notices", Length: int64(len(tt.body)), Body: strings.NewReader(tt.body)}
				answer, err := d.Dispatch(t.Context(), request)
				assert.Equal(t, len(caller.nodes), tt.attempts)
				assert.Equal(t, caller.body, tt.body)
				for i, name := range caller.names {
					assert.Assert(t, i == 0 || name != caller.names[0])
				}
				if tt.outcome == Answered {
					assert.NilError(t, err)
					assert.NilError(t, answer.Body.Close())
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

func TestKeyedRequestGoesToTheOwnerOfItsKey(t *testing.T) {
	notRun := &peer.CallError{Outcome: peer.NotRun, Reason: "gate-full"}
	tests := []struct {
		name  string
		store tree.IdempotencyStore
		// others tells that hosts other than the owner may stand in.
		others bool
	}{
		{name: "in memory", store: tree.MemoryStore},
		{name: "with the platform", store: tree.PlatformStore, others: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &scripted{ends: []*peer.CallError{notRun}}
				d := newDispatcher(caller, tt.store)
				for range 100 {
					d.Budget.Deposit(time.Now(), service, policyOf(&tree.Settings{RetryBudgetPercent: 100}))
				}
				request := &Request{Customer: service.Customer, Method: http.MethodPost, Path: "/notices/once", Key: "key-1"}
				answer, err := d.Dispatch(t.Context(), request)
				assert.NilError(t, err)
				assert.NilError(t, answer.Body.Close())
				owner, _ := once.Owner(service, once.Shard(service, "key-1"), hosts)
				first, _ := d.Upstreams.(fixedSet).set.Find(owner)
				assert.Equal(t, caller.nodes[0], first.Node)
				assert.Equal(t, caller.nodes[1] != first.Node, tt.others)
			})
		})
	}
}

func TestOwnUpstreamNeedsNoSession(t *testing.T) {
	caller, local := &scripted{}, &localScript{}
	d := newDispatcher(caller, tree.MemoryStore)
	d.Local = local
	d.Upstreams = fixedSet{set: pick.NewCandidateSet(service, []pick.Candidate{{Host: "a", Place: here, Node: nodeOf(0), Slots: 4}})}
	answer, err := d.Dispatch(t.Context(), &Request{Customer: service.Customer, Method: http.MethodGet, Path: "/notices"})
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, local.calls, 1)
	assert.Equal(t, len(caller.nodes), 0)
}
