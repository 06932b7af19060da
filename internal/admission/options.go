package admission

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Options configures a Controller.
type Options struct {
	// MaxWaiting bounds the queue of a pool. Default: DefaultMaxWaiting.
	MaxWaiting int
	// MaxPerWorkspace bounds the queue of a workspace in a class. Default:
	// DefaultMaxPerWorkspace.
	MaxPerWorkspace int
	// LimitWork limits the work sent to a pool while first answers are late. It
	// is for pools that other daemons also use and whose total load is unknown
	// to this daemon.
	LimitWork bool
	// DividePriorities divides the work limit among priorities, by the figures of the fleet if
	// these are known. It has an effect only with LimitWork.
	DividePriorities bool
	// HasQuotas reports whether workspaces have quotas. The division of the work limit
	// among priorities is then in effect also where priorities do not differ. Default:
	// none have.
	HasQuotas func() bool
	// FleetNow is a clock that all daemons of a fleet share, by which callers return. Default:
	// Now.
	FleetNow func() time.Time
	// MinRetryAfter is the minimum of the advised retry delay. Default: 1 s.
	MinRetryAfter time.Duration
	// Logger receives a line for each change of the rule. Default: none.
	Logger *log.Logger
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
	// Now is the clock. Default: time.Now.
	Now func() time.Time
}
