package orders

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
)

// inherit lists, once for each fencing token, the intents of older tokens:
// their orders may still arrive, so their engines are to be observed after
// that. Intents of upstreams that are long gone are deleted.
func (c *Controller) inherit(ctx context.Context, pool string, p *poolState) error {
	if p.inherited != nil {
		return nil
	}
	list, err := c.opts.Store.List(ctx, intentKind)
	if err != nil {
		return errors.Trace(err)
	}
	now, known := c.opts.Store.Now()
	if !known {
		return errors.New("the store's time is not known")
	}
	present := map[string]bool{}
	for _, u := range c.opts.Table.AllUpstreams(pool) {
		present[u.Name] = true
	}
	p.inherited = map[string]intent{}
	for _, o := range list.Items {
		var stored intent
		if json.Unmarshal(o.Value, &stored) != nil || stored.Pool != pool {
			continue
		}
		switch {
		case !present[o.Name] && now.UnixMilli()-stored.AtMs > intentRetention.Milliseconds():
			c.deleteIntent(ctx, o)
		case stored.Fence < p.fence:
			p.inherited[o.Name] = stored
		}
	}
	if len(p.inherited) > 0 {
		c.metrics.waits.Inc(int64(len(p.inherited)))
		c.opts.Logger.Info("orders of an earlier holder may be in flight", "pool", pool, "fence", p.fence, "engines", len(p.inherited))
	}
	return nil
}

// deleteIntent removes the intent of an upstream that is gone. One that stays
// costs a few bytes and is tried again by the next holder.
func (c *Controller) deleteIntent(ctx context.Context, o objectclient.Object) {
	if err := c.opts.Store.Delete(ctx, o.Kind, o.Name, o.Version); err != nil {
		c.opts.Logger.Debug("old intent not deleted", "upstream", o.Name, "err", err)
	}
}

// forgetInherited drops the intents of engines that left, or whose incarnation
// changed, because those orders have no receiver any more.
func (c *Controller) forgetInherited(p *poolState, upstreams []membership.Upstream) {
	addresses := map[string]string{}
	for i := range upstreams {
		if !upstreams[i].Leaving {
			addresses[upstreams[i].Name] = upstreams[i].Address
		}
	}
	for name, stored := range p.inherited {
		if addresses[name] != stored.Address {
			delete(p.inherited, name)
		}
	}
}
