package peering

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
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
	maxRequestsPerRound = 4
	// maxInitialRequests bounds the daemons that are contacted immediately after
	// they are read from the store: a starting daemon does not serve callers well
	// until it has the other daemons' reports. The others, and daemons that are learned
	// from responses, are contacted in the next rounds, at most maxQueuedPerRound in each.
	maxInitialRequests = 48
	maxQueuedPerRound  = 24
	// maxProbesPerRound bounds the requests out of turn, so that others remain.
	maxProbesPerRound = maxRequestsPerRound / 2
	// maxUnanswered is the number of consecutive unanswered requests after which a
	// daemon no longer counts as alive; it exceeds 1 as datagrams may be lost.
	maxUnanswered = 3
	// aliveTimeout is the time without evidence after which a daemon no longer counts as
	// alive, and probeAge the time after which it is sent a request out of turn. Evidence
	// of each daemon usually arrives several times a second.
	aliveTimeout = 3 * time.Second
	probeAge     = 2 * time.Second
	// changeInterval is the minimum time between two calls of OnChange: at a start of
	// the whole fleet, the other daemons respond one after the other.
	changeInterval = 300 * time.Millisecond
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

	// peersAdded wakes Run after Add added daemons, changed after the availability of a
	// daemon changed, and collecting after Collect.
	peersAdded chan struct{}
	changed    chan struct{}
	collecting chan struct{}
	// topicHandlers is not modified after Run was called.
	topicHandlers map[Topic]TopicHandler

	mu sync.Mutex
	// peers holds the other daemons by IP address.
	peers map[string]*peer
	// contactQueue holds the addresses of peers without a report of their present process.
	contactQueue []string
	// requestOrder holds the addresses of peers in the order in which regular requests
	// are sent to them; orderIndex is the position of the last one considered.
	requestOrder []string
	orderIndex   int
	// collectQueue holds the addresses of the daemons that the present collection still
	// sends a request to, and collectStartedAt is when it began.
	collectQueue     []string
	collectStartedAt time.Time
	// lastNumber is the number of the latest request or call.
	lastNumber uint64
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
	return &Node{
		opts: opts, conn: conn,
		peersAdded: make(chan struct{}, 1), changed: make(chan struct{}, 1), collecting: make(chan struct{}, 1),
		topicHandlers: map[Topic]TopicHandler{}, peers: map[string]*peer{}, pendingCalls: map[uint64]chan json.RawMessage{},
	}, nil
}

// Add adds daemons by the IP addresses of their instances. Addresses that are
// invalid, already known or this daemon's are ignored.
func (n *Node) Add(ips ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ip := range ips {
		n.addPeer(ip)
	}
	wake(n.peersAdded)
}

// wake sends to a channel with a buffer of 1 unless it is full.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// addPeer returns the state of the daemon at an address and creates it if
// necessary. It returns nil for an invalid address and for this daemon's. n.mu must
// be held.
func (n *Node) addPeer(ip string) *peer {
	if p := n.peers[ip]; p != nil {
		return p
	}
	addr, err := netip.ParseAddr(ip)
	if err != nil || ip == n.opts.IP {
		return nil
	}
	p := &peer{ip: ip, addr: addr, addedAt: n.opts.Now()}
	n.peers[ip] = p
	n.requestOrder = append(n.requestOrder, ip)
	n.queueContact(p, p.addedAt)
	return p
}

// queueContact makes one of the next rounds send a request to a daemon whose present
// process has sent no report, unless one was sent just now. n.mu must be held.
func (n *Node) queueContact(p *peer, now time.Time) {
	if p.isQueued || now.Sub(p.requestSentAt) < requestInterval {
		return
	}
	p.isQueued = true
	n.contactQueue = append(n.contactQueue, p.ip)
}

// Peers returns the other daemons whose report is known, ordered by name.
func (n *Node) Peers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	out := make([]Peer, 0, len(n.peers))
	for _, p := range n.peers {
		if p.hasReport {
			out = append(out, Peer{Report: p.report, Alive: p.alive(now)})
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
	// collect ticks only while a collection is in progress.
	collect := time.NewTicker(collectInterval)
	collect.Stop()
	defer collect.Stop()
	// changes is the channel of changes, or nil for changeInterval after one was handled.
	changes := n.changed
	resume := time.NewTimer(changeInterval)
	defer resume.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = n.conn.Close()
			<-done
			return nil
		case <-n.peersAdded:
			n.requestQueued(maxInitialRequests)
		case <-ticker.C:
			n.runRound()
		case <-n.collecting:
			collect.Reset(collectInterval)
		case <-collect.C:
			if !n.requestCollected() {
				collect.Stop()
			}
		case <-changes:
			n.notify()
			changes = nil
			resume.Reset(changeInterval)
		case <-resume.C:
			changes = n.changed
		}
	}
}

// notify logs a change of the available daemons and calls OnChange.
func (n *Node) notify() {
	n.mu.Lock()
	available := 0
	for _, p := range n.peers {
		if p.published != (availability{}) {
			available++
		}
	}
	n.mu.Unlock()
	n.opts.Logger.Info("live daemons or their readiness changed", "alive", available)
	if n.opts.OnChange != nil {
		n.opts.OnChange()
	}
}

// updateAvailability wakes Run if the availability of a daemon has changed. n.mu must be
// held.
func (n *Node) updateAvailability(p *peer, now time.Time) {
	if current := p.availability(now); current != p.published {
		p.published = current
		wake(n.changed)
	}
}
