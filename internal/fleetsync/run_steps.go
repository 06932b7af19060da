package fleetsync

import (
	"context"
	"time"
)

// runSteps calls step until ctx ends, each time after the time that it returned. It
// returns nil.
func runSteps(ctx context.Context, step func(context.Context) time.Duration) error {
	for ctx.Err() == nil {
		wait := step(ctx)
		if wait <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}
