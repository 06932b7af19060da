package fleetdaemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/admin"
	"rattantide/internal/autoscale"
	"rattantide/internal/bootclock"
	"rattantide/internal/fleetload"
	"rattantide/internal/fleetsync"
	"rattantide/internal/framing"
	"rattantide/internal/gateway"
	"rattantide/internal/keptconn"
	"rattantide/internal/periodic"
	"rattantide/internal/responsehead"
	"rattantide/internal/routeexplain"
	"rattantide/internal/usage"
	"rattantide/internal/versionmove"
	"rattantide/platform"
)

const (
	// callerIdleTimeout is how long an idle connection of a caller stays open if the
	// configuration does not set that.
	callerIdleTimeout = 60 * time.Second
	// headerTimeout bounds the time in which a caller must send the request header, if the
	// configuration does not set that.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a caller's request, and of a response of the
	// platform or of another daemon. The configuration's bound for callers may be lower.
	maxHeaderBytes = 64 << 10
	// maintenanceInterval is the time between calls of maintain.
	maintenanceInterval = time.Second
	// lingerTTLs is how long a draining daemon still accepts connections, in multiples
	// of the lifetime of the addresses that callers hold.
	lingerTTLs = 1.5
	// shutdownMargin is the time at the end of the grace period that is reserved for
	// the shutdown after the drain, and answerMargin the time before that in which the
	// requests that are still open are answered.
	shutdownMargin = 500 * time.Millisecond
	answerMargin   = 250 * time.Millisecond
)

// Run serves until ctx ends, then drains and returns nil. If a component fails, Run
// stops without a drain and returns the error.
func (d *Daemon) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return d.config.Run(workCtx) })
	group.Go(func() error { return d.upstreams.Run(workCtx) })
	group.Go(func() error { return d.paths.Run(workCtx) })
	if d.evacuations != nil {
		group.Go(func() error { return d.evacuations.Run(workCtx) })
	}
	group.Go(func() error { return d.peers.Run(workCtx) })
	group.Go(func() error { return d.leases.Run(workCtx) })
	group.Go(func() error { return d.registrar.Run(workCtx) })
	group.Go(func() error { return d.spreadNews(workCtx) })
	group.Go(func() error { return d.exchangeUpstreamStates(workCtx) })
	group.Go(func() error { return periodic.Every(workCtx, maintenanceInterval, d.maintain) })
	group.Go(func() error { return d.followSettings(workCtx) })
	if d.features.AdmitByPriority {
		group.Go(func() error {
			return periodic.Every(workCtx, fleetload.TickInterval, func(context.Context) { d.fleetLoads.Tick() })
		})
	}
	d.startDuties(workCtx, group)
	callers, peerServer, servers := d.startServers(group)
	d.logger.Info("daemon started", "daemon", d.settings.Name, "process", d.process, "address", d.settings.CallerAddress,
		"domain", d.settings.Domain, "seeds", d.settings.Seeds)
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			d.drain(callers, peerServer)
		case <-workCtx.Done():
		}
		_ = callers.Close()
		for _, s := range servers {
			_ = s.Close()
		}
		return nil
	})
	err := group.Wait()
	d.conns.Close()
	d.helperConns.Close()
	d.scopeCloser.Close()
	d.logger.Info("daemon stopped", "daemon", d.settings.Name, "error", err)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Trace(err)
}

// startDuties starts the controllers that act while this daemon holds the lease of
// the duties, and the follower of version moves, which acts on every daemon.
func (d *Daemon) startDuties(ctx context.Context, group *errgroup.Group) {
	var capacity *autoscale.Controller
	moves := versionmove.NewController(versionmove.ControllerOptions{
		Declarations: &platform.Rollouts{Store: d.store, Logger: d.logger}, Store: d.store, Ledger: d.versionLedger,
		Limits: d.exposureLimits, Processes: d.liveProcesses, Upstreams: d.knownUpstreams, Known: d.follower.Known, OnChange: d.follower.ApplyWritten, Collect: d.collectTallies, Held: d.fencingToken, Now: d.clock.Now, Logger: d.logger,
		Needed: func(service string) int {
			if capacity == nil {
				return 0
			}
			return capacity.Target(service)
		},
	})
	if d.settings.Cloud.Address != "" && d.settings.Cloud.OrdersRunners {
		roles := &moveRoles{moves: moves, follower: d.follower, now: bootclock.Now}
		capacity = autoscale.New(autoscale.Options{
			Config: d.holder, Store: d.store, Sender: d.cloud, Upstreams: d.knownUpstreams, IsEvacuated: d.isEvacuated, LatencySummary: d.latencies.ForService, IsPaused: roles.isUnknown, Move: roles.move, Held: d.fencingToken,
			Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
		})
		group.Go(func() error { return capacity.Run(ctx) })
	}
	group.Go(func() error { return moves.Run(ctx) })
	group.Go(func() error { return d.follower.Run(ctx) })
	if d.settings.Cloud.Address != "" && d.settings.Cloud.ReportsUsage {
		reporter := usage.NewReporter(usage.ReporterOptions{
			Store: d.store, Sender: d.cloud, Counter: d.counter, Ledger: d.ledger, Finals: d.finals, StoreSince: d.era.knownSince, OnFinal: d.announceNews, Held: d.fencingToken, Now: d.clock.Now,
			Collect: d.peers.Collect, Logger: d.logger, Scope: d.scope,
			StaleFence: func(err error) bool { return errors.Is(err, platform.ErrStaleFence) },
		})
		group.Go(func() error { return reporter.Run(ctx) })
	}
}

// fencingToken returns the fencing token of the duties and whether this daemon holds
// them.
func (d *Daemon) fencingToken() (int64, bool) { return d.leases.Held(dutyLease) }

// startServers starts the server of the callers, that of the other daemons, and the rest;
// servers holds all but the first.
func (d *Daemon) startServers(group *errgroup.Group) (callers *callerServers, peerServer *http.Server, servers []*http.Server) {
	callers = &callerServers{handler: d.gateway, config: d.holder, listener: d.callers, conns: d.callerConns, logger: d.logger}
	group.Go(func() error { return errors.Annotate(callers.Serve(), "serve callers") })
	serve := func(l net.Listener, handler http.Handler) *http.Server {
		if l == nil {
			return nil
		}
		s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
		framing.Protect(s, d.logger)
		servers = append(servers, s)
		group.Go(func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return errors.Annotatef(err, "serve %s", l.Addr())
			}
			return nil
		})
		return s
	}
	serve(d.readiness, platform.ReadinessHandler(d.ready))
	serve(d.directory, platform.DirectoryHandler(d.resolve))
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/", d.metrics)
	metricsMux.Handle("GET "+admin.Prefix+routeexplain.Path, d.routes)
	serve(d.metricsListener, metricsMux)
	peerMux := http.NewServeMux()
	peerMux.Handle("GET "+fleetsync.ConfigPath, &fleetsync.ConfigHandler{Source: d.config.Snapshot, BootNow: bootclock.Now})
	peerServer = serve(d.peerListener, d.servePeer(peerMux))
	return callers, peerServer, servers
}

// drain announces that the daemon is draining, lingers until callers no longer use its
// address, and waits for the open requests, all within the grace period.
func (d *Daemon) drain(callers *callerServers, peerServer *http.Server) {
	d.logger.Info("daemon is draining", "daemon", d.settings.Name, "open", d.gateway.OpenRequests())
	grace := d.settings.Bounds.Grace - shutdownMargin
	deadline := bootclock.Now().Add(grace)
	linger := min(time.Duration(lingerTTLs*float64(min(addressTTL, d.settings.Bounds.MaxAddressTTL))), grace/2)
	d.gateway.BeginDrain(gateway.Drain{AcceptUntil: time.Now().Add(linger), EndAt: time.Now().Add(grace - answerMargin)})
	d.draining.Store(true)
	d.peers.Announce()
	time.Sleep(linger)
	end := time.AfterFunc(deadline.Sub(bootclock.Now())-answerMargin, d.gateway.EndRequests)
	defer end.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(bootclock.Now()))
	defer cancel()
	// The other servers, such as the readiness check of the platform, stay open until those
	// of the callers and of forwarded requests have shut down.
	err := callers.Shutdown(ctx)
	if err == nil {
		err = peerServer.Shutdown(ctx)
	}
	if err != nil {
		d.logger.Warn("grace period ended with open requests", "open", d.gateway.OpenRequests(), "error", err)
	}
}

// maintain does the periodic work: it logs a change of the readiness, chooses relays,
// quota pools and collectors, closes idle connections that have expired or whose upstream was
// removed, and updates gauges and this daemon's counts in the ledgers.
func (d *Daemon) maintain(context.Context) {
	d.logReadiness()
	d.reportAdmission()
	peers := d.peers.Peers()
	d.chooseRelays(peers)
	d.chooseQuotaPools(peers)
	d.chooseCollectors(peers)
	if d.upstreamLimit.EndStarts() {
		d.applyMembers()
	}
	d.scope.Gauge("log_lines_dropped").Update(float64(d.droppedLogLines()))
	d.byteReport.update()
	d.connReport.update()
	d.summarizeUpstreams()
	d.quotaPool.Tick()
	d.promptQuarantine.Tick()
	d.requestQuarantine.Tick()
	addresses, names := map[string]bool{}, map[string]bool{}
	for _, u := range d.listedUpstreams() {
		addresses[u.Address], names[u.Name] = true, true
	}
	d.conns.Sweep(func(address string) bool { return addresses[address] })
	d.helperConns.Sweep(func(string) bool { return true })
	d.namedLimits.Tick(func(upstream string) bool { return names[upstream] })
	d.versionLedger.Set(d.processName(), d.versionRecorder.Tallies(nil))
	d.ledger.Merge(d.processName(), d.counter.Windows(usageWindowsSent))
}

// logReadiness logs each change of the readiness.
func (d *Daemon) logReadiness() {
	ready := d.ready()
	if ready == d.wasReady {
		return
	}
	d.wasReady = ready
	config, confirmedAt := d.holder.Current()
	fields := []any{"ready", ready, "leaving", d.draining.Load(), "upstreamsListed", d.upstreamsListed.Load(), "registered", d.registeredAt.Load() != nil}
	if config != nil {
		fields = append(fields, "config", config.Version, "configAgeMs", bootclock.Now().Sub(confirmedAt).Milliseconds())
	}
	d.logger.Info("readiness changed", fields...)
}

// newPlatformClient returns a client for the calls of one server of the platform.
func newPlatformClient(scope tally.Scope) *http.Client {
	return &http.Client{Transport: keptconn.New(keptconn.Options{New: newPlatformTransport, Scope: scope})}
}

// newPeerClient returns a client for the calls to other daemons, which are rare.
func newPeerClient() *http.Client {
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
	return &http.Client{Transport: responsehead.NewTransport(transport)}
}

// newPlatformTransport returns a transport for calls of the platform.
func newPlatformTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// usageWindows converts the usage counts of a report.
func usageWindows(counts map[int64]map[string]int64) map[int64]usage.Counts {
	out := make(map[int64]usage.Counts, len(counts))
	for window, byWorkspace := range counts {
		out[window] = byWorkspace
	}
	return out
}
