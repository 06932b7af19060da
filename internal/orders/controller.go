package orders

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/membership"
)

// Controller orders engines of chat pools to load the version that their pool
// should serve, for the pools whose duty lease this daemon holds. It acts on
// what it observes, so that another holder can continue at any point. Run and
// Reconcile must not be called concurrently.
type Controller struct {
	opts    Options
	metrics *metrics
	pools   map[string]*poolState
}

// New returns a Controller.
func New(opts Options) *Controller {
	opts.setDefaults()
	return &Controller{opts: opts, metrics: newMetrics(opts.Scope), pools: map[string]*poolState{}}
}

// Duty returns the name of the duty of ordering a pool's engines.
func Duty(pool string) string { return "orders/" + pool }

// Run reconciles until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.Reconcile(ctx)
		}
	}
}

// Reconcile looks at each pool once.
func (c *Controller) Reconcile(ctx context.Context) {
	pools := chatPools(c.opts.Config.Snapshot())
	for name := range c.pools {
		if pools[name] == nil {
			delete(c.pools, name)
		}
	}
	for name := range pools {
		c.opts.Leases.Want(Duty(name))
		fence, held := c.opts.Leases.Held(Duty(name))
		if !held {
			delete(c.pools, name)
			continue
		}
		p := c.pools[name]
		if p == nil || p.fence != fence {
			p = newPoolState(fence)
			c.pools[name] = p
		}
		if !p.trusted(time.Now(), c.opts.LeaseTTL) {
			continue
		}
		if err := c.reconcilePool(ctx, name, p); err != nil {
			c.metrics.failures.Inc(1)
			c.opts.Logger.Warn("pool not reconciled; trying again", "pool", name, "err", err)
		}
	}
}

func (c *Controller) reconcilePool(ctx context.Context, name string, p *poolState) error {
	if err := c.inherit(ctx, name, p); err != nil {
		return errors.Annotate(err, "list intents")
	}
	upstreams := c.report(ctx, c.opts.Table.AllUpstreams(name))
	c.forgetInherited(p, upstreams)
	storeNow, known := c.opts.Store.Now()
	if !known {
		return errors.New("the store's time is not known")
	}
	t := targetOf(c.opts.Config.Snapshot(), name, upstreams)
	due, _ := p.due(t, upstreams, time.Now(), storeNow)
	c.metrics.outOfPlace(name, len(p.engines))
	if len(due) == 0 {
		c.metrics.loading(name, 0)
		return nil
	}
	// The watch may lag; an order must follow the configuration that is stored.
	view, err := c.refresh(ctx, name)
	if err != nil {
		return errors.Annotate(err, "read the configuration")
	}
	pool := view.Pools[name]
	if pool == nil {
		return nil
	}
	t = targetOf(view, name, upstreams)
	due, ordered := p.due(t, upstreams, time.Now(), storeNow)
	limit := max(1, int(float64(len(upstreams))*c.opts.LoadShare))
	due = due[:min(len(due), ordered+max(maxParallel, observedPerLoad*limit))]
	seen := c.observe(ctx, due, t)
	loading := 0
	var wanting []membership.Upstream
	for i, s := range seen {
		switch s {
		case seenLoading:
			loading++
		case seenReached:
			delete(p.inherited, due[i].Name)
			p.engine(due[i].Name).delay(time.Now())
		case seenWanting:
			if i >= ordered {
				wanting = append(wanting, due[i])
			}
		}
	}
	wanting = wanting[:max(0, min(len(wanting), limit-loading))]
	c.metrics.loading(name, loading+len(wanting))
	c.sendAll(ctx, &batch{pool: name, state: p, version: t.effective, fenced: pool.Fencing == api.FencingChecked}, wanting)
	return nil
}

// refresh reads the pool and the moves from the object API and returns the
// configuration with them.
func (c *Controller) refresh(ctx context.Context, pool string) (*configsync.View, error) {
	object, err := c.opts.Store.Get(ctx, string(api.KindPool), pool)
	if err != nil {
		return nil, errors.Trace(err)
	}
	moves, err := c.opts.Store.List(ctx, string(api.KindVersionMove))
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.opts.Config.Apply(*object)
	for _, m := range moves.Items {
		c.opts.Config.Apply(m)
	}
	return c.opts.Config.Snapshot(), nil
}
