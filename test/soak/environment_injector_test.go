package soak

import (
	"math/rand/v2"
	"time"

	"rattantide/internal/standin/tcplink"
)

// environmentInjector injects network and clock faults. Its random numbers are
// independent of the embedded injector's, so the other faults of a seed do not
// depend on it.
type environmentInjector struct {
	*injector
	random *rand.Rand
}

// linkFaults are the lasting faults of a link by name. Each is ended by setting
// the zero state.
var linkFaults = map[string]tcplink.State{
	"requests held": {HoldRequests: true},
	"answers held":  {HoldAnswers: true},
	"silent":        {HoldRequests: true, HoldAnswers: true},
	"slow":          {Delay: 40 * time.Millisecond},
	"very slow":     {Delay: 400 * time.Millisecond},
}

// linkFaultNames are the keys of linkFaults in a fixed order, so that a seed selects
// the same faults in each run.
var linkFaultNames = []string{"requests held", "answers held", "silent", "slow", "very slow"}

// randomLink selects a link and returns it with a description for the log.
func (i *environmentInjector) randomLink() (*link, string) {
	n := i.fleet.nodes[i.random.IntN(len(i.fleet.nodes))]
	runnerIndex := i.random.IntN(len(i.fleet.runnerLinks))
	switch i.random.IntN(5) {
	case 0:
		return n.front, "clients to " + n.name
	case 1:
		return n.store, n.name + " to the store"
	case 2:
		return n.cloud, n.name + " to the cloud"
	default:
		return i.fleet.runnerLinks[runnerIndex], "all connections to " + i.fleet.runners[runnerIndex].ID
	}
}

// inject injects a link fault with a probability of 5/9 and a clock fault with
// 1/9.
func (i *environmentInjector) inject() {
	switch i.random.IntN(9) {
	case 0, 1, 2:
	case 3:
		i.shiftClock()
	default:
		i.injectLinkFault()
	}
}

// shiftClock shifts the wall clock of the first daemon by up to one minute in
// either direction for the duration of the fault. Only one daemon is affected,
// because the system relies on the majority of the clocks being right.
func (i *environmentInjector) shiftClock() {
	n := i.fleet.nodes[0]
	offset := time.Duration(i.random.IntN(120_000)-60_000) * time.Millisecond
	setOffset := func(d time.Duration) {
		if err := n.setClock(d); err != nil {
			i.fleet.t.Errorf("setting the clock of %s: %v", n.name, err)
		}
	}
	setOffset(offset)
	i.scheduleEnd(i.faultDuration(), func() { setOffset(0) })
	i.log = append(i.log, n.name+": clock shifted by "+offset.String())
}

// faultDuration returns a random duration from 200 ms to 2.5 s.
func (i *environmentInjector) faultDuration() time.Duration {
	return time.Duration(200+i.random.IntN(2300)) * time.Millisecond
}

// injectLinkFault resets the open connections of a random link or applies one of
// linkFaults to it.
func (i *environmentInjector) injectLinkFault() {
	l, name := i.randomLink()
	fault := i.random.IntN(len(linkFaultNames) + 2)
	if fault >= len(linkFaultNames) {
		l.resetConns()
		i.log = append(i.log, name+": reset")
		return
	}
	faultName := linkFaultNames[fault]
	l.setState(linkFaults[faultName])
	i.scheduleEnd(i.faultDuration(), func() { l.setState(tcplink.State{}) })
	i.log = append(i.log, name+": "+faultName)
}
