package soak

import (
	"math/rand/v2"
	"time"
)

// crashPart is a part of prompts that crashes the runners of streams.
const crashPart = "bad"

// upstreamInjector injects faults of runners that go beyond single responses. It has a
// random source of its own, so that the faults of the other injectors stay the same for a
// seed.
type upstreamInjector struct {
	*injector
	random *rand.Rand
}

// inject crashes a runner, or makes it name a limit of requests per second for some time.
func (u *upstreamInjector) inject() {
	index := u.random.IntN(len(u.fleet.runners))
	r := u.fleet.runners[index]
	switch u.random.IntN(4) {
	case 0:
		u.fleet.processes[index].Crash()
		u.log = append(u.log, "runner "+r.ID+": crash")
	case 1:
		r.SetLimit(0.5 + 5*u.random.Float64())
		u.scheduleEnd(time.Duration(500+u.random.IntN(3000))*time.Millisecond, func() { r.SetLimit(0) })
		u.log = append(u.log, "runner "+r.ID+": limit")
	}
}
