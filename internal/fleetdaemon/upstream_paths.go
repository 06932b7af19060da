package fleetdaemon

import (
	"net/http"

	"rattantide/internal/bootclock"
	"rattantide/internal/gateway"
	"rattantide/internal/membership"
	"rattantide/internal/upstreamconn"
	"rattantide/internal/upstreampath"
)

// pathObserver makes a Monitor learn from the connections to upstreams.
type pathObserver struct{ *upstreampath.Monitor }

// Start implements upstreamconn.PathObserver.
func (o pathObserver) Start(address string, abandon func()) upstreamconn.PathCall {
	return o.Monitor.Start(address, abandon)
}

// buildUpstreamPaths builds what judges the paths to the upstreams and forwards requests to
// daemons that have one.
func (d *Daemon) buildUpstreamPaths() {
	d.conns = &upstreamconn.Pools{Scope: d.scope}
	d.paths = upstreampath.New(upstreampath.Options{Probe: d.conns.Probe, OnChange: d.handlePathChange, Now: bootclock.Now, Logger: d.logger, Scope: d.scope})
	d.conns.Paths = pathObserver{d.paths}
	d.helpers = &helpers{daemon: d, open: map[string]int{}}
	d.helperConns = &upstreamconn.Pools{Scope: d.scope.SubScope("helpers")}
}

// handlePathChange tells the other daemons that a path was lost or is back.
func (d *Daemon) handlePathChange(string, bool) { d.announceNews() }

// setUpstreamPaths tells the monitor which upstreams may be sent requests.
func (d *Daemon) setUpstreamPaths() {
	var upstreams []upstreampath.Upstream
	for _, u := range d.knownUpstreams() {
		if u.State != membership.StateLeaving {
			upstreams = append(upstreams, upstreampath.Upstream{Pool: u.Pool, Address: u.Address})
		}
	}
	d.paths.SetUpstreams(upstreams)
}

// newForwarder returns what forwards the requests of callers to other daemons.
func (d *Daemon) newForwarder() *gateway.Forwarder {
	return &gateway.Forwarder{Name: d.settings.Name, Choose: d.helpers.choose, Conns: d.helperConns}
}

// servePeer serves the requests of other daemons: forwarded ones, and those for this daemon.
func (d *Daemon) servePeer(own http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if gateway.IsForwarded(r) {
			d.gateway.ServeForwarded(w, r)
			return
		}
		own.ServeHTTP(w, r)
	})
}
