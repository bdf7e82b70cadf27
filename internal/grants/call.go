package grants

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

// callTimeout limits one call to the parent. Its tokens are valid for little longer.
const callTimeout = 400 * time.Millisecond

// startCall starts the next call to the parent if there is anything to ask for and the
// interval has passed. Mutex must be locked.
func (q *Quotas) startCall(now time.Time, withReturns bool) {
	if q.ctx.Err() != nil {
		return
	}
	call, retryAt := q.keeper.NextCall(now, withReturns)
	if call != nil {
		address := q.address
		q.calls.Go(func() { q.call(address, call) })
		return
	}
	if retryAt.IsZero() {
		return
	}
	if q.retry == nil {
		q.retry = time.AfterFunc(retryAt.Sub(now), q.retryCall)
		return
	}
	q.retry.Reset(retryAt.Sub(now))
}

func (q *Quotas) retryCall() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.startCall(time.Now(), false)
}

// call asks the parent for tokens and answers the claims.
func (q *Quotas) call(address netip.AddrPort, call *tokens.Call) {
	q.counters.Calls.Add(1)
	ctx, cancel := context.WithTimeout(q.ctx, callTimeout)
	defer cancel()
	granted, err := Call(ctx, q.Caller, address, call.Asks)
	if err != nil {
		q.counters.FailedCalls.Add(1)
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	q.keeper.EndCall(now, call, granted, err == nil)
	q.startCall(now, false)
}

// Call asks a proxy for tokens.
func Call(ctx context.Context, caller Caller, address netip.AddrPort, asks []tokens.Ask) (granted []tokens.Grant, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("ask %s for tokens: %w", address, err)
		}
	}()
	// Proxies of builds without quotas refuse a call of this priority, instead of sending
	// it to their upstreams.
	head := &wire.CallHead{Priority: mesh.NumPriorities, Idempotent: true, Quota: encodeAsks(asks)}
	reply, err := caller.Call(ctx, address, &peer.Call{Head: head})
	if err != nil {
		return nil, err
	}
	defer func() { _ = reply.Body.Close() }()
	_, err = io.Copy(io.Discard, reply.Body)
	return decodeGrants(reply.Head.GetQuota()), err
}
