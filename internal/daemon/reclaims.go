package daemon

import (
	"context"
	"time"

	"rattantide/internal/membership"
	"rattantide/internal/routing"
)

// reconcileInterval is the minimum time between two reads of the membership. A
// wave of notices changes it hundreds of times within seconds.
const reconcileInterval = time.Second

// reclaimCounter counts reclaim notices in the trackers, which raises the
// reclaim risk of the affected failure domains.
type reclaimCounter struct {
	table    *membership.Table
	trackers *routing.Trackers
	// countedNotices holds the instances whose notice was counted, for as long
	// as they are under notice.
	countedNotices map[string]bool
}

func newReclaimCounter(table *membership.Table, trackers *routing.Trackers) *reclaimCounter {
	return &reclaimCounter{table: table, trackers: trackers, countedNotices: map[string]bool{}}
}

// Run reconciles after each membership change until ctx ends.
func (r *reclaimCounter) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		changed := r.table.Changed()
		r.reconcile(time.Now())
		timer.Reset(reconcileInterval)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile counts each instance under notice once. Only a reclaim notice sets
// the time at which an instance is expected to be gone; a planned stop does
// not, and is not counted.
func (r *reclaimCounter) reconcile(now time.Time) {
	noticed := map[string]bool{}
	countNotice := func(name, address, domain string, leavingBy time.Time) {
		if leavingBy.IsZero() {
			return
		}
		key := name + "@" + address
		noticed[key] = true
		if !r.countedNotices[key] {
			r.trackers.RecordReclaim(domain, now)
		}
	}
	for _, pool := range r.table.Pools() {
		// Pool creates the pool's tracker; without one, the pool would miss the
		// reclaim.
		r.trackers.Pool(pool)
	}
	for _, pool := range r.table.Pools() {
		for _, u := range r.table.AllUpstreams(pool) {
			countNotice(u.Name, u.Address, u.Domain, u.LeavingBy)
		}
	}
	for _, d := range r.table.AllDaemons() {
		countNotice(d.Name, d.Address, d.Domain, d.LeavingBy)
	}
	r.countedNotices = noticed
}
