package peering

import (
	"context"
	"encoding/json"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// roundInterval is the interval between rounds of requests.
	roundInterval = 250 * time.Millisecond
	// requestInterval is the shortest time between two regular requests to the
	// same daemon; maxRequestsPerRound may make it longer.
	requestInterval = 700 * time.Millisecond
	// priorityInterval is the same for daemons with priority, on whose responses
	// the serving of callers depends.
	priorityInterval = 400 * time.Millisecond
	// callTimeout is how long a call waits for its reply, and callRetryDelay the
	// time after which it is sent a second time, as datagrams may be lost.
	callTimeout    = 150 * time.Millisecond
	callRetryDelay = 40 * time.Millisecond
	// maxRequestsPerRound bounds the requests of a round, so that a daemon's
	// traffic does not grow with the number of daemons.
	maxRequestsPerRound = 8
	// maxInitialRequests bounds the daemons that are contacted immediately after
	// they are read from the store: a starting daemon does not serve callers well
	// until it has the other daemons' reports.
	maxInitialRequests = 100
	// maxUnanswered is the number of consecutive unanswered requests after which a
	// daemon no longer counts as alive; it exceeds 1 as datagrams may be lost.
	maxUnanswered = 3
	// minAliveTimeout is the minimum time without a response after which a daemon
	// no longer counts as alive.
	minAliveTimeout = 2500 * time.Millisecond
	// aliveTimeoutCycles is the same time in cycles. A cycle is the time in which
	// every daemon is sent a request.
	aliveTimeoutCycles = 4
	// peerRetention is the time without a response after which a daemon is removed
	// and receives no more requests.
	peerRetention = 45 * time.Second
	// maxMessageBytes bounds a datagram. It is below the maximum of UDP, which is about
	// 64 KiB.
	maxMessageBytes = 60 << 10
	// maxAddresses bounds the addresses of daemons in a response.
	maxAddresses = 512
)

// Node requests reports from the other daemons and responds to their requests. It
// is safe for concurrent use.
type Node struct {
	opts Options
	conn *net.UDPConn

	// peersAdded wakes Run after Add added daemons.
	peersAdded chan struct{}

	mu sync.Mutex
	// peers holds the other daemons by IP address.
	peers map[string]*peer
	// newPeers holds the addresses added by Add to which no request was sent yet.
	newPeers []string
	// requestOrder holds the addresses of peers in the order in which regular requests
	// are sent to them; orderIndex is the position of the last one considered.
	requestOrder []string
	orderIndex   int
	// lastNumber is the number of the latest request or call.
	lastNumber uint64
	// readyByPeer is the readiness of the daemons that were alive and not leaving
	// when notifyIfChanged was last called, by name and address.
	readyByPeer map[string]bool
	// pendingCalls holds the channels for the replies to calls, by number.
	pendingCalls map[uint64]chan json.RawMessage
}

// New returns a Node that listens on its port. It sends and receives nothing
// until Run.
func New(opts Options) (*Node, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(opts.IP), Port: opts.Port})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if opts.HasPriority == nil {
		opts.HasPriority = func(string) bool { return false }
	}
	if opts.NeedsFull == nil {
		opts.NeedsFull = func() bool { return true }
	}
	if opts.Port == 0 {
		opts.Port = conn.LocalAddr().(*net.UDPAddr).Port
	}
	return &Node{opts: opts, conn: conn, peersAdded: make(chan struct{}, 1), peers: map[string]*peer{}, readyByPeer: map[string]bool{}, pendingCalls: map[uint64]chan json.RawMessage{}}, nil
}

// Add adds daemons by the IP addresses of their instances. Addresses that are
// invalid, already known or this daemon's are ignored.
func (n *Node) Add(ips ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ip := range ips {
		if _, known := n.peers[ip]; known || n.addPeer(ip) == nil {
			continue
		}
		if len(n.newPeers) < maxInitialRequests {
			n.newPeers = append(n.newPeers, ip)
		}
	}
	select {
	case n.peersAdded <- struct{}{}:
	default:
	}
}

// addPeer returns the state of the daemon at an address and creates it if
// necessary. It returns nil for an invalid address and for this daemon's. n.mu must
// be held.
func (n *Node) addPeer(ip string) *peer {
	if ip == "" || ip == n.opts.IP || net.ParseIP(ip) == nil {
		return nil
	}
	p := n.peers[ip]
	if p == nil {
		p = &peer{ip: ip, addedAt: n.opts.Now()}
		n.peers[ip] = p
		n.requestOrder = append(n.requestOrder, ip)
	}
	return p
}

// Peers returns the other daemons whose report is known, ordered by name.
func (n *Node) Peers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	timeout := n.aliveTimeout()
	out := make([]Peer, 0, len(n.peers))
	for _, p := range n.peers {
		if p.hasReport {
			out = append(out, Peer{Report: p.report, Alive: p.alive(now, timeout)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// PeerCount returns the number of other known daemons, including those without a
// report.
func (n *Node) PeerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers)
}

// aliveTimeout returns the time without a response after which a daemon no longer
// counts as alive. It grows with the number of daemons. n.mu must be held.
func (n *Node) aliveTimeout() time.Duration {
	roundsPerCycle := (len(n.peers) + maxRequestsPerRound - 1) / maxRequestsPerRound
	return max(minAliveTimeout, time.Duration(roundsPerCycle)*roundInterval*aliveTimeoutCycles)
}

// Run sends requests and responds to those of other daemons until ctx ends. It
// then closes the port and returns nil. It must be called once.
func (n *Node) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.receive(ctx)
	}()
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = n.conn.Close()
			<-done
			return nil
		case <-n.peersAdded:
			n.requestNewPeers()
		case <-ticker.C:
			n.runRound()
		}
	}
}

// notifyIfChanged calls OnChange if the set of daemons that are alive and not
// leaving, or the readiness of one of them, has changed since the previous call.
func (n *Node) notifyIfChanged() {
	n.mu.Lock()
	now := n.opts.Now()
	timeout := n.aliveTimeout()
	readyByPeer := map[string]bool{}
	for _, p := range n.peers {
		if p.alive(now, timeout) && !p.report.Leaving {
			readyByPeer[p.report.Name+" "+p.report.CallerAddress] = p.report.Ready
		}
	}
	unchanged := len(readyByPeer) == len(n.readyByPeer)
	for name, ready := range readyByPeer {
		before, known := n.readyByPeer[name]
		unchanged = unchanged && known && before == ready
	}
	n.readyByPeer = readyByPeer
	n.mu.Unlock()
	if !unchanged {
		n.opts.Logger.Info("live daemons or their readiness changed", "alive", len(readyByPeer))
		if n.opts.OnChange != nil {
			n.opts.OnChange()
		}
	}
}
