package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

const (
	// objectKind is the kind of leases in the object API.
	objectKind = "lease"
	// yieldAfter is how long renewals must fail before a holder yields its
	// lease, so that one lost answer does not move a duty.
	yieldAfter = 800 * time.Millisecond
	// takeoverStep is the delay before a daemon takes over a lease that its
	// holder has yielded, per daemon that is preferred to it: the preferred ones
	// get the chance to do so first.
	takeoverStep = 250 * time.Millisecond
)

// duty is this daemon's state of the lease of one duty.
type duty struct {
	manager *Manager
	name    string
	cancel  context.CancelFunc

	mu sync.Mutex
	// fence is 0 while the lease is not held.
	fence int64
	// heldUntil is when the holder must stop, by the clock of Options.Now.
	heldUntil time.Time
	// yielded is the fencing token of the last lease that this daemon yielded
	// without writing that to the store, 0 if there is none.
	yielded int64
	// peerYielded is the fencing token of the last lease that another holder
	// yielded, and peerYieldedAt is when this daemon learned of it.
	peerYielded   int64
	peerYieldedAt time.Time
	// wake interrupts the wait of the duty's goroutine; it has a buffer of 1.
	wake chan struct{}

	// Only the duty's goroutine accesses the fields below.

	// version is the version of the lease object, renewals is the number of
	// renewals since the acquisition, and nonce identifies the acquisition.
	version  int64
	renewals int64
	nonce    string
	// acquireSentAt is when the acquisition with nonce was sent.
	acquireSentAt time.Time
	// freeSince is when the lease was first found free; zero while it is held.
	freeSince time.Time
	// failingSince is when renewals began to fail; zero while they succeed.
	failingSince time.Time
	// observedVersion is the version of the object at the last read, and
	// observedAt is when that version was first read.
	observedVersion int64
	observedAt      time.Time
}

// held returns the fencing token, and whether this daemon may act as the holder at
// the time now.
func (d *duty) held(now time.Time) (int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fence == 0 || !now.Before(d.heldUntil) {
		return 0, false
	}
	return d.fence, true
}

// setHeld records that the lease was acquired or renewed by a call that was sent
// at sentAt. This daemon may act for 2/3 of the lifetime from then on.
func (d *duty) setHeld(fence int64, sentAt time.Time) {
	ttl := d.manager.options.TTL
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence, d.heldUntil = fence, sentAt.Add(ttl-ttl/3)
}

// clearHeld records that this daemon no longer holds the lease.
func (d *duty) clearHeld() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fence = 0
}

// yieldedFence returns the fencing token of the last lease that this daemon
// yielded.
func (d *duty) yieldedFence() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.yielded
}

// recordPeerYield records that the holder with a fencing token has yielded its
// lease, and wakes the duty's goroutine.
func (d *duty) recordPeerYield(fence int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fence <= d.peerYielded {
		return
	}
	d.peerYielded, d.peerYieldedAt = fence, d.now()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// takeoverDelay returns the fencing token of the last lease that another holder
// yielded, and for how long this daemon still waits for the daemons that are
// preferred to it.
func (d *duty) takeoverDelay() (fence int64, wait time.Duration) {
	rank := d.manager.Rank(d.name)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peerYielded, time.Duration(rank)*takeoverStep - d.now().Sub(d.peerYieldedAt)
}

// run acquires and renews the lease until ctx ends, and then releases it.
func (d *duty) run(ctx context.Context) {
	for ctx.Err() == nil {
		var wait time.Duration
		switch _, held := d.held(d.now()); {
		case d.manager.isLeaving():
			d.release(ctx)
			wait = d.manager.options.TTL
		case held:
			wait = d.renew(ctx)
		default:
			d.clearHeld()
			wait = d.tryAcquire(ctx)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-d.wake:
		}
		timer.Stop()
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.manager.options.TTL/3)
	defer cancel()
	d.release(releaseCtx)
}

// tryAcquire reads the lease and acquires it if it is free and this daemon's rank
// allows it. It returns the time until the next step.
func (d *duty) tryAcquire(ctx context.Context) time.Duration {
	options := d.manager.options
	yieldedFence, wait := d.takeoverDelay()
	if yieldedFence != 0 && wait > 0 {
		return wait
	}
	current, err := options.Store.Get(ctx, objectKind, d.name)
	if err != nil && !errors.Is(err, objectclient.ErrNotFound) {
		options.Scope.Counter("lease_errors").Inc(1)
		return options.TTL / 4
	}
	version := objectclient.MustNotExist
	if current != nil {
		version = current.Version
	}
	stored := decode(current)
	if d.nonce != "" && stored.Nonce == d.nonce && stored.Fence == 0 && stored.ExpiresMs > 0 {
		// The acquisition took effect although its answer was lost.
		return d.confirmAcquired(version)
	}
	if yieldedFence != 0 && stored.ExpiresMs > 0 && stored.token(version) == yieldedFence {
		return d.acquire(ctx, version)
	}
	expiresIn, known := d.expiresIn(stored, version)
	if !known {
		return options.TTL / 4
	}
	switch {
	case expiresIn > 0:
		d.freeSince = time.Time{}
	case d.freeSince.IsZero():
		d.freeSince = d.now()
	}
	if options.ResumesLease && stored.Holder == options.Holder && expiresIn > 0 {
		options.Logger.Info("resuming the lease of the previous process of this daemon", "duty", d.name, "version", version)
		return d.acquire(ctx, version)
	}
	lease := unheldLease{rank: d.manager.Rank(d.name), ttl: options.TTL, freeSince: d.freeSince, expiresIn: expiresIn}
	acquire, wait := lease.plan(d.now(), options.MaxInterval)
	if !acquire {
		if options.ExpiresByObservation && lease.rank <= 1 {
			// A change of the lease is detected only by reading it, so the first
			// two in rank read it more often than its lifetime.
			wait = min(wait, options.TTL/2)
		}
		return wait
	}
	return d.acquire(ctx, version)
}

// expiresIn returns the time until a lease expires, at most 0 for one that is
// free. known is false until the store has returned its time.
func (d *duty) expiresIn(stored record, version int64) (left time.Duration, known bool) {
	options := d.manager.options
	if !options.ExpiresByObservation {
		storeNow, known := options.Store.Now()
		return time.UnixMilli(stored.ExpiresMs).Sub(storeNow), known
	}
	if stored.ExpiresMs == 0 {
		return 0, true
	}
	if version != d.observedVersion {
		d.observedVersion, d.observedAt = version, d.now()
	}
	return options.TTL - d.now().Sub(d.observedAt), true
}

// expiry returns the end of a lease that is written now, in Unix milliseconds of
// the store's time. If leases expire by observation it is the lifetime in
// milliseconds, which only distinguishes the lease from a released one.
func (d *duty) expiry() int64 {
	options := d.manager.options
	if options.ExpiresByObservation {
		return options.TTL.Milliseconds()
	}
	storeNow, _ := options.Store.Now()
	return storeNow.Add(options.TTL).UnixMilli()
}

func (d *duty) now() time.Time { return d.manager.options.Now() }

// acquire writes a new lease over the object with the given version and returns
// the time until the next step.
func (d *duty) acquire(ctx context.Context, version int64) time.Duration {
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
func (d *duty) confirmAcquired(version int64) time.Duration {
	d.version, d.freeSince = version, time.Time{}
	d.setHeld(version, d.acquireSentAt)
	d.failingSince = time.Time{}
	if _, held := d.held(d.now()); !held {
		// The answer came too late to use the lease; it is acquired again after
		// it has expired.
		d.clearHeld()
		d.nonce = ""
		return d.manager.options.TTL / 2
	}
	d.manager.options.Logger.Info("acquired lease", "duty", d.name, "fence", version)
	d.manager.options.Scope.Counter("lease_acquired").Inc(1)
	return d.renewInterval()
}

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
		options.Logger.Warn("lost the lease: another holder acquired it", "duty", d.name, "fence", fence)
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

// release ends the lease in the store, so that another daemon can acquire it at
// once.
func (d *duty) release(ctx context.Context) {
	fence, held := d.held(d.now())
	d.clearHeld()
	if !held {
		return
	}
	_, err := d.put(ctx, d.version, record{Holder: d.manager.options.Holder, Nonce: d.nonce, Fence: fence})
	d.nonce = ""
	if err != nil {
		d.manager.options.Logger.Warn("cannot release the lease; it stays held until it expires", "duty", d.name, "error", err)
	}
}

// put writes the lease object if it still has the given version.
func (d *duty) put(ctx context.Context, version int64, v record) (*objectclient.Object, error) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return d.manager.options.Store.Put(ctx, objectKind, d.name, version, encoded)
}
