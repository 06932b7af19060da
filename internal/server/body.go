package server

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/callerbody"
	"rattantide/internal/callerbudget"
	"rattantide/internal/problem"
)

// readBody reads a caller's body within the budget for callers and the journal's limit.
// deadline is that of the request; zero means that it is not known yet. The caller of
// readBody must call release when it no longer uses the body, unless a problem is returned.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, workspace string, deadline time.Time) (body []byte, release func(), p *problem.Problem) {
	held, err := callerbody.Read(w, r, callerbody.Options{
		Budget:  s.options.CallerBudget,
		Caller:  callerbudget.Caller{Address: callerbudget.AddressOf(r.RemoteAddr), Workspace: workspace},
		Limit:   s.options.MaxBodyBytes,
		Reserve: s.options.Journal.Reserve, Deadline: deadline,
	})
	release = func() {
		s.options.Journal.Release(held.Size())
		held.Release()
	}
	if err == nil {
		return held.Bytes, release, nil
	}
	release()
	switch {
	case errors.Is(err, callerbody.ErrTooLarge):
		return nil, nil, bodyTooLargeProblem()
	case errors.Is(err, callerbody.ErrNoRoom):
		return nil, nil, memoryExhaustedProblem()
	case errors.Is(err, callerbody.ErrTooSlow):
		return nil, nil, problem.NewNotRun(http.StatusRequestTimeout, problem.CodeDeadline, "the body did not arrive in time")
	}
	return nil, nil, problem.NewNotRun(http.StatusBadRequest, problem.CodeBadRequest, "the body could not be read")
}

func memoryExhaustedProblem() *problem.Problem {
	return problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeOverloaded,
		"the memory for requests is in use").WithRetryAfter(transientRetryAfter)
}

func bodyTooLargeProblem() *problem.Problem {
	return problem.NewNotRun(http.StatusRequestEntityTooLarge, problem.CodeTooLarge, "the body is too large")
}
