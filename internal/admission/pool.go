package admission

import "time"

const (
	// DefaultMaxWaiting bounds the waiting requests of a pool.
	DefaultMaxWaiting = 2048
	// DefaultMaxPerWorkspace bounds the waiting requests of a workspace in a
	// class. Half of the pool's queue leaves room for the other workspaces,
	// while a large workspace may send most of a daemon's requests.
	DefaultMaxPerWorkspace = DefaultMaxWaiting / 2
	// agedGrantInterval is the interval, in grants, at which a grant goes to the
	// oldest waiting request of any class, so that lower classes make progress
	// under a lasting overload.
	agedGrantInterval = 10
	// meanWeight is the weight of a new observation in the running means.
	meanWeight = 0.05
	// delayWeight is the weight of a new delay at the upstreams. It is higher
	// because these delays change with the load within seconds.
	delayWeight = 0.2
	// minQueueDelay is the minimum time without a first token after which
	// reported waiting requests count as a queue. Requests also wait for the
	// next step of a batch; while traffic rises, these are many compared with
	// the running ones.
	minQueueDelay = 500 * time.Millisecond
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// pool decides on the requests of one pool. It performs no I/O and takes the
// time as an argument; the controller's lock guards it.
type pool struct {
	maxWaiting      int
	maxPerWorkspace int
	limit           limit
	// workLimit limits the work without a first answer; nil unless
	// Options.LimitWork is set.
	workLimit *workLimit
	// ranks divides workLimit among priorities; nil if workLimit is nil.
	ranks         *rankLimit
	minRetryAfter time.Duration
	// reported is the state that Controller.Report logged last.
	reported poolState
	// tickScheduled reports whether a call of tick is scheduled.
	tickScheduled bool
	inFlight      int
	// unanswered contains the start times of those open attempts that have no
	// first token yet.
	unanswered startQueue
	classes    []*classQueue
	waiting    int
	grantCount int
	// meanTotal and meanCost are running means over answered attempts: the
	// total time in seconds without delays, and the cost in tokens.
	meanTotal float64
	meanCost  float64
	// serviceTimes contains the running mean of the total time per class,
	// without delays.
	serviceTimes map[string]*durationEstimate
	// delay is the running mean of the time to the first token beyond the
	// target, most of which is spent in the queue of an upstream.
	delay durationEstimate
	// shedAt is when the waiting requests were last checked by shedLate.
	shedAt time.Time
}

func newPool(maxWaiting, maxPerWorkspace int) *pool {
	return &pool{maxWaiting: maxWaiting, maxPerWorkspace: maxPerWorkspace, limit: newLimit(), serviceTimes: map[string]*durationEstimate{}, minRetryAfter: minRetryAfter}
}

// class returns the queue of the request's class, which it creates if necessary. Where
// the work limit is divided among priorities, each priority of a class has its own.
func (p *pool) class(r *Request) *classQueue {
	q := p.findClass(r)
	if q == nil {
		q = &classQueue{name: r.Class, priority: r.Priority}
		p.classes = append(p.classes, q)
	}
	return q
}

// findClass returns the queue of the request's class, or nil if there is none.
func (p *pool) findClass(r *Request) *classQueue {
	for _, q := range p.classes {
		if q.name == r.Class && (p.ranks == nil || q.priority == r.Priority) {
			return q
		}
	}
	return nil
}

// hasFullQueue reports whether as many requests of the request's workspace wait in its class as
// may.
func (p *pool) hasFullQueue(q *classQueue, r *Request) bool {
	ws := q.workspace(r.Workspace)
	return ws != nil && len(ws.waiters) >= p.maxPerWorkspace
}

// acquire takes a concurrency slot regardless of the limit.
func (p *pool) acquire(r *Request, now time.Time) {
	if p.workLimit != nil {
		p.recordRankStart(r, now)
		p.workLimit.recordSent(r.cost(), r.FirstTarget)
	}
	p.inFlight++
	p.unanswered.push(now)
	p.limit.recordStart(p.inFlight)
}

// admitOrQueue admits a request at once, queues it, or refuses it with the rule
// and the advised delay. It may displace a waiter, which the caller must then
// signal.
func (p *pool) admitOrQueue(r *Request, now time.Time) (w, displaced *waiter, rule Rule, retryAfter time.Duration) {
	if p.ranks != nil {
		p.ranks.recordArrival(r, now)
	}
	p.tick(now)
	service := p.expectedServiceTime(r)
	if p.mayStartAtOnce(r, now) {
		// A new request may use a free slot regardless of the estimates, so
		// that wrong estimates are corrected. A request that was accepted more
		// than limitWindow ago is assumed to have been returned by an upstream,
		// and must still be able to meet its deadline.
		if isReturned := !r.AcceptedAt.IsZero() && now.Sub(r.AcceptedAt) > limitWindow; isReturned && missesDeadline(r, service, now) {
			return nil, nil, RuleShed, p.returnDelay(r, 0, now)
		}
		p.acquire(r, now)
		return nil, nil, RuleAdmitted, 0
	}
	if p.isCapped(r, now) {
		return nil, nil, RuleFairShare, p.returnDelay(r, 0, now)
	}
	q := p.class(r)
	wait := p.expectedWait(q, r, now)
	if p.isTooLate(r, wait, service, now) {
		return nil, nil, RuleShed, p.returnDelay(r, wait, now)
	}
	if p.hasFullQueue(q, r) {
		return nil, nil, RuleQueueFull, p.returnDelay(r, wait, now)
	}
	if p.waiting >= p.maxWaiting {
		if displaced = p.displace(q, r); displaced == nil {
			return nil, nil, RuleQueueFull, p.returnDelay(r, wait, now)
		}
		displaced.refusedBy, displaced.retryAfter = RuleQueueFull, p.returnDelay(&displaced.req, wait, now)
	}
	w = &waiter{req: *r, arrivedAt: now, done: make(chan struct{})}
	if !r.Deadline.IsZero() {
		w.latestStart = r.Deadline.Add(-service)
	}
	if !r.FirstDeadline.IsZero() {
		if latest := p.latestStart(r); w.latestStart.IsZero() || latest.Before(w.latestStart) {
			w.latestStart = latest
		}
	}
	q.push(w)
	p.waiting++
	return w, displaced, "", 0
}

// displace makes room for r in a full pool: it removes and returns the newest
// request of the longest workspace queue in the lowest class. It removes nothing
// and returns nil when that class has a higher priority than r, or when it has
// the same priority and that queue is not longer than the queue of r's workspace
// would be with r.
func (p *pool) displace(ownClass *classQueue, r *Request) *waiter {
	var lowest *classQueue
	for _, q := range p.classes {
		if q.waiting > 0 && (lowest == nil || q.priority < lowest.priority) {
			lowest = q
		}
	}
	if lowest == nil || lowest.priority > r.Priority {
		return nil
	}
	longest := lowest.longest()
	if lowest.priority == r.Priority {
		ownWaiting := 0
		if workspace := ownClass.workspace(r.Workspace); workspace != nil {
			ownWaiting = len(workspace.waiters)
		}
		if len(longest.waiters) <= ownWaiting+1 {
			return nil
		}
	}
	w := longest.waiters[len(longest.waiters)-1]
	p.remove(w)
	return w
}

func (p *pool) remove(w *waiter) {
	p.class(&w.req).remove(w)
	p.waiting--
}

// grant removes and returns the waiters that may start now, and those whose
// turn it is but which would miss their deadline: the estimate at their arrival
// may have been lower or not available. The caller must signal all of them.
func (p *pool) grant(now time.Time) []*waiter {
	var decided []*waiter
	for p.waiting > 0 {
		q := p.nextClass(now)
		if q == nil {
			break
		}
		w := q.pop()
		p.waiting--
		decided = append(decided, w)
		if missesDeadline(&w.req, p.expectedServiceTime(&w.req), now) || !w.latestStart.IsZero() && now.After(w.latestStart) {
			w.refusedBy, w.retryAfter = RuleShed, p.returnDelay(&w.req, 0, now)
			continue
		}
		p.grantCount++
		p.acquire(&w.req, now)
		w.granted = true
	}
	return decided
}

// nextClass returns the class with the highest priority that has waiting
// requests, or, once every agedGrantInterval grants, the one with the oldest
// request. It returns nil when none may start.
func (p *pool) nextClass(now time.Time) *classQueue {
	if p.isRanked(now) {
		return p.nextRankedClass(now)
	}
	if !p.hasCapacity() {
		return nil
	}
	var next *classQueue
	isAgedGrant := p.grantCount%agedGrantInterval == agedGrantInterval-1
	for _, q := range p.classes {
		switch {
		case q.waiting == 0:
		case next == nil:
			next = q
		case isAgedGrant:
			if q.oldest().arrivedAt.Before(next.oldest().arrivedAt) {
				next = q
			}
		case q.priority > next.priority:
			next = q
		}
	}
	return next
}
