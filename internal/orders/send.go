package orders

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/engineclient"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
)

// Causes for which an order is not sent.
const (
	errNotHeld = errors.ConstError("the lease is not held")
	errLate    = errors.ConstError("too much time passed since the order was prepared")
)

// sendAll sends one order to each of the upstreams and takes over the results.
func (c *Controller) sendAll(ctx context.Context, b *batch, upstreams []membership.Upstream) {
	results := make([]error, len(upstreams))
	group := errgroup.Group{}
	group.SetLimit(maxParallel)
	for i := range upstreams {
		group.Go(func() error {
			results[i] = c.send(ctx, b, &upstreams[i])
			return nil
		})
	}
	_ = group.Wait()
	for i, err := range results {
		u := &upstreams[i]
		b.state.engine(u.Name).delay(time.Now())
		if err == nil {
			c.metrics.sent.Inc(1)
			c.opts.Logger.Info("ordered engine to load", "pool", b.pool, "upstream", u.Name, "version", b.version, "fence", b.state.fence)
			continue
		}
		c.count(err)
		if errors.Is(err, engineclient.ErrStaleFence) || errors.Is(err, errNewerIntent) {
			b.state.doubtSince = time.Now()
		}
		c.opts.Logger.Warn("order to engine failed", "pool", b.pool, "upstream", u.Name, "version", b.version, "fence", b.state.fence, "err", err)
	}
}

func (c *Controller) count(err error) {
	switch {
	case errors.Is(err, engineclient.ErrStaleFence), errors.Is(err, errNewerIntent):
		c.metrics.stale.Inc(1)
	case errors.Is(err, errNotHeld):
		c.metrics.notHeld.Inc(1)
	case errors.Is(err, errLate):
		c.metrics.late.Inc(1)
	case errors.Is(err, errInFlight):
		c.metrics.waits.Inc(1)
	case errors.Is(err, objectclient.ErrConflict):
		c.metrics.conflicts.Inc(1)
	default:
		c.metrics.failed.Inc(1)
	}
}

// send orders one engine to load the batch's version.
func (c *Controller) send(ctx context.Context, b *batch, u *membership.Upstream) error {
	begun := time.Now()
	fence := b.state.fence
	order := engineclient.Order{Fence: fence, ID: uuid.NewString(), Want: engineclient.Want{Version: b.version}}
	if !b.fenced {
		next := intent{Pool: b.pool, Address: u.Address, Fence: fence, ID: order.ID, Version: b.version}
		if err := recordIntent(ctx, c.opts.Store, u.Name, next); err != nil {
			return errors.Trace(err)
		}
		c.metrics.intents.Inc(1)
	}
	if current, held := c.opts.Leases.Held(Duty(b.pool)); !held || current != fence {
		return errNotHeld
	}
	// After the check of the lease, so that a pause during that check counts.
	if time.Since(begun) > sendWindow {
		return errLate
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := c.opts.Engines.Order(ctx, u.Address, order)
	return errors.Trace(err)
}
