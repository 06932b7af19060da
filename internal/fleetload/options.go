package fleetload

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/peering"
)

// Options configures an Exchange. All fields are required.
type Options struct {
	// Self is this daemon.
	Self peering.Sender
	// Local returns the load of this daemon since the last call.
	Local func() []Load
	// Apply receives the loads of Daemons daemons.
	Apply func(loads []Load, daemons int)
	// Publish sends a payload to the named daemons.
	Publish func(payload []byte, names ...string)
	// Collectors returns the names of the collectors, the preferred one first.
	Collectors func() []string
	// Daemons returns the names of the other daemons that serve.
	Daemons func() []string
	Now     func() time.Time
	Scope   tally.Scope
}
