package server

import (
	"context"
	"sync"
)

// idleTracker counts work and lets callers wait until none is left.
type idleTracker struct {
	mu   sync.Mutex
	n    int
	zero chan struct{}
}

func (t *idleTracker) add(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n += n
	if t.n == 0 && t.zero != nil {
		close(t.zero)
		t.zero = nil
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
	if t.zero == nil {
		t.zero = make(chan struct{})
	}
	zero := t.zero
	t.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
