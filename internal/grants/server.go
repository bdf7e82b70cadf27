package grants

import (
	"context"
	"time"

	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/wire"
	"arbutusstep.example/arbutusstep/pkg/tokens"
)

// Reasons why a call for tokens gets no answer.
const (
	// ReasonNoQuotas means that this proxy does not enforce quotas.
	ReasonNoQuotas = "no-quotas"
	// ReasonNoOwner means that this proxy reaches no owner.
	ReasonNoOwner = "no-token-owner"
)

// maxItems limits the accounts in one call.
const maxItems = 4096

// Handler answers the calls of other proxies that ask for tokens, and passes all other
// calls on.
type Handler struct {
	Quotas *Quotas
	// Next handles all other calls.
	Next peer.CallHandler
}

// ServeCall implements peer.CallHandler.
func (h *Handler) ServeCall(ctx context.Context, call *peer.Call, reply peer.ReplyWriter) {
	request := call.Head.GetQuota()
	if request == nil {
		h.Next.ServeCall(ctx, call, reply)
		return
	}
	head := &wire.ReplyHead{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
	if len(request.GetItems()) > maxItems {
		head.Reason = peer.ReasonProtocol
	} else if granted, reason := h.Quotas.answer(ctx, decodeAsks(request)); reason != "" {
		head.Reason = reason
	} else {
		head.Outcome, head.Quota = wire.Outcome_OUTCOME_ANSWERED, encodeGrants(granted)
	}
	_ = reply.WriteHead(head)
}

// answer answers the asks of another proxy, from the buckets of this one if it is the
// owner, otherwise from its parent.
func (q *Quotas) answer(ctx context.Context, asks []tokens.Ask) (granted []tokens.Grant, reason string) {
	q.mutex.Lock()
	source := q.keeper.Source()
	switch {
	case q.ctx == nil:
		reason = ReasonNoQuotas
	case source.Owner:
		granted = q.keeper.Serve(time.Now(), asks, q.limitOf)
		q.counters.Served.Add(uint64(len(asks)))
	case source.Parent == "":
		reason = ReasonNoOwner
	}
	if reason != "" || granted != nil {
		q.mutex.Unlock()
		return granted, reason
	}
	claims := make([]*tokens.Claim, 0, len(asks))
	for _, a := range asks {
		claims = append(claims, q.keeper.Forward(a))
	}
	q.startCall(time.Now(), false)
	q.mutex.Unlock()
	return q.awaitAll(ctx, claims), ""
}

// awaitAll waits for the answers to the asks of a child, most of which one call to the
// parent gets.
func (q *Quotas) awaitAll(ctx context.Context, claims []*tokens.Claim) (granted []tokens.Grant) {
	deadline := time.Now().Add(tokens.MaxWait)
	granted = make([]tokens.Grant, 0, len(claims))
	for _, c := range claims {
		answer := q.await(ctx, c, time.Until(deadline))
		answer.Grant.Account = c.Ask.Account
		granted = append(granted, answer.Grant)
	}
	return granted
}
