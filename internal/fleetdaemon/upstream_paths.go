package fleetdaemon

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"rattantide/internal/bootclock"
	"rattantide/internal/gateway"
	"rattantide/internal/membership"
	"rattantide/internal/peering"
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

// helpers chooses the daemons that requests are forwarded to. It is safe for concurrent use.
type helpers struct {
	daemon *Daemon

	mu sync.Mutex
	// open counts the forwarded requests in progress by daemon.
	open map[string]int
}

// choose implements gateway.Forwarder.Choose: of two daemons at random that reach the
// upstreams of a service, the one with fewer requests of this daemon.
func (h *helpers) choose(service string, excluded []string) (gateway.Helper, func(), bool) {
	candidates := h.candidates(service, excluded)
	if len(candidates) == 0 {
		return gateway.Helper{}, nil, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	first, second := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if h.open[second.Name] < h.open[first.Name] {
		first = second
	}
	h.open[first.Name]++
	done := func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.open[first.Name]--; h.open[first.Name] == 0 {
			delete(h.open, first.Name)
		}
	}
	return gateway.Helper{Name: first.Name, Address: joinPort(first.IP, h.daemon.settings.PeerPort)}, done, true
}

// candidates returns the daemons that reach the upstreams of a service: those of the own
// failure domain, unless more daemons need help there than can give it.
func (h *helpers) candidates(service string, excluded []string) []peering.Peer {
	var near, all []peering.Peer
	needy := 1
	for _, p := range h.daemon.peers.Peers() {
		if !p.Serves() || slices.Contains(excluded, p.Name) {
			continue
		}
		isNear := p.Domain == h.daemon.settings.Domain
		if slices.Contains(p.LostPools, service) {
			if isNear {
				needy++
			}
			continue
		}
		all = append(all, p)
		if isNear {
			near = append(near, p)
		}
	}
	if len(near) >= needy {
		return near
	}
	return all
}
