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
	// StoreNow returns the store's time, like objectclient.Store.Now. The local
	// clock is used until that time is known, or if StoreNow is nil.
	StoreNow func() (time.Time, bool)
	// Daemons returns the number of daemons that judge moves, among which the
	// rate of false alarms is divided. Default: 1.
	Daemons func() int
	// Peers receives the verdicts that this Guard finds. It may be nil.
	Peers VerdictSender
	// Logger and Scope may be nil; nothing is logged or counted then.
	Logger *log.Logger
	Scope  tally.Scope
}
