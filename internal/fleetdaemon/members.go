package fleetdaemon

import (
	"sort"
	"time"

	"rattantide/internal/bootclock"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/peering"
	"rattantide/platform"
)

const (
	// usageWindowsSent is how many windows of counts a report carries.
	usageWindowsSent = 3
	// dutySuccessors is how many daemons beside the holder of the duties keep the
	// counts of all.
	dutySuccessors = 2
	// addressTTL is how long callers may use an answer with addresses. A daemon
	// that is gone costs a caller up to a second for each new connection.
	addressTTL = time.Second
)

// decodeInstance returns the decoder of upstream entries. The platform's entries
// name no region, so upstreams count to that of this daemon.
func decodeInstance(region string) func(*objectclient.Object) (membership.Instance, error) {
	return func(o *objectclient.Object) (membership.Instance, error) {
		u, err := platform.DecodeUpstream(o.Name, o.Value)
		u.Region = region
		return u, err
	}
}

// applyUpstreams takes over the list of upstreams.
func (d *Daemon) applyUpstreams(instances []membership.Instance) {
	d.instances.Store(&instances)
	d.listed.Store(true)
	d.applyMembers()
}

// applyMembers gives the membership table the upstreams and the daemons that are
// alive.
func (d *Daemon) applyMembers() {
	list := membership.InstanceList{Revision: d.revision.Add(1)}
	list.Instances = append(list.Instances, membership.Instance{
		Name: d.settings.Name, Address: d.settings.CallerAddress, Domain: d.settings.Domain, Region: d.settings.Region,
		Role: membership.RoleDaemon, State: membership.StateLive,
	})
	peers := d.peers.Peers()
	for _, p := range peers {
		if !p.Stays() {
			continue
		}
		list.Instances = append(list.Instances, membership.Instance{
			Name: p.Name, Address: p.CallerAddress, Domain: p.Domain, Region: d.settings.Region,
			Role: membership.RoleDaemon, State: membership.StateLive,
		})
	}
	if upstreams := d.instances.Load(); upstreams != nil {
		list.Instances = append(list.Instances, *upstreams...)
	}
	d.table.ApplyList(list)
	d.chooseRelays(peers)
	d.choosePools(peers)
}

// report is what this daemon says of itself to others; full adds its counts.
func (d *Daemon) report(full bool) peering.Report {
	s := d.settings
	r := peering.Report{
		Name: s.Name, Process: d.process, IP: s.IP, Domain: s.Domain, CallerAddress: s.CallerAddress,
		Cores: s.Cores, Ready: d.ready(), Leaving: d.leaving.Load(), ConfigAgeMs: -1, WallMs: d.wall().UnixMilli(),
	}
	if config, confirmedAt := d.holder.Current(); config != nil {
		r.ConfigVersion, r.ConfigAgeMs = config.Version, bootclock.Now().Sub(confirmedAt).Milliseconds()
	}
	r.Yielded = d.leases.Yielded(dutyLease)
	r.StoreAway = d.config.Failing()
	r.QuotaFrom = d.quota.Holder()
	r.UpstreamAgeMs = -1
	if revision, age, ok := d.upstreams.Position(); ok {
		r.UpstreamRevision, r.UpstreamAgeMs = revision, age.Milliseconds()
	}
	if moves := d.follower.Tell(); len(moves) > 0 && d.direct() && !r.StoreAway {
		r.Moves = d.encoded("moves", moves)
	}
	if full {
		d.addCounts(&r)
	}
	return r
}

// addCounts adds what the holder of the duties needs of each daemon.
func (d *Daemon) addCounts(r *peering.Report) {
	if len(d.follower.States()) > 0 {
		r.Versions = d.encoded("versions", d.versions.Tallies())
	}
	if d.settings.Cloud.OrdersRunners {
		r.Lateness = d.encoded("lateness", d.lateness.own())
	}
	if d.settings.Cloud.ReportsUsage {
		r.Counts = map[int64]map[string]int64{}
		for window, counts := range d.counter.Windows(usageWindowsSent) {
			r.Counts[window] = counts
		}
	}
}

// mayHoldDuties reports whether this daemon holds the duties or is among those that
// take them over next, and so needs the counts of the others.
func (d *Daemon) mayHoldDuties() bool {
	if _, held := d.held(); held {
		return true
	}
	return d.leases.Rank(dutyLease) <= dutySuccessors
}

// received takes over another daemon's report.
func (d *Daemon) received(r peering.Report, feed peering.Feed, sentAt, receivedAt time.Time) {
	d.quota.Heard(r.Name, sentAt)
	if r.Yielded != 0 {
		d.leases.Offer(dutyLease, r.Yielded)
	}
	if r.UpstreamAgeMs >= 0 {
		d.upstreams.Absorb(feed, r.UpstreamRevision, sentAt.Add(-time.Duration(r.UpstreamAgeMs)*time.Millisecond))
	}
	if r.StoreAway && d.isRelay(r.Name) {
		d.chooseRelays(d.peers.Peers())
	}
	d.clock.Observe(r.Name, time.UnixMilli(r.WallMs), sentAt.Add(receivedAt.Sub(sentAt)/2))
	d.takeMoves(r)
	d.takeVersions(r)
	d.takeLateness(r)
	d.ledger.Set(r.ProcessName(), windowsOf(r.Counts))
	if r.ConfigAgeMs < 0 {
		return
	}
	// The report was made after the question was sent, so what was confirmed
	// then was confirmed no earlier than its age before that.
	confirmedAt := sentAt.Add(-time.Duration(r.ConfigAgeMs) * time.Millisecond)
	d.holder.Confirm(r.ConfigVersion, confirmedAt)
	if config, _ := d.holder.Current(); config == nil || r.ConfigVersion > config.Version {
		d.config.Heard(joinPort(r.IP, d.settings.PeerPort))
	}
}

// entries returns the addresses for a caller: those of its failure domain first.
func (d *Daemon) entries(caller platform.Caller) ([]string, time.Duration) {
	type candidate struct {
		address string
		near    bool
	}
	var found []candidate
	if d.ready() {
		found = append(found, candidate{d.settings.CallerAddress, caller.Domain == d.settings.Domain})
	}
	for _, p := range d.peers.Peers() {
		if p.Serves() {
			found = append(found, candidate{p.CallerAddress, p.Domain == caller.Domain})
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].near && !found[j].near })
	addresses := make([]string, len(found))
	for i, c := range found {
		addresses[i] = c.address
	}
	return addresses, min(addressTTL, d.settings.Bound.MaxAddressTTL)
}
