package proc

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 10 * time.Millisecond

// Eventually repeats check every 10 ms until it succeeds, and then returns nil. It
// returns an error when the time limit has elapsed, ctx has ended or exited has been
// closed; except for ctx, the error wraps the last one of check. A nil exited never
// ends the wait.
func Eventually(ctx context.Context, limit time.Duration, exited <-chan struct{}, check func() error) error {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-exited:
			return errors.Annotate(err, "process exited")
		case <-deadline.C:
			return errors.Annotatef(err, "timed out after %s", limit)
		case <-ticker.C:
		}
	}
}
