package policytest

import "time"

// plainServer simulates an upstream of a plain service, which processes requests in a number
// of slots, in the order of their arrival.
type plainServer struct {
	events   *eventQueue
	slots    int
	work     time.Duration
	slowness func(at time.Duration) float64
	running  int
	waiting  []func()
	served   int
}

// submit calls onDone when the request is done.
func (p *plainServer) submit(onDone func()) {
	if p.running == p.slots {
		p.waiting = append(p.waiting, onDone)
		return
	}
	p.running++
	p.served++
	took := time.Duration(float64(p.work) * p.slowness(p.events.now))
	p.events.scheduleAfter(took, func() {
		p.running--
		if len(p.waiting) > 0 {
			next := p.waiting[0]
			p.waiting = p.waiting[1:]
			p.submit(next)
		}
		onDone()
	})
}
