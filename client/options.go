package client

import (
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Options configures a Client.
type Options struct {
	// Entries are the addresses (host:port) of some daemons. One that responds
	// suffices to discover the others. Required.
	Entries []string
	// Token is the bearer token of the workspace.
	Token string
	// Scheme is "http" or "https". Default "http".
	Scheme string
	// HTTP makes the calls. Its redirect policy is not used. Default: a client with a new
	// transport, which fails for responses that are malformed or whose connection was reset.
	HTTP *http.Client
	// Attempts is the maximum number of calls for one request. For a stream, the
	// count restarts with each event received. Default 8.
	Attempts int
	// IdleTimeout is the longest time without data from a daemon. After that, the
	// call is canceled and another daemon is tried. Default 15s.
	IdleTimeout time.Duration
	// Backoff is the first delay after all known daemons have failed. It doubles
	// with each further round, at most six times and up to 5s. Default 100ms.
	Backoff time.Duration
}

func (o Options) withDefaults() (Options, error) {
	if len(o.Entries) == 0 {
		return o, errors.NotValidf("client.Options without Entries")
	}
	if o.Scheme == "" {
		o.Scheme = "http"
	}
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: newTransport()}
	}
	if o.Attempts <= 0 {
		o.Attempts = 8
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 15 * time.Second
	}
	if o.Backoff <= 0 {
		o.Backoff = 100 * time.Millisecond
	}
	return o, nil
}
