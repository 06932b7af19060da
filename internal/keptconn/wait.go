package keptconn

import (
	"context"
	"time"
)

type waitKey struct{}

// WithWait returns a context for calls that the server may answer as late as wait after it
// received them, such as a watch.
func WithWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, wait)
}

// waitOf returns the time that WithWait granted, or 0.
func waitOf(ctx context.Context) time.Duration {
	wait, _ := ctx.Value(waitKey{}).(time.Duration)
	return wait
}
