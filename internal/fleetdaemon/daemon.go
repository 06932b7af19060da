package fleetdaemon

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/admission"
	"rattantide/internal/bootclock"
	"rattantide/internal/callerbudget"
	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/fleetload"
	"rattantide/internal/fleetsync"
	"rattantide/internal/gateway"
	"rattantide/internal/lease"
	"rattantide/internal/membership"
	"rattantide/internal/peering"
	"rattantide/internal/quarantine"
	"rattantide/internal/quota"
	"rattantide/internal/routing"
	"rattantide/internal/telemetry"
	"rattantide/internal/truetime"
	"rattantide/internal/upstreamconn"
	"rattantide/internal/upstreamlimit"
	"rattantide/internal/upstreampath"
	"rattantide/internal/upstreamstate"
	"rattantide/internal/usage"
	"rattantide/internal/versionmove"
	"rattantide/platform"
)

const (
	// dutyLease is the name of the lease under which one daemon runs the duties of
	// the whole deployment.
	dutyLease = "duties"
	// dutyLeaseTTL is the lifetime of dutyLease. The failure of the holder delays
	// usage reports by about this time; each renewal costs a call of the store.
	dutyLeaseTTL = 4500 * time.Millisecond
	// minRetryAfter is the shortest Retry-After delay of refused requests.
	minRetryAfter = 150 * time.Millisecond
	// maxConfigBytes bounds a configuration that is fetched from another daemon.
	// Values of the platform's store are smaller.
	maxConfigBytes = 8 << 20
	// keyValidityMargin is subtracted from the time for which keys are valid without
	// a confirmation, to allow for the transit time of a request.
	keyValidityMargin = 500 * time.Millisecond
)

// Daemon is one daemon of a deployment. Run must be called once.
type Daemon struct {
	// settings are those that the daemon was started with; bounds follow changes of
	// the settings file.
	settings    *platform.Settings
	features    Features
	bounds      atomic.Pointer[platform.Bounds]
	logger      *log.Logger
	scope       tally.Scope
	metrics     http.Handler
	scopeCloser io.Closer
	// process distinguishes this process from earlier ones of the same daemon.
	process         string
	droppedLogLines func() int64
	wall            func() time.Time
	reloads         <-chan os.Signal
	// wasReady is the readiness that logReadiness logged last.
	wasReady bool

	store     *platform.Store
	cloud     *platform.Cloud
	holder    *fleetconfig.Holder
	table     *membership.Table
	peers     *peering.Node
	registrar *peering.Registrar
	clock     *truetime.Clock
	conns     *upstreamconn.Pools
	// paths judges the paths of conns. helpers chooses the daemons to which requests are
	// forwarded over helperConns.
	paths       *upstreampath.Monitor
	helpers     *helpers
	helperConns *upstreamconn.Pools
	quota       *quota.Limiter
	quotaPool   *quota.Pool
	counter     *usage.Counter
	ledger      *usage.Ledger
	finals      *usage.Finals
	era         *eraTracker
	leases      *lease.Manager
	latencies   *latencyTracker
	// versionRecorder tallies the results of this daemon's requests by version;
	// versionLedger holds the tallies of all daemons.
	versionRecorder *versionmove.Recorder
	versionLedger   *versionmove.Ledger
	follower        *versionmove.Follower
	view            *viewSource
	gateway         *gateway.Server
	// callerBytes bounds what the requests of callers hold, callerConns their connections.
	callerBytes, callerConns *callerbudget.Budget
	byteReport, connReport   *budgetReport
	routes                   *routeExplainer
	config                   *fleetsync.ConfigSync
	upstreams                *fleetsync.UpstreamSync
	// evacuations is nil if the deployment has none.
	evacuations *fleetsync.EvacuationSync
	// upstreamLimit limits the requests to upstreams that have just started, and to those
	// with a limit in namedLimits.
	upstreamLimit *upstreamlimit.Limiter
	namedLimits   *upstreamlimit.Named
	// promptQuarantine judges the shared parts of prompts, requestQuarantine whole requests.
	promptQuarantine, requestQuarantine *quarantine.Tracker
	// news wakes spreadNews, and haveLimitsChanged makes it apply the limits of upstreams.
	news              chan struct{}
	haveLimitsChanged atomic.Bool
	// upstreamsListed reports whether the list of upstreams was read.
	upstreamsListed atomic.Bool
	// registeredAt is when the entries of the other daemons were first read, so that the
	// number of daemons, and with it fleetShare, is known; nil before.
	registeredAt atomic.Pointer[time.Time]
	// instances are the upstreams of the latest list.
	instances atomic.Pointer[[]membership.Instance]
	draining  atomic.Bool
	// relayNames are the daemons that read the store themselves.
	relayNames atomic.Pointer[[]string]
	// quotaPoolNames are the daemons whose quota pools this daemon may take from, in
	// order of preference.
	quotaPoolNames atomic.Pointer[[]string]
	// fleet is the set of daemons, with those that collect the state of upstreams and the load
	// of the fleet.
	fleet atomic.Pointer[upstreamstate.Fleet]
	// upstreamStore is the state of upstreams that the daemons exchange.
	upstreamStore *upstreamstate.Store
	// slowLogs holds the latest log line on slow upstreams by pool.
	slowLogs map[string]slowLog
	// servingPeers are the names of the other daemons that serve.
	servingPeers atomic.Pointer[[]string]
	// reportAdmission updates the metrics of admission and logs changes of its rule.
	reportAdmission func()
	// fleetLoads exchanges the demand and the capacity with the other daemons.
	fleetLoads *fleetload.Exchange
	// revision is that of the instance list that applyMembers passed to table last.
	revision atomic.Int64

	callers, readiness, directory, metricsListener, peerListener net.Listener
}

// Options configures a Daemon. All fields except Reloads are required.
type Options struct {
	Settings *platform.Settings
	Logger   *log.Logger
	// DroppedLogLines returns the number of log lines that were dropped.
	DroppedLogLines func() int64
	// Wall returns the instance's wall-clock time, which may jump.
	Wall func() time.Time
	// Reloads receives the signals that the settings file has changed.
	Reloads <-chan os.Signal
	// Features are the features to switch on.
	Features Features
}

// New opens the listeners and builds the components. Nothing runs until Run.
func New(o Options) (*Daemon, error) {
	scope, metrics, closer := telemetry.NewScope()
	s := o.Settings
	d := &Daemon{
		settings: s, features: o.Features, logger: o.Logger, droppedLogLines: o.DroppedLogLines, wall: o.Wall, reloads: o.Reloads,
		scope: scope, metrics: metrics, scopeCloser: closer, process: uuid.NewString()[:8],
	}
	d.bounds.Store(&s.Bounds)
	if err := d.listen(); err != nil {
		return nil, errors.Trace(err)
	}
	d.news = make(chan struct{}, 1)
	d.buildState()
	d.buildUpstreamPaths()
	d.buildQuarantines()
	if err := d.buildPeers(); err != nil {
		return nil, errors.Trace(err)
	}
	d.buildDuties()
	d.buildVersionMoves()
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
		return errors.Annotate(err, "listen for TCP connections of other daemons")
	}
	return nil
}

// buildState builds the clients of the platform and the state of the daemon:
// configuration, upstreams, clock and usage counts.
func (d *Daemon) buildState() {
	s := d.settings
	d.store = platform.NewStore(platform.StoreOptions{
		Address: s.Store.Address, HTTP: newPlatformClient(d.scope), Logger: d.logger, Scope: d.scope, MaxValueBytes: s.Store.MaxValueBytes,
	})
	d.cloud = &platform.Cloud{Address: s.Cloud.Address, Holder: s.Name, HTTP: newPlatformClient(d.scope)}
	d.holder = fleetconfig.NewHolder()
	d.clock = truetime.New(bootclock.Now, d.wall)
	self := membership.Daemon{Name: s.Name, Address: s.CallerAddress, Domain: s.Domain, Region: s.Region}
	d.table = membership.NewTable(self, membership.Options{AbsenceGrace: -1, Scope: d.scope})
	fetcher := &fleetsync.ConfigClient{
		HTTP:     newPeerClient(),
		MaxBytes: maxConfigBytes, BootNow: bootclock.Now,
	}
	d.config = fleetsync.NewConfigSync(fleetsync.ConfigOptions{
		Store: d.store, Kind: platform.ConfigKind, Name: platform.ConfigName, Decode: platform.DecodeConfig,
		Holder: d.holder, ReaderRank: d.readerRank, Fetch: fetcher.Fetch, BootNow: bootclock.Now, Logger: d.logger, Scope: d.scope,
	})
	d.upstreams = fleetsync.NewUpstreamSync(fleetsync.UpstreamOptions{
		Store: d.store, Kind: platform.UpstreamKind, Decode: newInstanceDecoder(s.Region), ReaderRank: d.readerRank, Apply: d.applyUpstreams,
		Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
	})
	d.upstreamStore, d.slowLogs = upstreamstate.NewStore(), map[string]slowLog{}
	d.upstreamLimit = upstreamlimit.NewLimiter(s.Name, bootclock.Now)
	d.namedLimits = upstreamlimit.NewNamed(upstreamlimit.NamedOptions{OnChange: d.announceLimits, Now: bootclock.Now, Logger: d.logger})
	if s.Bounds.EvacuateWithin > 0 {
		d.evacuations = fleetsync.NewEvacuationSync(fleetsync.EvacuationOptions{
			Store: d.store, Kind: platform.EvacuationKind, ReaderRank: d.readerRank, OnChange: d.applyMembers,
			Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
		})
	}
	d.counter = usage.NewCounter(s.Bounds.UsageWindow, d.clock.Now)
	d.ledger, d.finals = usage.NewLedger(), usage.NewFinals()
	d.era = &eraTracker{eras: d.store.Eras(), now: d.clock.Now, onRise: d.recordEraRise}
}

func (d *Daemon) buildPeers() error {
	s := d.settings
	peers, err := peering.New(peering.Options{
		IP: s.IP, Port: s.PeerPort, Name: s.Name, Process: d.process, SelfReport: d.report, NeedsFull: d.isDutyCandidate, OnReport: d.handleReport, OnRequest: d.handlePeerRequest,
		Feed: d.upstreams.Feed, HandleCall: d.handleCall, HasPriority: d.isCriticalPeer, OnChange: d.applyMembers,
		Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
	})
	if err != nil {
		return errors.Annotate(err, "listen for UDP messages of other daemons")
	}
	d.peers = peers
	peers.Subscribe(peering.TopicUpstreamState, d.handleUpstreamState)
	d.addSeeds(s.Seeds)
	d.registrar = &peering.Registrar{
		Store: d.store, Name: s.Name, IP: s.IP, Add: peers.Add, Logger: d.logger,
		ReadsStore: d.readsStore, OnRegistered: d.recordRegistration,
	}
	return nil
}

// recordRegistration records the time of the first registration.
func (d *Daemon) recordRegistration() {
	now := bootclock.Now()
	d.registeredAt.CompareAndSwap(nil, &now)
}

// addSeeds adds the daemons at the seed addresses as peers. The ports are ignored, as
// all daemons use the same peer port.
func (d *Daemon) addSeeds(seeds []string) {
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			d.logger.Warn("seed is not a valid address", "seed", seed, "error", err)
			continue
		}
		d.peers.Add(host)
	}
}

// buildDuties builds the lease manager and requests the lease of the duties.
func (d *Daemon) buildDuties() {
	d.leases = lease.NewManager(lease.Options{
		Store: d.store, Holder: d.settings.Name, Table: d.table, TTL: dutyLeaseTTL, ExpiresByObservation: true, ResumesLease: true, Now: bootclock.Now, IsSettled: d.isSettled,
		PeersReachStore: d.peersReachedStore, Logger: d.logger, Scope: d.scope,
	})
	d.leases.Want(dutyLease)
}

// buildVersionMoves builds the components that follow version moves of services.
func (d *Daemon) buildVersionMoves() {
	d.versionLedger = versionmove.NewLedger()
	d.follower = &versionmove.Follower{Store: d.store, Upstreams: d.knownUpstreams, ReadsStore: func() bool { return d.readerRank() == 0 }, Now: bootclock.Now, Logger: d.logger}
	d.view = &viewSource{holder: d.holder, moves: d.follower.RoutedStates}
	d.follower.OnChange = d.applyMoveChange
}

// buildRequestPath builds the components that process a caller's request.
func (d *Daemon) buildRequestPath() {
	d.latencies = newLatencyTracker(d.holder, time.Now)
	admitter := admission.New(admission.Options{LimitWork: true, DividePriorities: d.features.AdmitByPriority, HasQuotas: d.hasQuotas, FleetNow: d.clock.Now, MinRetryAfter: minRetryAfter, Logger: d.logger, Scope: d.scope})
	d.reportAdmission = admitter.Report
	d.buildFleetLoads(admitter)
	retryBudget := &admission.RepeatBudget{
		Window: d.settings.Bounds.RetryWindow, Now: time.Now,
		Bound: func() (share, fixed float64) {
			b := d.bounds.Load()
			return b.RetryShare, b.RetrySlack * d.fleetShare()
		},
	}
	d.versionRecorder = &versionmove.Recorder{}
	dispatcher := dispatch.New(dispatch.Options{
		Config: d.view, Table: d.table, Admission: admitter, Trackers: &routing.Trackers{OnSlowness: d.recordSlowness},
		Policy: newPolicy(d.features), Prompts: d.promptMixes(), PauseTarget: d.pauseTarget,
		Evidence: dispatch.TableEvidenceRecorder{Table: d.table}, Observer: multiObserver{d.latencies, d.versionRecorder}, Starts: d.versionRecorder, RepeatBudget: retryBudget, EnforceFirstTarget: true, Scope: d.scope,
	})
	d.routes = newRouteExplainer(d.settings.Name, d.holder, dispatcher)
	d.callerBytes, d.callerConns = callerbudget.New(requestBytes(d.settings)), callerbudget.New(maxCallerConns(d.settings))
	d.byteReport = newBudgetReport("bytes", d.callerBytes, d.logger, d.scope)
	d.connReport = newBudgetReport("connections", d.callerConns, d.logger, d.scope)
	d.gateway = gateway.New(gateway.Options{
		Codec: platform.Codec{}, Config: d.holder, Chooser: countingChooser{dispatcher, d.latencies}, Conns: d.conns, ConnLimit: d.connLimit,
		Quota: d.quota, Usage: d.counter, Loads: loadRecorder{d}, UpstreamStates: upstreamStates{d}, UpstreamLimit: d.upstreamLimit, LimitRecorder: d.namedLimits, PromptQuarantine: d.promptQuarantine, RequestQuarantine: d.requestQuarantine, KeysValidFor: d.keysValidFor,
		CallerBudget: d.callerBytes, Paths: d.paths, Forwarder: d.newForwarder(), Logger: d.logger, Scope: d.scope, BootNow: bootclock.Now,
	})
}
