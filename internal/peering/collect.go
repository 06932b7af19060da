package peering

import "time"

const (
	// collectInterval is the time between two batches of requests of a collection, and
	// collectBatch their size. Answers to all requests at once would exceed what the
	// daemon's link and its socket can take.
	collectInterval = 50 * time.Millisecond
	collectBatch    = 16
	// collectTimeout is the time after which a request of a collection counts as lost.
	collectTimeout = 400 * time.Millisecond
)

// Collect requests full reports from the live daemons, in batches. restart begins a new
// collection; otherwise only the daemons that have not responded since the last restart are
// asked again.
func (n *Node) Collect(restart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	if restart {
		n.collectStartedAt = now
	}
	n.collectQueue = nil
	for _, ip := range n.requestOrder {
		p := n.peers[ip]
		isPending := p.unanswered > 0 && p.isFullRequested && now.Sub(p.requestSentAt) < collectTimeout
		if p.alive(now) && p.collectedAt.Before(n.collectStartedAt) && !isPending {
			n.collectQueue = append(n.collectQueue, ip)
		}
	}
	wake(n.collecting)
}

// requestCollected sends the next batch of requests of a collection and reports whether
// more remain.
func (n *Node) requestCollected() bool {
	n.mu.Lock()
	ips := takeBatch(&n.collectQueue, collectBatch)
	remaining := len(n.collectQueue) > 0
	n.mu.Unlock()
	n.sendRequests(ips)
	return remaining
}
