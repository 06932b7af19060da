package client

import (
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Options set up a Client.
type Options struct {
	// Entries are addresses (host:port) of some daemons. One that answers is
	// enough to find the others.
	Entries []string
	// Token is the bearer token of the workspace.
	Token string
	// Scheme is "http" or "https". Default "http".
	Scheme string
	// HTTP carries the calls. Its redirect policy is not used. Default: a client
	// with a transport of its own.
	HTTP *http.Client
	// Attempts bounds the calls made for one request, not counting those that
	// made progress. Default 8.
	Attempts int
	// Patience is the longest time without a byte from a daemon before another
	// one is asked. Default 15s.
	Patience time.Duration
	// Backoff is the first delay after all known daemons have failed; it grows
	// with each further round. Default 100ms.
	Backoff time.Duration
}

func (o Options) withDefaults() (Options, error) {
	if len(o.Entries) == 0 {
		return o, errors.NotValidf("options without entries")
	}
	if o.Scheme == "" {
		o.Scheme = "http"
	}
	if o.HTTP == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.DisableCompression = true
		o.HTTP = &http.Client{Transport: transport}
	}
	if o.Attempts <= 0 {
		o.Attempts = 8
	}
	if o.Patience <= 0 {
		o.Patience = 15 * time.Second
	}
	if o.Backoff <= 0 {
		o.Backoff = 100 * time.Millisecond
	}
	return o, nil
}
