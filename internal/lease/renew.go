package lease

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

// renewInterval is the time from a renewal to the next: 2/5 of the lifetime leaves
// more than a quarter of it for retries before the holder must stop.
func (d *duty) renewInterval() time.Duration { return d.manager.options.TTL * 2 / 5 }

// renew extends the lease and returns the time until the next step. A renewal that
// fails without a conflict is retried until the holder must stop.
func (d *duty) renew(ctx context.Context) time.Duration {
	options := d.manager.options
	sentAt := d.now()
	fence, held := d.held(sentAt)
	if !held {
		return 0
	}
	d.renewals++
	stored, err := d.put(ctx, d.version, record{
		Holder: options.Holder, Nonce: d.nonce, Fence: fence, Renewals: d.renewals,
		ExpiresMs: d.expiry(),
	})
	switch {
	case err == nil:
		d.version, d.failingSince = stored.Version, time.Time{}
		d.setHeld(fence, sentAt)
		return d.renewInterval()
	case errors.Is(err, objectclient.ErrConflict):
		if current := decode(stored); stored != nil && current.Nonce == d.nonce && current.Fence == fence && current.ExpiresMs > 0 {
			// An earlier renewal took effect although its answer was lost.
			// heldUntil stays as set by the last renewal that was answered.
			d.version = stored.Version
			return 0
		}
		options.Logger.Warn("lost the lease: another holder acquired it, or the store was restored without it", "duty", d.name, "fence", fence, "error", err)
		options.Scope.Counter("lease_lost").Inc(1)
		d.clearHeld()
		d.nonce = ""
	case d.mustYield(sentAt):
		options.Logger.Warn("yielding the lease: renewals fail here while other daemons reach the store", "duty", d.name, "fence", fence, "error", err)
		options.Scope.Counter("lease_yielded").Inc(1)
		d.yield(fence)
	}
	return options.TTL / 15
}

// mustYield reports, after a failed renewal that was sent at sentAt, whether the
// lease must be yielded.
func (d *duty) mustYield(sentAt time.Time) bool {
	if d.failingSince.IsZero() {
		d.failingSince = sentAt
	}
	peersReachStore := d.manager.options.PeersReachStore
	return peersReachStore != nil && d.now().Sub(d.failingSince) >= yieldAfter && peersReachStore(d.failingSince)
}

// yield ends this daemon's use of a fencing token for good. A renewal that takes
// effect later only extends a lease that other daemons treat as yielded.
func (d *duty) yield(fence int64) {
	d.clearHeld()
	d.nonce, d.failingSince = "", time.Time{}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.yielded = fence
}
