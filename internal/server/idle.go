package server

import (
	"context"
	"sync"
)

// idleTracker counts units of work and lets callers wait until the count is zero.
// It is safe for concurrent use.
type idleTracker struct {
	mu sync.Mutex
	n  int
	// idle is closed when n becomes zero. It is nil unless a caller waits.
	idle chan struct{}
}

func (t *idleTracker) add(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n += n
	if t.n == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

func (t *idleTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}

func (t *idleTracker) wait(ctx context.Context) error {
	t.mu.Lock()
	if t.n == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
