package proc

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// pollInterval is how often a condition is looked at.
const pollInterval = 10 * time.Millisecond

// Eventually repeats check until it succeeds, the limit passes, ctx ends, or
// gone is closed, and returns the last error. A nil gone never ends the wait.
func Eventually(ctx context.Context, limit time.Duration, gone <-chan struct{}, check func() error) error {
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
		case <-gone:
			return errors.Annotate(err, "the process ended")
		case <-deadline.C:
			return errors.Annotatef(err, "after %s", limit)
		case <-ticker.C:
		}
	}
}
