package gateway

import (
	"net/http"
	"strconv"
	"time"

	"rattantide/internal/forwardheader"
)

// noHelpRetryAfter is the Retry-After delay if no daemon reaches the upstreams.
const noHelpRetryAfter = 300 * time.Millisecond

// forwarded is what the forwarding daemon says of a request.
type forwarded struct {
	// by is the name of that daemon, and caller the address of its caller.
	by, caller string
	// config is the version of its configuration.
	config int64
	// sends is how often it sent the request to upstreams.
	sends int
}

// IsForwarded reports whether a request on the port for other daemons was forwarded. Callers
// do not reach that port.
func IsForwarded(r *http.Request) bool { return r.Header.Get(forwardheader.By) != "" }

// ServeForwarded serves a request that another daemon has forwarded. It is never forwarded
// again. Its quota was charged by the other daemon.
func (s *Server) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	f, err := decodeForwarded(r.Header)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.serve(w, r, f)
}

// decodeForwarded takes what the forwarding daemon says out of the headers of its request.
func decodeForwarded(h http.Header) (*forwarded, error) {
	f := &forwarded{by: h.Get(forwardheader.By), caller: h.Get(forwardheader.Caller)}
	var err error
	if f.config, err = strconv.ParseInt(h.Get(forwardheader.Config), 10, 64); err != nil {
		return nil, err
	}
	if f.sends, err = strconv.Atoi(h.Get(forwardheader.Sends)); err != nil {
		return nil, err
	}
	for _, name := range []string{forwardheader.By, forwardheader.Caller, forwardheader.Config, forwardheader.Sends} {
		h.Del(name)
	}
	return f, nil
}

// encode adds f to the headers of a request to another daemon.
func (f *forwarded) encode(h http.Header) {
	h.Set(forwardheader.By, f.by)
	h.Set(forwardheader.Caller, f.caller)
	h.Set(forwardheader.Config, strconv.FormatInt(f.config, 10))
	h.Set(forwardheader.Sends, strconv.Itoa(f.sends))
}
