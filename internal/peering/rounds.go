package peering

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// Announce immediately sends this daemon's report to all known daemons, in a
// request, rather than waiting for their next one.
func (n *Node) Announce() {
	n.mu.Lock()
	ips := append([]string(nil), n.requestOrder...)
	n.mu.Unlock()
	n.sendRequests(ips)
}

// Notify immediately sends the named daemons a request, which contains this daemon's
// report. Unknown names are ignored.
func (n *Node) Notify(names ...string) {
	n.mu.Lock()
	ips := n.addressesOf(names...)
	n.mu.Unlock()
	n.sendRequests(ips)
}

// Spread immediately sends at most limit live daemons, chosen at random, a request, which
// contains this daemon's report. If each of them does the same with what is new to it, all
// daemons have it after a few steps.
func (n *Node) Spread(limit int) {
	n.mu.Lock()
	now := n.opts.Now()
	var ips []string
	for _, i := range rand.Perm(len(n.requestOrder)) {
		if p := n.peers[n.requestOrder[i]]; len(ips) < limit && p.alive(now) {
			ips = append(ips, p.ip)
		}
	}
	n.mu.Unlock()
	n.sendRequests(ips)
}

// maxScannedNames is the number of names up to which addressesOf compares each of them.
const maxScannedNames = 8

// addressesOf returns the IP addresses of the named daemons. n.mu must be held.
func (n *Node) addressesOf(names ...string) []string {
	var ips []string
	isNamed := func(name string) bool { return slices.Contains(names, name) }
	if len(names) > maxScannedNames {
		set := make(map[string]bool, len(names))
		for _, name := range names {
			set[name] = true
		}
		isNamed = func(name string) bool { return set[name] }
	}
	for ip, p := range n.peers {
		if p.hasReport && isNamed(p.report.Name) {
			ips = append(ips, ip)
		}
	}
	return ips
}

// takeBatch removes at most limit addresses from the start of a queue and returns them.
func takeBatch(queue *[]string, limit int) []string {
	count := min(limit, len(*queue))
	batch := (*queue)[:count:count]
	*queue = (*queue)[count:]
	return batch
}

// requestQueued sends a request to at most limit daemons of contactQueue.
func (n *Node) requestQueued(limit int) {
	n.mu.Lock()
	ips := takeBatch(&n.contactQueue, limit)
	for _, ip := range ips {
		if p := n.peers[ip]; p != nil {
			p.isQueued = false
		}
	}
	n.mu.Unlock()
	n.sendRequests(ips)
}

// runRound sends the requests of a round.
func (n *Node) runRound() {
	n.requestQueued(maxQueuedPerRound)
	n.sendRequests(n.duePeers())
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	for _, p := range n.peers {
		n.updateAvailability(p, now)
	}
}

// duePeers returns the addresses of the daemons to send a request to in this
// round: first those with priority, then those that did not respond to their
// latest requests, then the remaining ones in turn.
func (n *Node) duePeers() []string {
	priority := n.priorityPeers()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	n.removeExpired(now)
	var due []string
	for _, ip := range n.requestOrder {
		if p := n.peers[ip]; len(due) < maxRequestsPerRound && p.hasReport && now.Sub(p.requestSentAt) >= priorityInterval && priority[p.report.Name] {
			due = append(due, ip)
		}
	}
	// The order is rotated, so that many daemons without evidence are probed in turn.
	maxDue := min(len(due)+maxProbesPerRound, maxRequestsPerRound)
	for i := range n.requestOrder {
		ip := n.requestOrder[(n.orderIndex+i)%len(n.requestOrder)]
		if p := n.peers[ip]; len(due) < maxDue && p.needsProbe(now) && !slices.Contains(due, ip) {
			due = append(due, ip)
		}
	}
	for range n.requestOrder {
		if len(due) >= maxRequestsPerRound {
			break
		}
		n.orderIndex = (n.orderIndex + 1) % len(n.requestOrder)
		p := n.peers[n.requestOrder[n.orderIndex]]
		if now.Sub(p.requestSentAt) >= requestInterval && !slices.Contains(due, p.ip) {
			due = append(due, p.ip)
		}
	}
	return due
}

// priorityPeers returns the names of the daemons with priority. HasPriority is
// called without n.mu, as it may take locks that other goroutines hold while they
// call this Node.
func (n *Node) priorityPeers() map[string]bool {
	n.mu.Lock()
	names := make([]string, 0, len(n.peers))
	for _, p := range n.peers {
		if p.hasReport {
			names = append(names, p.report.Name)
		}
	}
	n.mu.Unlock()
	out := map[string]bool{}
	for _, name := range names {
		if n.opts.HasPriority(name) {
			out[name] = true
		}
	}
	return out
}

// removeExpired removes the daemons that have not responded within peerRetention.
// n.mu must be held.
func (n *Node) removeExpired(now time.Time) {
	retained := n.requestOrder[:0]
	for _, ip := range n.requestOrder {
		p := n.peers[ip]
		since := p.confirmedAt
		if since.IsZero() {
			since = p.addedAt
		}
		if now.Sub(since) > peerRetention {
			if p.published != (availability{}) {
				wake(n.changed)
			}
			delete(n.peers, ip)
			continue
		}
		retained = append(retained, ip)
	}
	n.requestOrder = retained
	if n.orderIndex >= len(n.requestOrder) {
		n.orderIndex = 0
	}
}

// sendRequests sends a request to the daemons at the given addresses. This
// daemon's report is computed once for all of them.
func (n *Node) sendRequests(ips []string) {
	if len(ips) == 0 {
		return
	}
	m := message{Report: n.opts.SelfReport(false), Full: n.opts.NeedsFull()}
	m.Feed.Since = m.Report.UpstreamRevision
	for _, ip := range ips {
		if n.trackRequest(ip, &m) {
			n.send(ip, m)
		}
	}
}

// trackRequest numbers a request and records it as the latest one to the daemon.
// It returns false if the daemon has been removed.
func (n *Node) trackRequest(ip string, m *message) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[ip]
	if p == nil {
		return false
	}
	n.lastNumber++
	p.requestNumber, p.requestSentAt = n.lastNumber, n.opts.Now()
	if p.unanswered == 0 {
		p.unansweredSince = p.requestSentAt
	}
	p.unanswered++
	p.isFullRequested = m.Full
	m.Number, m.Answered, m.PeerCount = p.requestNumber, p.answeredNumber, len(n.peers)
	return true
}

func (n *Node) send(ip string, m message) {
	payload, err := json.Marshal(m)
	if err != nil || len(payload) > maxMessageBytes {
		n.opts.Logger.Error("message to peer could not be encoded or exceeds 60 KiB", "peer", ip, "bytes", len(payload), "error", err)
		return
	}
	n.write(ip, payload)
}

// write sends a datagram. A failure is only counted, as messages are repeated in later rounds.
func (n *Node) write(ip string, datagram []byte) {
	if _, err := n.conn.WriteToUDP(datagram, &net.UDPAddr{IP: net.ParseIP(ip), Port: n.opts.Port}); err != nil {
		n.opts.Scope.Counter("peer_send_errors").Inc(1)
	}
}
