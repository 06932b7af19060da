package quarantine

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Options configures a Tracker. All fields are required. The functions are called without
// locks of the Tracker, except for Now.
type Options struct {
	Policy Policy
	// IsLeaving reports whether an upstream is known to be leaving or gone. Losing it is
	// then no evidence of a crash.
	IsLeaving func(upstream string) bool
	// IsProber reports whether this daemon tries a part whose verdict has expired on behalf
	// of the fleet.
	IsProber func(part uint64) bool
	// OnNews is called when there is new evidence that other daemons should learn of soon.
	// It must not block.
	OnNews func()
	// Now is a clock that includes the time during which the instance was suspended.
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
}
