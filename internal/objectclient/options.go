package objectclient

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// Options are the settings of a Client.
type Options struct {
	// Address is the host and port of the object API.
	Address string
	// HTTP is the client to use. Default http.DefaultClient. It must have no
	// overall timeout, as a watch lasts.
	HTTP *http.Client
	// Logger receives a line per call that failed for good. Default: none.
	Logger *log.Logger
	// Scope receives the counters. Default: none.
	Scope tally.Scope
	// CallTimeout bounds one attempt of a call. Default 2 s.
	CallTimeout time.Duration
	// MaxTries bounds the attempts of a read. Default 4.
	MaxTries uint
	// MaxElapsed bounds all attempts of a read, and the read-backs of a write,
	// together. Default 5 s.
	MaxElapsed time.Duration
	// WatchSilence is how long a watch may stay without any line before it is
	// taken for dead. The object API sends a bookmark every second. Default 4 s.
	WatchSilence time.Duration
	// MaxValueBytes bounds a value. Default 1 MB, the object API's limit.
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
	if o.WatchSilence == 0 {
		o.WatchSilence = 4 * time.Second
	}
	if o.MaxValueBytes == 0 {
		o.MaxValueBytes = 1 << 20
	}
}
