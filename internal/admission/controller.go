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
	waiting    map[string]*waiter
	history    history
	retries    map[string]*budget
	hedges     map[string]*budget
	quarantine quarantine

	admitted, shed, full, gaveUp, repeatsRefused, crashes tally.Counter
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
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	scope := opts.Scope.SubScope("admission")
	return &Controller{
		opts:           opts,
		pools:          map[string]*pool{},
		waiting:        map[string]*waiter{},
		history:        newHistory(),
		retries:        map[string]*budget{},
		hedges:         map[string]*budget{},
		admitted:       scope.Counter("admitted"),
		shed:           scope.Counter("shed"),
		full:           scope.Counter("queue_full"),
		gaveUp:         scope.Counter("gave_up"),
		repeatsRefused: scope.Counter("repeats_refused"),
		crashes:        scope.Counter("crashes"),
	}
}

// Admit waits until the request may start. The returned function must be
// called when the attempt has ended; further calls have no effect. The error
// is a *problem.Problem with ran "not_run".
func (c *Controller) Admit(ctx context.Context, r Request) (func(Outcome), error) {
	now := c.opts.Now()
	c.mu.Lock()
	budgetOf(c.retries, r.Class).first(now)
	budgetOf(c.hedges, r.Class).first(now)
	p := c.pool(r.Pool)
	w, displaced, rule, retryAfter := p.arrive(&r, now)
	if displaced != nil {
		displaced.tell()
	}
	if w == nil {
		c.record(&r, rule, now, now)
		c.mu.Unlock()
		if rule == RuleAdmitted {
			return c.releaser(r), nil
		}
		return nil, refusal(&r, rule, retryAfter)
	}
	c.waiting[r.ID] = w
	c.start(p)
	c.tickLater(p)
	c.mu.Unlock()
	return c.wait(ctx, w)
}

// tickLater looks at the limit again after a window while requests wait: neither
// an arrival nor an end may come for seconds. The lock is held.
func (c *Controller) tickLater(p *pool) {
	if p.ticking || p.waiting == 0 {
		return
	}
	p.ticking = true
	time.AfterFunc(p.lookEvery(), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.ticking = false
		now := c.opts.Now()
		p.tick(now)
		c.sweep(p, now)
		c.start(p)
		c.tickLater(p)
	})
}

func (c *Controller) wait(ctx context.Context, w *waiter) (func(Outcome), error) {
	var late <-chan time.Time
	if !w.latest.IsZero() {
		timer := time.NewTimer(w.latest.Sub(c.opts.Now()))
		defer timer.Stop()
		late = timer.C
	}
	rule := RuleAdmitted
	select {
	case <-w.done:
	case <-late:
		rule = RuleShed
	case <-ctx.Done():
		rule = RuleGaveUp
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			rule = RuleShed
		}
	}
	now := c.opts.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting[w.req.ID] == w {
		delete(c.waiting, w.req.ID)
	}
	p := c.pool(w.req.Pool)
	switch {
	case w.granted && rule != RuleGaveUp:
		c.record(&w.req, RuleAdmitted, w.arrived, now)
		return c.releaser(w.req), nil
	case w.granted:
		// The place was granted while the caller gave up.
		p.left(&w.req, false, now)
		c.start(p)
	case w.queue.position(w) >= 0:
		w.retryAfter = p.advise(p.expectedWait(p.class(&w.req), &w.req))
		p.remove(w)
	default:
		rule = w.refusedBy
	}
	c.record(&w.req, rule, w.arrived, now)
	return nil, refusal(&w.req, rule, w.retryAfter)
}

// Enter takes a place for a later attempt of an admitted request, without
// waiting and beyond the limit if need be.
func (c *Controller) Enter(r Request) func(Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(r.Pool).enter(&r, c.opts.Now())
	return c.releaser(r)
}

func (c *Controller) releaser(r Request) func(Outcome) {
	var once sync.Once
	return func(o Outcome) {
		once.Do(func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			p := c.pool(r.Pool)
			p.ended(&r, o, c.opts.Now())
			c.start(p)
		})
	}
}

// FirstToken reports the time to the first token of an open attempt, so that the
// limit adapts before the answer has ended.
func (c *Controller) FirstToken(r Request, first time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	p.firstToken(&r, first, c.opts.Now())
	c.start(p)
}

// start lets waiting requests start; the lock is held.
func (c *Controller) start(p *pool) {
	for _, w := range p.grant(c.opts.Now()) {
		w.tell()
	}
}

// sweep refuses waiting requests that cannot be answered in time; the lock is
// held.
func (c *Controller) sweep(p *pool, now time.Time) {
	for _, w := range p.sweep(now) {
		w.tell()
	}
}

// SetUpstreams tells how many usable upstreams a pool has and how many requests
// run and wait there by their reports, of all daemons together.
func (c *Controller) SetUpstreams(name string, n, running, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(name)
	p.upstreams(n)
	now := c.opts.Now()
	p.reported(running, waiting, now)
	c.sweep(p, now)
	c.start(p)
}

// Busy reports that an upstream of a pool refused an attempt because its queue
// was full.
func (c *Controller) Busy(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(name)
	p.limit.busy(p.inFlight, c.opts.Now())
}

// Limit returns the open attempts, the limit and the waiting requests of a
// pool.
func (c *Controller) Limit(name string) (inFlight, limit, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(name)
	return p.inFlight, p.limit.current(), p.waiting
}

// Retry takes a retry from the budget of a class and reports whether its share
// allowed it.
func (c *Controller) Retry(class string, share float64) bool {
	return c.take(c.retries, class, share)
}

// Hedge takes a hedge from the budget of a class and reports whether its share
// allowed it.
func (c *Controller) Hedge(class string, share float64) bool {
	return c.take(c.hedges, class, share)
}

func (c *Controller) take(budgets map[string]*budget, class string, share float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if budgetOf(budgets, class).take(share, c.opts.Now()) {
		return true
	}
	c.repeatsRefused.Inc(1)
	return false
}

// Crashed records that an upstream was lost while it had the request. Errors
// that an upstream answered must not be recorded here.
func (c *Controller) Crashed(fingerprint uint64, upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.Inc(1)
	c.quarantine.crashed(fingerprint, upstream, c.opts.Now())
}

// Quarantined reports whether the request's content crashed two upstreams.
func (c *Controller) Quarantined(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.holds(fingerprint, c.opts.Now())
}

// Suspected reports whether the request's content was on an upstream that
// crashed.
func (c *Controller) Suspected(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.suspects(fingerprint, c.opts.Now())
}

func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool(c.opts.MaxWaiting, c.opts.MaxPerWorkspace)
		p.minRetryAfter = c.opts.MinRetryAfter
		if c.opts.LimitWork {
			p.work = newWorkLimit()
		}
		c.pools[name] = p
	}
	return p
}

func budgetOf(budgets map[string]*budget, class string) *budget {
	b := budgets[class]
	if b == nil {
		b = &budget{}
		budgets[class] = b
	}
	return b
}

func refusal(r *Request, rule Rule, retryAfter time.Duration) error {
	p := problem.NotRun(http.StatusServiceUnavailable, problem.CodeOverloaded, "")
	switch rule {
	case RuleShed:
		p.Detail = "the deadline cannot be met at the present load"
	case RuleFull:
		p.Detail = "the queue is full"
	default:
		p.Code, p.Detail = problem.CodeDeadline, "the caller gave up while the request waited"
	}
	return p.WithRetryAfter(retryAfter).WithRequestID(r.ID)
}
