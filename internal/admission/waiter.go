package admission

import "time"

// waiter is a request in a queue. All fields are guarded by the controller.
type waiter struct {
	req     Request
	arrived time.Time
	// latest is the last time at which a start is useful; zero means any.
	latest time.Time
	// done is closed when the waiter is granted a place or refused.
	done chan struct{}
	// notify, when set, is called instead of closing done.
	notify func()
	// granted is set before done is closed when a place was granted.
	granted bool
	// refusedBy is the rule by which a waiter was refused, and retryAfter the
	// advice that it gets.
	refusedBy  Rule
	retryAfter time.Duration
	queue      *workspaceQueue
}

// tell wakes whoever waits; the controller's lock is held.
func (w *waiter) tell() {
	if w.notify != nil {
		w.notify()
		return
	}
	close(w.done)
}
