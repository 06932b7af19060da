package versionmove

import (
	"maps"
	"time"

	"rattantide/internal/membership"
)

// unservedTolerance is how long a serving version without upstreams keeps the requests:
// after an outage of the store, the entries of its upstreams are back within about 2 s.
const unservedTolerance = 2500 * time.Millisecond

// RoutedStates returns the states by which requests are routed, by service. They differ from
// States if the serving version of a service has had no upstreams for some time.
func (f *Follower) RoutedStates() map[string]State {
	counts := f.versionCounts(membership.Instance.IsStaying)
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]State, len(f.states))
	for service, s := range f.states {
		out[service] = s.State
		if f.rerouted[service] {
			out[service] = s.State.routed(counts[service])
		}
	}
	return out
}

// recordUnserved records the services whose serving version has no upstreams that stay. It
// reports whether the set of those that have had none for some time has changed.
func (f *Follower) recordUnserved() bool {
	counts := f.versionCounts(membership.Instance.IsStaying)
	now := f.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	unserved, rerouted := map[string]time.Time{}, map[string]bool{}
	for service, s := range f.states {
		if counts[service][s.State.serving()] > 0 {
			continue
		}
		since, known := f.unservedSince[service]
		if !known {
			since = now
		}
		unserved[service] = since
		if now.Sub(since) >= unservedTolerance {
			rerouted[service] = true
		}
	}
	changed := !maps.Equal(rerouted, f.rerouted)
	f.unservedSince, f.rerouted = unserved, rerouted
	return changed
}
