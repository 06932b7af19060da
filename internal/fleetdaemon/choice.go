package fleetdaemon

import (
	"time"

	"rattantide/internal/fleetconfig"
	"rattantide/internal/routing"
)

// newPolicy returns the policy by which upstreams are chosen.
func newPolicy(f Features) *routing.Cost {
	policy := routing.NewCost()
	if f.WeighPromptDelay {
		policy.Terms = append(policy.Terms, routing.PromptDelay)
	}
	return policy
}

// pauseTarget returns the longest time between two events of the answers of a route; 0 means
// that there is no such target.
func (d *Daemon) pauseTarget(route string) time.Duration {
	config, _ := d.holder.Current()
	if config == nil {
		return 0
	}
	r := config.RouteByName(route)
	if r == nil || r.Kind != fleetconfig.Stream {
		return 0
	}
	return r.GapTarget
}

// promptMixes returns the state for routing.PromptDelay, or nil if that is off.
func (d *Daemon) promptMixes() *routing.PromptMixes {
	if !d.features.WeighPromptDelay {
		return nil
	}
	return &routing.PromptMixes{Daemons: d.daemonCount}
}
