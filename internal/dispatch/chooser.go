package dispatch

import "context"

// Chooser is what the request path needs from this package.
type Chooser interface {
	// Choose waits until the attempt may start and returns the upstream for
	// it. The error is a *problem.Problem with ran "not_run" about this
	// attempt; ctx bounds the wait. The first attempt passes through
	// admission, later ones only through the retry budget.
	Choose(ctx context.Context, r *Request) (*Choice, error)
}
