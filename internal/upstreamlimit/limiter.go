package upstreamlimit

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rattantide/internal/membership"
)

// expiryMargin is added to the duration of a start, as others tell of it with a delay.
const expiryMargin = time.Second

// Limiter decides for one daemon. It is safe for concurrent use.
type Limiter struct {
	self string
	now  func() time.Time

	mu     sync.Mutex
	limits map[string]*limitState
}

// limitState is the state of the limit of an upstream.
type limitState struct {
	isStarting bool
	// isAssigned reports whether this daemon may send requests, one per interval, and sentAt
	// is when it did so last; zero if never.
	isAssigned bool
	interval   time.Duration
	sentAt     time.Time
	// endsAt is when the start of an upstream is over even if nobody tells so, and hasEnded
	// whether that has come.
	endsAt   time.Time
	hasEnded bool
}

// NewLimiter returns a Limiter of the named daemon that knows of no limits. now must
// include the time during which the instance was suspended.
func NewLimiter(self string, now func() time.Time) *Limiter {
	return &Limiter{self: self, now: now, limits: map[string]*limitState{}}
}

// Update replaces the limits. daemons are the names of the live daemons.
func (l *Limiter) Update(limits []Limit, daemons []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.limits
	l.limits = make(map[string]*limitState, len(limits))
	for _, limit := range limits {
		s := previous[limit.Upstream]
		if s == nil || s.isStarting != limit.IsStarting {
			s = &limitState{isStarting: limit.IsStarting, endsAt: l.now().Add(limit.Duration + expiryMargin)}
		}
		var count int
		count, s.interval = limit.shares(len(daemons))
		wasAssigned := s.isAssigned
		s.isAssigned = slices.Contains(membership.TopByWeight("upstreamlimit/"+limit.Upstream, daemons, count), l.self)
		if s.isAssigned && !wasAssigned && !s.isStarting {
			// Others may have sent requests a moment ago, and others begin now too.
			s.sentAt = l.now().Add(-time.Duration(rand.Float64() * float64(s.interval)))
		}
		l.limits[limit.Upstream] = s
	}
}

// EndStarts reports whether the start of an upstream has ended since the previous call
// without an Update that told so, as happens while the store is unavailable.
func (l *Limiter) EndStarts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, ended := l.now(), false
	for _, s := range l.limits {
		if s.isStarting && !s.hasEnded && !now.Before(s.endsAt) {
			s.hasEnded, ended = true, true
		}
	}
	return ended
}

// IsAssigned reports whether this daemon may send requests to an upstream: it has no limit,
// or it is assigned to this daemon.
func (l *Limiter) IsAssigned(upstream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limits[upstream]
	return s == nil || s.hasEnded || s.isAssigned
}

// Blocked returns the upstreams to which no request may be sent now. The result is nil if
// there are none.
func (l *Limiter) Blocked() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var blocked []string
	now := l.now()
	for name, s := range l.limits {
		if !s.hasEnded && !s.mayReceive(now) {
			blocked = append(blocked, name)
		}
	}
	return blocked
}

// mayReceive reports whether this daemon may send a request at the time now.
func (s *limitState) mayReceive(now time.Time) bool {
	return s.isAssigned && (s.sentAt.IsZero() || now.Sub(s.sentAt) >= s.interval)
}

// Allow reports whether a request may be sent to an upstream now, and counts it as sent.
func (l *Limiter) Allow(upstream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limits[upstream]
	if s == nil || s.hasEnded {
		return true
	}
	now := l.now()
	if !s.mayReceive(now) {
		return false
	}
	s.sentAt = now
	return true
}
