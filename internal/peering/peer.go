package peering

import (
	"net/netip"
	"time"
)

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
	addr      netip.Addr
	report    Report
	hasReport bool
	// reportedAt is when report was received or last changed.
	reportedAt time.Time
	// process is the hash of report.Process.
	process uint16
	// requestSentAt and requestNumber belong to the latest request. confirmedAt is the
	// latest time at which the daemon is known to have been alive. Times are on the
	// boot clock.
	requestSentAt time.Time
	requestNumber uint64
	confirmedAt   time.Time
	// answeredNumber is the number of the latest request that the daemon answered.
	answeredNumber uint64
	// respondedNumber is the number of the daemon's latest request, and respondedAt when
	// it was responded to.
	respondedNumber uint64
	respondedAt     time.Time
	// isFullRequested reports whether the latest request was for a full report, and
	// collectedAt is when the latest such request that was answered was sent.
	isFullRequested bool
	collectedAt     time.Time
	// unanswered is the number of requests since the latest response, and
	// unansweredSince when the first of them was sent.
	unanswered      int
	unansweredSince time.Time
	// isQueued is set while the daemon is in Node.contactQueue.
	isQueued bool
	// addedAt is when the daemon became known.
	addedAt time.Time
	// published is the availability of which OnChange was last notified.
	published availability
}

// availability is what callers and other components need to know of a daemon. It is zero
// if the daemon is not alive or is leaving.
type availability struct {
	name    string
	address string
	ready   bool
}

// setReport stores the daemon's report.
func (p *peer) setReport(r Report, now time.Time) {
	p.report, p.hasReport, p.reportedAt, p.process = r, true, now, processHash(r.Process)
}

// alive reports whether the daemon is known to have been alive within aliveTimeout, and
// since the first of maxUnanswered requests without a response. A daemon that others
// reach, but not this one, is alive.
func (p *peer) alive(now time.Time) bool {
	if !p.hasReport || p.confirmedAt.IsZero() || now.Sub(p.confirmedAt) >= aliveTimeout {
		return false
	}
	return p.unanswered < maxUnanswered || !p.isUnresponsive()
}

// isUnresponsive reports whether the daemon has not responded since it was last known to
// be alive.
func (p *peer) isUnresponsive() bool {
	return p.unanswered > 0 && !p.confirmedAt.After(p.unansweredSince)
}

// needsProbe reports whether a request is due regardless of the regular order: callers
// are sent to a daemon for as long as it counts as alive.
func (p *peer) needsProbe(now time.Time) bool {
	return p.alive(now) && (p.isUnresponsive() || now.Sub(p.confirmedAt) > probeAge)
}

// availability returns the daemon's present availability.
func (p *peer) availability(now time.Time) availability {
	if !p.alive(now) || p.report.Leaving {
		return availability{}
	}
	return availability{name: p.report.Name, address: p.report.CallerAddress, ready: p.report.Ready}
}
