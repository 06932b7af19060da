// Package periodic calls functions at fixed intervals.
package periodic

import (
	"context"
	"time"
)

// Every calls step once per interval until ctx ends, and returns nil. The first call is
// made after one interval. A call that takes longer than the interval delays the next
// one; missed calls are skipped. interval must be positive.
func Every(ctx context.Context, interval time.Duration, step func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			step(ctx)
		}
	}
}
