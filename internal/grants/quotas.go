package grants

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

// Caller sends calls to other nodes. Its errors are of type *peer.CallError.
type Caller interface {
	Call(ctx context.Context, node netip.AddrPort, call *peer.Call) (*peer.Reply, error)
}

// Quotas enforces the quotas of client accounts. It admits every request until Start is
// called. It is safe for concurrent use.
type Quotas struct {
	// Caller must be set before Start, and not be changed afterwards.
	Caller Caller

	counters Counters
	calls    sync.WaitGroup

	mutex sync.Mutex
	// The other fields are guarded by mutex. ctx is nil before Start; it ends with Close.
	ctx    context.Context
	cancel context.CancelFunc
	// upkeep returns unused tokens, and retry makes the next call to the parent.
	upkeep, retry *time.Timer
	plan          *plan.Plan
	address       netip.AddrPort
	keeper        tokens.Keeper
}

// Counters counts decisions about requests of accounts with a limit, and calls to parents.
type Counters struct {
	// Granted counts requests that were admitted with a token of the owner, and Waited
	// those of them that waited for a promised one.
	Granted, Waited atomic.Uint64
	// Refused counts requests beyond the quota of their account.
	Refused atomic.Uint64
	// LocalAdmitted and LocalRefused count requests that were decided without an owner.
	LocalAdmitted, LocalRefused atomic.Uint64
	// Refunded counts tokens that requests gave back.
	Refunded atomic.Uint64
	// Calls counts the calls to parents, and FailedCalls those without an answer.
	Calls, FailedCalls atomic.Uint64
	// Served counts the asks of other proxies that this one answered as the owner.
	Served atomic.Uint64
}

// count counts a decision.
func (c *Counters) count(decision tokens.Decision) {
	switch {
	case decision.Local:
		c.LocalAdmitted.Add(1)
	case decision.Verdict == tokens.Admitted:
		c.Granted.Add(1)
	case decision.Verdict == tokens.Exceeded:
		c.Refused.Add(1)
	default:
		c.LocalRefused.Add(1)
	}
}

// Counters returns the live counters.
func (q *Quotas) Counters() *Counters { return &q.counters }

// Start begins to enforce quotas at a host.
func (q *Quotas) Start(host mesh.HostID) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.ctx, q.cancel = context.WithCancel(context.Background())
	q.keeper.Host = host
	q.upkeep = time.AfterFunc(tokens.ReturnInterval, q.runUpkeep)
}

// Close ends calls to parents and waits for them. Later requests are undecided.
func (q *Quotas) Close() {
	q.mutex.Lock()
	if q.ctx != nil {
		q.cancel()
		q.upkeep.Stop()
	}
	if q.retry != nil {
		q.retry.Stop()
	}
	q.mutex.Unlock()
	q.calls.Wait()
}

// Apply applies a new snapshot: who the owner is, and the limits of the accounts.
func (q *Quotas) Apply(snapshot cells.ProxySnapshot) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.plan, q.address, q.keeper.Nodes = snapshot.Plan, snapshot.Tokens.Address, snapshot.NodeCount
	source := tokens.Source{Parent: snapshot.Tokens.Host, Owner: snapshot.Tokens.Owner, Share: snapshot.Tokens.Share}
	if source != q.keeper.Source() {
		q.keeper.SetSource(time.Now(), source)
	}
}

// runUpkeep keeps the table in use, without which it takes the process as having been
// frozen, and returns unused tokens.
func (q *Quotas) runUpkeep() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.ctx.Err() != nil {
		return
	}
	if now := time.Now(); q.keeper.Upkeep(now) {
		q.startCall(now, true)
	}
	q.upkeep.Reset(tokens.ReturnInterval)
}

// limitOf returns the limit of an account in the version in force. Mutex must be locked.
func (q *Quotas) limitOf(name mesh.Account) (limit tokens.Limit, known bool) {
	account := q.plan.Account(name)
	if account == nil {
		return limit, false
	}
	return limitOf(account), true
}

func limitOf(account *plan.Account) tokens.Limit {
	return tokens.Limit{Rate: account.Rate, Burst: account.Burst}
}
