package warmup

import (
	"slices"
	"sync"
	"time"

	"rattantide/internal/membership"
)

const (
	// interval is the minimum time between two requests of a daemon to an upstream. It
	// exceeds a second, so that requests that are delayed differently do not arrive in
	// the same second.
	interval = 1100 * time.Millisecond
	// maxViews is the number of different views of the fleet that daemons may have, as on
	// two sides of a split. Each of them assigns an upstream to other daemons.
	maxViews = 2
	// expiryMargin is added to the duration of a start, as others tell of it with a delay.
	expiryMargin = time.Second
)

// Upstream is an upstream that has just started.
type Upstream struct {
	Name string
	// RequestsPerSecond is the most that all daemons together may send it.
	RequestsPerSecond float64
	// Duration is how long it does so after its start.
	Duration time.Duration
}

// Limiter decides for one daemon. It is safe for concurrent use.
type Limiter struct {
	self string
	now  func() time.Time

	mu       sync.Mutex
	starting map[string]*start
}

// start is the state of an upstream that has just started.
type start struct {
	// isAssigned reports whether this daemon may send it requests, and sentAt is when it
	// did so last; zero if never.
	isAssigned bool
	sentAt     time.Time
	// endsAt is when the upstream tolerates more requests even if nobody tells so, and
	// hasEnded whether that has come.
	endsAt   time.Time
	hasEnded bool
}

// NewLimiter returns a Limiter of the named daemon that knows of no upstreams. now must
// include the time during which the instance was suspended.
func NewLimiter(self string, now func() time.Time) *Limiter {
	return &Limiter{self: self, now: now, starting: map[string]*start{}}
}

// Update replaces the upstreams that have just started. daemons are the names of the live
// daemons.
func (l *Limiter) Update(starting []Upstream, daemons []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.starting
	l.starting = make(map[string]*start, len(starting))
	for _, u := range starting {
		s := previous[u.Name]
		if s == nil {
			s = &start{endsAt: l.now().Add(u.Duration + expiryMargin)}
		}
		count := max(1, int(u.RequestsPerSecond/maxViews))
		s.isAssigned = slices.Contains(membership.TopByWeight("warmup/"+u.Name, daemons, count), l.self)
		l.starting[u.Name] = s
	}
}

// EndStarts reports whether the start of an upstream has ended since the previous call
// without an Update that told so, as happens while the store is unavailable.
func (l *Limiter) EndStarts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, ended := l.now(), false
	for _, s := range l.starting {
		if !s.hasEnded && !now.Before(s.endsAt) {
			s.hasEnded, ended = true, true
		}
	}
	return ended
}

// IsAssigned reports whether this daemon may send requests to an upstream: it has not just
// started, or it is assigned to this daemon.
func (l *Limiter) IsAssigned(upstream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.starting[upstream]
	return s == nil || s.hasEnded || s.isAssigned
}

// Blocked returns the upstreams to which no request may be sent now. The result is nil if
// there are none.
func (l *Limiter) Blocked() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var blocked []string
	now := l.now()
	for name, s := range l.starting {
		if !s.hasEnded && !s.mayReceive(now) {
			blocked = append(blocked, name)
		}
	}
	return blocked
}

// mayReceive reports whether this daemon may send a request at the time now.
func (s *start) mayReceive(now time.Time) bool {
	return s.isAssigned && (s.sentAt.IsZero() || now.Sub(s.sentAt) >= interval)
}

// Allow reports whether a request may be sent to an upstream now, and counts it as sent.
func (l *Limiter) Allow(upstream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.starting[upstream]
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
