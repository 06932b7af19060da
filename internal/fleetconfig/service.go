package fleetconfig

import "time"

// Service is a set of upstreams that answer the same calls.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check; empty means none.
	HealthPath string
	// MaxConns bounds the connections of all daemons to one upstream; 0 means
	// no bound.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
	// Autoscale is nil when the number of upstreams is not ours to decide.
	Autoscale *Autoscale
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is the engine's memory for running requests and cached
	// prompt parts, in tokens.
	CacheTokens int
}

// Autoscale bounds the upstreams of a service and gives their prices.
type Autoscale struct {
	// MinPerDomain and MaxPerDomain bound both kinds of upstreams of one failure
	// domain together.
	MinPerDomain int
	MaxPerDomain int
	// BootTime is the time from an order to the first request served.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable upstream relative to
	// another one; 0 means that none can be ordered.
	ReclaimablePrice float64
	// DomainPrices are the prices per second of an upstream by failure domain.
	DomainPrices map[string]float64
}
