package upstreamwatch

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/configsync"
	"rattantide/internal/routing"
)

const (
	// DefaultBytesPerSecond is the default byte budget of all polls. Of the 14 kB/s
	// that a daemon may use for the control plane, it leaves about 8 kB/s for
	// configuration and membership.
	DefaultBytesPerSecond = 6 << 10
	// DefaultMinInterval is the default minimum time between two polls of an
	// upstream. Load reports change about as often.
	DefaultMinInterval = 250 * time.Millisecond
	defaultCallTimeout = time.Second
	// eventBudgetShare is the fraction of the budget for cache events. Load reports
	// get the larger share as they become outdated sooner.
	eventBudgetShare = 0.4
	// loadCallBytes and eventCallBytes are estimates of the size of a call with its
	// headers. bytesPerEvent is the size of one event in JSON.
	loadCallBytes  = 420
	eventCallBytes = 320
	bytesPerEvent  = 62
	// maxConcurrentPolls is the maximum number of concurrent calls of each kind. It
	// exceeds 1 so that unresponsive upstreams delay the polls of other upstreams
	// only a little.
	maxConcurrentPolls = 4
)

// Options configures a Watcher. Fetch, Table, Trackers and Config are required.
type Options struct {
	Fetch    Fetcher
	Table    Table
	Trackers *routing.Trackers
	// Config determines which pools have a prompt cache.
	Config *configsync.Cache
	// BytesPerSecond is the byte budget of all polls. Default:
	// DefaultBytesPerSecond.
	BytesPerSecond int
	// MinInterval is the minimum time between two polls of an upstream. Default:
	// DefaultMinInterval.
	MinInterval time.Duration
	// CallTimeout is the maximum duration of a poll. Default: 1 s.
	CallTimeout time.Duration
	// Logger and Scope are optional. By default nothing is logged or measured.
	Logger *log.Logger
	Scope  tally.Scope
}
