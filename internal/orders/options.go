package orders

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
	"rattantide/internal/telemetry"
)

// Options configures a Controller. Store, Config, Leases, Table and Engines are
// required.
type Options struct {
	Store   objectclient.Store
	Config  *configsync.Cache
	Leases  Leases
	Table   Table
	Engines Engines
	// LeaseTTL is the lifetime of a lease. A lease that an engine put in doubt
	// counts as confirmed when it is still held this much later, because it was
	// renewed in between. Default 15 s.
	LeaseTTL time.Duration
	// LoadShare is the share of a pool's engines that may load at a time,
	// rounded down but at least one engine: a loading engine serves nothing, and
	// the weight store is rate-limited. Default 0.1.
	LoadShare float64
	// Interval is the time between two passes. Default 1 s.
	Interval time.Duration
	// Logger and Scope default to none.
	Logger *log.Logger
	Scope  tally.Scope
}

func (o *Options) setDefaults() {
	if o.LeaseTTL <= 0 {
		o.LeaseTTL = 15 * time.Second
	}
	if o.LoadShare <= 0 {
		o.LoadShare = 0.1
	}
	if o.Interval <= 0 {
		o.Interval = time.Second
	}
	if o.Logger == nil {
		o.Logger = telemetry.Discard()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}
