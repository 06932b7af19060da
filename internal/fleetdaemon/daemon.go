package fleetdaemon

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/admission"
	"rattantide/internal/bootclock"
	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/fleetsync"
	"rattantide/internal/gateway"
	"rattantide/internal/lease"
	"rattantide/internal/membership"
	"rattantide/internal/peering"
	"rattantide/internal/quota"
	"rattantide/internal/telemetry"
	"rattantide/internal/truetime"
	"rattantide/internal/upstreamconn"
	"rattantide/internal/usage"
	"rattantide/internal/versionmove"
	"rattantide/platform"
)

const (
	// dutyLease is the lease of all duties: they act for the whole deployment.
	dutyLease = "duties"
	// dutyTTL is the lifetime of that lease; a holder that is gone delays usage
	// reports by about this time, and renewals are calls of the store.
	dutyTTL = 4500 * time.Millisecond
	// minRetryAfter is the least delay that refused callers are advised.
	minRetryAfter = 150 * time.Millisecond
	// maxConfigBytes bounds a configuration that another daemon passes on. The
	// platform's values are smaller.
	maxConfigBytes = 8 << 20
	// keyMargin is subtracted from the time for which keys hold without a
	// confirmation, for the way of a request.
	keyMargin = 500 * time.Millisecond
)

// Daemon is one daemon of a deployment. Run must be called once.
type Daemon struct {
	// settings are those of the start; bounds follow the settings file.
	settings *platform.Settings
	bounds   atomic.Pointer[platform.Bounds]
	logger   *log.Logger
	scope    tally.Scope
	metrics  http.Handler
	closer   io.Closer
	process  string
	logDrops func() int64
	wall     func() time.Time
	// wasReady is the readiness at the last look.
	wasReady bool

	store     *platform.Store
	cloud     *platform.Cloud
	holder    *fleetconfig.Holder
	table     *membership.Table
	peers     *peering.Node
	registrar *peering.Registrar
	clock     *truetime.Clock
	conns     *upstreamconn.Pools
	quota     *quota.Keeper
	quotaPool *quota.Pool
	counter   *usage.Counter
	ledger    *usage.Ledger
	leases    *lease.Manager
	lateness  *lateness
	// versions holds what this daemon saw of versions, versionLedger that of all.
	versions      *versionmove.Recorder
	versionLedger *versionmove.Ledger
	follower      *versionmove.Follower
	view          *viewSource
	gateway       *gateway.Server
	config        *fleetsync.ConfigSync
	upstreams     *fleetsync.UpstreamSync
	listed        atomic.Bool
	// registered says that the others were looked up, so that this daemon's part
	// of what all share is known.
	registered atomic.Bool
	instances  atomic.Pointer[[]membership.Instance]
	leaving    atomic.Bool
	// relayNames are the daemons that read the store.
	relayNames atomic.Pointer[[]string]
	// poolNames are the daemons whose pools of quotas this one may take from, in the
	// order of preference.
	poolNames atomic.Pointer[[]string]
	revision  atomic.Int64

	callers, readiness, directory, metricsListener, peerListener net.Listener
}

// Options holds what a Daemon is built from.
type Options struct {
	Settings *platform.Settings
	Logger   *log.Logger
	// LogDrops returns the number of log lines that were dropped.
	LogDrops func() int64
	// Wall returns the instance's time of day, which may jump.
	Wall func() time.Time
}

// New opens the listeners and builds all parts. Nothing runs until Run.
func New(o Options) (*Daemon, error) {
	scope, metrics, closer := telemetry.NewScope()
	s := o.Settings
	d := &Daemon{
		settings: s, logger: o.Logger, logDrops: o.LogDrops, wall: o.Wall,
		scope: scope, metrics: metrics, closer: closer, process: uuid.NewString()[:8],
	}
	d.bounds.Store(&s.Bound)
	if err := d.listen(); err != nil {
		return nil, errors.Trace(err)
	}
	d.buildState()
	if err := d.buildPeers(); err != nil {
		return nil, errors.Trace(err)
	}
	d.buildDuties()
	d.buildMoves()
	d.buildQuota()
	d.buildRequestPath()
	return d, nil
}

func (d *Daemon) listen() error {
	s := d.settings
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{s.CallerAddress, &d.callers}, {s.ReadinessAddress, &d.readiness}, {s.DirectoryAddress, &d.directory},
	} {
		if l.address == "" {
			continue
		}
		var err error
		if *l.listener, err = net.Listen("tcp4", l.address); err != nil {
			return errors.Annotatef(err, "listen on %s", l.address)
		}
	}
	var err error
	if d.metricsListener, err = net.Listen("tcp4", joinPort(s.IP, s.MetricsPort)); err != nil {
		return errors.Annotate(err, "listen for metrics")
	}
	if d.peerListener, err = net.Listen("tcp4", joinPort(s.IP, s.PeerPort)); err != nil {
		return errors.Annotate(err, "listen for daemons")
	}
	return nil
}

// buildState builds what the daemon knows.
func (d *Daemon) buildState() {
	s := d.settings
	calls := &http.Client{Transport: newTransport()}
	d.store = platform.NewStore(platform.StoreOptions{
		Address: s.Store.Address, HTTP: calls, Logger: d.logger, Scope: d.scope, MaxValueBytes: s.Store.MaxValueBytes,
	})
	d.cloud = &platform.Cloud{Address: s.Cloud.Address, Holder: s.Name, HTTP: calls}
	d.holder = fleetconfig.NewHolder()
	d.clock = truetime.New(bootclock.Now, d.wall)
	self := membership.Daemon{Name: s.Name, Address: s.CallerAddress, Domain: s.Domain, Region: s.Region}
	d.table = membership.NewTable(self, membership.Options{Grace: -1, Scope: d.scope})
	fetcher := &fleetsync.ConfigClient{
		HTTP:     &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		MaxBytes: maxConfigBytes, BootNow: bootclock.Now,
	}
	d.config = fleetsync.NewConfigSync(fleetsync.ConfigOptions{
		Store: d.store, Kind: platform.ConfigKind, Name: platform.ConfigName, Decode: platform.DecodeConfig,
		Holder: d.holder, Direct: d.direct, Fetch: fetcher.Fetch, BootNow: bootclock.Now, Logger: d.logger, Scope: d.scope,
	})
	d.upstreams = fleetsync.NewUpstreamSync(fleetsync.UpstreamOptions{
		Store: d.store, Kind: platform.UpstreamKind, Decode: decodeInstance(s.Region), Direct: d.direct, Apply: d.applyUpstreams,
		Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
	})
	d.counter = usage.NewCounter(s.Bound.UsageWindow, d.clock.Now)
	d.ledger = usage.NewLedger()
}

func (d *Daemon) buildPeers() error {
	s := d.settings
	peers, err := peering.New(peering.Options{
		IP: s.IP, Port: s.PeerPort, Name: s.Name, Self: d.report, Full: d.mayHoldDuties, Received: d.received, Asked: d.asked,
		Feed: d.upstreams.Feed, Called: d.called, Important: d.important, Changed: d.applyMembers,
		Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
	})
	if err != nil {
		return errors.Annotate(err, "listen for daemons")
	}
	d.peers = peers
	d.addSeeds(s.Seeds)
	d.registrar = &peering.Registrar{
		Store: d.store, Name: s.Name, IP: s.IP, Add: peers.Add, Logger: d.logger,
		Registered: func() { d.registered.Store(true) },
	}
	return nil
}

// addSeeds makes the daemons known that the settings name.
func (d *Daemon) addSeeds(seeds []string) {
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			d.logger.Warn("seed is not an address", "seed", seed, "error", err)
			continue
		}
		d.peers.Add(host)
	}
}

// buildDuties builds what one daemon at a time does for all.
func (d *Daemon) buildDuties() {
	d.leases = lease.NewManager(lease.Options{
		Store: d.store, Holder: d.settings.Name, Table: d.table, TTL: dutyTTL, Observed: true, ResumeOwn: true, Now: bootclock.Now,
		Yields: d.othersReachedStore, Logger: d.logger, Scope: d.scope,
	})
	d.leases.Want(dutyLease)
}

// buildMoves builds what moves services to other versions.
func (d *Daemon) buildMoves() {
	d.versionLedger = versionmove.NewLedger()
	d.follower = &versionmove.Follower{Store: d.store, Upstreams: d.knownUpstreams, Direct: d.direct, Now: bootclock.Now, Logger: d.logger}
	d.view = &viewSource{holder: d.holder, moves: d.follower.States}
	d.follower.Changed = d.view.reset
}

// buildQuota builds what holds workspaces to their quotas.
func (d *Daemon) buildQuota() {
	bound := func() quota.Bound {
		b := d.bounds.Load()
		return quota.Bound{Window: b.QuotaWindow, Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}
	}
	d.quotaPool = quota.NewPool(quota.PoolOptions{
		Daemons: d.daemons, Bound: bound, Now: bootclock.Now,
	})
	d.quota = quota.NewKeeper(quota.Options{
		Self: d.settings.Name, Holders: d.poolHolders, Pool: d.quotaPool, Source: quotaSource{d.peers},
		Moved: func(from, to string) { d.peers.Tell(from, to) }, Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
	})
}

// buildRequestPath builds what a caller's request passes through.
func (d *Daemon) buildRequestPath() {
	d.lateness = newLateness(d.holder, time.Now)
	admitter := admission.New(admission.Options{LimitWork: true, MinRetryAfter: minRetryAfter, Scope: d.scope})
	d.conns = &upstreamconn.Pools{Scope: d.scope}
	repeats := &admission.RepeatBudget{
		Window: d.settings.Bound.RetryWindow, Now: time.Now,
		Bound: func() (share, fixed float64) {
			b := d.bounds.Load()
			return b.RetryShare, b.RetrySlack * d.part()
		},
	}
	d.versions = &versionmove.Recorder{}
	dispatcher := dispatch.New(dispatch.Options{
		Config: d.view, Table: d.table, Admission: admitter,
		Evidence: dispatch.TableEvidence{Table: d.table}, Observer: observers{d.lateness, d.versions}, Repeats: repeats, FirstInTime: true, Scope: d.scope,
	})
	d.gateway = gateway.New(gateway.Options{
		Codec: platform.Codec{}, Config: d.holder, Chooser: countingChooser{dispatcher, d.lateness}, Conns: d.conns, ConnLimit: d.connLimit,
		Quota: d.quota, Usage: d.counter, Loads: d.table, KeysValidFor: d.keysValidFor,
		Logger: d.logger, Scope: d.scope, BootNow: bootclock.Now, IsDraining: d.leaving.Load,
	})
}

// othersReachedStore reports whether the store answered others, and not this daemon,
// after a moment: the configuration was confirmed then, and not by this daemon.
func (d *Daemon) othersReachedStore(since time.Time) bool {
	config, confirmedAt := d.holder.Current()
	return config != nil && confirmedAt.After(since) && (d.config.Failing() || !d.direct())
}

// daemons returns the number of all daemons, this one included.
func (d *Daemon) daemons() int { return 1 + d.peers.Known() }

// part returns this daemon's part of what all daemons share.
func (d *Daemon) part() float64 { return 1 / float64(d.daemons()) }

// keysValidFor returns how long keys hold without a confirmation.
func (d *Daemon) keysValidFor() time.Duration { return d.bounds.Load().RevokeWithin - keyMargin }

// connLimit returns the bound on connections to one upstream of a service.
func (d *Daemon) connLimit(s *fleetconfig.Service) int {
	if s.MaxConns <= 0 {
		return 0
	}
	return max(1, int(float64(s.MaxConns)*d.part()))
}

// ready reports whether the daemon can serve callers.
func (d *Daemon) ready() bool {
	if d.leaving.Load() || !d.listed.Load() || !d.registered.Load() {
		return false
	}
	config, confirmedAt := d.holder.Current()
	return config != nil && bootclock.Now().Sub(confirmedAt) < d.bounds.Load().RevokeWithin
}
