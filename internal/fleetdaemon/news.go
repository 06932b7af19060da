package fleetdaemon

import (
	"context"
	"time"

	"rattantide/internal/peering"
	"rattantide/internal/upstreamlimit"
)

const (
	// spreadFanout is the number of daemons that news is sent to at once; each of them
	// passes on what is new to it.
	spreadFanout = 8
	// spreadInterval is the minimum time between two sendings of news.
	spreadInterval = 100 * time.Millisecond
)

// announceNews makes spreadNews send this daemon's report soon.
func (d *Daemon) announceNews() {
	select {
	case d.news <- struct{}{}:
	default:
	}
}

// announceLimits is announceNews for limits that upstreams name.
func (d *Daemon) announceLimits() {
	d.haveLimitsChanged.Store(true)
	d.announceNews()
}

// spreadNews applies and sends news until ctx ends, and returns nil.
func (d *Daemon) spreadNews(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.news:
		}
		if d.haveLimitsChanged.Swap(false) {
			d.applyMembers()
		}
		d.peers.Spread(spreadFanout)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(spreadInterval):
		}
	}
}

// applyNews adds what the report of another daemon, which was created at about the time
// at, tells of the era of the store, of version moves, of usage that was reported, of
// upstreams that say that they are leaving, of requests that crash upstreams and of limits
// that upstreams name.
func (d *Daemon) applyNews(r peering.Report, at time.Time) {
	d.applyEra(r)
	d.applyMoves(r)
	d.applyFinalCounts(r)
	d.applyLeaving(r)
	d.applyEvidence(d.promptQuarantine, r, r.Quarantine, at)
	d.applyEvidence(d.requestQuarantine, r, r.RequestQuarantine, at)
	var limits []upstreamlimit.Record
	if d.decodePart(r, "limits", r.UpstreamLimits, &limits) {
		d.namedLimits.Merge(limits, at)
	}
}
