package fleetsync

import (
	"context"
	"sync/atomic"

	"github.com/charmbracelet/log"
)

// readStatus tracks whether the latest read of a part of the store failed, and logs each
// change. It is safe for concurrent use.
type readStatus struct {
	// part names what is read, in log lines.
	part    string
	logger  *log.Logger
	failing atomic.Bool
}

// recordSuccess records a read that succeeded.
func (s *readStatus) recordSuccess() {
	if s.failing.Swap(false) {
		s.logger.Info("reads of " + s.part + " from the store succeed again")
	}
}

// recordFailure records a read that failed, unless ctx has ended.
func (s *readStatus) recordFailure(ctx context.Context, err error) {
	if ctx.Err() == nil && !s.failing.Swap(true) {
		s.logger.Warn("reading "+s.part+" from the store failed", "error", err)
	}
}
