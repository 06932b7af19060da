package dispatch

import (
	"sync"
	"time"
)

// maxAttempts bounds the requests remembered; it is several times the open
// requests of a daemon at the target size.
const maxAttempts = 8192

// attempts remembers, per request, the open attempts and whether the last one
// ended in a way that makes the next one a retry. It is safe for concurrent
// use.
type attempts struct {
	mu       sync.Mutex
	requests map[string]*attemptState
}

type attemptState struct {
	open []string
	// failed says that the latest ended attempt failed and was not moved.
	failed bool
	until  time.Time
}

// started records an open attempt.
func (a *attempts) started(r *Request, upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.requests == nil {
		a.requests = map[string]*attemptState{}
	}
	s := a.requests[r.ID]
	if s == nil {
		a.makeRoom(r.AcceptedAt)
		s = &attemptState{}
		a.requests[r.ID] = s
	}
	s.open = append(s.open, upstream)
	s.failed = false
	s.until = r.Deadline
}

// ended records the end of an attempt; failed makes the next attempt a retry.
// Nothing is kept of a request that has neither.
func (a *attempts) ended(id, upstream string, failed bool) {
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
	s.failed = s.failed || failed
	if len(s.open) == 0 && !s.failed {
		delete(a.requests, id)
	}
}

// previous returns the upstreams of the open attempts and whether the latest
// ended one failed here.
func (a *attempts) previous(id string) (open []string, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.requests[id]
	if s == nil {
		return nil, false
	}
	return append([]string(nil), s.open...), s.failed
}

// makeRoom drops requests whose deadline passed.
func (a *attempts) makeRoom(now time.Time) {
	if len(a.requests) < maxAttempts {
		return
	}
	for id, s := range a.requests {
		if len(s.open) == 0 && s.until.Before(now) {
			delete(a.requests, id)
		}
	}
	for id, s := range a.requests {
		if len(a.requests) < maxAttempts {
			return
		}
		if len(s.open) == 0 {
			delete(a.requests, id)
		}
	}
}
