package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// The headers of a request that one daemon forwards to another, and of its response. Callers
// cannot set them, as they are read only on the port for other daemons.
const (
	// headerForwardedBy holds the name of the daemon that forwards the request.
	headerForwardedBy = "Rattantide-Forwarded-By"
	// headerForwardCaller holds the address of the caller.
	headerForwardCaller = "Rattantide-Caller"
	// headerForwardConfig holds the version of the configuration that allowed the request.
	headerForwardConfig = "Rattantide-Config"
	// headerForwardSends holds how often the request was sent to upstreams before.
	headerForwardSends = "Rattantide-Sends"
	// headerNotHelped is set in the response if the daemon did not and will not run the
	// request, and another daemon may.
	headerNotHelped = "Rattantide-Not-Helped"
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

// IsForwarded reports whether a request on the port for other daemons was forwarded.
func IsForwarded(r *http.Request) bool { return r.Header.Get(headerForwardedBy) != "" }

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
	f := &forwarded{by: h.Get(headerForwardedBy), caller: h.Get(headerForwardCaller)}
	var err error
	if f.config, err = strconv.ParseInt(h.Get(headerForwardConfig), 10, 64); err != nil {
		return nil, err
	}
	if f.sends, err = strconv.Atoi(h.Get(headerForwardSends)); err != nil {
		return nil, err
	}
	for _, name := range []string{headerForwardedBy, headerForwardCaller, headerForwardConfig, headerForwardSends} {
		h.Del(name)
	}
	return f, nil
}

// encode adds f to the headers of a request to another daemon.
func (f *forwarded) encode(h http.Header) {
	h.Set(headerForwardedBy, f.by)
	h.Set(headerForwardCaller, f.caller)
	h.Set(headerForwardConfig, strconv.FormatInt(f.config, 10))
	h.Set(headerForwardSends, strconv.Itoa(f.sends))
}
