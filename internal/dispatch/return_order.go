package dispatch

import (
	"sync"
	"time"
)

const (
	// returnInterval is the time between two callers that return when a backoff has ended, and
	// returnSpan the time over which they are spread; further ones start over.
	returnInterval = 10 * time.Millisecond
	returnSpan     = time.Second
)

// returnOrder spreads the callers that are refused because all upstreams of their pool have
// asked for a backoff, so that they do not all return at the same moment. It is safe for
// concurrent use.
type returnOrder struct {
	mu   sync.Mutex
	next map[string]time.Time
}

// delay returns the time after which a caller that is refused now is to return to a pool
// whose first upstream is usable at a time.
func (o *returnOrder) delay(pool string, usableAt, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.next == nil {
		o.next = map[string]time.Time{}
	}
	at := o.next[pool]
	if at.Before(usableAt) || at.After(usableAt.Add(returnSpan)) {
		at = usableAt
	}
	o.next[pool] = at.Add(returnInterval)
	return at.Sub(now)
}
