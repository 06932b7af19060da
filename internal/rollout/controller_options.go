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
	// Peers may be nil on a single daemon.
	Peers Collector
	// Logger and Scope default to none.
	Logger *log.Logger
	Scope  tally.Scope
	// CallTimeout bounds each call to the object API or to peers. Default 3s.
	CallTimeout time.Duration
}
