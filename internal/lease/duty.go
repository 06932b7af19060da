package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

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
	version  objectclient.Revision
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
	observedVersion objectclient.Revision
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
func (d *duty) put(ctx context.Context, version objectclient.Revision, v record) (*objectclient.Object, error) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return d.manager.options.Store.Put(ctx, objectKind, d.name, version, encoded)
}
