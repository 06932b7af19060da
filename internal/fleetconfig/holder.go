package fleetconfig

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder stores the configuration in effect and the time of its latest
// confirmation. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[confirmedConfig]

	mu      sync.Mutex
	changed chan struct{}
}

// confirmedConfig is a configuration with the latest time at which it is known to
// have been the newest one, on the boot clock.
type confirmedConfig struct {
	config      *Config
	confirmedAt time.Time
}

// NewHolder returns an empty Holder.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Apply stores a configuration that was the newest one at confirmedAt, on the boot
// clock. A version older than the current one is ignored, and so is an older
// confirmation of the current version. Apply reports whether the version changed.
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
				h.current.Store(&confirmedConfig{config: before.config, confirmedAt: confirmedAt})
			}
			return false
		}
	}
	h.current.Store(&confirmedConfig{config: config, confirmedAt: confirmedAt})
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Confirm records that the given version was the newest one at confirmedAt, on the
// boot clock. It has no effect if that version is not the current one.
func (h *Holder) Confirm(version int64, confirmedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.current.Load()
	if before == nil || before.config.Version != version || !confirmedAt.After(before.confirmedAt) {
		return
	}
	h.current.Store(&confirmedConfig{config: before.config, confirmedAt: confirmedAt})
}

// Current returns the configuration and the latest time at which it is known to
// have been the newest one, on the boot clock. It returns nil before the first
// Apply.
func (h *Holder) Current() (*Config, time.Time) {
	current := h.current.Load()
	if current == nil {
		return nil, time.Time{}
	}
	return current.config, current.confirmedAt
}

// Changed returns a channel that is closed at the next change of version. To miss
// no change, obtain the channel before calling Current.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
