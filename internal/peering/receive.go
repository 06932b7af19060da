package peering

import (
	"context"
	"encoding/json"
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
	p.report, p.hasReport, p.confirmedAt, p.unanswered = m.Report, true, sentAt, 0
	for _, address := range m.Addresses {
		n.addPeer(address)
	}
	n.mu.Unlock()
	if n.opts.OnReport != nil {
		n.opts.OnReport(m.Report, m.Feed, sentAt, now)
	}
	n.notifyIfChanged()
}

// respond sends the response to a request. If the sender knows fewer daemons than
// this one, the response contains the addresses of the known daemons.
func (n *Node) respond(ip string, m *message) {
	n.mu.Lock()
	p := n.addPeer(ip)
	if p != nil && (!p.hasReport || p.report.Process != m.Report.Process || m.Report.Leaving || !m.Report.Ready) {
		// A report that stops traffic to the daemon is stored immediately. One that
		// starts traffic must come from a response, which proves that it is recent.
		p.report, p.hasReport = m.Report, true
	}
	response := message{Number: m.Number, IsResponse: true, PeerCount: len(n.peers)}
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
	n.notifyIfChanged()
}
