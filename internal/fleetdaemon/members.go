package fleetdaemon

import (
	"slices"
	"sort"
	"time"

	"rattantide/internal/bootclock"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/peering"
	"rattantide/internal/upstreamlimit"
	"rattantide/platform"
)

const (
	// usageWindowsSent is the number of windows for which a report carries usage
	// counts.
	usageWindowsSent = 3
	// dutySuccessors is the number of daemons besides the holder of the duties that
	// collect the counts of all daemons.
	dutySuccessors = 2
	// addressTTL is how long callers may use a list of addresses. The address of a
	// failed daemon costs a caller up to a second for each new connection.
	addressTTL = time.Second
)

// newInstanceDecoder returns a decoder of upstream entries. The platform's entries
// do not name a region, so upstreams are assigned to region, that of this daemon.
func newInstanceDecoder(region string) func(*objectclient.Object) (membership.Instance, error) {
	return func(o *objectclient.Object) (membership.Instance, error) {
		u, err := platform.DecodeUpstream(o.Name, o.Value)
		u.Region = region
		return u, err
	}
}

// applyUpstreams replaces the list of upstreams.
func (d *Daemon) applyUpstreams(instances []membership.Instance) {
	d.instances.Store(&instances)
	d.upstreamsListed.Store(true)
	d.applyMembers()
}

// listedUpstreams returns the upstreams that the store lists.
func (d *Daemon) listedUpstreams() []membership.Instance {
	if upstreams := d.instances.Load(); upstreams != nil {
		return *upstreams
	}
	return nil
}

// knownUpstreams returns the listed upstreams with the states that the table knows.
func (d *Daemon) knownUpstreams() []membership.Instance {
	upstreams := slices.Clone(d.listedUpstreams())
	for _, l := range d.table.LeavingUpstreams() {
		i := slices.IndexFunc(upstreams, func(u membership.Instance) bool { return u.Name == l.Name && u.Address == l.Address })
		if i >= 0 {
			upstreams[i].State = membership.StateLeaving
		}
	}
	return upstreams
}

// applyMembers updates the membership table with the upstreams and the live daemons,
// and chooses relays, quota pools and collectors among the daemons.
func (d *Daemon) applyMembers() {
	list := membership.InstanceList{Revision: d.revision.Add(1)}
	list.Instances = append(list.Instances, membership.Instance{
		Name: d.settings.Name, Address: d.settings.CallerAddress, Domain: d.settings.Domain, Region: d.settings.Region,
		Role: membership.RoleDaemon, State: membership.StateLive,
	})
	peers := d.peers.Peers()
	for _, p := range peers {
		if !p.IsAvailable() {
			continue
		}
		list.Instances = append(list.Instances, membership.Instance{
			Name: p.Name, Address: p.CallerAddress, Domain: p.Domain, Region: d.settings.Region,
			Role: membership.RoleDaemon, State: membership.StateLive,
		})
	}
	d.limitUpstreams(list.Instances)
	for _, u := range d.listedUpstreams() {
		// Requests in progress end by themselves.
		u.Withheld = d.isEvacuated(u.Domain) || !d.upstreamLimit.IsAssigned(u.Name)
		list.Instances = append(list.Instances, u)
	}
	d.table.ApplyList(list)
	d.upstreamStore.SetUpstreams(d.usableProcesses())
	d.setUpstreamPaths()
	d.chooseRelays(peers)
	d.chooseQuotaPools(peers)
	d.chooseCollectors(peers)
}

// limitUpstreams updates the limits of the upstreams: of those that have just started, and
// of those that name one.
func (d *Daemon) limitUpstreams(daemons []membership.Instance) {
	config, _ := d.holder.Current()
	if config == nil {
		return
	}
	var limits []upstreamlimit.Limit
	for _, u := range d.listedUpstreams() {
		named, isNamed := d.namedLimits.Limit(u.Name)
		service := config.Services[u.Pool]
		switch {
		case u.IsStarting && service != nil && service.StartingPerSecond > 0:
			tolerated := service.StartingPerSecond * d.bounds.Load().StartOvershoot
			if isNamed {
				tolerated = min(tolerated, named)
			}
			limits = append(limits, upstreamlimit.Limit{Upstream: u.Name, RequestsPerSecond: tolerated, IsStarting: true, Duration: service.StartDuration})
		case isNamed:
			limits = append(limits, upstreamlimit.Limit{Upstream: u.Name, RequestsPerSecond: named})
		}
	}
	names := make([]string, len(daemons))
	for i := range daemons {
		names[i] = daemons[i].Name
	}
	d.upstreamLimit.Update(limits, names)
}

// isEvacuated reports whether nothing may be sent to the upstreams of a failure domain.
func (d *Daemon) isEvacuated(domain string) bool {
	return d.evacuations != nil && d.evacuations.Includes(domain)
}

// report returns the report that this daemon sends to its peers; full adds the
// counts for the holder of the duties.
func (d *Daemon) report(full bool) peering.Report {
	s := d.settings
	r := peering.Report{
		Name: s.Name, Process: d.process, IP: s.IP, Domain: s.Domain, CallerAddress: s.CallerAddress,
		Cores: s.Cores, Ready: d.ready(), Leaving: d.draining.Load(), ConfigAgeMs: -1, WallMs: d.wall().UnixMilli(),
	}
	if config, confirmedAt := d.holder.Current(); config != nil {
		r.ConfigVersion, r.ConfigAgeMs = config.Version, bootclock.Now().Sub(confirmedAt).Milliseconds()
	}
	era, since := d.era.current()
	r.Era, r.EraSinceMs = era, since.UnixMilli()
	r.YieldedToken = d.leases.YieldedFence(dutyLease)
	r.StoreUnavailable = d.config.IsStoreFailing()
	r.LostPools, r.LacksUpstreams = d.paths.Lost()
	r.QuotaSource = d.quota.Holder()
	r.UpstreamAgeMs = -1
	if revision, age, ok := d.upstreams.Position(); ok {
		r.UpstreamRevision, r.UpstreamAgeMs = revision, age.Milliseconds()
	}
	if d.evacuations != nil {
		r.Evacuation = d.evacuations.Report()
	}
	r.Quarantine = d.encodeEvidence(d.promptQuarantine)
	r.RequestQuarantine = d.encodeEvidence(d.requestQuarantine)
	if limits := d.namedLimits.Records(); len(limits) > 0 {
		r.UpstreamLimits = d.encodePart("limits", limits)
	}
	if leaving := d.table.LeavingUpstreams(); len(leaving) > 0 {
		r.LeavingUpstreams = d.encodePart("leaving", leaving)
	}
	if moves := d.follower.Snapshot(); len(moves) > 0 {
		r.MoveStates = d.encodePart("moves", moves)
	}
	if full {
		d.addCounts(&r)
	}
	if _, held := d.fencingToken(); full || held {
		d.addFinalCounts(&r)
	}
	return r
}

// addFinalCounts adds the final counts that the next holders of the duties must not deviate
// from.
func (d *Daemon) addFinalCounts(r *peering.Report) {
	if finals := d.finals.Windows(); len(finals) > 0 {
		r.FinalCounts = d.encodePart("finals", finals)
	}
}

// addCounts adds the counts that the holder of the duties needs from each daemon.
func (d *Daemon) addCounts(r *peering.Report) {
	if moves := d.follower.States(); len(moves) > 0 {
		isMoving := func(service string) bool { _, ok := moves[service]; return ok }
		r.VersionTallies = d.encodePart("versions", d.versionRecorder.Tallies(isMoving))
	}
	if d.settings.Cloud.OrdersRunners {
		r.LatencyHistograms = d.encodePart("lateness", d.latencies.histograms())
	}
	if d.settings.Cloud.ReportsUsage {
		r.RequestCounts = map[int64]map[string]int64{}
		for window, counts := range d.counter.Windows(usageWindowsSent) {
			r.RequestCounts[window] = counts
		}
	}
}

// isDutyCandidate reports whether this daemon holds the duties or is among their next
// holders, and therefore needs the counts of the other daemons.
func (d *Daemon) isDutyCandidate() bool {
	if _, held := d.fencingToken(); held {
		return true
	}
	return d.leases.Rank(dutyLease) <= dutySuccessors
}

// handleReport processes the report of another daemon. sentAt is when this daemon
// sent its request, receivedAt when the report arrived.
func (d *Daemon) handleReport(r peering.Report, feed peering.Feed, sentAt, receivedAt time.Time) {
	d.quota.RecordAnswer(r.Name, sentAt)
	if r.YieldedToken != 0 {
		d.leases.RecordYield(dutyLease, r.YieldedToken)
	}
	if r.UpstreamAgeMs >= 0 {
		d.upstreams.ApplyFeed(feed, r.UpstreamRevision, sentAt.Add(-time.Duration(r.UpstreamAgeMs)*time.Millisecond))
	}
	if d.evacuations != nil {
		d.evacuations.ApplyReport(r.Evacuation, sentAt)
	}
	if r.StoreUnavailable && d.isRelay(r.Name) {
		d.chooseRelays(d.peers.Peers())
	}
	d.clock.Observe(r.Name, time.UnixMilli(r.WallMs), sentAt.Add(receivedAt.Sub(sentAt)/2))
	d.applyNews(r, receivedAt)
	d.applyVersionTallies(r)
	d.applyLatencies(r)
	d.ledger.Merge(r.ProcessName(), usageWindows(r.RequestCounts))
	if r.ConfigAgeMs < 0 {
		return
	}
	// The report was created after the request was sent at sentAt, so its
	// configuration was confirmed no earlier than ConfigAgeMs before sentAt.
	confirmedAt := sentAt.Add(-time.Duration(r.ConfigAgeMs) * time.Millisecond)
	d.holder.Confirm(r.ConfigVersion, confirmedAt)
	if config, _ := d.holder.Current(); config == nil || r.ConfigVersion > config.Version {
		d.config.RefreshFrom(joinPort(r.IP, d.settings.PeerPort))
	}
}

// directoryShare is the least share of the serving daemons that are listed when those that
// reach no upstream are left out. With fewer, these are listed as well.
const directoryShare = 0.25

// resolve returns the addresses of the daemons that serve, those in the caller's
// failure domain first, and how long the caller may use them. Daemons that reach no
// upstream are left out while enough others serve.
func (d *Daemon) resolve(caller platform.CallerLocation) ([]string, time.Duration) {
	type candidate struct {
		address    string
		sameDomain bool
	}
	var reaching, lacking []candidate
	add := func(address, domain string, lacksUpstreams bool) {
		c := candidate{address, domain == caller.Domain}
		if lacksUpstreams {
			lacking = append(lacking, c)
		} else {
			reaching = append(reaching, c)
		}
	}
	if d.ready() {
		_, lacksUpstreams := d.paths.Lost()
		add(d.settings.CallerAddress, d.settings.Domain, lacksUpstreams)
	}
	for _, p := range d.peers.Peers() {
		if p.Serves() {
			add(p.CallerAddress, p.Domain, p.LacksUpstreams)
		}
	}
	candidates := reaching
	if float64(len(reaching)) < directoryShare*float64(len(reaching)+len(lacking)) {
		candidates = append(candidates, lacking...)
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].sameDomain && !candidates[j].sameDomain })
	addresses := make([]string, len(candidates))
	for i, c := range candidates {
		addresses[i] = c.address
	}
	return addresses, min(addressTTL, d.settings.Bounds.MaxAddressTTL)
}
