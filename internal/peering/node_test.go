package peering

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/objectclient"
	"rattantide/internal/proc"
	"rattantide/internal/telemetry"
)

// testNode is a Node on a separate loopback address.
type testNode struct {
	*Node
	stop func()

	mu     sync.Mutex
	report Report
}

func (n *testNode) selfReport(bool) Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.report
}

func (n *testNode) updateReport(change func(*Report)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.report)
}

func startNodes(t *testing.T, count int) []*testNode {
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 2, 1)})
	assert.NilError(t, err)
	port := probe.LocalAddr().(*net.UDPAddr).Port
	assert.NilError(t, probe.Close())
	var nodes []*testNode
	for i := range count {
		ip := fmt.Sprintf("127.0.2.%d", i+1)
		n := &testNode{report: Report{Name: fmt.Sprintf("d%d", i), Process: "p", IP: ip, CallerAddress: ip + ":1", Ready: true}}
		n.Node, err = New(Options{
			IP: ip, Port: port, Name: n.report.Name, SelfReport: n.selfReport, Now: time.Now, Logger: telemetry.Discard(), Scope: tally.NoopScope,
			Feed: func(since objectclient.Revision) Feed { return Feed{Since: since, Complete: true} },
			HandleCall: func(_ Report, body json.RawMessage) json.RawMessage {
				return append(append([]byte(`{"echo":`), body...), '}')
			},
		})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.Run(ctx)
		}()
		var once sync.Once
		n.stop = func() { once.Do(func() { cancel(); <-done }) }
		t.Cleanup(n.stop)
		nodes = append(nodes, n)
	}
	return nodes
}

func await(t *testing.T, state string, condition func() bool) {
	t.Helper()
	assert.NilError(t, proc.Eventually(t.Context(), time.Minute, nil, func() error {
		if !condition() {
			return errors.Errorf("still waiting until %s", state)
		}
		return nil
	}))
}

// aliveReady returns the number of other daemons that are alive, ready and not
// leaving according to the node.
func (n *testNode) aliveReady() int {
	count := 0
	for _, p := range n.Peers() {
		if p.Alive && p.Ready && !p.Leaving {
			count++
		}
	}
	return count
}

// Guards against daemons that only know the addresses given to Add, that still
// report a stopped daemon as alive, or that miss that a daemon is leaving.
func TestNodesFollowEachOther(t *testing.T) {
	nodes := startNodes(t, 4)
	for _, n := range nodes[1:] {
		n.Add("127.0.2.1")
	}
	for _, n := range nodes {
		await(t, "all daemons know each other", func() bool { return n.aliveReady() == 3 })
	}
	nodes[1].updateReport(func(r *Report) { r.Leaving = true })
	nodes[1].Announce()
	await(t, "the leaving daemon is excluded", func() bool { return nodes[2].aliveReady() == 2 })
	nodes[3].stop()
	for _, i := range []int{0, 2} {
		await(t, "the stopped daemon is excluded", func() bool { return nodes[i].aliveReady() == 1 })
	}
}

// Guards against a call whose reply is lost or belongs to another call, and
// against a call that never times out.
func TestCall(t *testing.T) {
	nodes := startNodes(t, 2)
	nodes[0].Add("127.0.2.2")
	await(t, "the other daemon is known", func() bool { return nodes[0].aliveReady() == 1 })
	reply, ok := nodes[0].Call(t.Context(), "d1", json.RawMessage(`7`))
	assert.Assert(t, ok)
	assert.Equal(t, string(reply), `{"echo":7}`)
	_, ok = nodes[0].Call(t.Context(), "nobody", json.RawMessage(`7`))
	assert.Assert(t, !ok)
	nodes[1].stop()
	_, ok = nodes[0].Call(t.Context(), "d1", json.RawMessage(`7`))
	assert.Assert(t, !ok)
}

// Guards against a daemon that needs many rounds to contact all daemons that are
// registered in the store. This happens when all daemons of a large deployment
// start at the same time.
func TestRegisteredDaemonsAreContactedImmediately(t *testing.T) {
	var ips []string
	var nodes []*Node
	port := 0
	for i := range 3 * maxRequestsPerRound {
		ip := fmt.Sprintf("127.0.4.%d", i+1)
		n, err := New(Options{
			IP: ip, Port: port, Name: ip, SelfReport: func(bool) Report { return Report{Name: ip} }, Now: time.Now,
			Logger: telemetry.Discard(), Scope: tally.NoopScope,
		})
		assert.NilError(t, err)
		t.Cleanup(func() { _ = n.conn.Close() })
		port = n.opts.Port
		ips, nodes = append(ips, ip), append(nodes, n)
	}
	nodes[0].Add(ips...)
	nodes[0].requestQueued(maxInitialRequests)
	buf := make([]byte, maxMessageBytes)
	for _, n := range nodes[1:] {
		assert.NilError(t, n.conn.SetReadDeadline(time.Now().Add(30*time.Second)))
		_, from, err := n.conn.ReadFromUDP(buf)
		assert.NilError(t, err)
		assert.Equal(t, from.IP.String(), ips[0])
	}
}
