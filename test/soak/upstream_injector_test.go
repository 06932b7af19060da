package soak

import (
	"math/rand/v2"
	"strconv"
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

// inject crashes a runner, or makes it name a limit of requests per second, ask for backoffs or
// say that it leaves for some time.
func (u *upstreamInjector) inject() {
	index := u.random.IntN(len(u.fleet.runners))
	r := u.fleet.runners[index]
	switch u.random.IntN(6) {
	case 0:
		u.fleet.processes[index].Crash()
		u.log = append(u.log, "runner "+r.ID+": crash")
	case 1:
		r.SetLimit(0.5 + 5*u.random.Float64())
		u.scheduleEnd(time.Duration(500+u.random.IntN(3000))*time.Millisecond, func() { r.SetLimit(0) })
		u.log = append(u.log, "runner "+r.ID+": limit")
	case 2:
		r.SetBackoff(strconv.FormatFloat(0.5+2*u.random.Float64(), 'f', 2, 64))
		u.scheduleEnd(time.Duration(300+u.random.IntN(2500))*time.Millisecond, func() { r.SetBackoff("") })
		u.log = append(u.log, "runner "+r.ID+": backoff")
	case 3:
		u.leave(index)
	}
}

// leave makes a runner say that it leaves for some time, and then start again under its name.
func (u *upstreamInjector) leave(index int) {
	r := u.fleet.runners[index]
	d := departure{runner: r, link: u.fleet.runnerLinks[index], from: time.Now()}
	r.SetLeaving(true)
	u.scheduleEnd(time.Duration(1000+u.random.IntN(6000))*time.Millisecond, func() {
		r.SetLeaving(false)
		u.fleet.processes[index].Crash()
		u.fleet.mu.Lock()
		d.to = time.Now()
		u.fleet.departures = append(u.fleet.departures, d)
		u.fleet.born[index]++
		u.fleet.mu.Unlock()
		u.fleet.writeRunners()
	})
	u.log = append(u.log, "runner "+r.ID+": leaves")
}
