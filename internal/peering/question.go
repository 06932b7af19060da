package peering

import (
	"encoding/json"
	"net"
	"slices"
	"time"
)

// Announce tells all daemons the present state at once, without waiting for their
// next question.
func (n *Node) Announce() {
	n.mu.Lock()
	ips := append([]string(nil), n.order...)
	n.mu.Unlock()
	n.question(ips)
}

// Tell asks the daemons of some names at once, which thereby learn the present state
// of this one.
func (n *Node) Tell(names ...string) {
	n.mu.Lock()
	ips := n.addresses(names...)
	n.mu.Unlock()
	n.question(ips)
}

// addresses returns where the daemons of some names are. The lock is held.
func (n *Node) addresses(names ...string) []string {
	var ips []string
	for ip, p := range n.peers {
		if p.known && slices.Contains(names, p.report.Name) {
			ips = append(ips, ip)
		}
	}
	return ips
}

// askFound asks the daemons that became known by Add.
func (n *Node) askFound() {
	n.mu.Lock()
	ips := n.unasked
	n.unasked = nil
	n.mu.Unlock()
	n.question(ips)
}

// ask sends the questions of a round.
func (n *Node) ask() {
	n.question(n.due())
	n.notice()
}

// due returns the daemons to ask now, in turn.
func (n *Node) due() []string {
	important := n.important()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	n.forget(now)
	var due []string
	for _, ip := range n.order {
		if p := n.peers[ip]; len(due) < maxPerRound && p.known && now.Sub(p.sentAt) >= askImportant && important[p.report.Name] {
			due = append(due, ip)
		}
	}
	for _, ip := range n.order {
		// One that did not answer is asked again at once: callers are sent to it
		// until it counts as gone.
		if p := n.peers[ip]; len(due) < maxPerRound && p.known && p.unanswered > 0 && p.unanswered < maxUnanswered && !slices.Contains(due, ip) {
			due = append(due, ip)
		}
	}
	for range n.order {
		if len(due) >= maxPerRound {
			break
		}
		n.next = (n.next + 1) % len(n.order)
		p := n.peers[n.order[n.next]]
		if now.Sub(p.sentAt) >= askEvery && !slices.Contains(due, p.ip) {
			due = append(due, p.ip)
		}
	}
	return due
}

// important returns the daemons that are asked more often. Important is called
// without the lock, as it may need locks under which others call this Node.
func (n *Node) important() map[string]bool {
	n.mu.Lock()
	names := make([]string, 0, len(n.peers))
	for _, p := range n.peers {
		if p.known {
			names = append(names, p.report.Name)
		}
	}
	n.mu.Unlock()
	out := map[string]bool{}
	for _, name := range names {
		if n.opts.Important(name) {
			out[name] = true
		}
	}
	return out
}

// forget drops the daemons that have been gone for long. The lock is held.
func (n *Node) forget(now time.Time) {
	kept := n.order[:0]
	for _, ip := range n.order {
		p := n.peers[ip]
		last := p.answeredAt
		if last.IsZero() {
			last = p.firstAt
		}
		if now.Sub(last) > forgetAfter {
			delete(n.peers, ip)
			continue
		}
		kept = append(kept, ip)
	}
	n.order = kept
	if n.next >= len(n.order) {
		n.next = 0
	}
}

// question asks daemons. What this daemon says of itself is worked out once for all of
// them.
func (n *Node) question(ips []string) {
	if len(ips) == 0 {
		return
	}
	m := message{Report: n.opts.Self(false), Full: n.opts.Full()}
	m.Feed.Since = m.Report.UpstreamRevision
	for _, ip := range ips {
		if n.register(ip, &m) {
			n.send(ip, m)
		}
	}
}

// register records a question to a daemon and numbers it. It returns false for one that is not known
// any more.
func (n *Node) register(ip string, m *message) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[ip]
	if p == nil {
		return false
	}
	n.number++
	p.number, p.sentAt = n.number, n.opts.Now()
	p.unanswered++
	m.Number, m.Known = p.number, len(n.peers)
	return true
}

func (n *Node) send(ip string, m message) {
	text, err := json.Marshal(m)
	if err != nil || len(text) > maxMessage {
		n.opts.Logger.Error("message to a daemon could not be written", "peer", ip, "bytes", len(text), "error", err)
		return
	}
	_, err = n.conn.WriteToUDP(text, &net.UDPAddr{IP: net.ParseIP(ip), Port: n.opts.Port})
	if err != nil {
		// The daemon is asked again in the next round.
		n.opts.Scope.Counter("peer_send_errors").Inc(1)
	}
}
