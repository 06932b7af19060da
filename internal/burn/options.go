package burn

import (
	"github.com/uber-go/tally/v4"

	"rattantide/internal/api"
)

// Options configures a Recorder.
type Options struct {
	// Daemon is the name of the daemon whose requests are recorded.
	Daemon string
	// LookupClass returns the class in effect with the given name, or nil if
	// there is none. It is called for each observation, concurrently, and must
	// be fast. Required.
	LookupClass func(name string) *api.Class
	// Scope receives the metrics. Default: tally.NoopScope.
	Scope tally.Scope
}
