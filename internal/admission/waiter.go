package admission

import "time"

// waiter is a queued request. All its fields are guarded by the controller's
// lock.
type waiter struct {
	req       Request
	arrivedAt time.Time
	// latestStart is the time after which a start is useless; zero means none.
	latestStart time.Time
	// done is closed when the waiter is granted a slot or refused.
	done chan struct{}
	// onDecision, when set, is called instead of closing done.
	onDecision func()
	// granted reports whether a slot was granted. It is set before done is
	// closed.
	granted bool
	// refusedBy is the rule by which the waiter was refused, and retryAfter the
	// delay that its caller is advised to wait.
	refusedBy  Rule
	retryAfter time.Duration
	queue      *workspaceQueue
}

// goesBefore reports whether the waiter starts before another one of its workspace: callers
// that return at their moment go first, then requests in the order of acceptance.
func (w *waiter) goesBefore(other *waiter) bool {
	if w.req.isReturning != other.req.isReturning {
		return w.req.isReturning
	}
	return other.req.AcceptedAt.After(w.req.AcceptedAt)
}

// signal reports that the waiter was granted a slot or refused. The caller
// holds the controller's lock.
func (w *waiter) signal() {
	if w.onDecision != nil {
		w.onDecision()
		return
	}
	close(w.done)
}
