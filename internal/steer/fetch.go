package steer

import (
	"context"
	"errors"
	"time"

	"arbutusstep.example/arbutusstep/internal/cells"
	"arbutusstep.example/arbutusstep/internal/peer"
	"arbutusstep.example/arbutusstep/internal/quota"
	"arbutusstep.example/arbutusstep/pkg/pick"
)

// abandonTimeout is how long after the end of its context a call may take to return. A
// call that takes longer is blocked by a connection that accepts no data.
const abandonTimeout = 100 * time.Millisecond

// fetched is the result of one call. The body is nil if there is an error.
type fetched struct {
	reply *peer.Reply
	body  *quota.Body
	err   error
}

// fetch calls one upstream and reads its response completely. It returns at most
// abandonTimeout after the end of the context. A call that is blocked for longer ends in
// the background, and its outcome is unknown.
func (r *Router) fetch(ctx context.Context, call *peer.Call, candidate pick.Candidate) (reply *peer.Reply, body *quota.Body, err error) {
	done := make(chan fetched, 1)
	go func() { done <- r.fetchBlocking(ctx, call, candidate) }()
	var result fetched
	select {
	case result = <-done:
	case <-ctx.Done():
		result = waitBriefly(ctx, done)
	}
	return result.reply, result.body, result.err
}

// waitBriefly waits for the result of a call whose context has ended.
func waitBriefly(ctx context.Context, done <-chan fetched) (result fetched) {
	timer := time.NewTimer(abandonTimeout)
	defer timer.Stop()
	select {
	case result = <-done:
		return result
	case <-timer.C:
	}
	// After a pause of the process both may be ready.
	select {
	case result = <-done:
		return result
	default:
	}
	go func() {
		if late := <-done; late.body != nil {
			late.body.Release()
		}
	}()
	reason := peer.ReasonCanceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = peer.ReasonDeadline
	}
	return fetched{err: &peer.CallError{Outcome: peer.Unknown, Reason: reason, Err: ctx.Err()}}
}

func (r *Router) fetchBlocking(ctx context.Context, call *peer.Call, candidate pick.Candidate) (result fetched) {
	if cells.IsOnHost(candidate, r.Host) {
		result.reply, result.err = r.Local.Call(ctx, call)
	} else {
		result.reply, result.err = r.Remote.Call(ctx, candidate.Node, call)
	}
	if result.err != nil {
		return result
	}
	if result.err = result.reply.Check(); result.err != nil {
		result.reply = nil
		return result
	}
	body := r.Memory.Hold()
	if result.err = readBody(body, result.reply); result.err != nil {
		body.Release()
		return result
	}
	result.body = body
	return result
}
