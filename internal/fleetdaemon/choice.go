package fleetdaemon

import (
	"time"

	"rattantide/internal/fleetconfig"
	"rattantide/internal/routing"
)

// newPolicy returns the policy by which upstreams are chosen.
func newPolicy() *routing.Cost {
	policy := routing.NewCost()
	policy.Terms = append(policy.Terms, routing.PromptDelay)
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
