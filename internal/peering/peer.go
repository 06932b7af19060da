package peering

import "time"

// Peer is another daemon as known here.
type Peer struct {
	Report
	// Alive says that it answered lately.
	Alive bool
}

// Stays reports whether the daemon is there and not about to stop.
func (p *Peer) Stays() bool { return p.Alive && !p.Leaving }

// Serves reports whether the daemon serves callers.
func (p *Peer) Serves() bool { return p.Stays() && p.Ready }

// peer is the state of one daemon.
type peer struct {
	ip     string
	report Report
	known  bool
	// sentAt and number are of the latest question, answeredAt is when the
	// latest answered question was sent; all on the boot clock.
	sentAt     time.Time
	number     uint64
	answeredAt time.Time
	// unanswered counts the questions since the last answer.
	unanswered int
	// firstAt is when the daemon became known.
	firstAt time.Time
}

// alive reports whether the daemon counts as alive.
func (p *peer) alive(now time.Time, silence time.Duration) bool {
	return p.known && !p.answeredAt.IsZero() && p.unanswered < maxUnanswered && now.Sub(p.answeredAt) < silence
}
