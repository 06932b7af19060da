package fleetconfig

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder keeps the configuration in effect and how fresh it is. It is safe for
// concurrent use.
type Holder struct {
	current atomic.Pointer[held]

	mu      sync.Mutex
	changed chan struct{}
}

// held is a configuration with the latest moment at which it was known to be
// the newest one.
type held struct {
	config      *Config
	confirmedAt time.Time
}

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Apply takes over a configuration that was the newest one at confirmedAt, on
// the boot clock. An older version than the one held is ignored, and so is an
// older confirmation of the same version. It reports whether the version
// changed.
func (h *Holder) Apply(config *Config, confirmedAt time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.current.Load()
	if before != nil {
		switch {
		case config.Version < before.config.Version:
			return false
		case config.Version == before.config.Version:
			if confirmedAt.After(before.confirmedAt) {
				h.current.Store(&held{config: before.config, confirmedAt: confirmedAt})
			}
			return false
		}
	}
	h.current.Store(&held{config: config, confirmedAt: confirmedAt})
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Confirm records that the given version was the newest one at confirmedAt.
func (h *Holder) Confirm(version int64, confirmedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.current.Load()
	if before == nil || before.config.Version != version || !confirmedAt.After(before.confirmedAt) {
		return
	}
	h.current.Store(&held{config: before.config, confirmedAt: confirmedAt})
}

// Current returns the configuration and when it was last known to be the newest
// one, on the boot clock; nil before the first.
func (h *Holder) Current() (*Config, time.Time) {
	current := h.current.Load()
	if current == nil {
		return nil, time.Time{}
	}
	return current.config, current.confirmedAt
}

// Changed returns a channel that is closed at the next change of version. Take
// it before Current, so that no change is missed in between.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
