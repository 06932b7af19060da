package lease

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

// takeoverDelay returns the fencing token of the last lease that another holder
// yielded, and for how long this daemon still waits for the daemons that are
// preferred to it.
func (d *duty) takeoverDelay() (fence int64, wait time.Duration) {
	rank := d.manager.Rank(d.name)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peerYielded, time.Duration(rank)*takeoverStep - d.now().Sub(d.peerYieldedAt)
}

// settleInterval is the time between checks of Options.IsSettled.
const settleInterval = 200 * time.Millisecond

// observation is what a read of a lease that this daemon does not hold shows.
type observation struct {
	// version is the version of the object, or MustNotExist.
	version objectclient.Revision
	// acquired is set if an earlier acquisition took effect although its answer was
	// lost, and mayAcquire if the lease may be acquired now.
	acquired, mayAcquire bool
	// wait is the time until the next read if neither is set.
	wait time.Duration
}

// tryAcquire reads the lease and acquires it if it is free and this daemon's rank
// allows it. It returns the time until the next step.
func (d *duty) tryAcquire(ctx context.Context) time.Duration {
	if isSettled := d.manager.options.IsSettled; isSettled != nil && !isSettled() {
		return settleInterval
	}
	yieldedFence, wait := d.takeoverDelay()
	if yieldedFence != 0 && wait > 0 {
		return wait
	}
	// Most reads only find that the lease is held, which an old state shows as well.
	seen := d.observe(objectclient.AllowStale(ctx), yieldedFence)
	if seen.acquired || seen.mayAcquire {
		seen = d.observe(ctx, yieldedFence)
	}
	switch {
	case seen.acquired:
		return d.confirmAcquired(seen.version)
	case seen.mayAcquire:
		return d.acquire(ctx, seen.version)
	}
	return seen.wait
}

// observe reads the lease. yieldedFence is the fencing token of the last lease that
// another holder yielded, or 0.
func (d *duty) observe(ctx context.Context, yieldedFence int64) observation {
	options := d.manager.options
	current, err := options.Store.Get(ctx, objectKind, d.name)
	if err != nil && !errors.Is(err, objectclient.ErrNotFound) {
		options.Scope.Counter("lease_errors").Inc(1)
		return observation{wait: options.TTL / 4}
	}
	version := objectclient.MustNotExist
	if current != nil {
		version = current.Version
	}
	stored := decode(current)
	if d.nonce != "" && stored.Nonce == d.nonce && stored.Fence == 0 && stored.ExpiresMs > 0 {
		return observation{version: version, acquired: true}
	}
	if yieldedFence != 0 && stored.ExpiresMs > 0 && stored.token(version) == yieldedFence {
		return observation{version: version, mayAcquire: true}
	}
	expiresIn, known := d.expiresIn(stored, version)
	if !known {
		return observation{wait: options.TTL / 4}
	}
	switch {
	case expiresIn > 0:
		d.freeSince = time.Time{}
	case d.freeSince.IsZero():
		d.freeSince = d.now()
	}
	if options.ResumesLease && stored.Holder == options.Holder && expiresIn > 0 {
		options.Logger.Info("resuming the lease of the previous process of this daemon", "duty", d.name, "version", version)
		return observation{version: version, mayAcquire: true}
	}
	lease := unheldLease{rank: d.manager.Rank(d.name), ttl: options.TTL, freeSince: d.freeSince, expiresIn: expiresIn}
	acquire, wait := lease.plan(d.now(), options.MaxInterval)
	if !acquire && options.ExpiresByObservation && lease.rank <= 1 {
		// A change of the lease is detected only by reading it, so the first two in rank
		// read it more often than its lifetime.
		wait = min(wait, options.TTL/2)
	}
	return observation{version: version, mayAcquire: acquire, wait: wait}
}

// expiresIn returns the time until a lease expires, at most 0 for one that is
// free. known is false until the store has returned its time.
func (d *duty) expiresIn(stored record, version objectclient.Revision) (left time.Duration, known bool) {
	options := d.manager.options
	if !options.ExpiresByObservation {
		storeNow, known := options.Store.Now()
		return time.UnixMilli(stored.ExpiresMs).Sub(storeNow), known
	}
	if stored.ExpiresMs == 0 {
		return 0, true
	}
	if version > d.observedVersion {
		// An older version comes from a read that may be stale.
		d.observedVersion, d.observedAt = version, d.now()
	}
	return options.TTL - d.now().Sub(d.observedAt), true
}

// acquire writes a new lease over the object with the given version and returns
// the time until the next step.
func (d *duty) acquire(ctx context.Context, version objectclient.Revision) time.Duration {
	options := d.manager.options
	d.nonce, d.acquireSentAt, d.renewals = uuid.NewString(), d.now(), 0
	stored, err := d.put(ctx, version, record{Holder: options.Holder, Nonce: d.nonce, ExpiresMs: d.expiry()})
	if err != nil {
		options.Scope.Counter("lease_not_acquired").Inc(1)
		return options.TTL / 4
	}
	return d.confirmAcquired(stored.Version)
}

// confirmAcquired records that the latest acquisition took effect and produced the
// given version of the object. It returns the time until the next step.
func (d *duty) confirmAcquired(version objectclient.Revision) time.Duration {
	d.version, d.freeSince = version, time.Time{}
	fence := int64(version)
	d.setHeld(fence, d.acquireSentAt)
	d.failingSince = time.Time{}
	if _, held := d.held(d.now()); !held {
		// The answer came too late to use the lease; it is acquired again after
		// it has expired.
		d.clearHeld()
		d.nonce = ""
		return d.manager.options.TTL / 2
	}
	d.manager.options.Logger.Info("acquired lease", "duty", d.name, "fence", fence)
	d.manager.options.Scope.Counter("lease_acquired").Inc(1)
	return d.renewInterval()
}
