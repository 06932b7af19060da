package server

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"rattantide/internal/problem"
)

// readBody reads a caller's body into memory that is charged to the journal's
// limit. release gives the memory back and may be called more than once.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), p *problem.Problem) {
	limit := s.options.MaxBodyBytes
	if r.ContentLength > limit {
		return nil, nil, tooLarge()
	}
	size := r.ContentLength
	if size < 0 {
		size = limit
	}
	if !s.options.Journal.Reserve(size) {
		return nil, nil, problem.NotRun(http.StatusServiceUnavailable, problem.CodeOverloaded,
			"the memory for requests is in use").WithRetryAfter(retryAfterFull)
	}
	held := size
	release = func() {
		s.options.Journal.Release(held)
		held = 0
	}
	var buffer bytes.Buffer
	// The spare bytes.MinRead saves the copy to a larger buffer at the end.
	buffer.Grow(int(max(r.ContentLength, 0)) + bytes.MinRead)
	if _, err := io.Copy(&buffer, http.MaxBytesReader(w, r.Body, limit)); err != nil {
		release()
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, nil, tooLarge()
		}
		return nil, nil, problem.NotRun(http.StatusBadRequest, problem.CodeBadRequest, "the body could not be read")
	}
	return buffer.Bytes(), release, nil
}

func tooLarge() *problem.Problem {
	return problem.NotRun(http.StatusRequestEntityTooLarge, problem.CodeTooLarge, "the body is too large")
}
