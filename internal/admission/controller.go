package admission

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/problem"
)

// Controller admits requests. All methods are safe for concurrent use.
type Controller struct {
	opts Options

	mu         sync.Mutex
	pools      map[string]*pool
	waiters    map[string]*waiter
	history    history
	retries    map[string]*budget
	hedges     map[string]*budget
	quarantine quarantine
	scope      tally.Scope
	gauges     map[string]*gauges
	// decisions counts decisions by class and rule.
	decisions map[classRule]tally.Counter

	admitted, shed, overShare, queueFull, callerGaveUp, repeatsRefused, crashes tally.Counter
}

// classRule identifies a counter of decisions.
type classRule struct {
	class string
	rule  Rule
}

// New returns a Controller.
func New(opts Options) *Controller {
	if opts.MaxWaiting <= 0 {
		opts.MaxWaiting = DefaultMaxWaiting
	}
	if opts.MaxPerWorkspace <= 0 {
		opts.MaxPerWorkspace = DefaultMaxPerWorkspace
	}
	if opts.MinRetryAfter <= 0 {
		opts.MinRetryAfter = minRetryAfter
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.FleetNow == nil {
		opts.FleetNow = opts.Now
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	scope := opts.Scope.SubScope("admission")
	return &Controller{
		opts:           opts,
		scope:          scope,
		gauges:         map[string]*gauges{},
		decisions:      map[classRule]tally.Counter{},
		pools:          map[string]*pool{},
		waiters:        map[string]*waiter{},
		history:        newHistory(),
		retries:        map[string]*budget{},
		hedges:         map[string]*budget{},
		admitted:       scope.Counter("admitted"),
		shed:           scope.Counter("shed"),
		overShare:      scope.Counter("over_share"),
		queueFull:      scope.Counter("queue_full"),
		callerGaveUp:   scope.Counter("gave_up"),
		repeatsRefused: scope.Counter("repeats_refused"),
		crashes:        scope.Counter("crashes"),
	}
}

// Admit blocks until the request may start, is refused, or ctx ends. The returned
// function must be called when the attempt has ended; further calls have no effect.
// The error is a *problem.Problem with ran "not_run".
func (c *Controller) Admit(ctx context.Context, r Request) (func(Outcome), error) {
	now := c.opts.Now()
	c.mu.Lock()
	budgetFor(c.retries, r.Class).recordFirst(now)
	budgetFor(c.hedges, r.Class).recordFirst(now)
	p := c.pool(r.Pool)
	w, displaced, rule, retryAfter := p.admitOrQueue(&r, now)
	if displaced != nil {
		displaced.signal()
	}
	if w == nil {
		c.recordDecision(&r, rule, now, now)
		c.mu.Unlock()
		if rule == RuleAdmitted {
			return c.releaseFunc(r), nil
		}
		return nil, newRefusal(&r, rule, retryAfter)
	}
	c.waiters[r.ID] = w
	c.grantWaiting(p)
	c.scheduleTick(p)
	c.mu.Unlock()
	return c.wait(ctx, w)
}

// scheduleTick adapts the limits again after a tick interval as long as
// requests wait, because no request may arrive or end for seconds. The caller
// holds c.mu.
func (c *Controller) scheduleTick(p *pool) {
	if p.tickScheduled || p.waiting == 0 {
		return
	}
	p.tickScheduled = true
	time.AfterFunc(p.tickInterval(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.tickScheduled = false
		now := c.opts.Now()
		p.tick(now)
		c.shedLate(p, now)
		c.grantWaiting(p)
		c.scheduleTick(p)
	})
}

// wait blocks until the waiter is granted a slot or refused, its latest start
// passes or ctx ends.
func (c *Controller) wait(ctx context.Context, w *waiter) (func(Outcome), error) {
	var latestStartPassed <-chan time.Time
	if !w.latestStart.IsZero() {
		latestStartTimer := time.NewTimer(w.latestStart.Sub(c.opts.Now()))
		defer latestStartTimer.Stop()
		latestStartPassed = latestStartTimer.C
	}
	rule := RuleAdmitted
	select {
	case <-w.done:
	case <-latestStartPassed:
		rule = RuleShed
	case <-ctx.Done():
		rule = RuleCallerGaveUp
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			rule = RuleShed
		}
	}
	now := c.opts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiters[w.req.ID] == w {
		delete(c.waiters, w.req.ID)
	}
	p := c.pool(w.req.Pool)
	switch {
	case w.granted && rule != RuleCallerGaveUp:
		c.recordDecision(&w.req, RuleAdmitted, w.arrivedAt, now)
		return c.releaseFunc(w.req), nil
	case w.granted:
		// The slot was granted at the moment when the caller gave up.
		p.cancelGrant(&w.req, false, now)
		c.grantWaiting(p)
	case w.queue.position(w) >= 0:
		w.retryAfter = p.returnDelay(&w.req, p.expectedWait(p.class(&w.req), &w.req, now), now)
		p.remove(w)
	default:
		rule = w.refusedBy
	}
	c.recordDecision(&w.req, rule, w.arrivedAt, now)
	return nil, newRefusal(&w.req, rule, w.retryAfter)
}

// AdmitImmediately acquires a concurrency slot for a later attempt of an
// admitted request. It does not block and may exceed the limit. The returned
// function ends the attempt; further calls have no effect.
func (c *Controller) AdmitImmediately(r Request) func(Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(r.Pool).acquire(&r, c.opts.Now())
	return c.releaseFunc(r)
}

// releaseFunc returns the function that ends the attempt. Only its first call has
// an effect.
func (c *Controller) releaseFunc(r Request) func(Outcome) {
	var once sync.Once
	return func(o Outcome) {
		once.Do(func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			p := c.pool(r.Pool)
			p.recordEnd(&r, o, c.opts.Now())
			c.grantWaiting(p)
		})
	}
}

// RecordFirstToken reports the time to the first token of an open attempt, so that
// the limit adapts before the answer is complete.
func (c *Controller) RecordFirstToken(r Request, first time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	p.recordFirstToken(&r, first, c.opts.Now())
	c.grantWaiting(p)
}

// grantWaiting starts the waiting requests for which there is capacity. The
// caller holds c.mu.
func (c *Controller) grantWaiting(p *pool) {
	for _, w := range p.grant(c.opts.Now()) {
		w.signal()
	}
}

// shedLate refuses the waiting requests that cannot be answered in time. The
// caller holds c.mu.
func (c *Controller) shedLate(p *pool, now time.Time) {
	for _, w := range p.shedLate(now) {
		w.signal()
	}
}

// SetUpstreams sets the number of usable upstreams of a pool, and the numbers
// of requests that run and wait there according to load reports. These include
// the requests of all daemons.
func (c *Controller) SetUpstreams(pool string, usable, running, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(pool)
	p.setUpstreamCount(usable)
	now := c.opts.Now()
	p.applyReport(running, waiting, now)
	c.shedLate(p, now)
	c.grantWaiting(p)
}

// RecordBusy records that an upstream of a pool refused an attempt because its
// queue was full.
func (c *Controller) RecordBusy(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(pool)
	p.limit.lowerForBusy(p.inFlight, c.opts.Now())
}

// Limit returns, for a pool, the number of open attempts, the limit and the
// number of waiting requests.
func (c *Controller) Limit(pool string) (inFlight, limit, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(pool)
	return p.inFlight, p.limit.current(), p.waiting
}

// TakeRetry consumes a retry from the budget of a class. It returns false when
// the share is used up.
func (c *Controller) TakeRetry(class string, share float64) bool {
	return c.takeRepeat(c.retries, class, share)
}

// TakeHedge consumes a hedge from the budget of a class. It returns false when
// the share is used up.
func (c *Controller) TakeHedge(class string, share float64) bool {
	return c.takeRepeat(c.hedges, class, share)
}

func (c *Controller) takeRepeat(budgets map[string]*budget, class string, share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if budgetFor(budgets, class).take(share, c.opts.Now()) {
		return true
	}
	c.repeatsRefused.Inc(1)
	return false
}

// RecordCrash records that the connection to an upstream was lost while it had
// the request. It must not be called for errors that an upstream answered. A
// fingerprint of 0, which means that there is none, is ignored.
func (c *Controller) RecordCrash(fingerprint uint64, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.Inc(1)
	c.quarantine.recordCrash(fingerprint, upstream, c.opts.Now())
}

// IsQuarantined reports whether the request's content crashed two upstreams. The
// quarantine ends 10 minutes after the latest crash.
func (c *Controller) IsQuarantined(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.isQuarantined(fingerprint, c.opts.Now())
}

// IsSuspected reports whether the request's content was running on an upstream
// when that upstream crashed, within the last 10 minutes.
func (c *Controller) IsSuspected(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.isSuspected(fingerprint, c.opts.Now())
}

// pool returns the state of a pool, which it creates if necessary. The caller
// holds c.mu.
func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool(c.opts.MaxWaiting, c.opts.MaxPerWorkspace)
		p.minRetryAfter = c.opts.MinRetryAfter
		if c.opts.LimitWork {
			p.workLimit = newWorkLimit()
		}
		if c.opts.LimitWork && c.opts.DividePriorities {
			p.ranks = newRankLimit(c.opts.HasQuotas)
			p.ranks.fleetNow = c.opts.FleetNow
		}
		c.pools[name] = p
	}
	return p
}

func budgetFor(budgets map[string]*budget, class string) *budget {
	b := budgets[class]
	if b == nil {
		b = &budget{}
		budgets[class] = b
	}
	return b
}

// newRefusal returns the *problem.Problem for a request that was refused by a
// rule.
func newRefusal(r *Request, rule Rule, retryAfter time.Duration) error {
	p := problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeOverloaded, "")
	switch rule {
	case RuleShed:
		p.Detail = "the deadline cannot be met at the present load"
	case RuleFairShare:
		p.Detail = "the workspace has used up its fair share at the present load"
	case RuleQueueFull:
		p.Detail = "the queue is full"
	default:
		p.Code, p.Detail = problem.CodeDeadline, "the caller gave up while the request waited"
	}
	return p.WithRetryAfter(retryAfter).WithRequestID(r.ID)
}
