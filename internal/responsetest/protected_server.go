package responsetest

import (
	"net/http"
	"net/http/httptest"

	"rattantide/internal/framing"
	"rattantide/internal/telemetry"
)

// NewServer returns a server that is protected (framing.Protect), as those of the daemons. The
// caller must close it.
func NewServer(handler http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(handler)
	framing.Protect(s.Config, telemetry.Discard())
	s.Start()
	return s
}
