package upstreamwatch

import (
	"time"

	"rattantide/internal/membership"
)

// rotation selects the upstream whose latest poll is the longest ago. Upstreams
// that were never polled come first.
type rotation struct {
	minInterval time.Duration
	polledAt    map[string]time.Time
}

// next returns the upstream to poll now, or nil and the time until one is due.
func (r *rotation) next(upstreams []membership.Upstream, now time.Time) (*membership.Upstream, time.Duration) {
	var oldest *membership.Upstream
	var oldestAt time.Time
	for i := range upstreams {
		at := r.polledAt[upstreams[i].Name]
		if oldest == nil || at.Before(oldestAt) {
			oldest, oldestAt = &upstreams[i], at
		}
	}
	if oldest == nil {
		return nil, r.minInterval
	}
	if due := oldestAt.Add(r.minInterval); !oldestAt.IsZero() && now.Before(due) {
		return nil, due.Sub(now)
	}
	if len(r.polledAt) > 2*len(upstreams) {
		r.prune(upstreams)
	}
	r.polledAt[oldest.Name] = now
	return oldest, 0
}

// prune removes the upstreams that are no longer polled.
func (r *rotation) prune(upstreams []membership.Upstream) {
	polledAt := make(map[string]time.Time, len(upstreams))
	for i := range upstreams {
		if at, ok := r.polledAt[upstreams[i].Name]; ok {
			polledAt[upstreams[i].Name] = at
		}
	}
	r.polledAt = polledAt
}
