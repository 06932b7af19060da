package upstreamwatch

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/configsync"
	"rattantide/internal/routing"
)

const (
	// DefaultBytesPerSecond leaves 8 of the 14 KB/s that a daemon may spend on
	// the control plane to configuration and membership.
	DefaultBytesPerSecond = 6 << 10
	// DefaultMinInterval is the shortest time between two polls of an upstream;
	// load reports change about as often.
	DefaultMinInterval = 250 * time.Millisecond
	defaultCallTimeout = time.Second
	// eventShare is the part of the budget for cache events. Load reports lose
	// their value sooner.
	eventShare = 0.4
	// loadBytes and eventBytes estimate a call with its headers; eachEvent is
	// one event in JSON.
	loadBytes  = 420
	eventBytes = 320
	eachEvent  = 62
	// maxOpen bounds the calls that are open at once, so that upstreams that do
	// not answer hold up the others little.
	maxOpen = 4
)

// Options configures a Watcher. Fetch, Table, Trackers and Config are required.
type Options struct {
	Fetch    Fetcher
	Table    Table
	Trackers *routing.Trackers
	// Config tells which pools have a prompt cache.
	Config *configsync.Cache
	// BytesPerSecond bounds what the polls take. Default
	// DefaultBytesPerSecond.
	BytesPerSecond int
	// MinInterval replaces DefaultMinInterval.
	MinInterval time.Duration
	// CallTimeout bounds a poll. Default 1s.
	CallTimeout time.Duration
	// Logger and Scope default to none.
	Logger *log.Logger
	Scope  tally.Scope
}
