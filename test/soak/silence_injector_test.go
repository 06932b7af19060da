package soak

import "math/rand/v2"

// silenceInjector makes open connections silent for good, while new ones work. Its random
// numbers are independent of the embedded injector's, so the other faults of a seed do not
// depend on it.
type silenceInjector struct {
	*injector
	random *rand.Rand
}

// inject silences, in a quarter of the rounds, the open connections of all daemons to the
// store, or those of one daemon to the platform, or all to one runner.
func (i *silenceInjector) inject() {
	switch i.random.IntN(12) {
	case 0:
		for _, n := range i.fleet.nodes {
			n.store.silenceOpen()
		}
		i.log = append(i.log, "all daemons to the store: open connections silent for good")
	case 1:
		n := i.fleet.nodes[i.random.IntN(len(i.fleet.nodes))]
		n.store.silenceOpen()
		n.cloud.silenceOpen()
		i.log = append(i.log, n.name+" to the platform: open connections silent for good")
	case 2:
		index := i.random.IntN(len(i.fleet.runnerLinks))
		i.fleet.runnerLinks[index].silenceOpen()
		i.log = append(i.log, "all connections to "+i.fleet.runners[index].ID+": silent for good")
	}
}
