package fleetconfig

import (
	"maps"
	"time"
)

// Service is a set of upstreams that handle the same calls.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check, or empty if there is
	// none.
	HealthPath string
	// MaxConns is the maximum number of connections from all daemons together to
	// one upstream; 0 means no limit.
	MaxConns int
	// StartingPerSecond is the number of requests per second that an upstream which has
	// just started tolerates from all daemons together; 0 means no limit.
	StartingPerSecond float64
	// StartDuration is how long it does so.
	StartDuration time.Duration
	// Engine is nil for services without model engines.
	Engine *Engine
	// Autoscale is nil if this system does not control the number of upstreams.
	Autoscale *Autoscale
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the engine's memory for running requests and cached prompt
	// prefixes, in tokens.
	CacheTokens int
}

// Autoscale defines the bounds for the number of upstreams of a service, and their
// prices.
type Autoscale struct {
	// MinPerDomain and MaxPerDomain bound the number of upstreams in one failure
	// domain, reclaimable and other ones together.
	MinPerDomain int
	MaxPerDomain int
	// BootTime is the time from the order of an upstream to its first served
	// request.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream as a fraction of that
	// of one that is not reclaimable; 0 means that none can be ordered.
	ReclaimablePrice float64
	// DomainPrices is the price of an upstream per second, by failure domain.
	DomainPrices map[string]float64
}

// Without returns the bounds without the failure domains for which isExcluded is true.
func (a *Autoscale) Without(isExcluded func(domain string) bool) *Autoscale {
	remaining := *a
	remaining.DomainPrices = maps.Clone(a.DomainPrices)
	maps.DeleteFunc(remaining.DomainPrices, func(domain string, _ float64) bool { return isExcluded(domain) })
	return &remaining
}
