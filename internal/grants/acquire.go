package grants

import (
	"context"
	"math/rand/v2"
	"time"

	"arbutusstep.example/arbutusstep/internal/pause"
	"arbutusstep.example/arbutusstep/pkg/mesh"
	"arbutusstep.example/arbutusstep/pkg/plan"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

// Acquire decides whether a request of an account may run, and waits for its token if it
// has to. The timeout is that of the request.
func (q *Quotas) Acquire(ctx context.Context, account *plan.Account, timeout time.Duration) tokens.Decision {
	if account == nil || account.Rate <= 0 {
		return tokens.Decision{Verdict: tokens.Admitted}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.ctx == nil {
		return tokens.Decision{Verdict: tokens.Admitted}
	}
	now := time.Now()
	answer, claim, mayCall := q.keeper.Request(now, account.Name, limitOf(account))
	if mayCall {
		q.startCall(now, false)
	}
	if claim != nil {
		q.mutex.Unlock()
		answer = q.await(ctx, claim, tokens.AnswerWait(timeout))
		q.mutex.Lock()
	}
	decision, wait := q.keeper.Settle(time.Now(), limitOf(account), timeout, account.Name, answer, rand.Float64())
	if wait > 0 {
		q.mutex.Unlock()
		err := pause.For(ctx, wait)
		q.mutex.Lock()
		q.counters.Waited.Add(1)
		if err != nil {
			q.keeper.Refund(time.Now(), account.Name)
			decision = tokens.Decision{}
		}
	}
	q.counters.count(decision)
	return decision
}

// await waits for the answer to a claim.
func (q *Quotas) await(ctx context.Context, claim *tokens.Claim, wait time.Duration) tokens.Answer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case answer := <-claim.Answered:
		return answer
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.keeper.Abandon(claim)
}

// Refund gives back the token of a request that was not sent to any upstream.
func (q *Quotas) Refund(account mesh.Account) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if limit, known := q.limitOf(account); q.ctx == nil || !known || limit.Rate <= 0 {
		return
	}
	q.counters.Refunded.Add(1)
	q.keeper.Refund(time.Now(), account)
}
