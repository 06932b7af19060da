package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"rattantide/internal/engineclient"
	"rattantide/internal/membership"
	"rattantide/internal/responsehead"
	"rattantide/internal/server"
	"rattantide/internal/upstreampath"
)

const (
	// upstreamDialTimeout bounds the time to open a connection to an upstream, and
	// probeTimeout that of a probe, which nobody waits for.
	upstreamDialTimeout = time.Second
	probeTimeout        = 250 * time.Millisecond
)

// buildUpstreamPaths builds what judges the paths to the upstreams.
func (d *Daemon) buildUpstreamPaths() {
	d.dialUpstream = (&net.Dialer{Timeout: upstreamDialTimeout}).DialContext
	d.paths = upstreampath.New(upstreampath.Options{
		Probe: d.probeUpstream, OnChange: d.handlePathChange, Now: time.Now, Logger: d.logger, Scope: d.scope,
	})
}

// handlePathChange forgets what was seen of the upstreams of a pool over a path that was lost.
func (d *Daemon) handlePathChange(pool string, lost bool) {
	if lost {
		return
	}
	for _, u := range d.table.AllUpstreams(pool) {
		if !u.Leaving {
			d.table.Observe(u.Name, membership.EvidenceOK)
		}
	}
}

// paths implements server.Paths.
type paths struct{ *upstreampath.Monitor }

// UntilLost implements server.Paths.
func (p paths) UntilLost(pool string, abandon func()) (stop func()) {
	return p.StartInPool(pool, abandon).End
}

// probeUpstream opens a connection to an upstream and closes it.
func (d *Daemon) probeUpstream(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := d.dialUpstream(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// upstreamTransport returns a transport for calls to upstreams, whose connections show which
// of them are reached.
func (d *Daemon) upstreamTransport() *http.Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return d.dialUpstream(ctx, network, address)
	}
	return engineclient.NewTransport(d.paths.WatchDial(dial))
}

// followUpstreams tells the monitor of the paths which upstreams there are, until ctx ends.
func (d *Daemon) followUpstreams(ctx context.Context) error {
	for {
		changed := d.table.Changed()
		var upstreams []upstreampath.Upstream
		for _, pool := range d.table.Pools() {
			for _, u := range d.table.AllUpstreams(pool) {
				if !u.Leaving {
					upstreams = append(upstreams, upstreampath.Upstream{Pool: pool, Address: u.Address})
				}
			}
		}
		d.paths.SetUpstreams(upstreams)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// forwarding returns how requests reach daemons that reach the upstreams, or nil if daemons
// have no token.
func (d *Daemon) forwarding(transport *http.Transport) *server.Forwarding {
	if d.settings.PeerToken == "" {
		return nil
	}
	scheme := d.peers.Scheme
	if scheme == "" {
		scheme = "http"
	}
	// A call that must run at most once must not be repeated by the transport.
	single := responsehead.NewTransport(transport).SingleUse()
	return &server.Forwarding{Paths: paths{d.paths}, Token: d.settings.PeerToken, Scheme: scheme, Helpers: d.helpers, Transport: single}
}

// helpers returns the addresses of the other live daemons at random, those of the own failure
// domain first.
func (d *Daemon) helpers() []string {
	var near, far []string
	daemons := d.table.Daemons()
	for _, i := range rand.Perm(len(daemons)) {
		switch other := daemons[i]; {
		case other.Address == "":
		case other.Domain == d.settings.Domain:
			near = append(near, other.Address)
		default:
			far = append(far, other.Address)
		}
	}
	if len(near) == 0 || len(far) == 0 {
		return append(near, far...)
	}
	// The daemons of one domain may all have lost their paths: the second is of another.
	return append([]string{near[0], far[0]}, append(near[1:], far[1:]...)...)
}
