package rollout

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
)

// ControllerOptions configures a Controller. Store, Config, Leases and Guard
// are required.
type ControllerOptions struct {
	Store  objectclient.Store
	Config *configsync.Cache
	Leases Leases
	Guard  *Guard
	// Peers may be nil if there is only one daemon.
	Peers Collector
	// Logger and Scope may be nil; nothing is logged or counted then.
	Logger *log.Logger
	Scope  tally.Scope
	// CallTimeout bounds the calls to the object API and to peers in one step of
	// a move. Default: 3 s.
	CallTimeout time.Duration
}
