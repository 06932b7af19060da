package peering

import (
	"context"
	"encoding/json"
	"time"
)

// Call sends a call to the daemon with the given name and returns its reply, or
// false if the daemon is unknown or does not reply within callTimeout. The call is
// sent a second time if there is no reply within callRetryDelay, so the handler may
// run twice.
func (n *Node) Call(ctx context.Context, name string, body json.RawMessage) (json.RawMessage, bool) {
	n.mu.Lock()
	ips := n.addressesOf(name)
	n.lastNumber++
	number := n.lastNumber
	replies := make(chan json.RawMessage, 1)
	n.pendingCalls[number] = replies
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.pendingCalls, number)
		n.mu.Unlock()
	}()
	if len(ips) == 0 {
		return nil, false
	}
	ip := ips[0]
	m := message{Number: number, Report: Report{Name: n.opts.Name}, Call: body}
	n.send(ip, m)
	retry := time.NewTimer(callRetryDelay)
	defer retry.Stop()
	timeout := time.NewTimer(callTimeout)
	defer timeout.Stop()
	for {
		select {
		case reply := <-replies:
			return reply, true
		case <-retry.C:
			n.send(ip, m)
		case <-timeout.C:
			n.opts.Scope.Counter("peer_calls_unanswered").Inc(1)
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}

// deliverReply passes a reply to the pending call that it belongs to.
func (n *Node) deliverReply(m *message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if replies := n.pendingCalls[m.Number]; replies != nil {
		select {
		case replies <- m.Reply:
		default:
			// The reply to the retransmission of a call that was already replied to.
		}
	}
}
