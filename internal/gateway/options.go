package gateway

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/membership"
	"rattantide/internal/upstreamconn"
)

// Quota holds workspaces to their quotas.
type Quota interface {
	// Take takes cost from the workspace's quota. When it does not suffice, ok is
	// false and after is when it may.
	Take(ctx context.Context, w *fleetconfig.Workspace, cost float64) (ok bool, after time.Duration)
	// Return gives back the cost of a request that did not run.
	Return(w *fleetconfig.Workspace, cost float64)
}

// Usage counts the requests that upstreams began to run.
type Usage interface {
	Began(workspace string)
}

// Loads takes over the load that an answer reports.
type Loads interface {
	SetLoad(upstream string, load membership.Load)
}

// Options configures a Server. Codec, Config, Chooser and Conns are required.
type Options struct {
	Codec   Codec
	Config  *fleetconfig.Holder
	Chooser dispatch.Chooser
	Conns   *upstreamconn.Pools
	// ConnLimit returns the bound on this daemon's connections to one upstream of
	// a service; 0 means none.
	ConnLimit func(*fleetconfig.Service) int
	Quota     Quota
	Usage     Usage
	Loads     Loads
	// KeysValidFor returns how long keys may be accepted after the configuration
	// was last confirmed as the newest one.
	KeysValidFor func() time.Duration
	// Logger receives a line for each request. Required.
	Logger *log.Logger
	Scope  tally.Scope
	// BootNow is the clock that counts suspensions.
	BootNow func() time.Time
	// Leaving reports whether callers should go elsewhere after their answer.
	Leaving func() bool
}
