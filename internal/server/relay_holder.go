package server

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/problem"
)

// relayedHeader marks a call that another daemon passes on, so that two
// daemons with different views do not send it back and forth.
const relayedHeader = "X-Rattantide-Relayed"

// relayFrom passes the caller's query on to the living holder of the record and
// its answer back. The holder checks the caller's token itself.
func (s *Server) relayFrom(w http.ResponseWriter, r *http.Request, holder string) {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, s.baseURL(r, holder)+r.URL.EscapedPath(), nil)
	if err != nil {
		s.refuse(w, problem.New(http.StatusInternalServerError, problem.CodeInternal, "the holder's address is not valid"))
		return
	}
	request.Header.Set("Authorization", r.Header.Get("Authorization"))
	request.Header.Set(relayedHeader, "1")
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		request.Header.Set("Last-Event-ID", last)
	}
	response, err := s.repeated.Do(request)
	if err != nil {
		s.refuse(w, problem.New(http.StatusBadGateway, problem.CodeUpstreamFailed, "the holder of the request does not answer").WithRequestID(r.PathValue("id")))
		return
	}
	defer response.Body.Close()
	for _, name := range []string{"Content-Type", "Cache-Control", "X-Request-Id", "Location", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.WriteHeader(response.StatusCode)
	if copyFlushing(w, response.Body, s.options.CallerWrite) != nil {
		// The end of the body would look like the end of the answer.
		panic(http.ErrAbortHandler)
	}
}

// asProblem returns err as a problem, or otherwise other.
func asProblem(err error, other *problem.Problem) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return other
}

// copyFlushing copies a body and passes each part on at once.
func copyFlushing(w http.ResponseWriter, body io.Reader, limit time.Duration) error {
	out := &callerStream{w: w, control: http.NewResponseController(w), limit: limit, begun: true}
	buffer := make([]byte, 16<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if sendErr := out.send(buffer[:n]); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
