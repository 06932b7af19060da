package dispatch

import "context"

// Chooser selects the upstream for each attempt of a request. It is the
// interface that the request path uses.
type Chooser interface {
	// Choose blocks until the attempt may start and returns the upstream for
	// it; ctx bounds the wait. The error is a *problem.Problem with ran
	// "not_run" for this attempt. The first attempt passes through admission,
	// later ones only through the budgets for repeated attempts.
	Choose(ctx context.Context, r *Request) (*Choice, error)
}
