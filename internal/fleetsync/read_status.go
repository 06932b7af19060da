package fleetsync

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// failureLogInterval is the time between two log lines while reads go on to fail.
const failureLogInterval = 5 * time.Second

// readStatus tracks whether the latest read of a part of the store failed, and logs each
// change, and every failureLogInterval that reads still fail. Any goroutine may read failing;
// the other methods belong to one goroutine.
type readStatus struct {
	// part names what is read, in log lines.
	part    string
	logger  *log.Logger
	failing atomic.Bool
	// loggedAt is when a failure was last logged, by the process's clock.
	loggedAt time.Time
}

// recordSuccess records a read that succeeded.
func (s *readStatus) recordSuccess() {
	if s.failing.Swap(false) {
		s.logger.Info("reads of " + s.part + " from the store succeed again")
	}
}

// recordFailure records a read that failed, unless ctx has ended.
func (s *readStatus) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if isFirst := !s.failing.Swap(true); isFirst || time.Since(s.loggedAt) >= failureLogInterval {
		s.loggedAt = time.Now()
		s.logger.Warn("reading "+s.part+" from the store failed", "error", err, "first", isFirst)
	}
}
