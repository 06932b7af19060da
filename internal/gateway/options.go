package gateway

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/callerbudget"
	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/membership"
	"rattantide/internal/quarantine"
	"rattantide/internal/upstreamconn"
)

// Quota enforces the quotas of workspaces. Implementations are safe for concurrent
// use.
type Quota interface {
	// Take takes cost from the workspace's quota. If the quota does not suffice, ok
	// is false and after is the delay after which a retry may succeed. Take may block
	// while it waits for another daemon.
	Take(ctx context.Context, w *fleetconfig.Workspace, cost float64) (ok bool, after time.Duration)
	// Return refunds the cost of a request that did not run.
	Return(w *fleetconfig.Workspace, cost float64)
}

// Usage counts, by workspace, the requests that upstreams started to run.
// Implementations are safe for concurrent use.
type Usage interface {
	RecordStarted(workspace string)
}

// LoadRecorder stores the load that an upstream reports in its responses.
// Implementations are safe for concurrent use.
type LoadRecorder interface {
	RecordLoad(u membership.Upstream, load membership.Load)
}

// UpstreamLimit limits the requests to upstreams that take few of them from all daemons
// together. Implementations are safe for concurrent use.
type UpstreamLimit interface {
	// Blocked returns the upstreams to which no request may be sent now.
	Blocked() []string
	// Allow reports whether a request may be sent to an upstream now, and counts it.
	Allow(upstream string) bool
}

// UpstreamStates stores what upstreams say of themselves in their responses.
// Implementations are safe for concurrent use.
type UpstreamStates interface {
	// RecordLeaving records that an upstream has said that it is leaving.
	RecordLeaving(u membership.Upstream)
	// RecordBackoff records that an upstream wants no requests of this daemon for some time.
	RecordBackoff(u membership.Upstream, d time.Duration)
	// IsUsable reports whether a request may still be sent to an upstream that was chosen
	// earlier.
	IsUsable(u membership.Upstream) bool
}

// LimitRecorder stores the limits that upstreams name in their responses. Implementations
// are safe for concurrent use.
type LimitRecorder interface {
	// Observe records what a response of an upstream names; nil stands for no limit.
	Observe(upstream string, requestsPerSecond *float64)
}

// Paths tells which upstreams this daemon reaches. Implementations are safe for concurrent
// use.
type Paths interface {
	// IsLost reports whether this daemon reaches no upstream of a service.
	IsLost(service string) bool
	// WasLostSince reports the same for any time since at.
	WasLostSince(service string, at time.Time) bool
}

// Options configures a Server. All fields except ConnLimit, Usage, Loads,
// UpstreamStates, UpstreamLimit, LimitRecorder, the quarantines, CallerBudget, Paths and
// Forwarder are required.
type Options struct {
	Codec   Codec
	Config  *fleetconfig.Holder
	Chooser dispatch.Chooser
	Conns   *upstreamconn.Pools
	// ConnLimit returns the bound on this daemon's connections to one upstream of
	// a service; 0 means no bound.
	ConnLimit func(*fleetconfig.Service) int
	Quota     Quota
	Usage     Usage
	Loads     LoadRecorder
	// UpstreamStates and UpstreamLimit are asked right before a request is sent.
	// UpstreamStates and LimitRecorder receive what each response says.
	UpstreamStates UpstreamStates
	UpstreamLimit  UpstreamLimit
	LimitRecorder  LimitRecorder
	// PromptQuarantine and RequestQuarantine keep requests that crash upstreams from them, by
	// the shared parts of their prompts and as a whole; nil means that it does not.
	PromptQuarantine  *quarantine.Tracker
	RequestQuarantine *quarantine.Tracker
	// KeysValidFor returns how long keys may be accepted after the configuration
	// was last confirmed to be the newest one.
	KeysValidFor func() time.Duration
	// CallerBudget bounds what the requests of callers hold together; nil means a default.
	CallerBudget *callerbudget.Budget
	// Paths tells when requests must be forwarded by Forwarder to other daemons; both or
	// neither must be set.
	Paths     Paths
	Forwarder *Forwarder
	// Logger logs one line for each request.
	Logger *log.Logger
	Scope  tally.Scope
	// BootNow returns the time of a clock that includes the time for which the
	// machine was suspended.
	BootNow func() time.Time
}
