package admin

import (
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
)

// DefaultMaxObjectBytes is the MaxObjectBytes of Options that set none.
const DefaultMaxObjectBytes = 256 << 10

// Options are what an API is built from. Store and Config are required.
type Options struct {
	// Store is the object API, the only place where changes are made.
	Store objectclient.Store
	// Config receives each object that was written, so that it is in effect on
	// this daemon at once. Reads fall back to it while Store is unavailable.
	Config *configsync.Cache
	// OperatorToken is the bearer token of operators. When it is empty, every
	// call is refused.
	OperatorToken string
	// MaxObjectBytes bounds the body of a change. Default 256 KiB.
	MaxObjectBytes int64
	// Status, Explainer, Burn and Drainer are supplied by the daemon. A nil one
	// makes its endpoint answer 404.
	Status    StatusSource
	Explainer Explainer
	Burn      BurnSource
	Drainer   Drainer
	// Scope receives the metrics. Default: tally.NoopScope.
	Scope tally.Scope
	// Log receives one line per change. Default: a logger that writes nothing.
	Log *log.Logger
}
