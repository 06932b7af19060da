package daemon

import (
	"context"
	"time"

	"rattantide/internal/membership"
	"rattantide/internal/routing"
)

// reclaimInterval is the least time between two looks at the membership. A
// wave of notices changes it hundreds of times within seconds.
const reclaimInterval = time.Second

// reclaims raises the reclaim risk of the failure domains of instances under a
// reclaim notice.
type reclaims struct {
	table    *membership.Table
	trackers *routing.Trackers
	// counted holds the instances whose notice was taken into account, as long as
	// they are under it.
	counted map[string]bool
}

func newReclaims(table *membership.Table, trackers *routing.Trackers) *reclaims {
	return &reclaims{table: table, trackers: trackers, counted: map[string]bool{}}
}

// Run follows the membership until ctx ends.
func (r *reclaims) Run(ctx context.Context) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-pause.C:
		case <-ctx.Done():
			return
		}
		changed := r.table.Changed()
		r.reconcile(time.Now())
		pause.Reset(reclaimInterval)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile counts each instance that is under notice once. Only a notice says
// when an instance is expected to be gone; a planned stop does not and is no
// reclaim.
func (r *reclaims) reconcile(now time.Time) {
	noticed := map[string]bool{}
	take := func(name, address, domain string, by time.Time) {
		if by.IsZero() {
			return
		}
		key := name + "@" + address
		noticed[key] = true
		if !r.counted[key] {
			r.trackers.Reclaimed(domain, now)
		}
	}
	for _, pool := range r.table.Pools() {
		// A pool without a tracker would miss the reclaim.
		r.trackers.Pool(pool)
	}
	for _, pool := range r.table.Pools() {
		for _, u := range r.table.AllUpstreams(pool) {
			take(u.Name, u.Address, u.Domain, u.LeavingBy)
		}
	}
	for _, d := range r.table.AllDaemons() {
		take(d.Name, d.Address, d.Domain, d.LeavingBy)
	}
	r.counted = noticed
}
