package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/admission"
	"rattantide/internal/routing"
)

// DefaultUpstreamWait is how long an attempt waits for a usable upstream. A
// reclaimed failure domain leaves a pool without one for a moment at most.
const DefaultUpstreamWait = 2 * time.Second

// Options configures a Dispatcher. Config and Table are required.
type Options struct {
	Config Config
	Table  Table
	// Admission admits first attempts. Default a controller with defaults.
	Admission *admission.Controller
	// Trackers holds the routing state, shared with what polls load reports.
	// Default a new one.
	Trackers *routing.Trackers
	// Policy selects among candidates. Default routing.NewCost().
	Policy routing.Policy
	// Moves enforces version moves. Default: the share as stored.
	Moves Moves
	// Evidence and Observer may be nil.
	Evidence Evidence
	Observer Observer
	// Repeats, when set, replaces the budgets of the classes: each attempt after
	// the first draws on it.
	Repeats Repeats
	// FirstInTime makes requests that cannot have their first answer within its
	// target be refused at once, instead of late answers for all.
	FirstInTime bool
	// UpstreamWait replaces DefaultUpstreamWait.
	UpstreamWait time.Duration
	// Scope receives the metrics. Default none.
	Scope tally.Scope
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Rand returns random bits. Default the standard generator.
	Rand func() uint64
}
