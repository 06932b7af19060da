package admin

import (
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
)

// DefaultMaxObjectBytes is the default of Options.MaxObjectBytes.
const DefaultMaxObjectBytes = 256 << 10

// Options configures an API. Store and Config are required.
type Options struct {
	// Store is the object API, to which all changes are written.
	Store objectclient.Store
	// Config receives each written object, so that it takes effect on this
	// daemon at once. Reads fall back to it while Store is unavailable.
	Config *configsync.Cache
	// OperatorToken is the bearer token of operators. If it is empty, every
	// request is refused.
	OperatorToken string
	// MaxObjectBytes limits the body of a put. Default 256 KiB.
	MaxObjectBytes int64
	// Status, Explainer, Burn and Drainer implement the endpoints for this
	// daemon. The endpoint of a nil one responds with 404.
	Status    StatusSource
	Explainer Explainer
	Burn      BurnSource
	Drainer   Drainer
	// Scope receives the metrics. Default: tally.NoopScope.
	Scope tally.Scope
	// Log receives one line per change. Default: a logger that discards
	// everything.
	Log *log.Logger
}
