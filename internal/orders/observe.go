package orders

import (
	"context"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"rattantide/internal/membership"
)

// seen is what an observation of an engine showed.
type seen int

const (
	// seenUnusable is an engine that did not answer or is not idle.
	seenUnusable seen = iota
	// seenLoading is an engine that is loading the wanted version.
	seenLoading
	// seenReached is an engine that serves an allowed version and loads none.
	seenReached
	// seenWanting is an engine that needs an order.
	seenWanting
)

// report returns the upstreams with load reports, after it has asked those
// whose report is missing or old. It asks few at a time, the oldest first.
func (c *Controller) report(ctx context.Context, upstreams []membership.Upstream) []membership.Upstream {
	now := time.Now()
	var old []*membership.Upstream
	for i := range upstreams {
		if u := &upstreams[i]; !u.Leaving && (u.Load == nil || now.Sub(u.Load.ReceivedAt) > reportMaxAge) {
			old = append(old, u)
		}
	}
	sort.SliceStable(old, func(i, j int) bool {
		if old[i].Load == nil || old[j].Load == nil {
			return old[i].Load == nil && old[j].Load != nil
		}
		return old[i].Load.ReceivedAt.Before(old[j].Load.ReceivedAt)
	})
	group := errgroup.Group{}
	for _, u := range old[:min(len(old), pollsPerPass)] {
		group.Go(func() error {
			c.load(ctx, u)
			return nil
		})
	}
	_ = group.Wait()
	return upstreams
}

// load asks an engine for its load report and reports whether it answered.
func (c *Controller) load(ctx context.Context, u *membership.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	load, err := c.opts.Engines.Load(ctx, u.Address)
	if err != nil {
		return false
	}
	u.Load = load
	c.opts.Table.SetLoad(u.Name, *load)
	return true
}

// observe asks engines what they serve and load.
func (c *Controller) observe(ctx context.Context, upstreams []membership.Upstream, t target) []seen {
	out := make([]seen, len(upstreams))
	group := errgroup.Group{}
	group.SetLimit(maxParallel)
	for i := range upstreams {
		group.Go(func() error {
			out[i] = c.observeOne(ctx, &upstreams[i], t)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

func (c *Controller) observeOne(ctx context.Context, u *membership.Upstream, t target) seen {
	if !c.load(ctx, u) {
		return seenUnusable
	}
	stateCtx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	state, err := c.opts.Engines.OrderState(stateCtx, u.Address)
	switch {
	case err != nil:
		return seenUnusable
	case state.Loading && state.Want.Version == t.effective:
		return seenLoading
	case !state.Loading && t.allowed[state.Version]:
		return seenReached
	case t.allowed[state.Version]:
		// An old order makes it load a version that it should not serve. The
		// order back stops that and does not disturb what is running.
		return seenWanting
	case !idle(u.Load):
		return seenUnusable
	}
	return seenWanting
}
