package peer

import (
	"context"
	"errors"
	"time"

	"arbutusstep.example/arbutusstep/internal/wire"
)

// unknownError returns the error of a call whose head has been sent.
func (x *exchange) unknownError(reason string, err error) *CallError {
	cause := x.stream.session.closeCauseOr(err)
	switch {
	case errors.Is(err, errWrongCall):
		return &CallError{Outcome: Unknown, Reason: ReasonWrongCall, Err: err}
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return &CallError{Outcome: Unknown, Reason: ReasonDeadline, Err: x.ctx.Err()}
	case x.ctx.Err() != nil:
		return &CallError{Outcome: Unknown, Reason: ReasonCanceled, Err: x.ctx.Err()}
	case errors.Is(cause, ErrPingTimeout):
		return &CallError{Outcome: Unknown, Reason: ReasonSessionSilent, Err: cause}
	case errors.Is(err, wire.ErrMalformed), errors.Is(err, wire.ErrTooLarge), errors.Is(err, wire.ErrUnexpected):
		return &CallError{Outcome: Unknown, Reason: ReasonProtocol, Err: err}
	default:
		return &CallError{Outcome: Unknown, Reason: reason, Err: err}
	}
}

// notRunError returns the error of a call of which nothing has been sent.
func notRunError(ctx context.Context, err error) *CallError {
	reason := ReasonDialFailed
	var bodyErr *requestBodyError
	switch {
	case errors.As(err, &bodyErr):
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

// refusalError returns the error of a call whose reply head says that there is no
// response of the upstream.
func refusalError(head *wire.ReplyHead) *CallError {
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
		LinkWait:            time.Duration(head.GetLinkMicros()) * time.Microsecond,
		ExpectedServiceTime: time.Duration(head.GetNeedMicros()) * time.Microsecond,
	}
}
