package peer

import (
	"context"
	"errors"
	"time"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// unknown returns the error of a call whose head went out.
func (x *exchange) unknown(reason string, err error) *CallError {
	lost := x.stream.session.lost(err)
	switch {
	case errors.Is(err, errCrossed):
		return &CallError{Outcome: Unknown, Reason: ReasonWrongCall, Err: err}
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return &CallError{Outcome: Unknown, Reason: ReasonDeadline, Err: x.ctx.Err()}
	case x.ctx.Err() != nil:
		return &CallError{Outcome: Unknown, Reason: ReasonCanceled, Err: x.ctx.Err()}
	case errors.Is(lost, ErrPingTimeout):
		return &CallError{Outcome: Unknown, Reason: ReasonSessionSilent, Err: lost}
	case errors.Is(err, wire.ErrMalformed), errors.Is(err, wire.ErrTooLarge), errors.Is(err, wire.ErrUnexpected):
		return &CallError{Outcome: Unknown, Reason: ReasonProtocol, Err: err}
	default:
		return &CallError{Outcome: Unknown, Reason: reason, Err: err}
	}
}

// notRun returns the error of a call of which nothing went out.
func notRun(ctx context.Context, err error) *CallError {
	reason := ReasonDialFailed
	var broken *bodyError
	switch {
	case errors.As(err, &broken):
		reason = ReasonRequestBody
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = ReasonDeadline
	case ctx.Err() != nil:
		reason = ReasonCanceled
	case errors.Is(err, wire.ErrTooLarge):
		reason = ReasonProtocol
	}
	return &CallError{Outcome: NotRun, Reason: reason, Err: err}
}

// refusal returns the far node's word as an error.
func refusal(head *wire.ReplyHead) *CallError {
	outcome := Unknown
	if head.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN {
		outcome = NotRun
	}
	return &CallError{
		Outcome:             outcome,
		Reason:              head.GetReason(),
		RetryAfter:          time.Duration(head.GetRetryAfterMicros()) * time.Microsecond,
		FromRemote:          true,
		LoadPercent:         int(head.GetLoadPercent()),
		LinkDelay:           time.Duration(head.GetLinkMicros()) * time.Microsecond,
		ExpectedServiceTime: time.Duration(head.GetNeedMicros()) * time.Microsecond,
	}
}
