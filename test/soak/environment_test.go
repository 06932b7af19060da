package soak

import (
	"math/rand/v2"
	"time"
)

// environmentInjector plays faults of the network and of clocks by seed, with
// random numbers of its own: the other faults of a seed are the same with it and
// without.
type environmentInjector struct {
	*injector
	random *rand.Rand
}

// linkStates are the faults of a link that last; each ends with the zero value.
var linkStates = map[string]linkState{
	"requests held": {holdRequests: true},
	"answers held":  {holdAnswers: true},
	"silent":        {holdRequests: true, holdAnswers: true},
	"slow":          {delay: 40 * time.Millisecond},
	"very slow":     {delay: 400 * time.Millisecond},
}

var linkStateNames = []string{"requests held", "answers held", "silent", "slow", "very slow"}

// pick returns a link and its name.
func (i *environmentInjector) pick() (*link, string) {
	n := i.fleet.nodes[i.random.IntN(len(i.fleet.nodes))]
	r := i.random.IntN(len(i.fleet.runnerLinks))
	switch i.random.IntN(5) {
	case 0:
		return n.front, "clients to " + n.name
	case 1:
		return n.store, n.name + " to the store"
	case 2:
		return n.cloud, n.name + " to the cloud"
	default:
		return i.fleet.runnerLinks[r], "all to " + i.fleet.runners[r].ID
	}
}

// inject plays a fault in two steps of three.
func (i *environmentInjector) inject() {
	switch i.random.IntN(9) {
	case 0, 1, 2:
	case 3:
		i.moveClock()
	default:
		i.disturbLink()
	}
}

// moveClock lets the time of day of the first daemon jump for a while. It is one
// daemon of several, as the system relies on what most clocks say.
func (i *environmentInjector) moveClock() {
	n := i.fleet.nodes[0]
	offset := time.Duration(i.random.IntN(120_000)-60_000) * time.Millisecond
	move := func(d time.Duration) {
		if err := n.setClock(d); err != nil {
			i.fleet.t.Errorf("clock of %s: %v", n.name, err)
		}
	}
	move(offset)
	i.later(i.lasting(), func() { move(0) })
	i.log = append(i.log, n.name+": clock "+offset.String())
}

// lasting returns for how long a fault lasts.
func (i *environmentInjector) lasting() time.Duration {
	return time.Duration(200+i.random.IntN(2300)) * time.Millisecond
}

func (i *environmentInjector) disturbLink() {
	l, name := i.pick()
	fault := i.random.IntN(len(linkStateNames) + 2)
	if fault >= len(linkStateNames) {
		l.reset()
		i.log = append(i.log, name+": reset")
		return
	}
	state := linkStateNames[fault]
	l.set(linkStates[state])
	i.later(i.lasting(), func() { l.set(linkState{}) })
	i.log = append(i.log, name+": "+state)
}
