// Package periodic runs reconcilers at fixed intervals.
package periodic

import (
	"context"
	"time"
)

// Every calls step at each interval until ctx ends, first after one interval. A
// step that takes longer delays the next one; missed ones are not made up for.
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
