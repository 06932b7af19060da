package fleetdaemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/autoscale"
	"rattantide/internal/bootclock"
	"rattantide/internal/fleetsync"
	"rattantide/internal/membership"
	"rattantide/internal/peering"
	"rattantide/internal/periodic"
	"rattantide/internal/usage"
	"rattantide/internal/versionmove"
	"rattantide/platform"
)

const (
	// callerIdle is how long an idle connection of a caller is kept. It exceeds the
	// idle time that configurations allow callers, so that none is closed while a
	// request is on its way.
	callerIdle = 60 * time.Second
	// headerTimeout bounds the time in which a caller must send its header.
	headerTimeout = 5 * time.Second
	// maxHeader bounds a caller's header; the configuration's bound may be lower.
	maxHeader = 64 << 10
	// maintainEvery is how often idle connections to upstreams are looked at, and
	// the own counts are added to those of the others.
	maintainEvery = time.Second
	// lingerTTLs is how long a leaving daemon still accepts connections, in
	// lifetimes of the callers' addresses.
	lingerTTLs = 1.5
	// stopMargin is the part of the grace period that is left for the end.
	stopMargin = 500 * time.Millisecond
)

// Run serves until ctx ends, then drains and returns.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts, work := errgroup.WithContext(work)
	parts.Go(func() error { return d.config.Run(work) })
	parts.Go(func() error { return d.upstreams.Run(work) })
	parts.Go(func() error { return d.peers.Run(work) })
	parts.Go(func() error { return d.leases.Run(work) })
	parts.Go(func() error { return d.registrar.Run(work) })
	parts.Go(func() error { return periodic.Every(work, maintainEvery, d.maintain) })
	parts.Go(func() error { return d.followSettings(work) })
	d.startDuties(work, parts)
	servers := d.startServers(parts)
	d.logger.Info("daemon started", "daemon", d.settings.Name, "process", d.process, "address", d.settings.CallerAddress,
		"domain", d.settings.Domain, "seeds", d.settings.Seeds)
	parts.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			d.drain(servers)
		case <-work.Done():
		}
		for _, s := range servers {
			_ = s.Close()
		}
		return nil
	})
	err := parts.Wait()
	d.conns.Close()
	d.closer.Close()
	d.logger.Info("daemon stopped", "daemon", d.settings.Name, "error", err)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Trace(err)
}

// startDuties runs what acts while this daemon holds the lease of the duties.
func (d *Daemon) startDuties(ctx context.Context, parts *errgroup.Group) {
	moves := versionmove.NewController(versionmove.ControllerOptions{
		Declarations: &platform.Rollouts{Store: d.store, Logger: d.logger}, Store: d.store, Ledger: d.versionLedger,
		Upstreams: d.knownUpstreams, Held: d.held, Now: d.clock.Now, Logger: d.logger,
	})
	parts.Go(func() error { return moves.Run(ctx) })
	parts.Go(func() error { return d.follower.Run(ctx) })
	if d.settings.Cloud.Address == "" {
		return
	}
	if d.settings.Cloud.ReportsUsage {
		reporter := usage.NewReporter(usage.ReporterOptions{
			Store: d.store, Sender: d.cloud, Counter: d.counter, Ledger: d.ledger, Held: d.held, Now: d.clock.Now,
			Collect: d.peers.Announce, Logger: d.logger, Scope: d.scope,
			StaleFence: func(err error) bool { return errors.Is(err, platform.ErrStaleFence) },
		})
		parts.Go(func() error { return reporter.Run(ctx) })
	}
	if d.settings.Cloud.OrdersRunners {
		controller := autoscale.New(autoscale.Options{
			Config: d.holder, Store: d.store, Sender: d.cloud, Upstreams: d.knownUpstreams, Lateness: d.lateness.Of, Paused: d.follower.Moving, Held: d.held,
			Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
		})
		parts.Go(func() error { return controller.Run(ctx) })
	}
}

// knownUpstreams returns the upstreams as the store lists them.
func (d *Daemon) knownUpstreams() []membership.Instance {
	if upstreams := d.instances.Load(); upstreams != nil {
		return *upstreams
	}
	return nil
}

// held returns the fencing token while this daemon has the duties.
func (d *Daemon) held() (int64, bool) { return d.leases.Held(dutyLease) }

func (d *Daemon) startServers(parts *errgroup.Group) []*http.Server {
	var servers []*http.Server
	serve := func(l net.Listener, handler http.Handler) {
		if l == nil {
			return
		}
		s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeader}
		servers = append(servers, s)
		parts.Go(func() error {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return errors.Annotatef(err, "serve %s", l.Addr())
			}
			return nil
		})
	}
	serve(d.callers, d.gateway)
	serve(d.readiness, platform.ReadinessHandler(d.ready))
	serve(d.directory, platform.EntriesHandler(d.entries))
	serve(d.metricsListener, d.metrics)
	shared := http.NewServeMux()
	shared.Handle("GET "+fleetsync.ConfigPath, &fleetsync.ConfigHandler{Source: d.config.Snapshot, BootNow: bootclock.Now})
	serve(d.peerListener, shared)
	return servers
}

// drain lets callers go elsewhere and waits for the open requests.
func (d *Daemon) drain(servers []*http.Server) {
	d.logger.Info("daemon is leaving", "daemon", d.settings.Name, "open", d.gateway.OpenRequests())
	d.leaving.Store(true)
	d.peers.Announce()
	grace := d.settings.Bound.Grace - stopMargin
	deadline := bootclock.Now().Add(grace)
	linger := time.Duration(lingerTTLs * float64(min(addressTTL, d.settings.Bound.MaxAddressTTL)))
	time.Sleep(min(linger, grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), deadline.Sub(bootclock.Now()))
	defer cancel()
	// The first server is that of the callers; the others stay for the platform's
	// checks until it is done.
	if len(servers) > 0 {
		if err := servers[0].Shutdown(ctx); err != nil {
			d.logger.Warn("requests were open at the end of the grace period", "open", d.gateway.OpenRequests(), "error", err)
		}
	}
}

// maintain does what is due about once a second.
func (d *Daemon) maintain(context.Context) {
	d.logReadiness()
	peers := d.peers.Peers()
	d.chooseRelays(peers)
	d.choosePools(peers)
	d.scope.Gauge("log_lines_dropped").Update(float64(d.logDrops()))
	d.quotaPool.Tick()
	known := map[string]bool{}
	for _, u := range d.knownUpstreams() {
		known[u.Address] = true
	}
	d.conns.Sweep(func(address string) bool { return known[address] })
	own := peering.Report{Name: d.settings.Name, Process: d.process}
	d.versionLedger.Set(own.ProcessName(), d.versions.Tallies())
	d.ledger.Set(own.ProcessName(), d.counter.Windows(usageWindowsSent))
}

// logReadiness writes a line when the daemon became ready or ceased to be.
func (d *Daemon) logReadiness() {
	ready := d.ready()
	if ready == d.wasReady {
		return
	}
	d.wasReady = ready
	config, confirmedAt := d.holder.Current()
	fields := []any{"ready", ready, "leaving", d.leaving.Load(), "upstreamsListed", d.listed.Load(), "registered", d.registered.Load()}
	if config != nil {
		fields = append(fields, "config", config.Version, "configAgeMs", bootclock.Now().Sub(confirmedAt).Milliseconds())
	}
	d.logger.Info("readiness changed", fields...)
}

// newTransport is for the calls of the platform.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}
}

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// windowsOf returns the counts of a report by window.
func windowsOf(counts map[int64]map[string]int64) map[int64]usage.Counts {
	out := make(map[int64]usage.Counts, len(counts))
	for window, byWorkspace := range counts {
		out[window] = byWorkspace
	}
	return out
}
