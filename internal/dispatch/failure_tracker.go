package dispatch

import (
	"slices"
	"sync"
	"time"

	"rattantide/internal/membership"
)

const (
	// failureRetention is how long an upstream that failed a request is avoided by retries of
	// requests that failed in the same way. It is the half-life of the share of failures that
	// the choice of an upstream takes into account.
	failureRetention = 4 * time.Second
	// maxTrackedFailures bounds the upstreams in a failureTracker.
	maxTrackedFailures = 1024
)

// failureTracker records the upstreams whose latest answer or loss was a failure. It is safe
// for concurrent use.
type failureTracker struct {
	mu     sync.Mutex
	latest map[string]upstreamFailure
}

// upstreamFailure is the latest failure of an upstream.
type upstreamFailure struct {
	status Status
	at     time.Time
}

// record records how an attempt ended at an upstream. A status that says nothing of whether
// the upstream fails requests changes nothing.
func (f *failureTracker) record(upstream string, status Status, now time.Time) {
	if status != StatusOK && !isUpstreamFailure(status) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if status == StatusOK {
		delete(f.latest, upstream)
		return
	}
	if f.latest == nil {
		f.latest = map[string]upstreamFailure{}
	}
	if len(f.latest) >= maxTrackedFailures {
		f.evict(now)
	}
	f.latest[upstream] = upstreamFailure{status: status, at: now}
}

// evict makes room for another upstream.
func (f *failureTracker) evict(now time.Time) {
	for name, failure := range f.latest {
		if now.Sub(failure.at) > failureRetention {
			delete(f.latest, name)
		}
	}
	if len(f.latest) >= maxTrackedFailures {
		clear(f.latest)
	}
}

// withoutSimilarFailures returns the upstreams without those that have just failed a request in the
// same way as one of the failed upstreams, or all of them if none is left.
func (f *failureTracker) withoutSimilarFailures(upstreams []membership.Upstream, failed []string, now time.Time) []membership.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var statuses []Status
	for _, name := range failed {
		if failure, ok := f.latest[name]; ok && now.Sub(failure.at) <= failureRetention {
			statuses = append(statuses, failure.status)
		}
	}
	if len(statuses) == 0 {
		return upstreams
	}
	remaining := make([]membership.Upstream, 0, len(upstreams))
	for i := range upstreams {
		failure, hasFailed := f.latest[upstreams[i].Name]
		if !hasFailed || now.Sub(failure.at) > failureRetention || !slices.Contains(statuses, failure.status) {
			remaining = append(remaining, upstreams[i])
		}
	}
	if len(remaining) == 0 {
		return upstreams
	}
	return remaining
}
