package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// loadClass is a class of requests in a load test.
type loadClass struct {
	name     string
	priority int
	target   time.Duration
	// cost is the mean work; the work of a request is between 0.5 and 1.5 times that.
	cost float64
	// perSecond is the number of arrivals per second at all daemons at a time.
	perSecond func(at time.Duration) float64
	// delay is a time that each answer takes regardless of the load.
	delay time.Duration
	// workspace returns the workspace of an arrival.
	workspace func(at time.Duration, random *rand.Rand) string
}

// loadCount counts the results of a class, a workspace or a daemon.
type loadCount struct{ arrived, inTime, late, refused int }

func (c *loadCount) lost() float64 { return float64(c.late+c.refused) / float64(max(1, c.arrived)) }

// loadSim runs several daemons in front of the same upstreams in simulated time, with
// the decision code of this package. Each upstream answers first come first served, so
// that work that waits there delays all classes alike, as at engines that do not know
// classes. A daemon does not see the queues of the upstreams.
type loadSim struct {
	random    *rand.Rand
	daemons   []*pool
	now       time.Time
	ends      loadEnds
	busyUntil []time.Time
	// rate is the work per second of one upstream, and live the number of upstreams.
	rate float64
	live int
	// delays are the constant delays of the classes.
	delays map[string]time.Duration
	// timeout is the time that callers have.
	timeout time.Duration
	// measureFrom is the time from which results count.
	measureFrom                  time.Time
	byClass, byWorkspace, byNode map[string]*loadCount
	// onStep is called every 10 ms.
	onStep func()
	// onResult is called with each refusal or answer, if it is set.
	onResult func(daemon int, r *Request, rule Rule, retryAfter time.Duration)
	// onAnswer is called with each answer, if it is set.
	onAnswer func(r *Request)
}

type loadEnd struct {
	at, sent time.Time
	daemon   int
	request  *Request
}

type loadEnds []loadEnd

func (s loadEnds) Len() int           { return len(s) }
func (s loadEnds) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s loadEnds) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *loadEnds) Push(x any)        { *s = append(*s, x.(loadEnd)) }
func (s *loadEnds) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newLoadSim(daemons, upstreams int, capacity float64, isRanked bool) *loadSim {
	s := &loadSim{
		random: rand.New(rand.NewPCG(1, 2)), now: testStart, timeout: 10 * time.Second, rate: capacity / float64(upstreams), live: upstreams,
		busyUntil: make([]time.Time, upstreams),
		byClass:   map[string]*loadCount{}, byWorkspace: map[string]*loadCount{}, byNode: map[string]*loadCount{},
	}
	for range daemons {
		p := newPool(DefaultMaxWaiting, DefaultMaxPerWorkspace)
		p.workLimit, p.minRetryAfter = newWorkLimit(), 150*time.Millisecond
		if isRanked {
			p.ranks = newRankLimit(nil)
		}
		p.setUpstreamCount(upstreams)
		s.daemons = append(s.daemons, p)
	}
	return s
}

func (s *loadSim) counts(daemon int, r *Request) [3]*loadCount {
	var out [3]*loadCount
	for i, m := range []struct {
		in  map[string]*loadCount
		key string
	}{{s.byClass, r.Class}, {s.byWorkspace, r.Workspace}, {s.byNode, fmt.Sprint(daemon)}} {
		if m.in[m.key] == nil {
			m.in[m.key] = &loadCount{}
		}
		out[i] = m.in[m.key]
	}
	return out
}

func (s *loadSim) count(daemon int, r *Request, add func(*loadCount)) {
	if r.AcceptedAt.Before(s.measureFrom) {
		return
	}
	for _, c := range s.counts(daemon, r) {
		add(c)
	}
}

// start sends a request to the better of two random upstreams.
func (s *loadSim) start(daemon int, r *Request) {
	u, v := s.random.IntN(s.live), s.random.IntN(s.live)
	if s.busyUntil[v].Before(s.busyUntil[u]) {
		u = v
	}
	if s.busyUntil[u].Before(s.now) {
		s.busyUntil[u] = s.now
	}
	s.busyUntil[u] = s.busyUntil[u].Add(time.Duration(r.Cost / s.rate * float64(time.Second)))
	heap.Push(&s.ends, loadEnd{at: s.busyUntil[u].Add(10*time.Millisecond + s.delays[r.Class]), sent: s.now, daemon: daemon, request: r})
}

func (s *loadSim) refuse(daemon int, r *Request, rule Rule, retryAfter time.Duration) {
	s.count(daemon, r, func(c *loadCount) { c.refused++ })
	if s.onResult != nil {
		s.onResult(daemon, r, rule, retryAfter)
	}
}

func (s *loadSim) grant(daemon int) {
	for _, w := range s.daemons[daemon].grant(s.now) {
		if !w.granted {
			s.refuse(daemon, &w.req, w.refusedBy, w.retryAfter)
			continue
		}
		s.start(daemon, &w.req)
	}
}

// advanceTo delivers the answers that are due by a time.
func (s *loadSim) advanceTo(at time.Time) {
	for len(s.ends) > 0 && !s.ends[0].at.After(at) {
		e := heap.Pop(&s.ends).(loadEnd)
		s.now = e.at
		s.count(e.daemon, e.request, func(c *loadCount) {
			if s.now.After(e.request.FirstDeadline) {
				c.late++
			} else {
				c.inTime++
			}
		})
		if s.onAnswer != nil {
			s.onAnswer(e.request)
		}
		first := s.now.Sub(e.sent)
		s.daemons[e.daemon].recordEnd(e.request, Outcome{OK: true, FirstLatency: first, Total: first}, s.now)
		s.grant(e.daemon)
	}
	s.now = at
}

func (s *loadSim) submit(daemon int, r *Request) {
	s.count(daemon, r, func(c *loadCount) { c.arrived++ })
	p := s.daemons[daemon]
	w, displaced, rule, retryAfter := p.admitOrQueue(r, s.now)
	if displaced != nil {
		s.refuse(daemon, &displaced.req, RuleQueueFull, displaced.retryAfter)
	}
	switch {
	case w != nil:
		s.grant(daemon)
	case rule == RuleAdmitted:
		s.start(daemon, r)
	default:
		s.refuse(daemon, r, rule, retryAfter)
	}
}

// newRequest returns a request that arrives now.
func (s *loadSim) newRequest(c *loadClass, at time.Duration, id int) *Request {
	workspace := "w"
	if c.workspace != nil {
		workspace = c.workspace(at, s.random)
	}
	return &Request{
		ID: fmt.Sprint(id), Workspace: workspace, Class: c.name, Pool: "p", Priority: c.priority,
		Cost: c.cost * (0.5 + s.random.Float64()), AcceptedAt: s.now, FirstTarget: c.target,
		FirstDeadline: s.now.Add(c.target), Within: 0.95, Deadline: s.now.Add(s.timeout),
		Key: sync.OnceValue(func() uint64 { return xxhash.Sum64String(strconv.Itoa(id)) }),
	}
}

// run sends the load for a time, with the daemons chosen at random.
func (s *loadSim) run(duration time.Duration, classes ...loadClass) {
	const step = 10 * time.Millisecond
	s.delays = map[string]time.Duration{}
	for i := range classes {
		s.delays[classes[i].name] = classes[i].delay
	}
	id := 0
	for at := time.Duration(0); at < duration; at += step {
		s.advanceTo(testStart.Add(at))
		if s.onStep != nil {
			s.onStep()
		}
		for i := range classes {
			c := &classes[i]
			arrivals := c.perSecond(at) * step.Seconds()
			for ; arrivals > 0; arrivals-- {
				if s.random.Float64() < min(1, arrivals) {
					id++
					s.submit(s.random.IntN(len(s.daemons)), s.newRequest(c, at, id))
				}
			}
		}
		for i, p := range s.daemons {
			// The controller ticks while requests wait.
			if p.waiting > 0 {
				p.tick(s.now)
				s.grant(i)
			}
		}
	}
	s.advanceTo(testStart.Add(duration + 10*time.Second))
	for i := range s.daemons {
		s.grant(i)
	}
}

// lose makes upstreams disappear; daemons learn of it as from the list of upstreams.
func (s *loadSim) lose(n int) {
	s.live -= n
	for _, p := range s.daemons {
		p.setUpstreamCount(s.live)
	}
}

func (s *loadSim) log(t *testing.T, title string) {
	t.Helper()
	for name, c := range s.byClass {
		t.Logf("%s: %-7s arrived %5d, in time %5d, late %4d, refused %5d", title, name, c.arrived, c.inTime, c.late, c.refused)
	}
}

// constant returns a constant number of arrivals per second.
func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burst returns a number of arrivals per second that is multiplied in a span.
func burst(perSecond, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return perSecond * factor
		}
		return perSecond
	}
}
