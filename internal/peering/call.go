package peering

import (
	"context"
	"encoding/json"
	"time"
)

// Call sends a call to the daemon of a name and returns its answer, or false when
// none comes within callWait.
func (n *Node) Call(ctx context.Context, name string, body json.RawMessage) (json.RawMessage, bool) {
	n.mu.Lock()
	ips := n.addresses(name)
	n.number++
	number := n.number
	answered := make(chan json.RawMessage, 1)
	n.calls[number] = answered
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.calls, number)
		n.mu.Unlock()
	}()
	if len(ips) == 0 {
		return nil, false
	}
	ip := ips[0]
	m := message{Number: number, Report: Report{Name: n.opts.Name}, Call: body}
	n.send(ip, m)
	again := time.NewTimer(callAgain)
	defer again.Stop()
	late := time.NewTimer(callWait)
	defer late.Stop()
	for {
		select {
		case reply := <-answered:
			return reply, true
		case <-again.C:
			n.send(ip, m)
		case <-late.C:
			n.opts.Scope.Counter("peer_calls_unanswered").Inc(1)
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}

// replied passes the answer to a call on to whoever waits for it.
func (n *Node) replied(m *message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if answered := n.calls[m.Number]; answered != nil {
		select {
		case answered <- m.Reply:
		default:
			// The answer to the second sending of the same call.
		}
	}
}
