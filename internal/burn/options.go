package burn

import (
	"github.com/uber-go/tally/v4"

	"rattantide/internal/api"
)

// Options are what a Recorder is built from.
type Options struct {
	// Daemon is the name of the daemon whose requests are recorded.
	Daemon string
	// ClassOf returns the class in effect, or nil when it does not exist. It is
	// called once for each observation and must be fast. Required.
	ClassOf func(name string) *api.Class
	// Scope receives the metrics. Default: tally.NoopScope.
	Scope tally.Scope
}
