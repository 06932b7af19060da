package upstreamwatch

import (
	"time"

	"rattantide/internal/membership"
)

// rotation picks the upstream that was polled longest ago. Upstreams that were
// never polled come first.
type rotation struct {
	minInterval time.Duration
	polledAt    map[string]time.Time
}

// next returns the upstream to poll now, or how long to wait for one.
func (r *rotation) next(upstreams []membership.Upstream, now time.Time) (*membership.Upstream, time.Duration) {
	var found *membership.Upstream
	var foundAt time.Time
	for i := range upstreams {
		at := r.polledAt[upstreams[i].Name]
		if found == nil || at.Before(foundAt) {
			found, foundAt = &upstreams[i], at
		}
	}
	if found == nil {
		return nil, r.minInterval
	}
	if due := foundAt.Add(r.minInterval); !foundAt.IsZero() && now.Before(due) {
		return nil, due.Sub(now)
	}
	if len(r.polledAt) > 2*len(upstreams) {
		r.forget(upstreams)
	}
	r.polledAt[found.Name] = now
	return found, 0
}

// forget drops upstreams that are no longer polled.
func (r *rotation) forget(upstreams []membership.Upstream) {
	kept := make(map[string]time.Time, len(upstreams))
	for i := range upstreams {
		if at, ok := r.polledAt[upstreams[i].Name]; ok {
			kept[upstreams[i].Name] = at
		}
	}
	r.polledAt = kept
}
