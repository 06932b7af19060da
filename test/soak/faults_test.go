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

// injector plays faults by seed. Faults overlap, as their ends come later.
type injector struct {
	fleet  *fleet
	random *rand.Rand
	// busy holds the nodes that a fault has now.
	mu   sync.Mutex
	busy map[*node]bool
	ends sync.WaitGroup
	log  []string
}

var runnerFaults = []runner.Fault{
	runner.FaultFull, runner.FaultError, runner.FaultUnavailable, runner.FaultReset, runner.FaultCut,
	runner.FaultOtherID, runner.FaultUnsigned, runner.FaultSurplus, runner.FaultMute,
}

// take returns a node without a fault, or nil.
func (i *injector) take() *node {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := i.fleet.nodes[i.random.IntN(len(i.fleet.nodes))]
	if i.busy[n] {
		return nil
	}
	i.busy[n] = true
	return n
}

func (i *injector) free(n *node) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.busy, n)
}

// later ends a fault after a time.
func (i *injector) later(d time.Duration, end func()) {
	i.ends.Add(1)
	time.AfterFunc(d, func() {
		defer i.ends.Done()
		end()
	})
}

// between returns a time between two numbers of milliseconds.
func (i *injector) between(low, high int) time.Duration {
	return time.Duration(low+i.random.IntN(high-low)) * time.Millisecond
}

// inject plays a fault of a daemon, the store or the configuration, and often one
// of a runner beside it.
func (i *injector) inject() {
	if i.random.IntN(3) > 0 {
		fault := runnerFaults[i.random.IntN(len(runnerFaults))]
		r := i.fleet.runners[i.random.IntN(len(i.fleet.runners))]
		r.Misbehave(fault, 1+i.random.IntN(20))
		i.log = append(i.log, "runner "+r.ID+": "+string(fault))
	}
	name := ""
	switch i.random.IntN(9) {
	case 0, 1:
		name = i.onNode("kill", func(n *node) {
			n.current().Kill()
			i.later(i.between(100, 900), func() { i.fleet.start(n); i.free(n) })
		})
	case 2, 3:
		name = i.onNode("pause", func(n *node) {
			n.signal(syscall.SIGSTOP)
			i.later(i.between(200, 3000), func() { n.signal(syscall.SIGCONT); i.free(n) })
		})
	case 4:
		name = i.onNode("stop", func(n *node) {
			n.signal(syscall.SIGTERM)
			ended := n.current().Ended()
			i.later(0, func() { <-ended; i.fleet.start(n); i.free(n) })
		})
	case 5:
		name = i.onNode("reload", func(n *node) { n.signal(syscall.SIGHUP); i.free(n) })
	case 6:
		name = "store refuses"
		status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[i.random.IntN(2)]
		i.fleet.store.Fail(platformstore.Faults{Status: status})
		i.later(i.between(300, 2500), func() { i.fleet.store.Fail(platformstore.Faults{}) })
	case 7:
		name = "store loses answers and history"
		i.fleet.store.Fail(platformstore.Faults{LoseAnswers: 2, LateWrites: 1})
		i.fleet.store.Forget()
		i.later(i.between(500, 2000), i.fleet.store.CarryOutLate)
	default:
		name = "configuration"
		i.fleet.configure()
	}
	i.log = append(i.log, name)
}

func (i *injector) onNode(name string, play func(*node)) string {
	n := i.take()
	if n == nil {
		return name + " (none free)"
	}
	play(n)
	return name + " " + n.name
}

// settle waits for the ends of all faults and removes those of the stand-ins.
func (i *injector) settle() {
	i.ends.Wait()
	i.fleet.store.Fail(platformstore.Faults{})
	for _, r := range i.fleet.runners {
		r.Misbehave(runner.FaultNone, 0)
	}
}
