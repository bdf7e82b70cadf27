package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"arbutusstep.example/arbutusstep/internal/forms"
	"arbutusstep.example/arbutusstep/internal/store"
	"arbutusstep.example/arbutusstep/pkg/tree"
)

// problemOf returns the HTTP status and the response body for an error.
func problemOf(err error) (status int, problem forms.Problem) {
	problem.Message = err.Error()
	var (
		invalid    *invalidError
		violations tree.Violations
		conflict   *tree.ConflictError
		limit      *tree.LimitExceededError
	)
	switch {
	case errors.As(err, &invalid):
		status, problem.Code = http.StatusBadRequest, forms.CodeInvalid
	case errors.As(err, &violations):
		status, problem.Code = http.StatusUnprocessableEntity, forms.CodeViolations
		for _, v := range violations {
			problem.Violations = append(problem.Violations, forms.Violation(v))
		}
	case errors.As(err, &limit):
		status, problem.Code = http.StatusRequestEntityTooLarge, forms.CodeInvalid
	case errors.As(err, &conflict):
		status, problem.Code = http.StatusConflict, forms.CodeConflict
		problem.ConflictsWith = conflict.Accepted.ID
	case isRefused(err):
		status, problem.Code = http.StatusConflict, forms.CodeRefused
	case errors.Is(err, store.ErrOutcomeUnknown):
		status, problem.Code = http.StatusGatewayTimeout, forms.CodeUnknown
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrConflict), errors.Is(err, context.DeadlineExceeded):
		status, problem.Code = http.StatusServiceUnavailable, forms.CodeUnavailable
	default:
		status, problem.Code = http.StatusInternalServerError, forms.CodeFailed
	}
	return status, problem
}

// isRefused reports whether a change is refused other than for a conflict or
// invalid settings: it has an unknown base, the ID of another change, or no
// effect.
func isRefused(err error) bool {
	var (
		reusedID   *tree.ReusedIDError
		staleBase  *tree.StaleBaseError
		futureBase *tree.FutureBaseError
		noChange   *tree.NoChangeError
	)
	return errors.As(err, &reusedID) || errors.As(err, &staleBase) || errors.As(err, &futureBase) || errors.As(err, &noChange)
}

func writeError(c *app.RequestContext, err error) {
	status, problem := problemOf(err)
	c.JSON(status, problem)
}
