package peering

import "time"

// Peer is another daemon with its latest report.
type Peer struct {
	Report
	// Alive is set if the daemon responded recently.
	Alive bool
}

// IsAvailable reports whether the daemon is alive and not leaving.
func (p *Peer) IsAvailable() bool { return p.Alive && !p.Leaving }

// Serves reports whether the daemon is alive, not leaving and ready to serve
// callers.
func (p *Peer) Serves() bool { return p.IsAvailable() && p.Ready }

// peer is the state of one other daemon. It is guarded by Node.mu.
type peer struct {
	ip        string
	report    Report
	hasReport bool
	// requestSentAt and requestNumber belong to the latest request. confirmedAt is
	// when the latest answered request was sent. Times are on the boot clock.
	requestSentAt time.Time
	requestNumber uint64
	confirmedAt   time.Time
	// unanswered is the number of requests since the latest response.
	unanswered int
	// addedAt is when the daemon became known.
	addedAt time.Time
}

// alive reports whether the daemon responded within timeout and to one of the
// last maxUnanswered requests.
func (p *peer) alive(now time.Time, timeout time.Duration) bool {
	return p.hasReport && !p.confirmedAt.IsZero() && p.unanswered < maxUnanswered && now.Sub(p.confirmedAt) < timeout
}
