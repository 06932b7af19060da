package tcplink

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// hangTime is how long a dial hangs while the path does, unless its context ends before.
const hangTime = 250 * time.Millisecond

// PathFault is what happens on the paths of one client.
type PathFault int

// The faults of paths.
const (
	PathSound PathFault = iota
	// PathHangs means that open connections and dials hang.
	PathHangs
	// PathResets means that open connections are reset and dials are refused.
	PathResets
	// PathRefusesNew means that dials are refused, while open connections live on.
	PathRefusesNew
	// PathFaults is the number of faults.
	PathFaults
)

// Network holds the links between some clients, which are numbered, and all servers that they
// dial. It is safe for concurrent use.
type Network struct {
	mu     sync.Mutex
	links  map[linkEnds]*Link
	faults map[int]PathFault
}

// linkEnds are the ends of a link: a client, and the address of a server.
type linkEnds struct {
	client  int
	address string
}

// NewNetwork returns a Network without links. The caller must call Close.
func NewNetwork() *Network {
	return &Network{links: map[linkEnds]*Link{}, faults: map[int]PathFault{}}
}

// Dial opens a connection of a client to an address, over the link between both.
func (n *Network) Dial(ctx context.Context, client int, address string) (net.Conn, error) {
	l, fault, err := n.link(linkEnds{client, address})
	if err != nil {
		return nil, err
	}
	switch fault {
	case PathHangs:
		ctx, cancel := context.WithTimeout(ctx, hangTime)
		defer cancel()
		<-ctx.Done()
		return nil, errors.Trace(&net.OpError{Op: "dial", Net: "tcp", Err: context.DeadlineExceeded})
	case PathResets, PathRefusesNew:
		return nil, errors.Trace(&net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED})
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", l.Address())
}

// link returns the link between two ends, and the fault of its client.
func (n *Network) link(ends linkEnds) (*Link, PathFault, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[ends]
	if l == nil {
		var err error
		if l, err = Start(ends.address); err != nil {
			return nil, PathSound, err
		}
		n.links[ends] = l
	}
	return l, n.faults[ends.client], nil
}

// Set sets the fault of all paths of a client.
func (n *Network) Set(client int, fault PathFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[client] = fault
	for ends, l := range n.links {
		if ends.client != client {
			continue
		}
		l.SetState(State{HoldRequests: fault == PathHangs, HoldAnswers: fault == PathHangs})
		if fault == PathResets {
			l.ResetConns()
		}
	}
}

// Close closes all links.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.Close()
	}
}
