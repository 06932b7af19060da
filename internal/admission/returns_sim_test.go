package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// simCaller is a caller that returns after refusals until its deadline.
type simCaller struct {
	class    string
	deadline time.Time
	// isImpatient callers return every 50 ms instead of after Retry-After.
	isImpatient, isServed, isLate bool
	attempts                      int
}

// returnSim makes the callers of a fleetSim return.
type returnSim struct {
	*fleetSim
	callers map[uint64]*simCaller
	due     map[int64][]*Request
	// patience is how long callers return.
	patience time.Duration
	// impatientShare is the share of impatient callers.
	impatientShare float64
}

func newReturnSim(f *fleetSim, patience time.Duration) *returnSim {
	s := &returnSim{fleetSim: f, callers: map[uint64]*simCaller{}, due: map[int64][]*Request{}, patience: patience}
	f.timeout = patience
	f.onStep = s.step
	f.onResult = s.refused
	f.onAnswer = func(r *Request) {
		if c := s.caller(r); s.now.After(r.FirstDeadline) {
			c.isLate = true
		} else {
			c.isServed = true
		}
	}
	return s
}

// caller returns the caller of a request, which is new if it is its first one.
func (s *returnSim) caller(r *Request) *simCaller {
	key := r.Key()
	c := s.callers[key]
	if c == nil {
		c = &simCaller{class: r.Class, deadline: r.AcceptedAt.Add(s.patience), isImpatient: s.random.Float64() < s.impatientShare}
		s.callers[key] = c
	}
	return c
}

func (s *returnSim) refused(_ int, r *Request, _ Rule, retryAfter time.Duration) {
	c := s.caller(r)
	if c.isImpatient {
		retryAfter = 50 * time.Millisecond
	}
	at := s.now.Add(retryAfter)
	if at.After(c.deadline.Add(-r.FirstTarget)) {
		return
	}
	again := *r
	again.ID += "'"
	again.isReturning = false
	tick := (at.UnixNano() + int64(10*time.Millisecond) - 1) / int64(10*time.Millisecond)
	s.due[tick] = append(s.due[tick], &again)
}

func (s *returnSim) step() {
	s.exchange()
	tick := s.now.UnixNano() / int64(10*time.Millisecond)
	due := s.due[tick]
	delete(s.due, tick)
	for _, r := range due {
		s.caller(r).attempts++
		r.AcceptedAt, r.FirstDeadline = s.now, s.now.Add(r.FirstTarget)
		s.submit(s.random.IntN(len(s.daemons)), r)
	}
}

// served returns the share of the callers of a class that were served, by patience.
func (s *returnSim) served(class string, isImpatient bool) float64 {
	served, n := 0, 0
	for _, c := range s.callers {
		if c.class != class || c.isImpatient != isImpatient {
			continue
		}
		n++
		if c.isServed {
			served++
		}
	}
	return float64(served) / float64(max(1, n))
}

// Guards against a fleet that comes back after the loss of all daemons and is overloaded by
// all callers of the outage at once.
func TestAllCallersReturnAfterALossOfAllDaemons(t *testing.T) {
	s := newReturnSim(newFleetSim(fleetDaemons, simUpstreams, simCapacity), 4*time.Second)
	classes := longBurst(1)
	for i := range classes {
		perSecond := classes[i].perSecond(0)
		classes[i].perSecond = func(at time.Duration) float64 {
			if at < 200*time.Millisecond {
				// The callers of 2 s.
				return 10 * perSecond
			}
			return perSecond
		}
	}
	s.run(8*time.Second, classes...)
	late := 0
	for _, c := range s.callers {
		if c.isLate {
			late++
		}
	}
	chats, middle, long := s.served("chat", false), s.served("middle", false), s.served("long", false)
	t.Logf("served: chats %.3f, middle %.3f, long %.3f; late %d of %d", chats, middle, long, late, len(s.callers))
	assert.Assert(t, chats > 0.8 && middle > 0.8 && long > 0.5, "chats %.3f, middle %.3f, long %.3f", chats, middle, long)
}

// Guards against callers that gain by returning at once and often, and against delays beyond
// a third of what is left of a deadline.
func TestImpatientCallersGainNothing(t *testing.T) {
	s := newReturnSim(newFleetSim(fleetDaemons, simUpstreams, simCapacity), 4*time.Second)
	s.impatientShare = 0.1
	next := s.onResult
	s.onResult = func(daemon int, r *Request, rule Rule, retryAfter time.Duration) {
		assert.Assert(t, retryAfter <= max(0, r.Deadline.Sub(s.now)/3)+time.Millisecond, "%s of %s", retryAfter, r.Deadline.Sub(s.now))
		next(daemon, r, rule, retryAfter)
	}
	classes := longBurst(1)
	classes[2].perSecond = constant(2 * classes[2].perSecond(0))
	s.run(12*time.Second, classes...)
	attempts, n := map[bool]int{}, map[bool]int{}
	for _, c := range s.callers {
		if c.class == "long" {
			attempts[c.isImpatient] += c.attempts
			n[c.isImpatient]++
		}
	}
	patient, impatient := s.served("long", false), s.served("long", true)
	t.Logf("served: patient %.3f with %.1f returns each, impatient %.3f with %.1f", patient, float64(attempts[false])/float64(n[false]), impatient, float64(attempts[true])/float64(n[true]))
	assert.Assert(t, impatient < patient+0.1, "patient %.3f, impatient %.3f", patient, impatient)
}

// Guards against callers of all daemons that return at the same moment, and against moments
// that another daemon does not recognize.
func TestReturnMomentsAreSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	buckets := [10]int{}
	for i := range 2000 {
		key := xxhash.Sum64String(fmt.Sprint(i))
		at := testStart.Add(time.Duration(random.Int64N(int64(time.Hour))))
		moment := returnMoment(key, time.Second, at)
		assert.Assert(t, !moment.Before(at) && moment.Sub(at) < time.Second)
		assert.Assert(t, isReturnMoment(key, time.Second, moment) && isReturnMoment(key, time.Second, moment.Add(30*time.Millisecond)))
		assert.Assert(t, !isReturnMoment(key, time.Second, moment.Add(-100*time.Millisecond)) && !isReturnMoment(key, time.Second, moment.Add(100*time.Millisecond)))
		buckets[moment.UnixNano()%int64(time.Second)/int64(100*time.Millisecond)]++
	}
	for _, n := range buckets {
		assert.Assert(t, n > 140 && n < 260, "%v", buckets)
	}
}
