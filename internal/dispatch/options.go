package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/admission"
	"rattantide/internal/routing"
)

// DefaultUpstreamWait is how long an attempt waits for a usable upstream. The
// reclaim of a failure domain leaves a pool without one only briefly.
const DefaultUpstreamWait = 2 * time.Second

// Options configures a Dispatcher. Config and Table are required.
type Options struct {
	Config Config
	Table  Table
	// Admission admits first attempts. Default: a controller with default
	// options.
	Admission *admission.Controller
	// Trackers holds the routing state, shared with the components that poll
	// load reports. Default: new trackers.
	Trackers *routing.Trackers
	// Policy selects among candidates. Default: routing.NewCost().
	Policy routing.Policy
	// Prompts, when set, learns how the prompts of a pool differ in length, which
	// routing.PromptDelay needs. PauseTarget returns the longest time between two parts of an
	// answer of a class, or 0; it is optional.
	Prompts     *routing.PromptMixes
	PauseTarget func(class string) time.Duration
	// Moves enforces version moves. Default: the share in the status of the move
	// applies, and samples are discarded.
	Moves Moves
	// Evidence, Observer and Starts are optional.
	Evidence EvidenceRecorder
	Observer Observer
	Starts   StartObserver
	// RepeatBudget, when set, replaces the retry and hedge budgets of the classes:
	// each attempt after one that reached an upstream consumes from it.
	RepeatBudget RepeatBudget
	// EnforceFirstTarget makes admission refuse a request at once when its first token
	// or answer cannot arrive within the target of its class. Without it, all
	// requests are answered late under overload.
	EnforceFirstTarget bool
	// UpstreamWait is how long an attempt waits for a usable upstream. Default:
	// DefaultUpstreamWait.
	UpstreamWait time.Duration
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
	// Now is the clock. Default: time.Now.
	Now func() time.Time
	// Rand returns random bits. Default: rand.Uint64.
	Rand func() uint64
}
