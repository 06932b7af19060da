package admission

import (
	"fmt"
	"time"
)

const (
	// DefaultMaxWaiting bounds the waiting requests of a pool.
	DefaultMaxWaiting = 2048
	// DefaultMaxPerWorkspace bounds the waiting requests of a workspace in a
	// class. Half of the pool's queue leaves room for others, and a large
	// workspace alone may bring most of a daemon's requests.
	DefaultMaxPerWorkspace = DefaultMaxWaiting / 2
	// agedGrant is how often a place goes to the oldest waiting request of any
	// class, so that lower classes make progress under a lasting overload.
	agedGrant = 10
	// learnShare is the weight of a new observation in the running means.
	learnShare = 0.05
	// delayShare is that of the delays at the upstreams, which come and go with
	// the load within seconds.
	delayShare = 0.2
	// queueDelay is the least time without a first token after which reported
	// waiting requests count as a queue. A request waits for the next step of a
	// batch as well; while traffic rises, those are a large share of the running
	// ones.
	queueDelay    = 500 * time.Millisecond
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// pool decides about the requests of one pool. It performs no I/O and takes
// the time as an argument; the controller guards it.
type pool struct {
	maxWaiting      int
	maxPerWorkspace int
	limit           limit
	// work is nil unless work is held back while first answers come late.
	work          *workLimit
	minRetryAfter time.Duration
	// ticking says that a look at the limit is scheduled.
	ticking  bool
	inFlight int
	// unanswered are the attempts among them that have no first token.
	unanswered unanswered
	classes    []*classQueue
	waiting    int
	grants     int
	// meanTotal and meanCost are running means over answered attempts, in
	// seconds without delays and in tokens.
	meanTotal float64
	meanCost  float64
	// service holds the running total times per class, without delays.
	service map[string]*serviceTime
	// delay is the time beyond the target that first tokens take, which is
	// mostly spent in the queue of an upstream.
	delay serviceTime
	// sweptAt is when the waiting requests were last checked.
	sweptAt time.Time
}

func newPool(maxWaiting, maxPerWorkspace int) *pool {
	return &pool{maxWaiting: maxWaiting, maxPerWorkspace: maxPerWorkspace, limit: newLimit(), service: map[string]*serviceTime{}, minRetryAfter: minRetryAfter}
}

func (p *pool) class(r *Request) *classQueue {
	for _, q := range p.classes {
		if q.name == r.Class {
			return q
		}
	}
	q := &classQueue{name: r.Class, priority: r.Priority}
	p.classes = append(p.classes, q)
	return q
}

// enter takes a place without regard to the limit.
func (p *pool) enter(r *Request, now time.Time) {
	p.inFlight++
	if p.work != nil {
		p.work.sent(r.cost(), r.FirstTarget)
	}
	p.unanswered.started(now)
	p.limit.started(p.inFlight)
}

// arrive admits a request at once, queues it, or refuses it with the rule and
// the advised delay. The displaced waiter, if any, must be told by the caller.
func (p *pool) arrive(r *Request, now time.Time) (w, displaced *waiter, rule Rule, retryAfter time.Duration) {
	p.tick(now)
	service := p.expectedService(r)
	if p.waiting == 0 && p.free() {
		// A new request may use a free place whatever is expected, so that wrong
		// expectations are corrected.
		if returned := !r.AcceptedAt.IsZero() && now.Sub(r.AcceptedAt) > limitWindow; returned && late(r, service, now) {
			return nil, nil, RuleShed, p.minRetryAfter
		}
		p.enter(r, now)
		return nil, nil, RuleAdmitted, 0
	}
	q := p.class(r)
	wait := p.expectedWait(q, r)
	if !r.Deadline.IsZero() && now.Add(wait+service).After(r.Deadline) || !r.FirstBy.IsZero() && now.Add(wait).After(p.startBy(r)) {
		return nil, nil, RuleShed, p.advise(wait)
	}
	if ws := q.workspace(r.Workspace); ws != nil && len(ws.waiters) >= p.maxPerWorkspace {
		return nil, nil, RuleFull, p.advise(wait)
	}
	if p.waiting >= p.maxWaiting {
		if displaced = p.displace(q, r); displaced == nil {
			return nil, nil, RuleFull, p.advise(wait)
		}
		displaced.refusedBy, displaced.retryAfter = RuleFull, p.advise(wait)
	}
	w = &waiter{req: *r, arrived: now, done: make(chan struct{})}
	if !r.Deadline.IsZero() {
		w.latest = r.Deadline.Add(-service)
	}
	if !r.FirstBy.IsZero() {
		if by := p.startBy(r); w.latest.IsZero() || by.Before(w.latest) {
			w.latest = by
		}
	}
	q.push(w)
	p.waiting++
	return w, displaced, "", 0
}

// displace makes room in a full pool by removing the newest request of the
// longest queue in the lowest class, if that is less entitled than r.
func (p *pool) displace(own *classQueue, r *Request) *waiter {
	var lowest *classQueue
	for _, q := range p.classes {
		if q.waiting > 0 && (lowest == nil || q.priority < lowest.priority) {
			lowest = q
		}
	}
	if lowest == nil || lowest.priority > r.Priority {
		return nil
	}
	ws := lowest.longest()
	if lowest.priority == r.Priority {
		mine := 0
		if held := own.workspace(r.Workspace); held != nil {
			mine = len(held.waiters)
		}
		if len(ws.waiters) <= mine+1 {
			return nil
		}
	}
	w := ws.waiters[len(ws.waiters)-1]
	p.remove(w)
	return w
}

func (p *pool) remove(w *waiter) {
	p.class(&w.req).remove(w)
	p.waiting--
}

// grant returns the waiters that may start now, and those whose turn it is but
// which would end too late: what was expected when they arrived may have been
// less, or not known.
func (p *pool) grant(now time.Time) []*waiter {
	var decided []*waiter
	for p.waiting > 0 && p.free() {
		w := p.nextClass().pop()
		p.waiting--
		decided = append(decided, w)
		if late(&w.req, p.expectedService(&w.req), now) || !w.latest.IsZero() && now.After(w.latest) {
			w.refusedBy, w.retryAfter = RuleShed, p.minRetryAfter
			continue
		}
		p.grants++
		p.enter(&w.req, now)
		w.granted = true
	}
	return decided
}

// nextClass returns the waiting class of the highest priority, or now and then
// the one with the oldest request.
func (p *pool) nextClass() *classQueue {
	var found *classQueue
	aged := p.grants%agedGrant == agedGrant-1
	for _, q := range p.classes {
		switch {
		case q.waiting == 0:
		case found == nil:
			found = q
		case aged:
			if q.oldest().arrived.Before(found.oldest().arrived) {
				found = q
			}
		case q.priority > found.priority:
			found = q
		}
	}
	return found
}

func (p *pool) ended(r *Request, o Outcome, now time.Time) {
	p.limit.ended(r, o, p.inFlight, now)
	if p.work != nil && !o.FirstReported {
		took := o.First
		if !o.OK {
			took = 0
		}
		p.work.answered(r.cost(), r.FirstTarget, took, now)
	}
	p.leave(o.FirstReported)
	if !o.OK || o.Total <= 0 {
		return
	}
	delay := delayOf(r, o.First)
	if p.outdated(delay, now.Add(-o.Total)) {
		return
	}
	if !o.FirstReported {
		p.delay.observe(delay.Seconds(), delayShare)
	}
	total := (o.Total - delay).Seconds()
	p.meanTotal = learn(p.meanTotal, total)
	p.meanCost = learn(p.meanCost, r.cost())
	s := p.service[r.Class]
	if s == nil {
		s = &serviceTime{}
		p.service[r.Class] = s
	}
	s.observe(total, learnShare)
}

// left frees the place of a request that was not sent after all.
func (p *pool) left(r *Request, answered bool, now time.Time) {
	if p.work != nil {
		p.work.answered(r.cost(), r.FirstTarget, 0, now)
	}
	p.leave(answered)
}

// leave frees a place.
func (p *pool) leave(answered bool) {
	p.inFlight--
	if !answered {
		p.unanswered.answered()
	}
}

// reported takes over what the upstreams report together.
func (p *pool) reported(running, waiting int, now time.Time) {
	if p.unanswered.age(now) < queueDelay {
		waiting = 0
	}
	p.limit.reported(running, waiting, p.inFlight, now)
}

// firstToken takes the time to the first token of an open attempt into account.
func (p *pool) firstToken(r *Request, first time.Duration, now time.Time) {
	p.unanswered.answered()
	if p.work != nil {
		p.work.answered(r.cost(), r.FirstTarget, first, now)
	}
	p.limit.first(r, first, p.inFlight, now)
	if delay := delayOf(r, first); !p.outdated(delay, now.Add(-first)) {
		p.delay.observe(delay.Seconds(), delayShare)
	}
}

// outdated reports whether an attempt was delayed by a queue for which the limit
// has been lowered since it was sent: the next ones will not meet that queue. A
// burst whose first attempts waited for 4 s at the upstreams would otherwise
// have all others refused, although they could be answered in time.
func (p *pool) outdated(delay time.Duration, sent time.Time) bool {
	return delay > 0 && sent.Before(p.limit.loweredAt)
}

// delayOf returns the part of the time to the first token that is beyond the
// target.
func delayOf(r *Request, first time.Duration) time.Duration {
	if r.FirstTarget <= 0 {
		return 0
	}
	return max(0, first-r.FirstTarget)
}

// expectedService estimates the time from dispatch to the end that a request
// must be left, or 0 when nothing is known. A request that asks for less than
// the mean takes less.
func (p *pool) expectedService(r *Request) time.Duration {
	s := p.service[r.Class]
	if s == nil || p.meanCost == 0 {
		return 0
	}
	scale := min(1, r.cost()/p.meanCost)
	return time.Duration((s.most()*scale + p.delay.most()) * float64(time.Second))
}

func learn(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + learnShare*(value-mean)
}

// expectedWait estimates the time in the queue from the work that goes first
// and the throughput, which by Little's law is the limit over the mean time.
func (p *pool) expectedWait(q *classQueue, r *Request) time.Duration {
	if p.meanTotal == 0 || p.meanCost == 0 {
		return 0
	}
	before := q.costBefore(r.Workspace, r.cost())
	for _, other := range p.classes {
		if other != q && other.priority > r.Priority {
			before += other.cost()
		}
	}
	return p.waitBehind(before)
}

// waitBehind estimates the time until this much work has started. What is open
// beyond the limit ends first.
func (p *pool) waitBehind(cost float64) time.Duration {
	if p.work != nil {
		return p.work.wait(cost)
	}
	requests := cost/p.meanCost + max(0, float64(p.inFlight)-p.limit.value)
	return time.Duration(requests * p.meanTotal / max(1, p.limit.value) * float64(time.Second))
}

func (p *pool) advise(wait time.Duration) time.Duration {
	return min(max(wait, p.minRetryAfter), maxRetryAfter)
}

// holding names the rule that keeps a waiter waiting.
func (p *pool) holding(w *waiter) (Rule, string) {
	if i := w.queue.position(w); i > 0 {
		return RuleOwnQueue, fmt.Sprintf("%d earlier requests of workspace %s go first", i, w.req.Workspace)
	}
	for _, q := range p.classes {
		if q.waiting > 0 && q.priority > w.req.Priority {
			return RulePriority, fmt.Sprintf("%d requests of class %s with priority %d go first", q.waiting, q.name, q.priority)
		}
	}
	q := p.class(&w.req)
	if turn := q.ring[q.next]; turn != w.queue {
		return RuleFairness, fmt.Sprintf("workspace %s is next of %d workspaces in the round", turn.name, len(q.ring))
	}
	return RulePoolLimit, fmt.Sprintf("%d of %d places are taken", p.inFlight, p.limit.current())
}
