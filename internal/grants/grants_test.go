package grants_test

import (
	"context"
	"io"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/grants"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

// testNet connects proxies, each with an address.
type testNet struct {
	handlers map[netip.AddrPort]*grants.Handler
	// latency is the time of a message on its way. silent makes all calls hang.
	latency time.Duration
	silent  atomic.Bool
	calls   atomic.Int64
	// underWay and mostUnderWay count the calls at one time.
	mutex                  sync.Mutex
	underWay, mostUnderWay int
}

// Call implements grants.Caller.
func (n *testNet) Call(ctx context.Context, node netip.AddrPort, call *peer.Call) (*peer.Reply, error) {
	n.calls.Add(1)
	n.mutex.Lock()
	n.underWay++
	n.mostUnderWay = max(n.mostUnderWay, n.underWay)
	n.mutex.Unlock()
	defer func() {
		n.mutex.Lock()
		n.underWay--
		n.mutex.Unlock()
	}()
	if n.silent.Load() {
		<-ctx.Done()
		return nil, &peer.CallError{Outcome: peer.Unknown, Reason: peer.ReasonDeadline}
	}
	time.Sleep(n.latency)
	reply := &recordedReply{}
	n.handlers[node].ServeCall(ctx, call, reply)
	time.Sleep(n.latency)
	if reply.head.GetOutcome() != wire.Outcome_OUTCOME_ANSWERED {
		return nil, &peer.CallError{Outcome: peer.NotRun, Reason: reply.head.GetReason()}
	}
	return &peer.Reply{Head: reply.head, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// recordedReply keeps the head of a reply.
type recordedReply struct {
	peer.ReplyWriter
	head *wire.ReplyHead
}

// WriteHead implements peer.ReplyWriter.
func (r *recordedReply) WriteHead(head *wire.ReplyHead) error {
	r.head = head
	return nil
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
}

// newChain starts proxies of which each gets its tokens from the one before it. The first
// one is the owner, with full buckets.
func newChain(t *testing.T, n *testNet, proxies int) (chain []*grants.Quotas, version *plan.Plan) {
	version, err := plan.New(5, plan.Limits{}, []plan.Service{{Name: "orders"}}, nil,
		&plan.Account{Name: "anna", Rate: 10, Burst: 20}, &plan.Account{Name: "ben", Rate: 1, Burst: 1}, &plan.Account{Name: "free"})
	assert.NilError(t, err)
	n.handlers = make(map[netip.AddrPort]*grants.Handler)
	for i := range proxies {
		q := &grants.Quotas{Caller: n}
		q.Start(mesh.HostID(addressOf(i).String()))
		source := cells.TokenSource{Owner: true, Share: 1}
		if i > 0 {
			source = cells.TokenSource{Host: "parent", Address: addressOf(i - 1)}
		}
		q.Apply(cells.ProxySnapshot{Plan: version, NodeCount: proxies, Tokens: source})
		n.handlers[addressOf(i)] = &grants.Handler{Quotas: q}
		chain = append(chain, q)
	}
	time.Sleep(10 * time.Second)
	return chain, version
}

// TestRequestsGetTokensOverOtherProxies guards against requests below their quota that are
// refused because messages are slow, and requests beyond it that are admitted or wait.
func TestRequestsGetTokensOverOtherProxies(t *testing.T) {
	tests := []struct {
		name    string
		proxies int
		latency time.Duration
		silent  bool
		account mesh.Account
		// requests arrive at the interval; zero if together.
		interval                     time.Duration
		requests                     int
		admitted, exceeded, undecide int
		// longest limits the wait, and calls the calls for the requests.
		longest time.Duration
		calls   int64
	}{
		{name: "at the owner", proxies: 1, account: "anna", requests: 30, admitted: 22, exceeded: 8, longest: 200 * time.Millisecond},
		{name: "from another region", proxies: 2, latency: 30 * time.Millisecond, account: "anna", requests: 20, admitted: 20, longest: 130 * time.Millisecond, calls: 2},
		{name: "beyond the quota", proxies: 2, latency: time.Millisecond, account: "ben", requests: 20, admitted: 1, exceeded: 19, longest: 25 * time.Millisecond, calls: 3},
		{name: "over a proxy that forwards", proxies: 3, latency: 10 * time.Millisecond, account: "anna", requests: 20, admitted: 20, longest: 130 * time.Millisecond, calls: 4},
		{name: "one after the other, over a proxy that forwards to another region", proxies: 3, latency: 30 * time.Millisecond, interval: 25 * time.Millisecond, account: "anna", requests: 20, admitted: 20, longest: 150 * time.Millisecond, calls: 40},
		{name: "silent parent", proxies: 2, silent: true, account: "anna", requests: 5, undecide: 5, longest: 200 * time.Millisecond, calls: 2},
		{name: "silent parent for a while", proxies: 2, silent: true, interval: 20 * time.Millisecond, account: "anna", requests: 100, admitted: 1, undecide: 99, longest: 200 * time.Millisecond, calls: 60},
		{name: "account without a limit", proxies: 2, silent: true, account: "free", requests: 5, admitted: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &testNet{latency: tt.latency}
				chain, version := newChain(t, n, tt.proxies)
				n.silent.Store(tt.silent)
				results := make(map[tokens.Verdict]int)
				longest := time.Duration(0)
				var mutex sync.Mutex
				var requests sync.WaitGroup
				for range tt.requests {
					time.Sleep(tt.interval)
					requests.Go(func() {
						start := time.Now()
						decision := chain[len(chain)-1].Acquire(t.Context(), version.Account(tt.account), 2*time.Second)
						mutex.Lock()
						defer mutex.Unlock()
						results[decision.Verdict]++
						longest = max(longest, time.Since(start))
						assert.Check(t, (decision.Verdict == tokens.Admitted) == (decision.RetryAfter == 0))
					})
				}
				requests.Wait()
				for _, q := range chain {
					q.Close()
				}
				assert.Equal(t, results[tokens.Admitted], tt.admitted)
				assert.Equal(t, results[tokens.Exceeded], tt.exceeded)
				assert.Equal(t, results[tokens.Undecided], tt.undecide)
				assert.Assert(t, longest <= tt.longest, "%v", longest)
				assert.Assert(t, n.calls.Load() <= tt.calls, "%d calls", n.calls.Load())
				assert.Assert(t, n.mostUnderWay <= 16*(tt.proxies-1), "%d calls at once", n.mostUnderWay)
			})
		})
	}
}

// TestTokensComeBack guards against tokens that are used up by requests that were not sent
// to any upstream, at the owner as at any other proxy.
func TestTokensComeBack(t *testing.T) {
	tests := []struct {
		name    string
		proxies int
		refund  bool
		want    tokens.Verdict
	}{
		{name: "owner", proxies: 1, refund: true, want: tokens.Admitted},
		{name: "other proxy", proxies: 2, refund: true, want: tokens.Admitted},
		{name: "request that was sent", proxies: 2, want: tokens.Exceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &testNet{}
				chain, version := newChain(t, n, tt.proxies)
				last, ben := chain[len(chain)-1], version.Account("ben")
				assert.Equal(t, last.Acquire(t.Context(), ben, time.Second).Verdict, tokens.Admitted)
				if tt.refund {
					last.Refund(ben.Name)
				}
				time.Sleep(250 * time.Millisecond)
				assert.Equal(t, last.Acquire(t.Context(), ben, time.Second).Verdict, tt.want)
				for _, q := range chain {
					q.Close()
				}
			})
		})
	}
}

// TestHandlerAnswersOnlyCallsForTokens guards against calls for tokens that reach an
// upstream, and calls of requests that do not.
func TestHandlerAnswersOnlyCallsForTokens(t *testing.T) {
	many := make([]*wire.QuotaItem, 5000)
	for i := range many {
		many[i] = &wire.QuotaItem{Account: "a"}
	}
	tests := []struct {
		name    string
		started bool
		head    *wire.CallHead
		// reason is that of the refusal; "next" if the call is passed on.
		reason string
	}{
		{name: "call of a request", started: true, head: &wire.CallHead{Service: "orders"}, reason: "next"},
		{name: "quotas are not enforced", head: &wire.CallHead{Quota: &wire.QuotaRequest{}}, reason: grants.ReasonNoQuotas},
		{name: "no owner", started: true, head: &wire.CallHead{Quota: &wire.QuotaRequest{}}, reason: grants.ReasonNoOwner},
		{name: "too many accounts", started: true, head: &wire.CallHead{Quota: &wire.QuotaRequest{Items: many}}, reason: peer.ReasonProtocol},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := &grants.Quotas{}
			if tt.started {
				q.Start("h")
				defer q.Close()
			}
			reply := &recordedReply{}
			handler := grants.Handler{Quotas: q, Next: passedOn{}}
			handler.ServeCall(t.Context(), &peer.Call{Head: tt.head}, reply)
			assert.Equal(t, reply.head.GetReason(), tt.reason)
		})
	}
}

// passedOn refuses calls with a reason of its own.
type passedOn struct{}

// ServeCall implements peer.CallHandler.
func (passedOn) ServeCall(_ context.Context, _ *peer.Call, reply peer.ReplyWriter) {
	_ = reply.WriteHead(&wire.ReplyHead{Reason: "next"})
}

// BenchmarkAcquire measures the decision about a request at the owner, with many threads.
func BenchmarkAcquire(b *testing.B) {
	account := &plan.Account{Name: "a", Rate: 1e6, Burst: 1e6}
	version, err := plan.New(5, plan.Limits{}, nil, nil, account)
	assert.NilError(b, err)
	q := &grants.Quotas{}
	q.Start("h")
	defer q.Close()
	q.Apply(cells.ProxySnapshot{Plan: version, NodeCount: 1, Tokens: cells.TokenSource{Owner: true, Share: 1}})
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			q.Acquire(b.Context(), account, time.Millisecond)
		}
	})
}
