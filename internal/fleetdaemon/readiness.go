package fleetdaemon

import (
	"time"

	"rattantide/internal/bootclock"
	"rattantide/internal/fleetconfig"
)

// peersReachedStore reports whether another daemon, but not this one, reached the
// store after since: the configuration was confirmed after since while this daemon
// failed to read the store or did not read it regularly.
func (d *Daemon) peersReachedStore(since time.Time) bool {
	config, confirmedAt := d.holder.Current()
	return config != nil && confirmedAt.After(since) && (d.config.IsStoreFailing() || d.readerRank() != 0)
}

// daemonCount returns the number of known daemons, including this one.
func (d *Daemon) daemonCount() int { return 1 + d.peers.PeerCount() }

// hasQuotas reports whether any workspace has a quota.
func (d *Daemon) hasQuotas() bool {
	config, _ := d.holder.Current()
	return config != nil && config.HasQuotas()
}

// fleetShare returns this daemon's share of limits that apply to the whole fleet,
// in (0, 1].
func (d *Daemon) fleetShare() float64 { return 1 / float64(d.daemonCount()) }

// keysValidFor returns how long keys are accepted without a confirmation of the
// configuration.
func (d *Daemon) keysValidFor() time.Duration {
	return d.bounds.Load().RevokeWithin - keyValidityMargin
}

// connLimit returns the bound on this daemon's connections to one upstream of a
// service; 0 means no bound.
func (d *Daemon) connLimit(s *fleetconfig.Service) int {
	if s.MaxConns <= 0 {
		return 0
	}
	return max(1, int(float64(s.MaxConns)*d.fleetShare()))
}

// ready reports whether the daemon can serve callers.
func (d *Daemon) ready() bool {
	if d.draining.Load() || !d.upstreamsListed.Load() || d.registeredAt.Load() == nil {
		return false
	}
	if d.evacuations != nil && d.evacuations.Report() == nil {
		return false
	}
	config, confirmedAt := d.holder.Current()
	return config != nil && bootclock.Now().Sub(confirmedAt) < d.bounds.Load().RevokeWithin
}
