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
	// round is how often some daemons are asked.
	round = 250 * time.Millisecond
	// askEvery is how often each daemon is asked, as far as maxPerRound allows.
	askEvery = 700 * time.Millisecond
	// askImportant is how often daemons are asked on whose answers requests
	// depend.
	askImportant = 400 * time.Millisecond
	// callWait is how long a call waits for its answer, and callAgain when it is
	// sent once more, as datagrams are lost now and then.
	callWait  = 150 * time.Millisecond
	callAgain = 40 * time.Millisecond
	// maxPerRound bounds the questions per round, so that the traffic of a daemon
	// does not grow with their number.
	maxPerRound = 8
	// maxAtOnce bounds the daemons that are asked at once when the store names them:
	// a daemon that starts serves callers well only once it knows the others.
	maxAtOnce = 100
	// maxUnanswered is how many questions in a row a daemon may leave unanswered;
	// datagrams are lost now and then.
	maxUnanswered = 3
	// minSilence is the least time without an answer after which a daemon counts
	// as gone.
	minSilence = 2500 * time.Millisecond
	// silenceRounds is the same in rounds over all daemons.
	silenceRounds = 4
	// forgetAfter is when a daemon that is gone is no longer asked.
	forgetAfter = 45 * time.Second
	maxMessage  = 60 << 10
	maxOthers   = 512
)

// Node asks the other daemons and answers them. It is safe for concurrent use.
type Node struct {
	opts Options
	conn *net.UDPConn

	// found wakes Run after Add made daemons known.
	found chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
	// unasked are the addresses that Add made known and that were not asked yet.
	unasked []string
	order   []string
	next    int
	number  uint64
	alive   map[string]bool
	calls   map[uint64]chan json.RawMessage
}

// New opens the port. Nothing is asked until Run.
func New(opts Options) (*Node, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(opts.IP), Port: opts.Port})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if opts.Important == nil {
		opts.Important = func(string) bool { return false }
	}
	if opts.Full == nil {
		opts.Full = func() bool { return true }
	}
	if opts.Port == 0 {
		opts.Port = conn.LocalAddr().(*net.UDPAddr).Port
	}
	return &Node{opts: opts, conn: conn, found: make(chan struct{}, 1), peers: map[string]*peer{}, alive: map[string]bool{}, calls: map[uint64]chan json.RawMessage{}}, nil
}

// Add makes daemons known by the addresses of their instances.
func (n *Node) Add(ips ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ip := range ips {
		if _, known := n.peers[ip]; known || n.add(ip) == nil {
			continue
		}
		if len(n.unasked) < maxAtOnce {
			n.unasked = append(n.unasked, ip)
		}
	}
	select {
	case n.found <- struct{}{}:
	default:
	}
}

// add returns the state of a daemon. The lock is held.
func (n *Node) add(ip string) *peer {
	if ip == "" || ip == n.opts.IP || net.ParseIP(ip) == nil {
		return nil
	}
	p := n.peers[ip]
	if p == nil {
		p = &peer{ip: ip, firstAt: n.opts.Now()}
		n.peers[ip] = p
		n.order = append(n.order, ip)
	}
	return p
}

// Peers returns the daemons whose state is known, in order of their names.
func (n *Node) Peers() []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	silence := n.silence()
	out := make([]Peer, 0, len(n.peers))
	for _, p := range n.peers {
		if p.known {
			out = append(out, Peer{Report: p.report, Alive: p.alive(now, silence)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Known returns the number of other daemons that were seen or announced.
func (n *Node) Known() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers)
}

// silence is the time without an answer after which a daemon counts as gone. The
// lock is held.
func (n *Node) silence() time.Duration {
	rounds := (len(n.peers) + maxPerRound - 1) / maxPerRound
	return max(minSilence, time.Duration(rounds)*round*silenceRounds)
}

// Run asks and answers until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.receive(ctx)
	}()
	ticker := time.NewTicker(round)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = n.conn.Close()
			<-done
			return nil
		case <-n.found:
			n.askFound()
		case <-ticker.C:
			n.ask()
		}
	}
}

// notice calls Changed when the set of daemons that are alive and ready changed.
func (n *Node) notice() {
	n.mu.Lock()
	now := n.opts.Now()
	silence := n.silence()
	alive := map[string]bool{}
	for _, p := range n.peers {
		if p.alive(now, silence) && !p.report.Leaving {
			alive[p.report.Name+" "+p.report.CallerAddress] = p.report.Ready
		}
	}
	same := len(alive) == len(n.alive)
	for name, ready := range alive {
		before, known := n.alive[name]
		same = same && known && before == ready
	}
	n.alive = alive
	n.mu.Unlock()
	if !same {
		n.opts.Logger.Info("daemons changed", "alive", len(alive))
		if n.opts.Changed != nil {
			n.opts.Changed()
		}
	}
}
