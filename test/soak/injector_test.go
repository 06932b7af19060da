package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"rattantide/internal/standin/platformstore"
	"rattantide/internal/standin/runner"
)

// injector injects faults that a seed selects. Faults may overlap, because each is
// ended asynchronously.
type injector struct {
	fleet  *fleet
	random *rand.Rand
	// mu guards faultyNodes, the nodes with a fault that has not ended.
	mu          sync.Mutex
	faultyNodes map[*node]bool
	pendingEnds sync.WaitGroup
	// log describes the injected faults in their order.
	log []string
}

var runnerFaults = []runner.Fault{
	runner.FaultQueueFull, runner.FaultError, runner.FaultUnavailable, runner.FaultReset, runner.FaultTruncated,
	runner.FaultOtherID, runner.FaultUnsigned, runner.FaultSecondResponse, runner.FaultNoResponse,
}

// reserveNode selects a random node and marks it as faulty. It returns nil if that
// node already has a fault.
func (i *injector) reserveNode() *node {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := i.fleet.nodes[i.random.IntN(len(i.fleet.nodes))]
	if i.faultyNodes[n] {
		return nil
	}
	i.faultyNodes[n] = true
	return n
}

// releaseNode makes a node available for the next fault.
func (i *injector) releaseNode(n *node) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.faultyNodes, n)
}

// scheduleEnd calls end, which ends a fault, after d. endFaults waits for it.
func (i *injector) scheduleEnd(d time.Duration, end func()) {
	i.pendingEnds.Add(1)
	time.AfterFunc(d, func() {
		defer i.pendingEnds.Done()
		end()
	})
}

// randomDuration returns a duration from low (inclusive) to high (exclusive), both
// in milliseconds.
func (i *injector) randomDuration(low, high int) time.Duration {
	return time.Duration(low+i.random.IntN(high-low)) * time.Millisecond
}

// inject injects a fault of a daemon or of the store, or changes the configuration,
// and with a probability of 2/3 also injects a fault of a runner.
func (i *injector) inject() {
	if i.random.IntN(3) > 0 {
		fault := runnerFaults[i.random.IntN(len(runnerFaults))]
		r := i.fleet.runners[i.random.IntN(len(i.fleet.runners))]
		r.SetFault(fault, 1+i.random.IntN(20))
		i.log = append(i.log, "runner "+r.ID+": "+string(fault))
	}
	description := ""
	switch i.random.IntN(9) {
	case 0, 1:
		description = i.injectNodeFault("kill", func(n *node) {
			n.currentProcess().Kill()
			i.scheduleEnd(i.randomDuration(100, 900), func() { i.fleet.startNode(n); i.releaseNode(n) })
		})
	case 2, 3:
		description = i.injectNodeFault("pause", func(n *node) {
			n.signal(syscall.SIGSTOP)
			i.scheduleEnd(i.randomDuration(200, 3000), func() { n.signal(syscall.SIGCONT); i.releaseNode(n) })
		})
	case 4:
		description = i.injectNodeFault("stop", func(n *node) {
			n.signal(syscall.SIGTERM)
			ended := n.currentProcess().Done()
			i.scheduleEnd(0, func() { <-ended; i.fleet.startNode(n); i.releaseNode(n) })
		})
	case 5:
		description = i.injectNodeFault("reload", func(n *node) {
			i.scheduleEnd(n.untilInitialized(), func() { n.signal(syscall.SIGHUP); i.releaseNode(n) })
		})
	case 6:
		description = "store refuses requests"
		status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[i.random.IntN(2)]
		i.fleet.store.SetFaults(platformstore.Faults{Status: status})
		i.scheduleEnd(i.randomDuration(300, 2500), func() { i.fleet.store.SetFaults(platformstore.Faults{}) })
	case 7:
		description = "store loses responses and watch history"
		i.fleet.store.SetFaults(platformstore.Faults{LoseAnswers: 2, LateWrites: 1})
		i.fleet.store.Compact()
		i.scheduleEnd(i.randomDuration(500, 2000), i.fleet.store.ApplyLateWrites)
	default:
		description = "configuration"
		i.fleet.writeConfig()
	}
	i.log = append(i.log, description)
}

// injectNodeFault calls start with a node without a fault and returns a description
// for the log. start is responsible for releasing the node. If the selected node
// has a fault already, nothing is injected.
func (i *injector) injectNodeFault(name string, start func(*node)) string {
	n := i.reserveNode()
	if n == nil {
		return name + " (skipped: node already has a fault)"
	}
	start(n)
	return name + " " + n.name
}

// endFaults waits until all scheduled ends have run and clears the faults of the
// store and the runners.
func (i *injector) endFaults() {
	i.pendingEnds.Wait()
	i.fleet.store.SetFaults(platformstore.Faults{})
	for _, r := range i.fleet.runners {
		r.SetFault(runner.FaultNone, 0)
	}
}
