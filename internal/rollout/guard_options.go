package rollout

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// GuardOptions configures a Guard.
type GuardOptions struct {
	// Daemon is the name of this daemon.
	Daemon string
	// StoreNow returns the store's time, as objectclient.Store.Now. Until it is
	// known, the local clock is used.
	StoreNow func() (time.Time, bool)
	// Daemons returns the number of daemons that judge, by which the rate of
	// false alarms is divided. Default 1.
	Daemons func() int
	// Peers is told of verdicts; it may be nil.
	Peers VerdictSender
	// Logger and Scope default to none.
	Logger *log.Logger
	Scope  tally.Scope
}
