package objectclient

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Options configures a Client. A zero value of any field but Address takes its
// default.
type Options struct {
	// Address is the host and port of the object API.
	Address string
	// HTTP is the HTTP client. It must have no overall timeout, because watches
	// are long-lived. Default http.DefaultClient.
	HTTP *http.Client
	// Logger receives a line per read that failed after all retries. Default:
	// none.
	Logger *log.Logger
	// Scope receives the counters. Default: none.
	Scope tally.Scope
	// CallTimeout limits the duration of one attempt of a call. Default 2 s.
	CallTimeout time.Duration
	// MaxTries limits the number of attempts of a read. Default 4.
	MaxTries uint
	// MaxElapsed limits the total duration of all attempts of a read, including
	// those that read back a write. Default 5 s.
	MaxElapsed time.Duration
	// WatchIdleTimeout is the time without any line after which a watch is
	// considered dead. The object API sends a bookmark every second. Default 4 s.
	WatchIdleTimeout time.Duration
	// MaxValueBytes limits the size of a value. Default 1 MiB, the object API's
	// limit.
	MaxValueBytes int
}

func (o *Options) setDefaults() {
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = 2 * time.Second
	}
	if o.MaxTries == 0 {
		o.MaxTries = 4
	}
	if o.MaxElapsed == 0 {
		o.MaxElapsed = 5 * time.Second
	}
	if o.WatchIdleTimeout == 0 {
		o.WatchIdleTimeout = 4 * time.Second
	}
	if o.MaxValueBytes == 0 {
		o.MaxValueBytes = 1 << 20
	}
}
