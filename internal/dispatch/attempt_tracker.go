package dispatch

import (
	"sync"
	"time"
)

// maxTrackedRequests bounds the number of requests in an attemptTracker. It is
// several times the number of open requests of a daemon at the target size.
const maxTrackedRequests = 8192

// attemptTracker records, per request, the open attempts and whether a failure
// makes the next attempt a retry. It is safe for concurrent use.
type attemptTracker struct {
	mu       sync.Mutex
	requests map[string]*attemptState
}

type attemptState struct {
	open []string
	// hasFailed reports whether an attempt has failed since the latest one
	// started.
	hasFailed bool
	deadline  time.Time
}

// recordStart adds an open attempt of a request at an upstream.
func (a *attemptTracker) recordStart(r *Request, upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests == nil {
		a.requests = map[string]*attemptState{}
	}
	s := a.requests[r.ID]
	if s == nil {
		a.evict(r.AcceptedAt)
		s = &attemptState{}
		a.requests[r.ID] = s
	}
	s.open = append(s.open, upstream)
	s.hasFailed = false
	s.deadline = r.Deadline
}

// recordEnd removes an open attempt; failed makes the next attempt a retry. A
// request without open attempts and without a failure is no longer tracked.
func (a *attemptTracker) recordEnd(id, upstream string, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.requests[id]
	if s == nil {
		return
	}
	for i, name := range s.open {
		if name == upstream {
			s.open = append(s.open[:i], s.open[i+1:]...)
			break
		}
	}
	s.hasFailed = s.hasFailed || failed
	if len(s.open) == 0 && !s.hasFailed {
		delete(a.requests, id)
	}
}

// lookup returns the upstreams of the open attempts on this daemon, and whether
// an attempt has failed here since the latest one started.
func (a *attemptTracker) lookup(id string) (open []string, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.requests[id]
	if s == nil {
		return nil, false
	}
	return append([]string(nil), s.open...), s.hasFailed
}

// evict makes room for another request once maxTrackedRequests is reached. It
// drops requests without open attempts: those whose deadline has passed first,
// then any others.
func (a *attemptTracker) evict(now time.Time) {
	if len(a.requests) < maxTrackedRequests {
		return
	}
	for id, s := range a.requests {
		if len(s.open) == 0 && s.deadline.Before(now) {
			delete(a.requests, id)
		}
	}
	for id, s := range a.requests {
		if len(a.requests) < maxTrackedRequests {
			return
		}
		if len(s.open) == 0 {
			delete(a.requests, id)
		}
	}
}
