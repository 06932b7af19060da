package admission

import (
	"container/heap"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloadSim simulates a pool that answers requests at a constant rate, first
// come first served, behind one admission controller. Arrivals exceed the rate
// from the start, as in a pool that lost half of its upstreams.
type overloadSim struct {
	pool      *pool
	now       time.Time
	busyUntil time.Time
	ends      simEnds
	rate      float64
	// late, inTime and refused are counts of requests.
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
	if s.busyUntil.Before(s.now) {
		s.busyUntil = s.now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(r.Cost / s.rate * float64(time.Second)))
	heap.Push(&s.ends, simEnd{at: s.busyUntil, request: r, sent: s.now})
}

// advanceTo advances the clock to a time and delivers the answers that are due
// by then.
func (s *overloadSim) advanceTo(at time.Time) {
	for len(s.ends) > 0 && !s.ends[0].at.After(at) {
		e := heap.Pop(&s.ends).(simEnd)
		s.now = e.at
		if s.now.After(e.request.FirstDeadline) {
			s.late++
		} else {
			s.inTime++
		}
		s.pool.recordEnd(e.request, Outcome{OK: true, FirstLatency: s.now.Sub(e.sent), Total: s.now.Sub(e.sent)}, s.now)
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

func (s *overloadSim) submit(r *Request) {
	w, displaced, rule, _ := s.pool.admitOrQueue(r, s.now)
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
	p.workLimit = work
	p.minRetryAfter = 100 * time.Millisecond
	s := &overloadSim{pool: p, now: testStart, rate: 50_000}
	const requests, cost, target = 1000, 2500, 400 * time.Millisecond
	for i := range requests {
		s.advanceTo(testStart.Add(time.Duration(i) * 25 * time.Millisecond))
		s.submit(&Request{
			ID: "r", Workspace: "w", Class: "c", Cost: cost, AcceptedAt: s.now, FirstDeadline: s.now.Add(target),
			FirstTarget: target, Within: 0.95, Deadline: s.now.Add(5 * time.Second),
		})
	}
	return s
}

// Guards against answering all requests late when a pool receives twice the
// load that it can answer: the work limit must reserve most of the capacity for
// answers in time.
func TestWorkLimitUnderLastingOverload(t *testing.T) {
	limited, unlimited := runOverload(newWorkLimit()), runOverload(nil)
	// At best, half of the requests can be answered in time.
	assert.Assert(t, limited.inTime >= 350, "in time %d, late %d, refused %d of 1000", limited.inTime, limited.late, limited.refused)
	assert.Assert(t, limited.late <= limited.inTime/4, "in time %d, late %d", limited.inTime, limited.late)
	assert.Assert(t, unlimited.inTime < limited.inTime/2, "without the work limit %d are in time, with it %d", unlimited.inTime, limited.inTime)
}

// Guards against limiting work while answers are early.
func TestWorkLimitIsOpenWithoutOverload(t *testing.T) {
	l := newWorkLimit()
	now := testStart
	for range 200 {
		l.recordSent(1000, time.Second)
		now = now.Add(50 * time.Millisecond)
		l.recordFirstAnswer(1000, time.Second, 100*time.Millisecond, now)
	}
	l.recordSent(1e9, time.Second)
	assert.Assert(t, l.hasCapacity())
}

// Guards against a limit that stays low after the overload has ended, and
// against one that ignores the loss of upstreams.
func TestWorkLimitRecovers(t *testing.T) {
	l := newWorkLimit()
	l.setUpstreamCount(8)
	now := testStart
	for range 10 {
		l.recordSent(1000, time.Second)
	}
	for range 10 {
		now = now.Add(250 * time.Millisecond)
		l.recordFirstAnswer(1000, time.Second, 2*time.Second, now)
	}
	lowered := l.value
	assert.Assert(t, lowered < 10_000, "limit %g", lowered)
	l.setUpstreamCount(4)
	assert.Equal(t, l.value, lowered/2)
	for range 100 {
		for l.hasCapacity() {
			l.recordSent(1000, time.Second)
		}
		now = now.Add(250 * time.Millisecond)
		l.recordFirstAnswer(1000, time.Second, 100*time.Millisecond, now)
	}
	assert.Assert(t, l.value > 5*lowered, "limit %g after %g", l.value, lowered)
}
