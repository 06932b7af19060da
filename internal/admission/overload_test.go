package admission

import (
	"container/heap"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloadSim is a pool that answers work at a rate, first come first served, as
// seen by one admission controller. Arrivals exceed the rate from the beginning:
// the pattern of a pool that lost half of its upstreams.
type overloadSim struct {
	pool   *pool
	now    time.Time
	busyTo time.Time
	ends   simEnds
	rate   float64
	// late, inTime and refused count requests.
	late, inTime, refused int
}

type simEnd struct {
	at      time.Time
	request *Request
	sent    time.Time
}

type simEnds []simEnd

func (s simEnds) Len() int           { return len(s) }
func (s simEnds) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s simEnds) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *simEnds) Push(x any)        { *s = append(*s, x.(simEnd)) }
func (s *simEnds) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func (s *overloadSim) start(r *Request) {
	if s.busyTo.Before(s.now) {
		s.busyTo = s.now
	}
	s.busyTo = s.busyTo.Add(time.Duration(r.Cost / s.rate * float64(time.Second)))
	heap.Push(&s.ends, simEnd{at: s.busyTo, request: r, sent: s.now})
}

// until lets the answers come that are due by a time.
func (s *overloadSim) until(at time.Time) {
	for len(s.ends) > 0 && !s.ends[0].at.After(at) {
		e := heap.Pop(&s.ends).(simEnd)
		s.now = e.at
		if s.now.After(e.request.FirstBy) {
			s.late++
		} else {
			s.inTime++
		}
		s.pool.ended(e.request, Outcome{OK: true, First: s.now.Sub(e.sent), Total: s.now.Sub(e.sent)}, s.now)
		s.grant()
	}
	s.now = at
	s.grant()
}

func (s *overloadSim) grant() {
	for _, w := range s.pool.grant(s.now) {
		if !w.granted {
			s.refused++
			continue
		}
		s.start(&w.req)
	}
}

func (s *overloadSim) arrive(r *Request) {
	w, displaced, rule, _ := s.pool.arrive(r, s.now)
	switch {
	case displaced != nil:
		s.refused++
	case w != nil:
	case rule == RuleAdmitted:
		s.start(r)
	default:
		s.refused++
	}
}

// runOverload sends requests at twice the rate that the pool can answer.
func runOverload(work *workLimit) *overloadSim {
	p := newPool(DefaultMaxWaiting, DefaultMaxPerWorkspace)
	p.work = work
	p.minRetryAfter = 100 * time.Millisecond
	s := &overloadSim{pool: p, now: start, rate: 50_000}
	const requests, cost, target = 1000, 2500, 400 * time.Millisecond
	for i := range requests {
		s.until(start.Add(time.Duration(i) * 25 * time.Millisecond))
		s.arrive(&Request{
			ID: "r", Workspace: "w", Class: "c", Cost: cost, AcceptedAt: s.now, FirstBy: s.now.Add(target),
			FirstTarget: target, Within: 0.95, Deadline: s.now.Add(5 * time.Second),
		})
	}
	return s
}

// Guards against answering everybody late when a pool gets twice what it can
// answer: the work limit must keep most of its capacity for answers in time.
func TestWorkLimitUnderLastingOverload(t *testing.T) {
	with, without := runOverload(newWorkLimit()), runOverload(nil)
	// Half of the requests can be answered in time at best.
	assert.Assert(t, with.inTime >= 350, "in time %d, late %d, refused %d of 1000", with.inTime, with.late, with.refused)
	assert.Assert(t, with.late <= with.inTime/4, "in time %d, late %d", with.inTime, with.late)
	assert.Assert(t, without.inTime < with.inTime/2, "without the work limit %d are in time, with it %d", without.inTime, with.inTime)
}

// Guards against holding back work while answers are early.
func TestWorkLimitIsOpenWithoutOverload(t *testing.T) {
	l := newWorkLimit()
	now := start
	for range 200 {
		l.sent(1000, time.Second)
		now = now.Add(50 * time.Millisecond)
		l.answered(1000, time.Second, 100*time.Millisecond, now)
	}
	l.sent(1e9, time.Second)
	assert.Assert(t, l.free())
}

// Guards against a limit that stays low after the overload has passed, and
// against one that ignores the loss of upstreams.
func TestWorkLimitRecovers(t *testing.T) {
	l := newWorkLimit()
	l.pool(8)
	now := start
	for range 10 {
		l.sent(1000, time.Second)
	}
	for range 10 {
		now = now.Add(250 * time.Millisecond)
		l.answered(1000, time.Second, 2*time.Second, now)
	}
	low := l.value
	assert.Assert(t, low < 10_000, "limit %g", low)
	l.pool(4)
	assert.Equal(t, l.value, low/2)
	for range 100 {
		for l.free() {
			l.sent(1000, time.Second)
		}
		now = now.Add(250 * time.Millisecond)
		l.answered(1000, time.Second, 100*time.Millisecond, now)
	}
	assert.Assert(t, l.value > 5*low, "limit %g after %g", l.value, low)
}
