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

// problemOf maps an error to its status and body.
func problemOf(err error) (status int, problem forms.Problem) {
	problem.Message = err.Error()
	var (
		invalid *invalidError
		faults  tree.Violations
		clash   *tree.ConflictError
		bound   *tree.LimitExceededError
	)
	switch {
	case errors.As(err, &invalid):
		status, problem.Code = http.StatusBadRequest, forms.CodeInvalid
	case errors.As(err, &faults):
		status, problem.Code = http.StatusUnprocessableEntity, forms.CodeFaults
		for _, f := range faults {
			problem.Faults = append(problem.Faults, forms.Fault(f))
		}
	case errors.As(err, &bound):
		status, problem.Code = http.StatusRequestEntityTooLarge, forms.CodeInvalid
	case errors.As(err, &clash):
		status, problem.Code = http.StatusConflict, forms.CodeClash
		problem.Other = clash.Accepted.ID
	case refused(err):
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

// refused tells the refusals besides clashes and faults: the change has a base
// that is not there, an ID of another change, or no effect.
func refused(err error) bool {
	var (
		reused  *tree.ReusedIDError
		old     *tree.StaleBaseError
		future  *tree.FutureBaseError
		nothing *tree.NoChangeError
	)
	return errors.As(err, &reused) || errors.As(err, &old) || errors.As(err, &future) || errors.As(err, &nothing)
}

func fail(c *app.RequestContext, err error) {
	status, problem := problemOf(err)
	c.JSON(status, problem)
}
