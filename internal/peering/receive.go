package peering

import (
	"context"
	"encoding/json"
	"time"
)

// receive reads and handles messages until ctx ends.
func (n *Node) receive(ctx context.Context) {
	buf := make([]byte, maxMessageBytes)
	for ctx.Err() == nil {
		size, from, err := n.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() == nil {
				n.opts.Scope.Counter("peer_receive_errors").Inc(1)
			}
			continue
		}
		if isTopicMessage(buf[:size]) {
			n.handleTopicMessage(buf[:size])
			continue
		}
		var m message
		if err := json.Unmarshal(buf[:size], &m); err != nil || m.Report.Name == "" {
			n.opts.Scope.Counter("peer_bad_messages").Inc(1)
			continue
		}
		n.handle(from.IP.String(), &m)
	}
}

// handle processes a message from the daemon at an address. A response is ignored
// unless it belongs to the latest request to that daemon.
func (n *Node) handle(ip string, m *message) {
	switch {
	case len(m.Call) > 0:
		n.send(ip, message{Number: m.Number, IsResponse: true, Report: Report{Name: n.opts.Name}, Reply: n.opts.HandleCall(m.Report, m.Call)})
		return
	case len(m.Reply) > 0:
		n.deliverReply(m)
		return
	case !m.IsResponse:
		n.respond(ip, m)
		return
	}
	n.mu.Lock()
	now := n.opts.Now()
	p := n.peers[ip]
	if p == nil || p.requestNumber != m.Number {
		n.mu.Unlock()
		return
	}
	sentAt := p.requestSentAt
	p.setReport(m.Report, now)
	p.unanswered, p.answeredNumber = 0, m.Number
	if p.isFullRequested {
		p.collectedAt = sentAt
	}
	if sentAt.After(p.confirmedAt) {
		p.confirmedAt = sentAt
	}
	n.updateAvailability(p, now)
	for _, address := range m.Addresses {
		n.addPeer(address)
	}
	n.applyEvidence(m.Evidence, sentAt, now)
	n.mu.Unlock()
	if n.opts.OnReport != nil {
		n.opts.OnReport(m.Report, m.Feed, sentAt, now)
	}
}

// respond sends the response to a request. If the sender knows fewer daemons than
// this one, the response contains the addresses of the known daemons.
func (n *Node) respond(ip string, m *message) {
	n.mu.Lock()
	now := n.opts.Now()
	p := n.addPeer(ip)
	if p != nil {
		n.applyRequest(p, m, now)
	}
	response := message{Number: m.Number, IsResponse: true, PeerCount: len(n.peers), Evidence: n.encodeEvidence(now)}
	if m.PeerCount < len(n.peers) {
		response.Addresses = n.requestOrder[:min(len(n.requestOrder), maxAddresses)]
		response.Addresses = append([]string(nil), response.Addresses...)
	}
	n.mu.Unlock()
	if n.opts.OnRequest != nil {
		n.opts.OnRequest(m.Report)
	}
	response.Report = n.opts.SelfReport(m.Full)
	if n.opts.Feed != nil {
		response.Feed = n.opts.Feed(m.Feed.Since)
	}
	n.send(ip, response)
}

// applyRequest stores the report that a request contains. One that starts traffic to the
// daemon must be known to be recent: from a response, or from a request after one. n.mu
// must be held.
func (n *Node) applyRequest(p *peer, m *message, now time.Time) {
	isRecent := m.Answered != 0 && m.Answered == p.respondedNumber
	if isRecent && p.respondedAt.After(p.confirmedAt) {
		p.confirmedAt = p.respondedAt
	}
	if isRecent || !p.hasReport || p.report.Process != m.Report.Process || m.Report.Leaving || !m.Report.Ready {
		p.setReport(m.Report, now)
	}
	p.respondedNumber, p.respondedAt = m.Number, now
	n.updateAvailability(p, now)
}
